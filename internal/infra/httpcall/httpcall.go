// Package httpcall carries one call to the platform over HTTP and JSON, and
// says of a failed one what it may have done. Both adapters stand on it.
package httpcall

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// DefaultTimeout ends a call that has no answer. The service answers in
// milliseconds; a call that took a second is better asked of another endpoint.
const DefaultTimeout = time.Second

// Keep-alive probes end a connection whose other end vanished without a word,
// as a partition leaves it: a waiting watch would otherwise never notice.
const (
	keepAliveIdle  = 5 * time.Second
	keepAliveProbe = 2 * time.Second
	keepAliveCount = 3
)

// idleTimeout closes a connection that lay idle before a balancer on the way
// does, as these do after a minute as a rule. A write sent while the other end
// closes has no reply, and its outcome would be unknown for nothing.
const idleTimeout = 30 * time.Second

// idleConns is how many connections wait for their next call: calls come in
// bursts of a handful, each watch has one of its own.
const idleConns = 16

// Response is a reply that was read whole.
type Response struct {
	Status int
	Body   []byte
}

// Call is one request.
type Call struct {
	Op     string // names the call in errors
	Method string
	Path   string
	Body   any // encoded as JSON; nil for none
	// Header is sent beside the usual fields; nil for none.
	Header map[string]string
	// Write is true where the call may change something, so that a lost
	// reply leaves its outcome open.
	Write bool
}

// ZoneHeader names the availability zone of the client. A service may ignore
// it; the stand-in switches faults by it.
const ZoneHeader = "Pumicestage-Zone"

// Options say how to reach a service.
type Options struct {
	Endpoints  []string      // base addresses such as http://10.0.0.1:2379, tried in turn
	Zone       string        // own availability zone, told to the service
	Timeout    time.Duration // of each call at each endpoint; 0 for DefaultTimeout
	HTTPClient *http.Client  // for TLS (see NewHTTP) or a dialer of one's own; nil for NewHTTP(nil)
}

// Client sends calls to the endpoints of one service.
type Client struct {
	endpoints []string
	zone      string
	timeout   time.Duration
	http      *http.Client

	next atomic.Uint32 // the endpoint that answered last
}

// New returns a client. It opens no connection before the first call.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.HTTPClient == nil {
		o.HTTPClient = NewHTTP(nil)
	}
	h := *o.HTTPClient
	// A redirect followed would be a second copy of a write.
	h.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{endpoints: o.Endpoints, zone: o.Zone, timeout: o.Timeout, http: &h}
}

// Timeout returns how long a call may take at one endpoint.
func (c *Client) Timeout() time.Duration { return c.timeout }

// Endpoints returns the endpoints, the one that answered last first.
func (c *Client) Endpoints() []string {
	if len(c.endpoints) == 0 {
		return nil
	}
	first := int(c.next.Load()) % len(c.endpoints)
	return append(c.endpoints[first:len(c.endpoints):len(c.endpoints)], c.endpoints[:first]...)
}

// NewHTTP returns an HTTP client fit for the platform's services; config may
// be nil. It keeps to HTTP/1.1, where a call that timed out takes its connection
// along: over HTTP/2 the next call would go down the same dead one.
func NewHTTP(config *tls.Config) *http.Client {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveProbe, Count: keepAliveCount,
	}}
	return &http.Client{Transport: &http.Transport{
		DialContext: resetting(d.DialContext), TLSClientConfig: config, TLSHandshakeTimeout: DefaultTimeout,
		MaxIdleConnsPerHost: idleConns, IdleConnTimeout: idleTimeout,
	}}
}

// resetting makes connections that are reset when they are closed. A call that
// timed out behind a partition still lies in the kernel's buffer; after an orderly
// close it would be delivered as the partition heals, seconds later, beside what
// has been ordered since. A reset drops it.
func resetting(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			if err := tcp.SetLinger(0); err != nil {
				c.Close()
				return nil, err
			}
		}
		return c, nil
	}
}

// Do sends the call to one endpoint after the other until one answers. A write
// moves on only where it certainly was not sent: a second copy could take
// effect after the first. Errors are *infra.Error.
func (c *Client) Do(ctx context.Context, call Call) (Response, error) {
	body, err := encode(call)
	if err != nil {
		return Response{}, infra.Errorf(call.Op, infra.KindInvalid, "%w", err)
	}
	last := errors.New("no endpoints")
	for _, endpoint := range c.Endpoints() {
		answer, sent, err := c.once(ctx, endpoint, call, body)
		if err == nil {
			c.prefer(endpoint)
			return answer, nil
		}
		last = err
		if call.Write && sent {
			return Response{}, infra.Errorf(call.Op, infra.KindUnknown, "%w", err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return Response{}, infra.Errorf(call.Op, infra.KindUnavailable, "%w", last)
}

// DoAt sends the call to one endpoint alone. It is for calls that change
// nothing.
func (c *Client) DoAt(ctx context.Context, endpoint string, call Call) (Response, error) {
	answer, _, err := c.DoOnce(ctx, endpoint, call)
	if err != nil {
		return Response{}, infra.Errorf(call.Op, infra.KindUnavailable, "%w", err)
	}
	return answer, nil
}

// DoOnce sends the call to one endpoint and returns the bare error. sent is false
// only where no byte of it can have left.
func (c *Client) DoOnce(ctx context.Context, endpoint string, call Call) (answer Response, sent bool, err error) {
	body, err := encode(call)
	if err != nil {
		return Response{}, false, err
	}
	return c.once(ctx, endpoint, call, body)
}

func (c *Client) prefer(endpoint string) {
	c.next.Store(uint32(slices.Index(c.endpoints, endpoint)))
}

// once sends the call to one endpoint. sent is false only where no byte of it
// can have left: no connection was ever had.
func (c *Client) once(ctx context.Context, endpoint string, call Call, body []byte) (Response, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, sent, err := c.Send(ctx, endpoint, call, body)
	if err != nil {
		return Response{}, sent, err
	}
	defer func() { _ = resp.Body.Close() }() // read whole or given up
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, true, err
	}
	return Response{Status: resp.StatusCode, Body: raw}, true, nil
}

// Send sends the call and returns the reply unread, for streams. The caller
// closes the reply's body.
func (c *Client) Send(ctx context.Context, endpoint string, call Call, body []byte) (*http.Response, bool, error) {
	// The transport asks for a second connection only where it wrote nothing
	// to the first, as when that was closed while it lay idle.
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { sent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, endpoint+call.Path, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	req.Header.Set("Content-Type", "application/json")
	if c.zone != "" {
		req.Header.Set(ZoneHeader, c.zone)
	}
	for name, value := range call.Header {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	return resp, sent.Load(), err
}

// Decode reads the answer's body. A write whose answer makes no sense may have
// taken effect all the same.
func Decode(call Call, a Response, into any) error {
	err := json.Unmarshal(a.Body, into)
	if err == nil {
		return nil
	}
	kind := infra.KindInvalid
	if call.Write {
		kind = infra.KindUnknown
	}
	return infra.Errorf(call.Op, kind, "malformed answer: %w", err)
}

func encode(call Call) ([]byte, error) {
	if call.Body == nil {
		return nil, nil
	}
	return json.Marshal(call.Body)
}
