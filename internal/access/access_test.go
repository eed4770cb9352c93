package access

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

func request(token string) *http.Request {
	r, _ := http.NewRequest(http.MethodGet, "/", nil)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	return r
}

func write(t *testing.T, path string, at time.Time, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	assert.NilError(t, os.Chtimes(path, at, at))
}

func TestTokensAuthorize(t *testing.T) {
	viewer, viewHash := NewToken()
	admin, adminHash := NewToken()
	path := filepath.Join(t.TempDir(), "tokens.ini")
	write(t, path, time.Unix(1, 0), fmt.Sprintf("[operator eva]\nrole = view\nhash = %s\n[operator ana]\nrole = configure\nhash = %s\n[operator short]\nrole = view\nhash = %s\n",
		viewHash, adminHash, Hash("hunter2")))
	tokens, err := NewTokens(path, clockwork.NewFakeClock(), logr.Discard())
	assert.NilError(t, err)
	cases := []struct {
		name  string
		token string
		need  Role
		want  string // the operator's name
		known bool   // whether the operator is authenticated although refused
	}{
		{"role enough", viewer, RoleView, "eva", false},
		{"greater role", admin, RoleOperate, "ana", false},
		{"role too small", viewer, RoleOperate, "", true},
		{"unknown token", admin + "x", RoleView, "", false},
		{"no token", "", RoleView, "", false},
		{"token too short to be safe", "hunter2", RoleView, "", false},
		{"hash in place of the token", viewHash, RoleView, "", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			who, err := tokens.Authorize(request(tc.token), tc.need)
			if tc.want != "" {
				assert.NilError(t, err)
				assert.Equal(t, who.Name, tc.want)
				return
			}
			var denied *Error
			assert.Assert(t, errors.As(err, &denied))
			assert.Equal(t, denied.Authenticated, tc.known)
			if tc.token != "" {
				assert.Assert(t, !strings.Contains(err.Error(), tc.token))
			}
		})
	}
}

// The token file is replaced while the daemon runs, because an operator has left;
// the next edit leaves it half written. The removed token must be refused within
// seconds, and the invalid file must neither lock everyone out nor readmit
// anyone. The contents of the files must not be logged.
func TestTokensAreReloaded(t *testing.T) {
	first, firstHash := NewToken()
	second, secondHash := NewToken()
	path := filepath.Join(t.TempDir(), "tokens.ini")
	entry := func(hash string) string { return "[operator ana]\nrole = view\nhash = " + hash + "\n" }
	write(t, path, time.Unix(1, 0), entry(firstHash))
	clock := clockwork.NewFakeClock()
	var logged bytes.Buffer
	tokens, err := NewTokens(path, clock, logr.FromSlogHandler(slog.NewTextHandler(&logged, nil)))
	assert.NilError(t, err)
	authorized := func(token string) bool {
		_, err := tokens.Authorize(request(token), RoleView)
		return err == nil
	}
	assert.Assert(t, authorized(first))

	write(t, path, time.Unix(2, 0), entry(secondHash))
	clock.Advance(recheckInterval)
	assert.Assert(t, !authorized(first))
	assert.Assert(t, authorized(second))

	write(t, path, time.Unix(3, 0), entry(first)+"[operator bob")
	clock.Advance(recheckInterval)
	assert.Assert(t, authorized(second))
	assert.Assert(t, !authorized(first))
	assert.Assert(t, strings.Contains(logged.String(), "cannot reload files"))
	for _, secret := range []string{first, second, firstHash, secondHash} {
		assert.Assert(t, !strings.Contains(logged.String(), secret))
	}
}

func TestTokenFileMistakes(t *testing.T) {
	cases := []struct {
		name string
		text string
		want string
	}{
		{"empty", "", "no [operator NAME] section: nobody could be let in"},
		{"token in place of its hash", "[operator a]\nrole = view\nhash = pst_abc\n", "[operator a] hash: expected sha256: and 64 hexadecimal digits"},
		{"unknown role", "[operator a]\nrole = root\nhash = " + Hash("x") + "\n", "[operator a] role: expected view, operate or configure"},
		{"unknown key", "[operator a]\nrole = view\ntoken = x\nhash = " + Hash("x") + "\n", "[operator a] token: unknown key, expected role or hash"},
		{"another section", "[user a]\nrole = view\nhash = " + Hash("x") + "\n", "[user a] expected [operator NAME]"},
		{"twice", strings.Repeat("[operator a]\nrole = view\nhash = "+Hash("x")+"\n", 2), "[operator a] stands twice"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := parseTokens("f", []byte(tc.text))
			assert.Error(t, err, "f: "+tc.want)
		})
	}
}

// authority is a certificate authority for the tests below.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a new certificate with the serial number, its key and the CA
// certificate to the files and sets their modification time.
func (a *authority) issue(t *testing.T, f CertificateFiles, at time.Time, serial int64) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(serial), DNSNames: []string{"peer"}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, key.Public(), a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	write(t, f.Cert, at, string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})))
	write(t, f.Key, at, string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})))
	write(t, f.CA, at, string(a.pem))
}

// handshake connects the two sides over loopback and returns the serial number
// of the server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	served := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			served <- err
			return
		}
		defer conn.Close()
		served <- tls.Server(conn, server).Handshake()
	}()
	raw, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer raw.Close()
	conn := tls.Client(raw, client)
	if err := conn.Handshake(); err != nil {
		raw.Close()
		<-served
		return 0, err
	}
	if err := <-served; err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Certificates are renewed while the daemon runs; new connections must use the
// new ones. A client without a certificate, or with one of another authority,
// must be refused.
func TestCertificatesAreReloadedAndMutual(t *testing.T) {
	dir := t.TempDir()
	files := CertificateFiles{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	ca := newAuthority(t)
	ca.issue(t, files, time.Unix(1, 0), 11)
	clock := clockwork.NewFakeClock()
	certs, err := NewCertificates(files, clock, logr.Discard())
	assert.NilError(t, err)
	server := certs.Server()

	serial, err := handshake(t, server, certs.Client("peer"))
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(11))
	_, err = handshake(t, server, certs.Client("other"))
	assert.ErrorContains(t, err, "other")

	ca.issue(t, files, time.Unix(2, 0), 12)
	clock.Advance(recheckInterval)
	serial, err = handshake(t, server, certs.Client("peer"))
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(12))

	withoutCert := certs.Client("peer")
	withoutCert.Certificates = nil
	_, err = handshake(t, server, withoutCert)
	assert.Assert(t, err != nil)
	foreign := newAuthority(t)
	otherDir := t.TempDir()
	otherFiles := CertificateFiles{Cert: filepath.Join(otherDir, "cert.pem"), Key: filepath.Join(otherDir, "key.pem"), CA: filepath.Join(otherDir, "ca.pem")}
	foreign.issue(t, otherFiles, time.Unix(1, 0), 13)
	other, err := NewCertificates(otherFiles, clock, logr.Discard())
	assert.NilError(t, err)
	foreignClient := certs.Client("peer")
	foreignClient.Certificates = other.Client("peer").Certificates
	_, err = handshake(t, server, foreignClient)
	assert.Assert(t, err != nil)
}

func TestExposed(t *testing.T) {
	for address, want := range map[string]bool{
		"127.0.0.1:80": false, "[::1]:80": false, "localhost:80": false,
		"10.0.0.1:80": true, ":80": true, "0.0.0.0:80": true, "entry.example:80": true,
	} {
		assert.Equal(t, Exposed(address), want, address)
	}
}
