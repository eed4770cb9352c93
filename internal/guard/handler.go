package guard

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// lingerTimeout is how long a connection stays open after the answer if the caller has sent more than
// was read.
const lingerTimeout = 500 * time.Millisecond

// retryAfterSeconds is the Retry-After of a request that there was no memory for: others release theirs
// soon.
const retryAfterSeconds = "1"

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// handler serves requests under the limits of a Listener.
type handler struct {
	listener *Listener
	next     http.Handler
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok { // TLS
		h.next.ServeHTTP(w, r)
		return
	}
	sentAhead := c.begin()
	if err := c.hold.Set(headerBytes(r)); err != nil {
		defer c.end(r.ContentLength == 0)
		h.refuse(w, r, err)
		return
	}
	if r.ContentLength == 0 {
		defer c.end(true)
		if !c.complete(r.Context(), sentAhead) {
			panic(http.ErrAbortHandler) // an answer would say that it was carried out
		}
		h.next.ServeHTTP(w, r)
		return
	}
	b := newBody(w, r, c, sentAhead)
	defer b.end()
	withBody := *r // net/http reads the body of r itself after the answer
	withBody.Body = b
	h.next.ServeHTTP(w, &withBody)
}

// refuse answers a request that there is no memory for.
func (h *handler) refuse(w http.ResponseWriter, r *http.Request, reason error) {
	h.listener.count(noHeaderMemory)
	h.listener.options.Log.Info("refused", "listener", h.listener.options.Name, "path", r.URL.Path, "reason", reason.Error())
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", retryAfterSeconds)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// headerBytes returns the memory of a parsed header.
func headerBytes(r *http.Request) int64 {
	n := int64(addressCopies * len(r.RequestURI))
	for name, values := range r.Header {
		n += fieldBytes + int64(textCopies*len(name))
		for _, v := range values {
			n += int64(textCopies * len(v))
		}
	}
	return n
}

// HoldOf returns the reservation of the request whose context it is, which is given back with the
// answer; nil, which has no bound, if the request came through no Listener.
func HoldOf(ctx context.Context) *Hold {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	return c.hold
}

// body is the body of a caller's request, which must come at the least rate.
type body struct {
	io.ReadCloser
	conn      *conn
	request   *http.Request
	writer    http.ResponseWriter
	rc        *http.ResponseController
	sentAhead bool
	start     time.Time
	read      int64
	complete  bool
}

// newBody returns r's body. The connection is closed after the answer unless the body has been read to
// its end by then.
func newBody(w http.ResponseWriter, r *http.Request, c *conn, sentAhead bool) *body {
	w.Header().Set("Connection", "close")
	return &body{
		ReadCloser: r.Body, conn: c, request: r, writer: w, rc: http.NewResponseController(w),
		sentAhead: sentAhead, start: time.Now(),
	}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	l := b.conn.listener
	// The error is ignored: the connection is closed, and the read fails as well.
	_ = b.rc.SetReadDeadline(l.limits.BodyDeadline(b.start, b.read))
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
		b.request.Trailer = nil // nobody reads it
		b.writer.Header().Del("Connection")
		if !b.conn.complete(b.request.Context(), b.sentAhead) {
			return n, net.ErrClosed
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		l.count(bodyTooSlow)
	}
	return n, err
}

// end is called when the handler has returned. If the body was not read to its end, net/http reads on for
// callers that send all of it before they read the answer. It may do so for one of them at a time.
func (b *body) end() {
	if !b.complete {
		deadline := longAgo
		if b.conn.takeDiscardTurn() {
			deadline = time.Now().Add(lingerTimeout)
		}
		_ = b.rc.SetReadDeadline(deadline)
	}
	b.conn.end(b.complete)
}
