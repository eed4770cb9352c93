package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/access"
	"github.com/pumicestage/pumicestage/internal/entry"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/settings"
	"github.com/pumicestage/pumicestage/policy/model"
)

// testCertificate is a self-signed certificate, stored in files, that all
// listeners of a test share.
type testCertificate struct {
	listener settings.Listener
	pool     *x509.CertPool
}

func newTestCertificate(t *testing.T) testCertificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{peerServerName}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	assert.NilError(t, os.WriteFile(certFile, cert, 0o600))
	assert.NilError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}), 0o600))
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(cert)
	const anyPort = "127.0.0.1:0"
	return testCertificate{settings.Listener{Listen: anyPort, Advertise: anyPort, Cert: certFile, Key: keyFile}, pool}
}

func (m testCertificate) start(t *testing.T, store *memstore.Store, id model.EntryID, seeds []string, tokens string) *Daemon {
	t.Helper()
	peers := m.listener
	peers.CA = m.listener.Cert
	d, err := New(Options{Log: logr.Discard(), Store: store, Settings: &settings.Settings{
		ID: id, Zone: "za", Cluster: "test", Callers: m.listener, Operators: m.listener, Peers: peers,
		Seeds: seeds, Machines: "http://127.0.0.1:1", PlatformTimeout: time.Second, TokensFile: tokens, Drain: time.Second,
		Limits: entry.DefaultLimits(),
	}})
	assert.NilError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = d.Run(context.Background()) // ended by Kill below
	}()
	t.Cleanup(func() {
		d.Kill()
		<-ended
	})
	return d
}

// With certificates and tokens configured, a connection without TLS, an
// operator without a token and one with an insufficient role must be refused,
// while peers still connect to each other.
func TestListenersWithTLSAndTokens(t *testing.T) {
	m := newTestCertificate(t)
	token, hash := access.NewToken()
	tokens := filepath.Join(t.TempDir(), "tokens.ini")
	assert.NilError(t, os.WriteFile(tokens, []byte("[operator eva]\nrole = view\nhash = "+hash+"\n"), 0o600))
	store := memstore.New(clockwork.NewRealClock())
	first := m.start(t, store, "e1", nil, tokens)
	second := m.start(t, store, "e2", []string{first.Self().Peer}, tokens)

	connected := func() bool { return len(first.liveEntries()) == 2 && len(second.liveEntries()) == 2 }
	for deadline := time.Now().Add(30 * time.Second); !connected(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "peers did not connect to each other")
	}
	secure := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: m.pool}}}
	cases := []struct {
		name   string
		client *http.Client
		scheme string
		token  string
		method string
		path   string
		status int
	}{
		{"plain connection", http.DefaultClient, "http", token, http.MethodGet, "/v1/status", http.StatusBadRequest},
		{"no token", secure, "https", "", http.MethodGet, "/v1/status", http.StatusUnauthorized},
		{"token", secure, "https", token, http.MethodGet, "/v1/status", http.StatusOK},
		{"insufficient role", secure, "https", token, http.MethodPost, "/v1/do", http.StatusForbidden},
		{"jobs without token", secure, "https", "", http.MethodGet, "/v1/jobs", http.StatusUnauthorized},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			req, err := http.NewRequest(tc.method, fmt.Sprintf("%s://%s%s", tc.scheme, first.Self().Operator, tc.path), nil)
			assert.NilError(t, err)
			if tc.token != "" {
				req.Header.Set("Authorization", "Bearer "+tc.token)
			}
			resp, err := tc.client.Do(req)
			assert.NilError(t, err)
			resp.Body.Close()
			assert.Equal(t, resp.StatusCode, tc.status)
		})
	}
}
