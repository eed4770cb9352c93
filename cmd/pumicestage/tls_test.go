package main

import (
	"encoding/pem"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/operator/operatortest"
)

// The operator port speaks TLS: the command line trusts the authority it was
// given and nobody else, and only under the name in the certificate.
func TestTLS(t *testing.T) {
	f := operatortest.New(t, loadExample(t), nil)
	srv := httptest.NewTLSServer(f.Handler)
	t.Cleanup(srv.Close)
	ca := filepath.Join(t.TempDir(), "ca.pem")
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: srv.Certificate().Raw})
	assert.NilError(t, os.WriteFile(ca, text, 0o600))
	b := &bench{Fixture: f, url: srv.Listener.Addr().String()}

	good := b.run("", "--tls-ca", ca, "--tls-name", "example.com", "query", "show zones")
	assert.Equal(t, good.status, exitDone, good.errors)
	assert.Equal(t, b.run("", "--tls-ca", ca, "--tls-name", "elsewhere", "query", "show zones").status, exitRefused)
	b.url = srv.URL
	assert.Equal(t, b.run("", "query", "show zones").status, exitRefused)
	assert.Equal(t, b.run("", "--tls-ca", exampleDir+"/teams.ini", "query", "show zones").status, exitUsage)
}
