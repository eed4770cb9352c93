package gateway_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/gateway"
	"github.com/pumicestage/pumicestage/internal/infra/httpcall"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
)

// newFixedServer starts a service that gives every request the same response.
// It returns the service's address and the number of requests received.
func newFixedServer(t *testing.T, status int, body string) (url string, requests *atomic.Int32) {
	t.Helper()
	requests = new(atomic.Int32)
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(ts.Close)
	return ts.URL, requests
}

// unusedURL returns an address that refuses connections.
func unusedURL(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, ln.Close()) }()
	return "http://" + ln.Addr().String()
}

func client(urls ...string) *gateway.Store {
	return gateway.New(gateway.Options{Endpoints: urls, Timeout: 10 * time.Second})
}

func write(s infra.Store) error {
	_, err := s.Txn(context.Background(), infra.Txn{Then: []infra.Op{infra.Put("a", nil)}})
	return err
}

func read(s infra.Store) error {
	_, _, err := s.Get(context.Background(), "a")
	return err
}

// Responses of the service, or of a proxy in front of it, must map to the right
// kind of error. A write may be reported as not applied only if that is certain;
// otherwise the outcome is unknown.
func TestErrorKindsOfFailedResponses(t *testing.T) {
	for _, c := range []struct {
		name        string
		status      int
		body        string
		read, write infra.Kind
	}{
		{"too many requests", 429, `{"error":"etcdserver: too many requests","code":8}`, infra.KindRateLimited, infra.KindRateLimited},
		{"rate limit without a body", 429, ``, infra.KindRateLimited, infra.KindRateLimited},
		{"request too large", 400, `{"error":"etcdserver: request is too large","code":3,"message":"etcdserver: request is too large"}`, infra.KindTooLarge, infra.KindTooLarge},
		{"body refused by a proxy", 413, ``, infra.KindTooLarge, infra.KindTooLarge},
		{"duplicate key", 400, `{"error":"etcdserver: duplicate key given in txn request","code":3}`, infra.KindInvalid, infra.KindInvalid},
		{"lease not found", 404, `{"error":"etcdserver: requested lease not found","code":5}`, infra.KindLeaseNotFound, infra.KindLeaseNotFound},
		{"leader changed", 503, `{"error":"etcdserver: leader changed","code":14}`, infra.KindUnavailable, infra.KindUnknown},
		{"request timed out", 504, `{"error":"etcdserver: request timed out","code":4}`, infra.KindUnavailable, infra.KindUnknown},
		{"bad gateway", 502, `<html>`, infra.KindUnavailable, infra.KindUnknown},
		{"response without a header", 200, `{}`, infra.KindInvalid, infra.KindUnknown},
		{"response that is not JSON", 200, `<html>`, infra.KindInvalid, infra.KindUnknown},
		{"response to another request", 200, `{"header":{"revision":"7"},"succeeded":true}`, 0, infra.KindUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			url, _ := newFixedServer(t, c.status, c.body)
			assert.Equal(t, infra.KindOf(read(client(url))), c.read)
			assert.Equal(t, infra.KindOf(write(client(url))), c.write)
		})
	}
}

// If an endpoint refuses the connection, the call goes to the next endpoint.
// That is safe for writes too, because nothing was sent.
func TestNextEndpointAfterRefusedDial(t *testing.T) {
	url, requests := newFixedServer(t, 200, `{"header":{"revision":"7"},"succeeded":true,"responses":[{"response_put":{}}]}`)
	s := client(unusedURL(t), url)

	assert.NilError(t, write(s))
	assert.NilError(t, read(s))

	assert.Equal(t, requests.Load(), int32(2))
	err := write(client(unusedURL(t), unusedURL(t)))
	assert.Assert(t, infra.IsKind(err, infra.KindUnavailable), "%v", err)
}

// brokenConn is a connection that broke while it was idle: once broken is set,
// writes to it fail.
type brokenConn struct {
	net.Conn
	broken *atomic.Bool
}

func (c brokenConn) Write(p []byte) (int, error) {
	if c.broken.Load() {
		return 0, io.ErrClosedPipe
	}
	return c.Conn.Write(p)
}

// The pooled connection broke while it was idle, and the service refuses new
// connections. The write got a connection but no byte was sent, so it must be
// reported as not applied rather than as unknown.
func TestWriteOnConnectionThatBrokeWhileIdle(t *testing.T) {
	url, _ := newFixedServer(t, 200, `{"header":{"revision":"7"},"succeeded":true,"responses":[{"response_put":{}}]}`)
	var broken atomic.Bool
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if broken.Load() {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		return brokenConn{conn, &broken}, err
	}
	s := gateway.New(gateway.Options{Endpoints: []string{url}, HTTPClient: &http.Client{Transport: &http.Transport{DialContext: dial}}})
	assert.NilError(t, write(s))

	broken.Store(true)
	err := write(s)

	assert.Assert(t, infra.IsKind(err, infra.KindUnavailable), "%v", err)
}

// The first endpoint closes the connection after it received the request. A
// read is retried at the next endpoint. A write must not be, because the first
// copy may still take effect.
func TestNextEndpointAfterLostReply(t *testing.T) {
	first := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer first.Close()
	url, requests := newFixedServer(t, 200, `{"header":{"revision":"7"}}`)

	assert.NilError(t, read(client(first.URL, url)))
	err := write(client(first.URL, url))

	assert.Assert(t, infra.IsKind(err, infra.KindUnknown), "%v", err)
	assert.Equal(t, requests.Load(), int32(1))
}

// If the server's certificate is not trusted, the handshake fails before the
// write is sent. The write certainly was not applied and may go to another
// endpoint.
func TestTLS(t *testing.T) {
	var requests atomic.Int32
	ts := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_, _ = w.Write([]byte(`{"header":{"revision":"7"},"succeeded":true,"responses":[{"response_put":{}}]}`))
	}))
	defer ts.Close()
	ts.Config.ErrorLog = log.New(io.Discard, "", 0) // silences the log of the failed handshake
	roots := x509.NewCertPool()
	roots.AddCert(ts.Certificate())

	known := gateway.New(gateway.Options{Endpoints: []string{ts.URL}, HTTPClient: httpcall.NewHTTP(&tls.Config{RootCAs: roots})})
	assert.NilError(t, write(known))
	err := write(client(ts.URL))

	assert.Assert(t, infra.IsKind(err, infra.KindUnavailable), "%v", err)
	assert.Equal(t, requests.Load(), int32(1))
}

// A proxy in front of the service responds with a redirect. Following it would
// send a second copy of the write, to an address that is not an endpoint.
func TestRedirectIsNotFollowed(t *testing.T) {
	url, requests := newFixedServer(t, 200, `{"header":{"revision":"7"},"succeeded":true,"responses":[{"response_put":{}}]}`)
	ts := httptest.NewServer(http.RedirectHandler(url+"/v3/kv/txn", http.StatusTemporaryRedirect))
	defer ts.Close()

	err := write(client(ts.URL))

	assert.Assert(t, infra.IsKind(err, infra.KindUnknown), "%v", err)
	assert.Equal(t, requests.Load(), int32(0))
}

// The service accepts connections but never responds. Without the adapter's own
// timeout, calls whose context has no deadline would block forever.
func TestSilentEndpointTimesOut(t *testing.T) {
	silent := make(chan struct{})
	ts := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-silent }))
	defer ts.Close()
	defer close(silent)
	s := gateway.New(gateway.Options{Endpoints: []string{ts.URL}, Timeout: 50 * time.Millisecond})

	err := read(s)
	_, watchErr := s.Watch(context.Background(), "a", 1)

	assert.Assert(t, infra.IsKind(err, infra.KindUnavailable), "%v", err)
	assert.Assert(t, infra.IsKind(watchErr, infra.KindUnavailable), "%v", watchErr)
}

// Compares the requests with literal JSON of etcd's documented protocol. The
// stand-in service shares the adapter's message types, so no other test would
// detect a mistake in them.
func TestRequestWireFormat(t *testing.T) {
	var got string
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body json.RawMessage
		assert.Check(t, json.NewDecoder(r.Body).Decode(&body))
		got = r.Method + " " + r.URL.Path + " " + string(body)
		_, _ = w.Write([]byte(`{"header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255","revision":"8","raft_term":"3"},` +
			`"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"7","version":"3","value":"YmFy","lease":"7587848390310534409"}],"count":"1"}`))
	}))
	defer ts.Close()
	s := client(ts.URL)

	kv, rev, err := s.Get(context.Background(), "foo")
	assert.NilError(t, err)
	assert.Equal(t, got, `POST /v3/kv/range {"key":"Zm9v"}`)
	assert.Equal(t, rev, infra.Revision(8))
	assert.DeepEqual(t, kv, infra.KV{Key: "foo", Value: []byte("bar"), CreateRevision: 2, ModRevision: 7, Lease: 7587848390310534409})

	_, _, err = s.Range(context.Background(), "foo")
	assert.NilError(t, err)
	assert.Equal(t, got, `POST /v3/kv/range {"key":"Zm9v","range_end":"Zm9w"}`)

	_, err = s.Txn(context.Background(), infra.Txn{
		If:   []infra.Cond{{Key: "foo", ModRevision: 7}},
		Then: []infra.Op{infra.PutLeased("foo", []byte("bar"), 9), infra.Delete("foo")},
		Else: []infra.Op{infra.Read("foo")},
	})
	assert.Assert(t, infra.IsKind(err, infra.KindUnknown)) // the response above doesn't match a transaction
	assert.Equal(t, got, `POST /v3/kv/txn {"compare":[{"result":"EQUAL","target":"MOD","key":"Zm9v","mod_revision":"7"}],`+
		`"success":[{"request_put":{"key":"Zm9v","value":"YmFy","lease":"9"}},{"request_delete_range":{"key":"Zm9v"}}],`+
		`"failure":[{"request_range":{"key":"Zm9v"}}]}`)
}

// Decodes literal watch messages of etcd's documented protocol: a message with
// two revisions and a progress notification, then the stream breaks. The watch
// must resume after the progress revision, drop events that it has already
// delivered, and end when the service reports a compaction.
func TestWatchWireFormat(t *testing.T) {
	var starts []string
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v3/watch" {
			_, _ = w.Write([]byte(`{"header":{"revision":"90"}}`)) // response to a probe
			return
		}
		var req struct {
			Create struct {
				Start string `json:"start_revision"`
			} `json:"create_request"`
		}
		assert.Check(t, json.NewDecoder(r.Body).Decode(&req))
		starts = append(starts, req.Create.Start)
		if len(starts) > 1 {
			_, _ = w.Write([]byte(`{"result":{"header":{"revision":"90"},"watch_id":"0","created":true}}` + "\n" +
				`{"result":{"header":{"revision":"90"},"events":[{"kv":{"key":"YQ==","mod_revision":"6"}}]}}` + "\n" + // already delivered
				`{"result":{"header":{"revision":"90"},"watch_id":"0","canceled":true,"compact_revision":"80"}}`))
			return
		}
		_, _ = w.Write([]byte(`{"result":{"header":{"revision":"9"},"watch_id":"0","created":true}}` + "\n" +
			`{"result":{"header":{"revision":"9"},"events":[{"kv":{"key":"YQ==","mod_revision":"5","value":"MQ=="}},` +
			`{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"6"}}]}}` + "\n" +
			`{"result":{"header":{"revision":"70"}}}` + "\n"))
	}))
	defer ts.Close()

	ch, err := client(ts.URL).Watch(context.Background(), "a", 5)
	assert.NilError(t, err)
	var got []infra.WatchBatch
	for b := range ch {
		got = append(got, b)
	}

	assert.Equal(t, len(got), 3)
	assert.Equal(t, got[0].Revision, infra.Revision(5))
	assert.Equal(t, got[1].Events[0].Kind, infra.EventDelete)
	assert.Assert(t, infra.IsKind(got[2].Err, infra.KindCompacted))
	assert.DeepEqual(t, starts, []string{"5", "71"})
}

// A partition drops packets between a zone and the platform without closing
// connections. The first write is sent on an open connection, so its outcome is
// unknown. The next write can't connect, so it certainly was not applied. The
// watch continues after the partition.
func TestPartitionThatDropsPackets(t *testing.T) {
	srv := standin.New(clockwork.NewRealClock())
	defer srv.Close()
	url, err := srv.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	s := gateway.New(gateway.Options{
		Endpoints: []string{url}, Timeout: 500 * time.Millisecond, ProbeEvery: time.Minute,
		HTTPClient: srv.Network.Client("zone-a"),
	})
	ch, err := s.Watch(context.Background(), "a", 1)
	assert.NilError(t, err)
	assert.NilError(t, write(s))
	first := <-ch

	srv.Network.Drop("zone-a", standin.PlatformZone)
	lost := write(s)
	unsent := write(s)
	_, err = srv.Store.Txn(context.Background(), infra.Txn{Then: []infra.Op{infra.Put("a", []byte("meanwhile"))}})
	assert.NilError(t, err)
	srv.Network.Heal("zone-a", standin.PlatformZone)

	assert.Assert(t, infra.IsKind(lost, infra.KindUnknown), "%v", lost)
	assert.Assert(t, infra.IsKind(unsent, infra.KindUnavailable), "%v", unsent)
	next := <-ch
	assert.NilError(t, next.Err)
	assert.Equal(t, string(next.Events[0].KV.Value), "meanwhile")
	assert.Equal(t, next.Revision, first.Revision+1)
}

// The service stops responding without closing connections while the watch is
// idle, or still accepts watches but sends nothing. The watch must end with an
// error: its reader would otherwise take the silence for "no changes" and keep
// using a stale view.
func TestUnresponsiveServiceEndsWatch(t *testing.T) {
	srv := standin.New(clockwork.NewRealClock())
	defer srv.Close()
	var silent atomic.Bool
	stopped := make(chan struct{})
	defer close(stopped)
	for _, c := range []struct {
		name string
		stop func()
		h    http.HandlerFunc
	}{
		{"all calls are held", func() { srv.Faults.Set(standin.AnyZone, standin.Fault{Paused: true}) }, srv.ServeHTTP},
		{"watches still open", func() { silent.Store(true) }, func(w http.ResponseWriter, r *http.Request) {
			if silent.Load() && r.URL.Path != "/v3/watch" {
				<-stopped
			}
			srv.ServeHTTP(w, r)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			srv.Faults.Clear()
			srv.Counts.Reset()
			ts := httptest.NewServer(c.h)
			t.Cleanup(ts.CloseClientConnections)
			s := gateway.New(gateway.Options{
				Endpoints: []string{ts.URL, unusedURL(t)}, Timeout: 500 * time.Millisecond,
				ProbeEvery: 20 * time.Millisecond, ResumeFor: 200 * time.Millisecond,
			})
			ch, err := s.Watch(context.Background(), "a", 1)
			assert.NilError(t, err)
			for end := time.Now().Add(10 * time.Second); srv.Counts.Counts().Calls[standin.KindRange] < 3; time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "an idle watch is not probed")
			}

			c.stop()

			b := <-ch
			assert.Assert(t, infra.IsKind(b.Err, infra.KindUnavailable), "%v", b.Err)
			_, open := <-ch
			assert.Assert(t, !open)
		})
	}
}
