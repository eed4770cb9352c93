package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/policy/dispatch"
)

// forwarder sends requests to targets and relays their responses to callers.
type forwarder struct {
	transport *http.Transport
	spares    *spareConns
	limits    Limits
	clock     clockwork.Clock
	buffers   sync.Pool
}

// copyBufferSize is the size in bytes of the buffers that relay responses.
const copyBufferSize = 32 << 10

// newForwarder returns a forwarder whose transport uses each connection for one
// request only. A nil dial means plain TCP.
//
// A reused connection can deliver the response of another request: a target
// that responds twice or late leaves bytes on the connection that the next
// request takes for its own response, and HTTP/1.1 offers no way to tell them
// apart. Also, net/http silently resends a request if a reused connection breaks
// before the response. Neither can happen if each request has its own connection.
func newForwarder(dial dialFunc, l Limits, clock clockwork.Clock) *forwarder {
	spares := newSpares(dial, l.ConnectTimeout)
	return &forwarder{
		transport: &http.Transport{
			DialContext:            spares.DialContext,
			DisableKeepAlives:      true,
			DisableCompression:     true, // relay the body as the target encoded it
			MaxResponseHeaderBytes: int64(headerSlack * l.HeaderBytes),
		},
		spares: spares,
		limits: l,
		clock:  clock,
		buffers: sync.Pool{New: func() any {
			b := make([]byte, copyBufferSize)
			return &b
		}},
	}
}

// result describes how an attempt to send a request to a target ended.
type result struct {
	outcome dispatch.Outcome
	problem *Problem // nil if a response was relayed, in full or in part
	// broken is set if relaying stopped after the response had begun. The
	// caller's connection must be aborted, so that the caller sees the failure.
	broken bool
}

// certainlyNotRun reports whether the target certainly did not run the request,
// so that it may be sent to another one.
func (r result) certainlyNotRun() bool {
	return r.outcome.Kind == dispatch.Refused || r.outcome.Kind == dispatch.NotSent
}

// send makes one attempt to send the request to the target at address, and
// relays the response to the caller.
func (f *forwarder) send(e *exchange, address string) result {
	start := f.clock.Now()
	resp, res := f.sendRequest(e, address, start)
	if resp == nil {
		return res
	}
	defer resp.Body.Close()
	res.outcome.ResponseLatency = f.clock.Since(start)
	res = f.relay(e, resp, res)
	res.outcome.SlotTime = f.clock.Since(start)
	return res
}

// sendRequest sends the request and reads the response header. If there is no
// response that can be relayed, it returns nil and how the attempt ended.
func (f *forwarder) sendRequest(e *exchange, address string, start time.Time) (*http.Response, result) {
	body := e.body.attempt()
	var sent atomic.Bool
	resp, err := f.roundTrip(e, f.request(e, address, body, &sent))
	if err != nil {
		body.stop()
		return nil, f.resultWithoutResponse(e, sent.Load(), start)
	}
	if isRefusal(resp) {
		body.stop()
		resp.Body.Close()
		res := f.newResult(dispatch.Refused, start, problemRefused(retryAfter(resp.Header)))
		res.outcome.RetryAfter = retryAfter(resp.Header)
		return nil, res
	}
	if !isDelimited(resp) {
		resp.Body.Close()
		return nil, f.newResult(dispatch.Failed, start, problemTargetFailed())
	}
	return resp, result{outcome: dispatch.Outcome{Kind: outcomeKind(resp.StatusCode)}}
}

// outcomeKind returns Errored for a status that reports a failure of the target,
// and Answered for all others.
func outcomeKind(status int) dispatch.OutcomeKind {
	if status >= http.StatusInternalServerError && status != http.StatusNotImplemented {
		return dispatch.Errored
	}
	return dispatch.Answered
}

// roundTrip sends the request and waits for the response header. For a request
// that runs at most once, the caller is answered at the deadline, and the wait
// continues in order to record the outcome.
func (f *forwarder) roundTrip(e *exchange, req *http.Request) (*http.Response, error) {
	if e.recorder == nil {
		return f.transport.RoundTrip(req)
	}
	type answer struct {
		resp *http.Response
		err  error
	}
	answers := make(chan answer, 1)
	go func() {
		resp, err := f.transport.RoundTrip(req)
		answers <- answer{resp, err}
	}()
	select {
	case a := <-answers:
		return a.resp, a.err
	case <-e.waitCtx.Done():
		e.onDeadline()
	}
	a := <-answers
	return a.resp, a.err
}

// newResult returns the result of an attempt that began at start and has no
// response to relay.
func (f *forwarder) newResult(kind dispatch.OutcomeKind, start time.Time, p *Problem) result {
	return result{outcome: dispatch.Outcome{Kind: kind, SlotTime: f.clock.Since(start)}, problem: p}
}

// request builds the request to the target. sent is set as soon as the transport
// has a connection: from then on bytes may have been sent.
func (f *forwarder) request(e *exchange, address string, body *attemptBody, sent *atomic.Bool) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx := httptrace.WithClientTrace(e.sendCtx, trace)
	if !e.call.service.Repeatable {
		ctx = withFreshConnection(ctx)
	}
	out := &http.Request{
		Method:        e.in.Method,
		URL:           targetURL(address, e.call.path, e.in.URL.RawQuery),
		Host:          e.in.Host,
		Header:        make(http.Header, len(e.in.Header)+4),
		ContentLength: e.body.contentLength(),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if out.ContentLength != 0 {
		out.Body = body
	}
	copyEndToEnd(out.Header, e.in.Header)
	out.Header.Del("Expect") // handled by this server, which sends "100 Continue" when the body is first read
	out.Header.Set(HeaderCaller, e.call.caller)
	out.Header.Set(HeaderTimeout, e.call.remaining(f.clock.Now()).Round(time.Millisecond).String())
	addForwardedFor(out.Header, e.in.RemoteAddr)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	return out.WithContext(ctx)
}

// targetURL builds the URL of a request to a target. A path whose escapes are
// invalid is used literally.
func targetURL(address, escapedPath, query string) *url.URL {
	path, err := url.PathUnescape(escapedPath)
	if err != nil {
		path, escapedPath = escapedPath, ""
	}
	return &url.URL{Scheme: "http", Host: address, Path: path, RawPath: escapedPath, RawQuery: query}
}

// addForwardedFor appends the caller's address to X-Forwarded-For.
func addForwardedFor(h http.Header, remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	const name = "X-Forwarded-For"
	if before := h.Get(name); before != "" {
		host = before + ", " + host
	}
	h.Set(name, host)
}

// resultWithoutResponse classifies an attempt that got no response, by whether
// the deadline passed, the caller disconnected or its body failed, and whether
// bytes may have been sent.
func (f *forwarder) resultWithoutResponse(e *exchange, sent bool, start time.Time) result {
	timedOut := errors.Is(context.Cause(e.sendCtx), errDeadline)
	callerGone := e.sendCtx.Err() != nil && !timedOut
	switch {
	case e.body.failure() != nil:
		return f.newResult(dispatch.Abandoned, start, e.body.failure())
	case callerGone && sent:
		return f.newResult(dispatch.Abandoned, start, problemTargetFailed())
	case callerGone:
		return f.newResult(dispatch.Abandoned, start, problemUnreachable())
	case timedOut && sent:
		return f.newResult(dispatch.Failed, start, problemTimeout("the target did not answer in time", Unknown))
	case timedOut:
		return f.newResult(dispatch.Failed, start, problemTimeout("the target was not reached in time", NotRun))
	case sent:
		return f.newResult(dispatch.Failed, start, problemTargetFailed())
	}
	return f.newResult(dispatch.NotSent, start, problemUnreachable())
}

// isRefusal reports whether the response states that the target did not start
// the request.
func isRefusal(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == string(NotRun)
}

// isDelimited reports whether the framing of the response shows where it ends. A
// response that ends when its connection closes would look complete if the
// target died in the middle, and is not relayed.
func isDelimited(resp *http.Response) bool {
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return false
	case resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0:
		return true
	}
	return !mayHaveBody(resp.Request.Method, resp.StatusCode)
}

// mayHaveBody reports whether HTTP allows a body in a response with this status
// to a request with this method.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// retryAfter parses a Retry-After header in seconds. It returns 0 if the header
// is missing, negative or a date.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
