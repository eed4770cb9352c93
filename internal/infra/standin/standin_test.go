package standin_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/httpcall"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
)

func serve(t *testing.T) (*standin.Server, string, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	srv := standin.New(clock)
	t.Cleanup(srv.Close)
	url, err := srv.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	return srv, url, clock
}

// call sends a request as any client of the service would, and returns the status
// and the body. Status 0 means that the connection broke.
func call(t *testing.T, method, url, zone, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set(httpcall.ZoneHeader, zone)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { assert.NilError(t, resp.Body.Close()) }()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, strings.TrimSpace(string(raw))
}

// The stand-in must answer in the published protocol byte for byte, so that other
// clients than this project's can use it.
func TestPublishedProtocol(t *testing.T) {
	_, url, _ := serve(t)
	for _, c := range []struct{ name, path, body, want string }{
		{"put", "/v3/kv/put", `{"key":"Zm9v","value":"YmFy"}`, `{"header":{"revision":"2"}}`},
		{"range of one key", "/v3/kv/range", `{"key":"Zm9v"}`,
			`{"header":{"revision":"2"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","value":"YmFy"}],"count":"1"}`},
		{"range of an absent key", "/v3/kv/range", `{"key":"Zg=="}`, `{"header":{"revision":"2"}}`},
		{"range between two keys", "/v3/kv/range", `{"key":"Zg==","range_end":"Zno="}`,
			`{"header":{"revision":"2"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","value":"YmFy"}],"count":"1"}`},
		{"range from a key on", "/v3/kv/range", `{"key":"Zg==","range_end":"AA=="}`,
			`{"header":{"revision":"2"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","value":"YmFy"}],"count":"1"}`},
		{"txn on a revision, given as a number", "/v3/kv/txn",
			`{"compare":[{"target":"MOD","key":"Zm9v","mod_revision":2}],"success":[{"request_put":{"key":"Zm9v","value":"Yg=="}},{"request_delete_range":{"key":"eA=="}}]}`,
			`{"header":{"revision":"3"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"3"}}},{"response_delete_range":{"header":{"revision":"3"}}}]}`},
		{"txn on absence by creation", "/v3/kv/txn",
			`{"compare":[{"target":"CREATE","key":"Zm9v","create_revision":"0"}],"failure":[{"request_range":{"key":"bm8="}}]}`,
			`{"header":{"revision":"3"},"responses":[{"response_range":{"header":{"revision":"3"}}}]}`},
		{"txn on absence by version", "/v3/kv/txn", `{"compare":[{"result":"EQUAL","target":"VERSION","key":"bm8=","version":"0"}]}`,
			`{"header":{"revision":"3"},"succeeded":true}`},
		{"txn on an unknown comparison", "/v3/kv/txn", `{"compare":[{"result":"GREATER","target":"MOD","key":"Zm9v"}]}`,
			`{"error":"platform: txn: invalid: comparison \"GREATER\" is not known here","code":3,"message":"platform: txn: invalid: comparison \"GREATER\" is not known here"}`},
		{"lease", "/v3/lease/grant", `{"TTL":"60"}`, `{"header":{"revision":"3"},"ID":"1001","TTL":"60"}`},
		{"renewal", "/v3/lease/keepalive", `{"ID":"1001"}`, `{"result":{"header":{"revision":"3"},"ID":"1001","TTL":"60"}}`},
		{"revocation", "/v3/kv/lease/revoke", `{"ID":"1001"}`, `{"header":{"revision":"3"}}`},
		{"renewal of a lapsed lease", "/v3/lease/keepalive", `{"ID":"1001"}`, `{"result":{"header":{"revision":"3"},"ID":"1001"}}`},
		{"revocation of a lapsed lease", "/v3/lease/revoke", `{"ID":"1001"}`,
			`{"error":"etcdserver: requested lease not found","code":5,"message":"etcdserver: requested lease not found"}`},
		{"a field that is not known", "/v3/kv/range", `{"key":"Zg==","serializable":true}`,
			`{"error":"json: unknown field \"serializable\"","code":3,"message":"json: unknown field \"serializable\""}`},
	} {
		_, got := call(t, http.MethodPost, url+c.path, "", c.body)
		assert.Equal(t, got, c.want, c.name)
	}
}

// A watch stream carries one message per event of the watched key, and ends with a
// cancellation if its start revision has been compacted.
func TestWatchIsAStreamOfMessages(t *testing.T) {
	srv, url, _ := serve(t)
	put(t, srv, "foo")
	resp, err := http.Post(url+"/v3/watch", "", strings.NewReader(`{"create_request":{"key":"Zm9v","start_revision":"2"}}`))
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	line := func() string { assert.Assert(t, lines.Scan()); return lines.Text() }

	assert.Equal(t, line(), `{"result":{"header":{"revision":"2"},"created":true}}`)
	assert.Equal(t, line(), `{"result":{"header":{"revision":"2"},"events":[{"kv":{"key":"Zm9v","create_revision":"2","mod_revision":"2","value":"dg=="}}]}}`)
	put(t, srv, "food") // not this key
	_, err = srv.Store.Txn(context.Background(), infra.Txn{Then: []infra.Op{infra.Delete("foo")}})
	assert.NilError(t, err)
	assert.Equal(t, line(), `{"result":{"header":{"revision":"4"},"events":[{"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"4"}}]}}`)
	assert.Equal(t, srv.Counts.Counts().Waiting, 1)

	srv.Store.Compact(3)
	_, body := call(t, http.MethodPost, url+"/v3/watch", "", `{"create_request":{"key":"Zm9v","start_revision":"2"}}`)
	_, last, _ := strings.Cut(body, "\n")
	assert.Equal(t, last, `{"result":{"header":{"revision":"4"},"canceled":true,"compact_revision":"4","cancel_reason":"mvcc: required revision has been compacted"}}`)
}

// The example deployments are planned for several hundred writes and two thousand
// reads per second. A design that needs more must be rejected in tests by the
// stand-in's limits, not in production by the service's.
func TestLimitsAndCounts(t *testing.T) {
	srv, url, clock := serve(t)
	srv.Counts.SetLimits(2, 3)
	burst := func(path, body string, n int) (refused int) {
		for range n {
			if status, _ := call(t, http.MethodPost, url+path, "", body); status == http.StatusTooManyRequests {
				refused++
			}
		}
		return refused
	}
	assert.Equal(t, burst("/v3/kv/put", `{"key":"YQ=="}`, 5), 3)
	assert.Equal(t, burst("/v3/kv/range", `{"key":"YQ=="}`, 2), 0)
	assert.Equal(t, burst("/v3/lease/keepalive", `{"ID":"1"}`, 2), 1) // reads and renewals share one limit
	clock.Advance(time.Second)
	assert.Equal(t, burst("/v3/kv/put", `{"key":"YQ=="}`, 3), 1)

	got := srv.Counts.Counts()
	assert.DeepEqual(t, got.Calls, map[standin.Kind]int{standin.KindWrite: 8, standin.KindRange: 2, standin.KindKeepAlive: 2})
	assert.Equal(t, got.Refused, 5)
	assert.Assert(t, got.BytesIn > 0 && got.BytesOut > 0)
	srv.Counts.Reset()
	assert.Equal(t, len(srv.Counts.Counts().Calls), 0)
}

// A fault set over HTTP, as by another process, must affect the clients of its zone
// only.
func TestFaultsOfOneZoneOverHTTP(t *testing.T) {
	_, url, _ := serve(t)
	read := func(zone string) int {
		status, _ := call(t, http.MethodPost, url+"/v3/kv/range", zone, `{"key":"YQ=="}`)
		return status
	}
	status, _ := call(t, http.MethodPut, url+standin.PathFaults, "", `{"zone-a":{"down":true}}`)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, read("zone-a"), 0)
	assert.Equal(t, read("zone-b"), http.StatusOK)
	_, faults := call(t, http.MethodGet, url+standin.PathFaults, "", "")
	assert.Equal(t, faults, `{"zone-a":{"down":true}}`)
	call(t, http.MethodPut, url+standin.PathFaults, "", `{"zone-a":{}}`)
	assert.Equal(t, read("zone-a"), http.StatusOK)
}

// A delayed call must execute after the delay on the stand-in's clock, even if its
// client has disconnected in the meantime.
func TestSlowCallTakesEffectLate(t *testing.T) {
	srv, url, clock := serve(t)
	srv.Faults.Set(standin.AnyZone, standin.Fault{Slow: time.Minute})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v3/kv/put", strings.NewReader(`{"key":"YQ=="}`))
	assert.NilError(t, err)
	clientDone := make(chan struct{})
	go func() {
		defer close(clientDone)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	bounded, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	assert.NilError(t, clock.BlockUntilContext(bounded, 2)) // the lease ticker and the call
	cancel()
	<-clientDone
	before := srv.Store.Revision()
	clock.Advance(time.Minute)
	for srv.Store.Revision() == before && bounded.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, srv.Store.Revision(), before+1)
}

// A cut between two zones must close open connections and refuse new ones, while
// each zone still reaches the platform and itself.
func TestNetworkCutsZonesFromEachOther(t *testing.T) {
	srv, url, _ := serve(t)
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer peer.Close()
	addr := peer.Listener.Addr().String()
	srv.Network.Place(addr, "zone-b")
	canDial := func(from, addr string) bool {
		conn, err := srv.Network.Dialer(from)(context.Background(), "tcp", addr)
		if err == nil {
			assert.NilError(t, conn.Close())
		}
		return err == nil
	}
	open, err := srv.Network.Dialer("zone-a")(context.Background(), "tcp", addr)
	assert.NilError(t, err)

	srv.Network.Cut("zone-b", "zone-a")

	_, err = open.Read(make([]byte, 1))
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Assert(t, !canDial("zone-a", addr))
	assert.Assert(t, canDial("zone-b", addr) && canDial("zone-c", addr))
	assert.Assert(t, canDial("zone-a", strings.TrimPrefix(url, "http://")))
	srv.Network.Heal("zone-a", "zone-b")
	assert.Assert(t, canDial("zone-a", addr))
	srv.Network.Isolate("zone-b", true)
	assert.Assert(t, !canDial("zone-c", addr) && canDial("zone-b", addr))
}

// A drop between two zones discards packets silently, as a broken switch does. No
// connection is refused: calls block until their deadline, and data sent meanwhile
// arrives after the drop ends.
func TestNetworkDropsPacketsSilently(t *testing.T) {
	srv, _, _ := serve(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, ln.Close()) }()
	go func() {
		if conn, err := ln.Accept(); err == nil {
			_, _ = io.Copy(conn, conn) // an echo, until the client leaves
		}
	}()
	dial := srv.Network.Dialer("zone-a")
	srv.Network.Place(ln.Addr().String(), "zone-b")
	conn, err := dial(context.Background(), "tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	send := func(text string) { _, err := conn.Write([]byte(text)); assert.NilError(t, err) }
	receive := func(d time.Duration) (string, error) {
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(d)))
		buf := make([]byte, 8)
		n, err := conn.Read(buf)
		return string(buf[:n]), err
	}
	send("one")
	got, err := receive(20 * time.Second)
	assert.NilError(t, err)
	assert.Equal(t, got, "one")

	srv.Network.Drop("zone-a", "zone-b")
	send("two")
	_, err = receive(20 * time.Millisecond)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	shortCtx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = dial(shortCtx, "tcp", ln.Addr().String())
	assert.ErrorIs(t, err, context.DeadlineExceeded)

	srv.Network.Heal("zone-a", "zone-b")
	got, err = receive(20 * time.Second)
	assert.NilError(t, err)
	assert.Equal(t, got, "two")
	srv.Network.DropAll("zone-b", true)
	_, err = receive(20 * time.Millisecond)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

func put(t *testing.T, srv *standin.Server, key string) {
	t.Helper()
	_, err := srv.Store.Txn(context.Background(), infra.Txn{Then: []infra.Op{infra.Put(key, []byte("v"))}})
	assert.NilError(t, err)
}
