package main

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// tlsFlags holds the flags for connections to operator ports that use TLS. An
// empty ca means that the other fields have no effect and Go's default HTTP
// client is used.
type tlsFlags struct {
	ca   string // path of the PEM file of the authority that signs the entry VMs' certificates
	name string // server name to verify in these certificates; empty for the host of --server
	cert string // path of the PEM file of the client certificate; empty for none
	key  string // path of the PEM file of the private key of cert
}

func (f *tlsFlags) add(app *kingpin.Application) {
	app.Flag("tls-ca", "PEM file of the authority of the entry VMs' certificates; turns TLS on.").Envar("PUMICESTAGE_TLS_CA").ExistingFileVar(&f.ca)
	app.Flag("tls-name", "Name in the entry VMs' certificates, where it is not the host of --server.").Envar("PUMICESTAGE_TLS_NAME").StringVar(&f.name)
	app.Flag("tls-cert", "PEM file of this client's certificate, where one is asked for.").Envar("PUMICESTAGE_TLS_CERT").ExistingFileVar(&f.cert)
	app.Flag("tls-key", "PEM file of the key to --tls-cert.").Envar("PUMICESTAGE_TLS_KEY").ExistingFileVar(&f.key)
}

// serverURL adds the https scheme to an address without a scheme if --tls-ca is
// given.
func (f *tlsFlags) serverURL(server string) string {
	if f.ca == "" || strings.Contains(server, "://") {
		return server
	}
	return "https://" + server
}

// client returns an HTTP client that trusts only the authority in --tls-ca, or
// the default client without that flag.
func (f *tlsFlags) client() (*http.Client, error) {
	if f.ca == "" {
		return http.DefaultClient, nil
	}
	pemData, err := os.ReadFile(f.ca)
	if err != nil {
		return nil, err
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, ServerName: f.name, RootCAs: x509.NewCertPool()}
	if !cfg.RootCAs.AppendCertsFromPEM(pemData) {
		return nil, &usageError{detail: fmt.Sprintf("--tls-ca %s has no certificate in PEM", f.ca)}
	}
	if f.cert != "" {
		pair, err := tls.LoadX509KeyPair(f.cert, f.key)
		if err != nil {
			return nil, &usageError{detail: "--tls-cert and --tls-key do not go together"}
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: cfg}}, nil
}
