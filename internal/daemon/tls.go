package daemon

import (
	"crypto/tls"
	"net"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/access"
	"github.com/pumicestage/pumicestage/internal/settings"
)

// peerServerName is the DNS name in the peer certificates of all entry VMs.
// They share one name because entry VMs come and go and connect by address.
const peerServerName = "pumicestage-peer"

// certificates loads the certificates named in a listener's settings. It
// returns nil if the listener uses plain TCP.
func certificates(l settings.Listener, log logr.Logger) (*access.Certificates, error) {
	if !l.TLS() {
		return nil, nil
	}
	files := access.CertificateFiles{Cert: l.Cert, Key: l.Key, CA: l.CA}
	c, err := access.NewCertificates(files, clockwork.NewRealClock(), log)
	return c, trace.Wrap(err)
}

// listenTLS wraps a listener with TLS if its settings name certificates, and
// returns it unchanged otherwise.
func listenTLS(on net.Listener, l settings.Listener, log logr.Logger) (net.Listener, error) {
	c, err := certificates(l, log)
	if err != nil || c == nil {
		return on, err
	}
	return tls.NewListener(on, c.Server()), nil
}

// peerTLS returns the server and client configurations for mutual TLS between
// peers; both are nil if peers use plain TCP.
func peerTLS(l settings.Listener, log logr.Logger) (server *tls.Config, client func() *tls.Config, err error) {
	c, err := certificates(l, log)
	if err != nil || c == nil {
		return nil, nil, err
	}
	return c.Server(), func() *tls.Config { return c.Client(peerServerName) }, nil
}
