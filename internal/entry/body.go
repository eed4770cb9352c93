package entry

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// requestBody reads a caller's request body within the limits. A body that fits
// the buffer limit is read before the request queues for a slot; a larger one is
// streamed to the target.
type requestBody struct {
	source io.Reader
	length int64 // from Content-Length, -1 if unknown
	rc     *http.ResponseController
	limits Limits
	start  time.Time

	buffered []byte
	eof      bool // buffered is the whole body
	read     int64
	streamed atomic.Bool  // an attempt has read from source, so the body cannot be sent again
	failed   atomic.Value // *bodyFailure: why reading the caller's body failed, errTooLarge included
}

// errTooLarge is returned if a streamed body exceeds BodyBytes.
var errTooLarge = errors.New("request body exceeds the size limit")

func newRequestBody(w http.ResponseWriter, r *http.Request, l Limits) *requestBody {
	return &requestBody{
		source: r.Body,
		length: r.ContentLength,
		rc:     http.NewResponseController(w),
		limits: l,
		start:  time.Now(), // socket deadlines use the real clock, not the server's
		eof:    r.ContentLength == 0,
	}
}

// prefetchSize returns the most bytes that prefetch may buffer. whole has the
// same meaning as for prefetch.
func (b *requestBody) prefetchSize(whole bool) int64 {
	switch {
	case b.eof:
		return 0
	case whole && b.length < 0:
		return b.limits.OnceBodyBytes
	case whole:
		return min(b.length, b.limits.OnceBodyBytes)
	case b.length < 0 || b.length > b.limits.BufferBytes:
		return 0
	}
	return b.length
}

// prefetch reads a body of at most BufferBytes in full before the request takes
// a slot. If whole is set, it reads any body up to OnceBodyBytes in full: the
// claim of a request that runs at most once includes the digest of its body.
func (b *requestBody) prefetch(whole bool) *Problem {
	if b.eof {
		return nil
	}
	if !whole && (b.length < 0 || b.length > b.limits.BufferBytes) {
		return b.startStream()
	}
	limit := b.limits.BufferBytes
	if whole {
		limit = min(b.limits.OnceBodyBytes, b.limits.BodyBytes)
	}
	if b.length > limit {
		return problemBodyTooLarge(limit, NotRun)
	}
	data, err := io.ReadAll(io.LimitReader(readerFunc(b.readWithMinRate), limit+1))
	switch {
	case err != nil:
		return b.problem(err, NotRun)
	case int64(len(data)) > limit:
		return problemBodyTooLarge(limit, NotRun)
	}
	b.buffered, b.eof = data, true
	b.stopDeadline()
	return nil
}

// startStream allows the response to begin before the request body has ended;
// by default net/http reads the request body to its end before it writes the
// first byte of a response.
func (b *requestBody) startStream() *Problem {
	if err := b.rc.EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return problemBadBody(NotRun)
	}
	return nil
}

// readWithMinRate reads from the caller and enforces the minimum rate: after n
// bytes have been read, the next read must end within BodyGrace + n/MinBodyRate of
// the start. Otherwise a caller that sends single bytes would hold a connection,
// and with a large body a slot.
func (b *requestBody) readWithMinRate(p []byte) (int, error) {
	// The error is ignored: a writer without deadlines, such as
	// httptest.ResponseRecorder, has no slow sender.
	_ = b.rc.SetReadDeadline(b.limits.BodyDeadline(b.start, b.read))
	n, err := b.source.Read(p)
	b.read += int64(n)
	return n, err
}

// stopDeadline clears the read deadline: net/http keeps reading in the
// background to detect that the caller disconnects, and would take an expired
// deadline for a disconnect.
func (b *requestBody) stopDeadline() { _ = b.rc.SetReadDeadline(time.Time{}) }

// complete reports whether the whole body was buffered.
func (b *requestBody) complete() bool { return b.eof }

// replayable reports whether another attempt can send the body from its start.
func (b *requestBody) replayable() bool { return b.eof || !b.streamed.Load() }

// digest returns the SHA-256 of the buffered body.
func (b *requestBody) digest() [sha256.Size]byte { return sha256.Sum256(b.buffered) }

// contentLength returns the length declared to the target, -1 if it is unknown.
func (b *requestBody) contentLength() int64 {
	if b.eof {
		return int64(len(b.buffered))
	}
	return b.length
}

// attempt returns a reader of the body for one attempt to send the request.
func (b *requestBody) attempt() *attemptBody {
	a := &attemptBody{body: b}
	if b.eof {
		a.whole = bytes.NewReader(b.buffered)
	}
	return a
}

// attemptBody is the body as one attempt reads it. net/http may keep reading on
// behalf of an attempt that has ended; stop keeps it from consuming bytes that
// the next attempt must send.
type attemptBody struct {
	body    *requestBody
	whole   *bytes.Reader // nil if the body is streamed
	stopped atomic.Bool
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	if a.whole != nil {
		return a.whole.Read(p)
	}
	a.body.streamed.Store(true) // must precede the check of stopped, see stop
	if a.stopped.Load() {
		return 0, io.ErrClosedPipe
	}
	return a.body.stream(p)
}

// Close implements io.Closer. It does nothing: the HTTP server closes the
// caller's body.
func (a *attemptBody) Close() error { return nil }

// stop makes further reads of this attempt fail. A concurrent Read either sees
// it, or has already marked the body as streamed, and then the body is not sent
// again.
func (a *attemptBody) stop() { a.stopped.Store(true) }

// stream reads the next part of the caller's body, and enforces BodyBytes and
// the minimum rate.
func (b *requestBody) stream(p []byte) (int, error) {
	n, err := b.readWithMinRate(p)
	if b.read > b.limits.BodyBytes {
		err = errTooLarge
	}
	if errors.Is(err, io.EOF) {
		b.stopDeadline()
		return n, io.EOF
	}
	if err != nil {
		b.failed.CompareAndSwap(nil, &bodyFailure{err})
	}
	return n, err
}

// inMemoryBody returns data as a response body.
func inMemoryBody(data []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(data)) }

// bodyFailure wraps an error, because atomic.Value requires that all values
// have the same concrete type.
type bodyFailure struct{ err error }

// failure returns the problem to report if reading the body failed while it was
// streamed, nil otherwise.
func (b *requestBody) failure() *Problem {
	f, ok := b.failed.Load().(*bodyFailure)
	if !ok {
		return nil
	}
	return b.problem(f.err, Unknown)
}

// problem converts an error from reading the body to a problem document.
func (b *requestBody) problem(err error, o Outcome) *Problem {
	switch {
	case errors.Is(err, errTooLarge):
		return problemBodyTooLarge(b.limits.BodyBytes, o)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return problemSlowSender(o)
	}
	return problemBadBody(o)
}

// readerFunc adapts a function to io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
