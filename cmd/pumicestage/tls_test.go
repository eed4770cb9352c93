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

// The command line must accept an operator port that uses TLS only if the
// certificate is from the authority in --tls-ca and bears the expected name.
// Without --tls-ca, and with a file that holds no certificate, it must fail.
func TestTLS(t *testing.T) {
	f := operatortest.New(t, loadExample(t), nil)
	srv := httptest.NewTLSServer(f.Handler)
	t.Cleanup(srv.Close)
	ca := filepath.Join(t.TempDir(), "ca.pem")
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: srv.Certificate().Raw})
	assert.NilError(t, os.WriteFile(ca, text, 0o600))
	b := &testServer{Fixture: f, url: srv.Listener.Addr().String()}

	good := b.run("", "--tls-ca", ca, "--tls-name", "example.com", "query", "show zones")
	assert.Equal(t, good.status, exitOK, good.stderr)
	assert.Equal(t, b.run("", "--tls-ca", ca, "--tls-name", "elsewhere", "query", "show zones").status, exitFailure)
	b.url = srv.URL
	assert.Equal(t, b.run("", "query", "show zones").status, exitFailure)
	assert.Equal(t, b.run("", "--tls-ca", exampleDir+"/teams.ini", "query", "show zones").status, exitUsage)
}
