package standin

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// dropPoll is how often what waits for the end of a drop looks for it.
	dropPoll = 2 * time.Millisecond
	// sendBuffer is what a connection takes while packets are dropped, as the
	// buffers of a kernel do; then writes wait.
	sendBuffer = 64 << 10
)

// conn is one end of a connection; it stands for the way to the other.
type conn struct {
	net.Conn
	between pair
	network *Network

	reading sync.Mutex // one Read at a time
	mu      sync.Mutex
	unsent  []byte // written while packets were dropped
	unread  []byte // arrived while packets were dropped
	readErr error  // arrived after unread
	closed  bool
	readBy  time.Time
	writeBy time.Time
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if !c.holdsUnread() {
		n, err := c.Conn.Read(p)
		c.network.received.Add(int64(n))
		if !c.network.isDropped(c.between) || n == 0 && isLocal(err) {
			return n, err
		}
		c.hold(p[:n], err)
	}
	if err := c.await(&c.readBy); err != nil {
		return 0, err
	}
	return c.takeUnread(p)
}

// isLocal reports whether an error comes from this end, and so needs no packet.
func isLocal(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

func (c *conn) holdsUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unread) > 0 || c.readErr != nil
}

func (c *conn) hold(p []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = append(c.unread, p...)
	c.readErr = err
}

func (c *conn) takeUnread(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	if n > 0 {
		return n, nil
	}
	err := c.readErr
	c.readErr = nil
	return 0, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.network.sent.Add(int64(len(p)))
	if c.buffer(p) {
		return len(p), nil
	}
	if err := c.await(&c.writeBy); err != nil {
		return 0, err
	}
	c.flush()
	return c.Conn.Write(p)
}

// buffer keeps p while packets are dropped, and room is left. It looks under
// the lock that flush takes after the drop has ended, so that nothing is kept
// that nobody sends on.
func (c *conn) buffer(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.network.isDropped(c.between) || c.closed || len(c.unsent)+len(p) > sendBuffer {
		return false
	}
	c.unsent = append(c.unsent, p...)
	return true
}

// flush sends what was held back, if packets get through again.
func (c *conn) flush() {
	if c.network.isDropped(c.between) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unsent) == 0 || c.closed {
		return
	}
	_, _ = c.Conn.Write(c.unsent) // a failure shows at the next call
	c.unsent = nil
}

// await waits for the end of the drop, the connection or the deadline.
func (c *conn) await(deadline *time.Time) error {
	for c.network.isDropped(c.between) {
		c.mu.Lock()
		closed, by := c.closed, *deadline
		c.mu.Unlock()
		if closed {
			return net.ErrClosed
		}
		if !by.IsZero() && !time.Now().Before(by) {
			return os.ErrDeadlineExceeded
		}
		time.Sleep(dropPoll)
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.note(&c.readBy, t)
	c.note(&c.writeBy, t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.note(&c.readBy, t)
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.note(&c.writeBy, t)
	return c.Conn.SetWriteDeadline(t)
}

func (c *conn) note(deadline *time.Time, t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*deadline = t
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
