package access

import (
	"crypto/tls"
	"crypto/x509"
	"net"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
)

// CertificateFiles are the PEM files of one listener.
type CertificateFiles struct {
	Cert string // certificate chain
	Key  string
	CA   string // whose certificates the other side must bear; empty where it needs none
}

// Certificates holds a listener's certificates, read anew when the files
// change. It is safe for concurrent use.
type Certificates struct {
	files *watched[material]
}

type material struct {
	cert tls.Certificate
	ca   *x509.CertPool
}

// NewCertificates reads the files. Mistakes in the first reading are an error.
func NewCertificates(f CertificateFiles, clock clockwork.Clock, log logr.Logger) (*Certificates, error) {
	paths := []string{f.Cert, f.Key}
	if f.CA != "" {
		paths = append(paths, f.CA)
	}
	files, err := newWatched(paths, clock, log, func(texts [][]byte) (material, error) { return parseMaterial(f, texts) })
	if err != nil {
		return nil, err
	}
	return &Certificates{files: files}, nil
}

func parseMaterial(f CertificateFiles, texts [][]byte) (material, error) {
	var m material
	cert, err := tls.X509KeyPair(texts[0], texts[1])
	if err != nil {
		return m, &FileError{Path: f.Cert, Problems: []string{"certificate and key do not go together or are not PEM"}}
	}
	m.cert = cert
	if f.CA == "" {
		return m, nil
	}
	m.ca = x509.NewCertPool()
	if !m.ca.AppendCertsFromPEM(texts[2]) {
		return m, &FileError{Path: f.CA, Problems: []string{"no certificate in PEM"}}
	}
	return m, nil
}

// Server returns the configuration of a listener. Where there is a CA, clients
// must bear a certificate of it. Each handshake uses the newest files.
func (c *Certificates) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := c.files.get()
			cfg := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.cert}}
			if m.ca != nil {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = m.ca
			}
			return cfg, nil
		},
	}
}

// Client returns the configuration for one connection to a server whose
// certificate bears the name; call it for each connection, so that it uses the
// newest files. Entry VMs come and go and talk by address, so the certificates
// of peers bear one name for all of them.
func (c *Certificates) Client(serverName string) *tls.Config {
	m := c.files.get()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   serverName,
		RootCAs:      m.ca,
		Certificates: []tls.Certificate{m.cert},
	}
}

// Exposed reports whether a listener's address can be reached from beyond this
// machine. Such a listener without TLS or tokens is to be warned of.
func Exposed(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return true
	}
	ip := net.ParseIP(host)
	return ip == nil && host != "localhost" || ip != nil && !ip.IsLoopback()
}
