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
	Key  string // private key of the certificate
	CA   string // authority that must have issued the peer's certificate; empty if clients need none
}

// Certificates holds a listener's certificates and reloads them when the files
// change. It is safe for concurrent use.
type Certificates struct {
	files *watchedFiles[keyMaterial]
}

// keyMaterial is the parsed content of CertificateFiles.
type keyMaterial struct {
	cert tls.Certificate
	ca   *x509.CertPool // nil if there is no CA file
}

// NewCertificates loads the files. It returns a *FileError if one cannot be read
// or is invalid. If files are invalid after a later change, the error is logged
// and the last valid ones stay in use.
func NewCertificates(f CertificateFiles, clock clockwork.Clock, log logr.Logger) (*Certificates, error) {
	paths := []string{f.Cert, f.Key}
	if f.CA != "" {
		paths = append(paths, f.CA)
	}
	files, err := newWatchedFiles(paths, clock, log, func(texts [][]byte) (keyMaterial, error) { return parseKeyMaterial(f, texts) })
	if err != nil {
		return nil, err
	}
	return &Certificates{files: files}, nil
}

func parseKeyMaterial(f CertificateFiles, texts [][]byte) (keyMaterial, error) {
	var m keyMaterial
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

// Server returns the TLS configuration of a listener. If a CA is configured,
// clients must present a certificate issued by it. Each handshake uses the most
// recently loaded files.
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

// Client returns the TLS configuration for one connection to a server whose
// certificate is issued for serverName. Call it for each connection, so that the
// most recently loaded files are used. Entry VMs come and go and connect to each
// other by address, so the certificates of all peers have the same name.
func (c *Certificates) Client(serverName string) *tls.Config {
	m := c.files.get()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   serverName,
		RootCAs:      m.ca,
		Certificates: []tls.Certificate{m.cert},
	}
}

// Exposed reports whether a listener's address can be reached from other
// machines. Callers use it to warn about such a listener without TLS or tokens.
func Exposed(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return true
	}
	ip := net.ParseIP(host)
	return ip == nil && host != "localhost" || ip != nil && !ip.IsLoopback()
}
