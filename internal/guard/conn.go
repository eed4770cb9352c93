package guard

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Memory of a request header once it is parsed.
const (
	// fieldBytes is the memory of a field with its entry in the map of fields, without its text.
	fieldBytes = 160
	// textCopies is how often the text of a header is held: as read, and as keys and values.
	textCopies = 2
	// addressCopies is how often the address of a request is held: likewise, and in parts.
	addressCopies = 4
)

// refusedHeader is the response to a header that isn't read. Its request has not been parsed, so nothing
// was run.
const refusedHeader = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// conn is a caller's connection. It counts the memory of headers before they are parsed, and tells the
// Listener whether the caller is waited for.
type conn struct {
	net.Conn
	listener *Listener
	hold     *Hold // of the request that is being read or carried out

	mu        sync.Mutex
	phase     phase
	headRead  bool      // a part of a header was read from the network since the last request
	sentAhead bool      // bytes of the next request came before the answer to this one
	discardAt time.Time // when it got the element of listener.discard that it holds; zero: it holds none

	fields int       // of the header that is being read, so far. Used by the reader only
	turnAt time.Time // when it got the element of listener.ahead that it holds; zero: it holds none. Used by the handler only

	// Guarded by listener.mu.
	place     *list.Element // in the list of connections whose callers are waited for; nil: in none
	served    bool          // a request on it was read to its end
	since     time.Time     // since when its caller is waited for
	turnSince time.Time     // since when a large body is being read on it
	closed    bool
}

// phase is what a connection is used for.
type phase uint8

const (
	readingHeader phase = iota
	handling            // a handler runs
	lingering           // a body was not read to its end, so that no request can follow
)

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	phase := c.phase
	switch phase {
	case readingHeader:
		c.headRead = true
	case handling:
		// While a handler runs, net/http reads a single byte to learn whether the caller has
		// gone. If it gets one, the caller has sent its next request already.
		c.sentAhead = c.sentAhead || len(p) == 1
	}
	c.mu.Unlock()
	if phase != readingHeader {
		return n, err
	}
	if err := c.admitHeader(p[:n]); err != nil {
		c.listener.refuseHeader(c, err)
		// net/http answers other errors itself.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: err}
	}
	return n, err
}

// errManyFields is the reason why a header is refused that would keep the processor busy.
var errManyFields = errors.New("guard: more header fields than can be read at present")

// admitHeader reserves the memory of a part of a header, in which a body may begin. It returns an error if
// the header is to be refused.
func (c *conn) admitHeader(text []byte) error {
	if end := bytes.Index(text, []byte("\r\n\r\n")); end >= 0 {
		text = text[:end]
	}
	fields := bytes.Count(text, []byte{'\n'})
	c.fields += fields
	if c.fields > usualFields && !c.listener.fieldRate.AllowN(time.Now(), fields) {
		return errManyFields
	}
	return c.hold.Grow(int64(textCopies*len(text) + fieldBytes*fields))
}

// Write implements net.Conn. It fails if the caller does not read for WriteTimeout.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.listener.limits.WriteTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. If bytes have come that were not read, closing resets the connection and
// the caller loses an answer that it has not received yet. Then the connection is closed later.
func (c *conn) Close() error {
	c.mu.Lock()
	linger := c.phase == lingering
	c.phase = readingHeader
	c.returnDiscardTurnLocked()
	c.mu.Unlock()
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !linger || !ok || w.CloseWrite() != nil {
		return c.closeNow()
	}
	c.hold.Release()
	time.AfterFunc(lingerTimeout, func() { c.closeNow() })
	return nil
}

// takeDiscardTurn returns true if the rest of a body that nobody wants may be read on the connection.
func (c *conn) takeDiscardTurn() bool {
	select {
	case c.listener.discard <- struct{}{}:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.discardAt = time.Now()
		return true
	default:
		return false
	}
}

// returnDiscardTurnLocked ends the turn, after a pause that leaves most of the processor to others.
func (c *conn) returnDiscardTurnLocked() {
	if c.discardAt.IsZero() {
		return
	}
	discard := c.listener.discard
	time.AfterFunc(discardPause*time.Since(c.discardAt), func() { <-discard })
	c.discardAt = time.Time{}
}

// closeNow closes the connection. A second call does nothing.
func (c *conn) closeNow() error {
	if !c.listener.remove(c) {
		return nil
	}
	return c.release()
}

// release closes a connection that the listener has forgotten.
func (c *conn) release() error {
	c.mu.Lock()
	c.returnDiscardTurnLocked()
	c.mu.Unlock()
	c.hold.Release()
	return c.Conn.Close()
}

// begin is called when the header of a request is parsed. It reports whether the request came before the
// answer to the one before.
func (c *conn) begin() (sentAhead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sentAhead = c.sentAhead || !c.headRead
	c.phase, c.headRead, c.sentAhead = handling, false, false
	c.fields = 0
	return sentAhead
}

// complete is called when the request has been read to its end. Of the requests that were sent ahead,
// it lets one continue at a time, so that they don't keep those away that came on other connections. It
// returns false if the connection was closed meanwhile: the request is not to be carried out.
func (c *conn) complete(ctx context.Context, sentAhead bool) bool {
	if sentAhead {
		select {
		case c.listener.ahead <- struct{}{}:
			c.turnAt = time.Now()
		case <-ctx.Done():
			return false
		}
	}
	return c.listener.unlist(c)
}

// end is called when the handler has returned; more tells that the request was read to its end, so that
// another one may follow.
func (c *conn) end(more bool) {
	if !c.turnAt.IsZero() {
		ahead := c.listener.ahead
		time.AfterFunc(max(aheadPause, time.Since(c.turnAt)), func() { <-ahead })
		c.turnAt = time.Time{}
	}
	c.mu.Lock()
	c.phase = readingHeader
	if !more {
		c.phase = lingering
	}
	c.mu.Unlock()
	c.hold.Clear()
	c.listener.list(c)
}
