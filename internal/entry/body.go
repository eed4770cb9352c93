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

// requestBody reads a caller's body within the limits. Its beginning is read
// before the request queues; the rest is streamed to the target.
type requestBody struct {
	src    io.Reader
	length int64 // as declared, -1 where unknown
	rc     *http.ResponseController
	limits Limits
	start  time.Time

	buffered []byte
	eof      bool // buffered is the whole body
	read     int64
	streamed atomic.Bool  // the rest has been read from, so it cannot be sent again
	failed   atomic.Value // error: why the caller's body broke off, errTooLarge included
}

var errTooLarge = errors.New("body over its limit")

func newRequestBody(w http.ResponseWriter, r *http.Request, l Limits) *requestBody {
	return &requestBody{
		src:    r.Body,
		length: r.ContentLength,
		rc:     http.NewResponseController(w),
		limits: l,
		start:  time.Now(), // a socket's deadlines are on the real clock
		eof:    r.ContentLength == 0,
	}
}

// ahead returns how much prefetch may read.
func (b *requestBody) ahead(whole bool) int64 {
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

// prefetch reads a body that fits BufferBytes, so that it is whole before the
// request takes a slot. whole asks for any body up to OnceBodyBytes in full: a
// request that runs at most once is claimed by the digest of its body.
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
	data, err := io.ReadAll(io.LimitReader(readerFunc(b.readSource), limit+1))
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

// startStream lets the answer begin before the body has ended; otherwise
// net/http reads a body to its end before the first byte of an answer.
func (b *requestBody) startStream() *Problem {
	if err := b.rc.EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return problemBadBody(NotRun)
	}
	return nil
}

// readSource reads from the caller within the least rate: by the time n bytes
// are asked for, BodyGrace + n/BodyRate may have passed. A sender of single
// bytes would otherwise hold a connection, and with a large body a slot.
func (b *requestBody) readSource(p []byte) (int, error) {
	allowed := b.limits.BodyGrace + time.Duration(b.read)*time.Second/time.Duration(b.limits.BodyRate)
	// A writer without deadlines (a test's recorder) has no slow sender.
	_ = b.rc.SetReadDeadline(b.start.Add(allowed))
	n, err := b.src.Read(p)
	b.read += int64(n)
	return n, err
}

// stopDeadline lifts the read deadline: net/http goes on reading to see the
// caller leave, and a deadline there would look as if it had.
func (b *requestBody) stopDeadline() { _ = b.rc.SetReadDeadline(time.Time{}) }

// complete reports whether the caller's body was read to its end.
func (b *requestBody) complete() bool { return b.eof }

// replayable reports whether the body can still be sent from its start.
func (b *requestBody) replayable() bool { return b.eof || !b.streamed.Load() }

// digest is the SHA-256 of the buffered body.
func (b *requestBody) digest() [sha256.Size]byte { return sha256.Sum256(b.buffered) }

// contentLength is what is sent to the target: -1 for a body of unknown length.
func (b *requestBody) contentLength() int64 {
	if b.eof {
		return int64(len(b.buffered))
	}
	return b.length
}

// attempt returns the body for one attempt at a target.
func (b *requestBody) attempt() *attemptBody {
	a := &attemptBody{body: b}
	if b.eof {
		a.whole = bytes.NewReader(b.buffered)
	}
	return a
}

// attemptBody is the body as one attempt reads it. net/http may go on reading
// for an attempt that has ended; end keeps it from taking bytes that the next
// attempt sends.
type attemptBody struct {
	body  *requestBody
	whole *bytes.Reader // nil where the body is streamed
	ended atomic.Bool
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	if a.whole != nil {
		return a.whole.Read(p)
	}
	a.body.streamed.Store(true) // before the look at ended, see refuse
	if a.ended.Load() {
		return 0, io.ErrClosedPipe
	}
	return a.body.stream(p)
}

// Close implements io.Closer. The caller's body is closed by its server.
func (a *attemptBody) Close() error { return nil }

// refuse ends the attempt's reading. Either a Read sees it, or the Read was
// first and the body counts as streamed, and is not sent again.
func (a *attemptBody) refuse() { a.ended.Store(true) }

// stream hands on the caller's body as it comes.
func (b *requestBody) stream(p []byte) (int, error) {
	n, err := b.readSource(p)
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

// bytesBody is a body that is in memory.
func bytesBody(data []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(data)) }

// bodyFailure gives atomic.Value one type for all errors.
type bodyFailure struct{ err error }

// failure returns the problem of a body that broke off while it was streamed,
// nil if it did not.
func (b *requestBody) failure() *Problem {
	f, ok := b.failed.Load().(*bodyFailure)
	if !ok {
		return nil
	}
	return b.problem(f.err, Unknown)
}

func (b *requestBody) problem(err error, o Outcome) *Problem {
	switch {
	case errors.Is(err, errTooLarge):
		return problemBodyTooLarge(b.limits.BodyBytes, o)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return problemSlowSender(o)
	}
	return problemBadBody(o)
}

// readerFunc is a function as an io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
