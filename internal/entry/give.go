package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pumicestage/pumicestage/policy/dispatch"
)

// give streams a target's answer to the caller. After the header has gone the
// answer is completed or the connection broken; nothing else would be seen.
func (f *forwarder) give(e *exchange, resp *http.Response, res result) result {
	if !e.in.ProtoAtLeast(1, 1) && resp.ContentLength < 0 {
		if !f.measure(resp) {
			return result{use: dispatch.Outcome{Kind: dispatch.Failed, ResponseLatency: res.use.ResponseLatency}, problem: problemTargetFailed()}
		}
	}
	f.giveHeader(e, resp)
	switch err := f.giveBody(e, resp); {
	case err == nil:
		giveTrailer(e.out.Header(), resp.Trailer)
	case errors.Is(err, errCallerGone):
		res.use.Kind, res.broken = dispatch.Abandoned, true
	default:
		res.use.Kind, res.broken = dispatch.Failed, true
	}
	return res
}

// measure reads an answer of unknown length for an HTTP/1.0 caller, to whom
// only a Content-Length shows where it ends.
func (f *forwarder) measure(resp *http.Response) bool {
	data, err := io.ReadAll(io.LimitReader(resp.Body, f.limits.BodyBytes+1))
	if err != nil || int64(len(data)) > f.limits.BodyBytes {
		return false
	}
	resp.Body = bytesBody(data)
	resp.ContentLength = int64(len(data))
	resp.TransferEncoding = nil
	return true
}

func (f *forwarder) giveHeader(e *exchange, resp *http.Response) {
	if e.keep != nil {
		e.keep.begin(resp)
	}
	if e.told {
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

// errCallerGone: the caller does not take the answer.
var errCallerGone = errors.New("caller gone")

func (f *forwarder) giveBody(e *exchange, resp *http.Response) error {
	buf := f.buffers.Get().(*[]byte)
	defer f.buffers.Put(buf)
	var gone error
	given := int64(0)
	for {
		n, err := resp.Body.Read(*buf)
		given += int64(n)
		last := errors.Is(err, io.EOF) || given == resp.ContentLength
		if gone == nil {
			gone = f.givePiece(e, (*buf)[:n], last)
		}
		e.keep.add((*buf)[:n])
		switch {
		case gone != nil && e.keep == nil:
			return gone
		case last:
			e.keep.end()
			return gone
		case err != nil:
			return callerGoneOr(e, err)
		}
	}
}

// givePiece gives a piece of the answer on. A caller that was told already, or
// whose deadline has passed, gets no more of it.
func (f *forwarder) givePiece(e *exchange, p []byte, last bool) error {
	switch {
	case e.told:
		return nil
	case e.keep != nil && e.waitCtx.Err() != nil:
		return errCallerGone
	case len(p) > 0 && !e.write(p, !last, f.limits.WriteTimeout):
		return errCallerGone
	}
	return nil
}

// callerGoneOr tells a read that ended for the caller's leaving from one that
// the target broke.
func callerGoneOr(e *exchange, err error) error {
	if e.in.Context().Err() != nil {
		return errCallerGone
	}
	return err
}

// write gives a piece of the answer on, at once if flush is set.
func (e *exchange) write(p []byte, flush bool, timeout time.Duration) bool {
	e.setWriteDeadline(timeout)
	if _, err := e.out.Write(p); err != nil {
		return false
	}
	return !flush || http.NewResponseController(e.out).Flush() == nil
}

func (e *exchange) setWriteDeadline(timeout time.Duration) {
	// A writer without deadlines (a test's recorder) has no slow reader.
	_ = http.NewResponseController(e.out).SetWriteDeadline(time.Now().Add(timeout))
}

func giveTrailer(h, trailer http.Header) {
	for name, values := range trailer {
		h[http.TrailerPrefix+name] = values
	}
}
