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

// forwarder sends requests to targets and their answers to callers.
type forwarder struct {
	transport *http.Transport
	spares    *spares
	limits    Limits
	clock     clockwork.Clock
	buffers   sync.Pool
}

// copyBytes is the size of a copy buffer: a streamed answer's unit.
const copyBytes = 32 << 10

// newForwarder makes a transport that uses each connection for one request.
//
// A connection that is used again can carry another request's answer: a target
// that answers twice or late leaves bytes behind that the next request on the
// connection takes for its own, and HTTP/1.1 has nothing to tell them apart by.
// Also, net/http silently sends a request again where a reused connection
// breaks before an answer. Neither can happen on a connection of one's own.
func newForwarder(dial dialFunc, l Limits, clock clockwork.Clock) *forwarder {
	spares := newSpares(dial, l.ConnectTimeout)
	return &forwarder{
		transport: &http.Transport{
			DialContext:            spares.DialContext,
			DisableKeepAlives:      true,
			DisableCompression:     true, // the answer passes as the target encoded it
			MaxResponseHeaderBytes: int64(headerSlack * l.HeaderBytes),
		},
		spares: spares,
		limits: l,
		clock:  clock,
		buffers: sync.Pool{New: func() any {
			b := make([]byte, copyBytes)
			return &b
		}},
	}
}

// result is how an attempt ended.
type result struct {
	use     dispatch.Outcome
	problem *Problem // nil where the caller has its answer, or a broken one
	// broken: the answer broke off after its beginning was given on. The
	// caller's connection must be broken as well.
	broken bool
}

// certainlyNotRun reports whether the request may be sent to another target.
func (r result) certainlyNotRun() bool {
	return r.use.Kind == dispatch.Refused || r.use.Kind == dispatch.NotSent
}

// send makes one attempt at the target and gives its answer to the caller.
func (f *forwarder) send(e *exchange, address string) result {
	start := f.clock.Now()
	resp, res := f.ask(e, address, start)
	if resp == nil {
		return res
	}
	defer resp.Body.Close()
	res.use.ResponseLatency = f.clock.Since(start)
	res = f.give(e, resp, res)
	res.use.SlotTime = f.clock.Since(start)
	return res
}

// ask sends the request and reads the answer's header. Without an answer that
// can be given on, it returns a nil response and how the attempt ended.
func (f *forwarder) ask(e *exchange, address string, start time.Time) (*http.Response, result) {
	body := e.body.attempt()
	var sent atomic.Bool
	resp, err := f.roundTrip(e, f.request(e, address, body, &sent))
	if err != nil {
		body.refuse()
		return nil, f.noAnswer(e, sent.Load(), start)
	}
	if refused(resp) {
		body.refuse()
		resp.Body.Close()
		res := f.ended(dispatch.Refused, start, problemRefused(retryAfter(resp.Header)))
		res.use.RetryAfter = retryAfter(resp.Header)
		return nil, res
	}
	if !endIsVisible(resp) {
		resp.Body.Close()
		return nil, f.ended(dispatch.Failed, start, problemTargetFailed())
	}
	return resp, result{use: dispatch.Outcome{Kind: endingOf(resp.StatusCode)}}
}

// endingOf tells an answer that says the target failed from all others.
func endingOf(status int) dispatch.OutcomeKind {
	if status >= http.StatusInternalServerError && status != http.StatusNotImplemented {
		return dispatch.Errored
	}
	return dispatch.Answered
}

// roundTrip waits for the answer. Where the request runs at most once, its
// caller is told at the deadline and the wait goes on for the outcome.
func (f *forwarder) roundTrip(e *exchange, req *http.Request) (*http.Response, error) {
	if e.keep == nil {
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
		e.late()
	}
	a := <-answers
	return a.resp, a.err
}

func (f *forwarder) ended(how dispatch.OutcomeKind, start time.Time, p *Problem) result {
	return result{use: dispatch.Outcome{Kind: how, SlotTime: f.clock.Since(start)}, problem: p}
}

// request builds the request to the target. sent is set as soon as a
// connection was handed over: from then on bytes may have left.
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
	out.Header.Del("Expect") // answered here: the body is asked for when it is read
	out.Header.Set(HeaderCaller, e.call.caller)
	out.Header.Set(HeaderTimeout, e.call.remaining(f.clock.Now()).Round(time.Millisecond).String())
	addForwardedFor(out.Header, e.in.RemoteAddr)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	return out.WithContext(ctx)
}

func targetURL(address, escapedPath, query string) *url.URL {
	path, err := url.PathUnescape(escapedPath)
	if err != nil {
		path, escapedPath = escapedPath, ""
	}
	return &url.URL{Scheme: "http", Host: address, Path: path, RawPath: escapedPath, RawQuery: query}
}

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

// noAnswer tells what is certain where no answer came.
func (f *forwarder) noAnswer(e *exchange, sent bool, start time.Time) result {
	late := errors.Is(context.Cause(e.sendCtx), errDeadline)
	gone := e.sendCtx.Err() != nil && !late
	switch {
	case e.body.failure() != nil:
		return f.ended(dispatch.Abandoned, start, e.body.failure())
	case gone && sent:
		return f.ended(dispatch.Abandoned, start, problemTargetFailed())
	case gone:
		return f.ended(dispatch.Abandoned, start, problemUnreachable())
	case late && sent:
		return f.ended(dispatch.Failed, start, problemTimeout("the target did not answer in time", Unknown))
	case late:
		return f.ended(dispatch.Failed, start, problemTimeout("the target was not reached in time", NotRun))
	case sent:
		return f.ended(dispatch.Failed, start, problemTargetFailed())
	}
	return f.ended(dispatch.NotSent, start, problemUnreachable())
}

// refused reports whether the target said that it did not start the request.
func refused(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == string(NotRun)
}

// endIsVisible reports whether the answer's framing shows where it ends. An
// answer that ends with its connection looks whole where its target died in
// the middle, and is not given on.
func endIsVisible(resp *http.Response) bool {
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return false
	case resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0:
		return true
	}
	return !mayHaveBody(resp.Request.Method, resp.StatusCode)
}

func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// retryAfter reads a target's Retry-After in seconds, 0 if there is none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
