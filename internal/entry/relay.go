package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pumicestage/pumicestage/policy/dispatch"
)

// relay streams a target's response to the caller. Once the header has been
// sent, the response is either completed or the connection aborted: the caller
// could not notice a failure in any other way.
func (f *forwarder) relay(e *exchange, resp *http.Response, res result) result {
	if !e.in.ProtoAtLeast(1, 1) && resp.ContentLength < 0 {
		if !f.bufferResponse(resp) {
			return result{outcome: dispatch.Outcome{Kind: dispatch.Failed, ResponseLatency: res.outcome.ResponseLatency}, problem: problemTargetFailed()}
		}
	}
	f.relayHeader(e, resp)
	switch err := f.relayBody(e, resp); {
	case err == nil:
		relayTrailer(e.out.Header(), resp.Trailer)
	case errors.Is(err, errCallerGone):
		res.outcome.Kind, res.broken = dispatch.Abandoned, true
	default:
		res.outcome.Kind, res.broken = dispatch.Failed, true
	}
	return res
}

// bufferResponse reads a response of unknown length into memory for an HTTP/1.0
// caller, which needs a Content-Length to see where the response ends. It reports
// false if the response breaks off or is larger than BodyBytes.
func (f *forwarder) bufferResponse(resp *http.Response) bool {
	data, err := io.ReadAll(io.LimitReader(resp.Body, f.limits.BodyBytes+1))
	if err != nil || int64(len(data)) > f.limits.BodyBytes {
		return false
	}
	resp.Body = inMemoryBody(data)
	resp.ContentLength = int64(len(data))
	resp.TransferEncoding = nil
	return true
}

// relayHeader sends the header of the response to the caller, and records it for
// a request that runs at most once.
func (f *forwarder) relayHeader(e *exchange, resp *http.Response) {
	if e.recorder != nil {
		e.recorder.recordHeader(resp)
	}
	if e.answered {
		return
	}
	h := e.out.Header()
	copyEndToEnd(h, resp.Header)
	h.Set(HeaderOutcome, string(Ran))
	if resp.ContentLength >= 0 && mayHaveBody(e.in.Method, resp.StatusCode) {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	e.setWriteDeadline(f.limits.WriteTimeout)
	e.out.WriteHeader(resp.StatusCode)
}

// errCallerGone is returned if the caller disconnected, stopped reading or has
// passed its deadline.
var errCallerGone = errors.New("caller does not take the response")

// relayBody sends the body of the response to the caller. For a request that
// runs at most once, it keeps reading and recording after the caller is gone.
func (f *forwarder) relayBody(e *exchange, resp *http.Response) error {
	buf := f.buffers.Get().(*[]byte)
	defer f.buffers.Put(buf)
	var callerErr error
	received := int64(0)
	for {
		n, err := resp.Body.Read(*buf)
		received += int64(n)
		last := errors.Is(err, io.EOF) || received == resp.ContentLength
		if callerErr == nil {
			callerErr = f.relayChunk(e, (*buf)[:n], last)
		}
		e.recorder.recordBody((*buf)[:n])
		switch {
		case callerErr != nil && e.recorder == nil:
			return callerErr
		case last:
			e.recorder.markComplete()
			return callerErr
		case err != nil:
			return callerGoneOr(e, err)
		}
	}
}

// relayChunk sends a chunk of the response to the caller, unless the caller was
// already answered or, for a request that runs at most once, its deadline has
// passed.
func (f *forwarder) relayChunk(e *exchange, p []byte, last bool) error {
	switch {
	case e.answered:
		return nil
	case e.recorder != nil && e.waitCtx.Err() != nil:
		return errCallerGone
	case len(p) > 0 && !e.write(p, !last, f.limits.WriteTimeout):
		return errCallerGone
	}
	return nil
}

// callerGoneOr returns errCallerGone if reading the response failed because the
// caller disconnected, and err if the target is at fault.
func callerGoneOr(e *exchange, err error) error {
	if e.in.Context().Err() != nil {
		return errCallerGone
	}
	return err
}

// write sends a chunk of the response to the caller, without buffering if flush
// is set. It reports whether that succeeded within timeout.
func (e *exchange) write(p []byte, flush bool, timeout time.Duration) bool {
	e.setWriteDeadline(timeout)
	if _, err := e.out.Write(p); err != nil {
		return false
	}
	return !flush || http.NewResponseController(e.out).Flush() == nil
}

// setWriteDeadline bounds the writes to the caller that follow.
func (e *exchange) setWriteDeadline(timeout time.Duration) {
	// The error is ignored: a writer without deadlines, such as
	// httptest.ResponseRecorder, has no slow reader.
	_ = http.NewResponseController(e.out).SetWriteDeadline(time.Now().Add(timeout))
}

// relayTrailer sets the trailers of the response on the caller's header h.
func relayTrailer(h, trailer http.Header) {
	for name, values := range trailer {
		h[http.TrailerPrefix+name] = values
	}
}
