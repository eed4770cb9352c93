package peer

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/peer/peertest"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// mutualTLS returns a config with one self-signed certificate that is shared by all
// entry VMs and also serves as their certificate authority.
func mutualTLS(t *testing.T) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "entry"}, DNSNames: []string{"entry"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, ServerName: "entry",
	}
}

// Entry VMs with the deployment's certificate see each other as live. One without a
// certificate is rejected before its hello is read.
func TestMutualTLS(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := peertest.New()
		good := mutualTLS(t)
		noCertificate := good.Clone()
		noCertificate.Certificates = nil
		newMesh := func(id string, config *tls.Config) *Mesh {
			return New(Options{
				Self: view.EntryRecord{ID: model.EntryID(id), Zone: "z", Peer: id, Incarnation: 1},
				View: view.NewHolder(), Seeds: []string{"a"}, Listener: n.Listen("z", id), Dial: n.Dialer("z"),
				TLS: config, Log: logr.Discard(),
			})
		}
		meshes := []*Mesh{newMesh("a", good), newMesh("b", good), newMesh("c", noCertificate)}
		ended := make(chan error)
		for _, m := range meshes {
			go func() { ended <- m.Run(t.Context()) }()
		}
		sleepAndWait(5 * time.Second)
		assert.DeepEqual(t, meshes[0].Live(), []model.EntryID{"a", "b"})
		assert.Equal(t, len(meshes[1].Live()), 2)
		for _, m := range meshes {
			m.Close()
		}
		for range meshes {
			assert.NilError(t, <-ended)
		}
	})
}

// For any input, readFrame returns a frame or an error, and the payload never exceeds
// the limit of its kind.
func FuzzReadFrame(f *testing.F) {
	f.Add(must(encodeFrame(KindHello, hello{Version: 1, Entry: "e", Zone: "z"})))
	f.Add(must(encodeFrame(KindDigest, Digest{Seq: 1, Loads: []TargetLoad{{VM: "v", InFlight: 1}}})))
	f.Add(decompressionBomb())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, byte(KindView)})
	f.Fuzz(func(t *testing.T, sent []byte) {
		got, err := readFrame(bytes.NewReader(sent))
		if err != nil {
			return
		}
		assert.Assert(t, len(got.body) <= maxPayload(got.kind))
		var d Digest
		if decode(got.body, &d) == nil {
			newTable("z").apply("e", 1, d)
		}
	})
}
