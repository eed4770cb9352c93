// Package httpcall carries one call to the platform over HTTP and JSON, and
// says of a failed one what it may have done. Both adapters stand on it.
package httpcall

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pumicestage/pumicestage/internal/platform"
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

// idleConns is how many connections wait for their next call: calls come in
// bursts of a handful, each watch has one of its own.
const idleConns = 16

// Answer is a reply that was read whole.
type Answer struct {
	Status int
	Body   []byte
}

// Call is one request.
type Call struct {
	Op     string // names the call in errors
	Method string
	Path   string
	Body   any // encoded as JSON; nil for none
	// Write is true where the call may change something, so that a lost
	// reply leaves its outcome open.
	Write bool
}

// Client sends calls to the endpoints of one service.
type Client struct {
	Endpoints []string // base addresses, tried in turn
	Zone      string
	ZoneName  string // the header that carries Zone
	Timeout   time.Duration
	HTTP      *http.Client

	next atomic.Uint32 // the endpoint that answered last
}

// NewHTTP returns an HTTP client fit for the platform's services.
func NewHTTP() *http.Client {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveProbe, Count: keepAliveCount,
	}}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: idleConns, ForceAttemptHTTP2: true}}
}

// Do sends the call to one endpoint after the other until one answers. A write
// moves on only where it certainly was not sent: a second copy could take
// effect after the first. Errors are *platform.Error.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	body, err := encode(call)
	if err != nil {
		return Answer{}, platform.Errorf(call.Op, platform.KindInvalid, "%w", err)
	}
	first := c.next.Load()
	var last error
	for i := range c.Endpoints {
		at := (int(first) + i) % len(c.Endpoints)
		answer, sent, err := c.once(ctx, c.Endpoints[at], call, body)
		if err == nil {
			c.next.Store(uint32(at))
			return answer, nil
		}
		last = err
		if call.Write && sent {
			return Answer{}, platform.Errorf(call.Op, platform.KindUnknown, "%w", err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	if last == nil {
		last = errors.New("no endpoints")
	}
	return Answer{}, platform.Errorf(call.Op, platform.KindUnavailable, "%w", last)
}

// Next returns the index of the endpoint to try first.
func (c *Client) Next() int { return int(c.next.Load()) }

// once sends the call to one endpoint. sent is false only where no byte of it
// can have left: no connection was ever had.
func (c *Client) once(ctx context.Context, endpoint string, call Call, body []byte) (Answer, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	resp, sent, err := c.Send(ctx, endpoint, call, body)
	if err != nil {
		return Answer{}, sent, err
	}
	defer func() { _ = resp.Body.Close() }() // read whole or given up
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{}, true, err
	}
	return Answer{Status: resp.StatusCode, Body: raw}, true, nil
}

// Send sends the call and returns the reply unread, for streams. The caller
// closes the reply's body.
func (c *Client) Send(ctx context.Context, endpoint string, call Call, body []byte) (*http.Response, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, endpoint+call.Path, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	req.Header.Set("Content-Type", "application/json")
	if c.Zone != "" {
		req.Header.Set(c.ZoneName, c.Zone)
	}
	resp, err := c.HTTP.Do(req)
	return resp, sent.Load(), err
}

// Decode reads the answer's body. A write whose answer makes no sense may have
// taken effect all the same.
func Decode(call Call, a Answer, into any) error {
	err := json.Unmarshal(a.Body, into)
	if err == nil {
		return nil
	}
	kind := platform.KindInvalid
	if call.Write {
		kind = platform.KindUnknown
	}
	return platform.Errorf(call.Op, kind, "malformed answer: %w", err)
}

func encode(call Call) ([]byte, error) {
	if call.Body == nil {
		return nil, nil
	}
	return json.Marshal(call.Body)
}
