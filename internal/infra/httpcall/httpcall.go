// Package httpcall sends calls to the platform's services as HTTP requests with
// JSON bodies. For a failed call it reports whether the service may have
// received the request. The clients of the platform's services are built on it.
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

// DefaultTimeout limits a call at one endpoint. The services respond within
// milliseconds; after a second it is better to try another endpoint.
const DefaultTimeout = time.Second

// TCP keep-alive parameters. The probes detect a connection whose peer became
// unreachable without closing it, as in a network partition; a watch that waits
// for events would otherwise never notice.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// idleTimeout limits how long an idle connection stays open. It is shorter than
// the idle timeout of load balancers, usually a minute: a write that is sent
// while the other end closes the connection gets no response, and its outcome
// would be unknown.
const idleTimeout = 30 * time.Second

// maxIdleConnsPerHost limits the idle connections kept per endpoint. Calls come
// in small bursts, and each watch uses a connection of its own.
const maxIdleConnsPerHost = 16

// Response holds the status and the complete body of an HTTP response.
type Response struct {
	Status int
	Body   []byte
}

// Call describes one request.
type Call struct {
	Op     string // name of the call in errors
	Method string
	Path   string
	Body   any // encoded as JSON; nil for none
	// Header holds additional header fields; nil for none.
	Header map[string]string
	// Write is true if the call may change state: if its response is lost, its
	// outcome is unknown.
	Write bool
}

// ZoneHeader is the header field with the client's availability zone. Services
// may ignore it; the stand-in service uses it to inject faults per zone.
const ZoneHeader = "Pumicestage-Zone"

// Options configure a Client.
type Options struct {
	Endpoints  []string      // base addresses such as http://10.0.0.1:2379, tried in turn
	Zone       string        // own availability zone, sent to the service
	Timeout    time.Duration // of each call at each endpoint, beside infra.SendTime; 0 for DefaultTimeout
	HTTPClient *http.Client  // for TLS (see NewHTTP) or a custom dialer; nil for NewHTTP(nil)
}

// Client sends calls to the endpoints of one service.
type Client struct {
	endpoints []string
	zone      string
	timeout   time.Duration
	http      *http.Client

	preferred atomic.Uint32 // index of the endpoint that responded last; tried first
}

// New returns a Client. It opens no connection before the first call.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.HTTPClient == nil {
		o.HTTPClient = NewHTTP(nil)
	}
	h := *o.HTTPClient
	// Following a redirect would send a second copy of a write.
	h.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{endpoints: o.Endpoints, zone: o.Zone, timeout: o.Timeout, http: &h}
}

// Timeout returns how long a call may take at one endpoint.
func (c *Client) Timeout() time.Duration { return c.timeout }

// Endpoints returns all endpoints, beginning with the one that responded last.
func (c *Client) Endpoints() []string {
	if len(c.endpoints) == 0 {
		return nil
	}
	first := int(c.preferred.Load()) % len(c.endpoints)
	return append(c.endpoints[first:len(c.endpoints):len(c.endpoints)], c.endpoints[:first]...)
}

// NewHTTP returns an HTTP client for the platform's services; config may be nil.
// It uses HTTP/1.1 only, where a call that times out closes its connection. With
// HTTP/2, the next call would use the same broken connection.
func NewHTTP(config *tls.Config) *http.Client {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return &http.Client{Transport: &http.Transport{
		DialContext: resetOnClose(d.DialContext), TLSClientConfig: config, TLSHandshakeTimeout: DefaultTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleTimeout,
	}}
}

// resetOnClose wraps dial so that its TCP connections are reset when they are
// closed. A request that timed out during a partition may still be in the
// kernel's send buffer. After an orderly close it would be delivered when the
// partition heals, seconds later, along with requests sent since. A reset
// discards it.
func resetOnClose(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
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

// Do sends the call to one endpoint after another until one responds. A write
// goes to the next endpoint only if it certainly was not sent: a second copy
// could take effect after the first. Errors are *infra.Error: of KindUnknown for
// a write that may have been sent, of KindInvalid if the body can't be encoded,
// otherwise of KindUnavailable.
func (c *Client) Do(ctx context.Context, call Call) (Response, error) {
	body, err := encode(call)
	if err != nil {
		return Response{}, infra.Errorf(call.Op, infra.KindInvalid, "%w", err)
	}
	lastErr := errors.New("no endpoints")
	for _, endpoint := range c.Endpoints() {
		answer, sent, err := c.once(ctx, endpoint, call, body)
		if err == nil {
			c.prefer(endpoint)
			return answer, nil
		}
		lastErr = err
		if call.Write && sent {
			return Response{}, infra.Errorf(call.Op, infra.KindUnknown, "%w", err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return Response{}, infra.Errorf(call.Op, infra.KindUnavailable, "%w", lastErr)
}

// DoAt sends the call to one endpoint only. It is for calls that don't change
// state, as every error is an *infra.Error of KindUnavailable.
func (c *Client) DoAt(ctx context.Context, endpoint string, call Call) (Response, error) {
	answer, _, err := c.DoOnce(ctx, endpoint, call)
	if err != nil {
		return Response{}, infra.Errorf(call.Op, infra.KindUnavailable, "%w", err)
	}
	return answer, nil
}

// DoOnce sends the call to one endpoint and returns the underlying error, which
// is not an *infra.Error. sent is false only if no byte of the call can have
// been sent.
func (c *Client) DoOnce(ctx context.Context, endpoint string, call Call) (answer Response, sent bool, err error) {
	body, err := encode(call)
	if err != nil {
		return Response{}, false, err
	}
	return c.once(ctx, endpoint, call, body)
}

// prefer makes endpoint the first one that later calls try.
func (c *Client) prefer(endpoint string) {
	c.preferred.Store(uint32(slices.Index(c.endpoints, endpoint)))
}

// once sends the call with an encoded body to one endpoint. The second result is
// false only if no byte can have been sent, because the call got no connection.
func (c *Client) once(ctx context.Context, endpoint string, call Call, body []byte) (Response, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+infra.SendTime(len(body)))
	defer cancel()
	resp, sent, err := c.Send(ctx, endpoint, call, body)
	if err != nil {
		return Response{}, sent, err
	}
	defer func() { _ = resp.Body.Close() }() // read completely, or failed
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, true, err
	}
	return Response{Status: resp.StatusCode, Body: raw}, true, nil
}

// Send sends the call with an encoded body and returns the response with its
// body unread, for streams. The code that calls it must close that body. The
// second result is false only if no byte of the call can have been sent.
// Options.Timeout does not apply.
func (c *Client) Send(ctx context.Context, endpoint string, call Call, body []byte) (*http.Response, bool, error) {
	// The transport requests a second connection only if it wrote nothing to the
	// first, for example because that was closed while idle.
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

// Decode parses the JSON body of the response to call. The error is of
// KindInvalid, or of KindUnknown for a write, which may have taken effect even
// if its response is malformed.
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
