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

// peersName is the name that the certificates of all entry VMs bear towards
// each other: they come and go and talk by address.
const peersName = "pumicestage-peer"

// certificates returns what a listener's settings name, nil for plain TCP.
func certificates(l settings.Listener, log logr.Logger) (*access.Certificates, error) {
	if !l.TLS() {
		return nil, nil
	}
	files := access.CertificateFiles{Cert: l.Cert, Key: l.Key, CA: l.CA}
	c, err := access.NewCertificates(files, clockwork.NewRealClock(), log)
	return c, trace.Wrap(err)
}

// secure puts TLS on a listener where its settings ask for it.
func secure(on net.Listener, l settings.Listener, log logr.Logger) (net.Listener, error) {
	c, err := certificates(l, log)
	if err != nil || c == nil {
		return on, err
	}
	return tls.NewListener(on, c.Server()), nil
}

// peerTLS returns both sides of the peers' mutual TLS, nil for plain TCP.
func peerTLS(l settings.Listener, log logr.Logger) (server *tls.Config, client func() *tls.Config, err error) {
	c, err := certificates(l, log)
	if err != nil || c == nil {
		return nil, nil, err
	}
	return c.Server(), func() *tls.Config { return c.Client(peersName) }, nil
}
