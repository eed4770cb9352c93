package standin

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// dropPollInterval is how often blocked dials, reads and writes poll for the
	// end of a packet drop.
	dropPollInterval = 2 * time.Millisecond
	// sendBufferBytes is how much a connection buffers while packets are dropped,
	// as a kernel's socket buffer does; further writes block.
	sendBufferBytes = 64 << 10
)

// conn is the client's end of a connection opened through a Network. It
// simulates the link in both directions.
type conn struct {
	net.Conn
	endpoints pair
	network   *Network

	readMu        sync.Mutex // one Read at a time
	mu            sync.Mutex
	unsent        []byte // written while packets were dropped, not sent yet
	unread        []byte // received while packets were dropped, not returned to the reader yet
	readErr       error  // returned once unread is empty
	closed        bool
	readDeadline  time.Time
	writeDeadline time.Time
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if !c.hasUnread() {
		n, err := c.Conn.Read(p)
		c.network.received.Add(int64(n))
		if !c.network.isDropped(c.endpoints) || n == 0 && isLocal(err) {
			return n, err
		}
		c.bufferUnread(p[:n], err)
	}
	if err := c.waitForDelivery(&c.readDeadline); err != nil {
		return 0, err
	}
	return c.readUnread(p)
}

// isLocal reports whether err arises at this end of the connection. Such an
// error needs no packet, so a drop does not delay it.
func isLocal(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

func (c *conn) hasUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unread) > 0 || c.readErr != nil
}

func (c *conn) bufferUnread(p []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = append(c.unread, p...)
	c.readErr = err
}

func (c *conn) readUnread(p []byte) (int, error) {
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
	if err := c.waitForDelivery(&c.writeDeadline); err != nil {
		return 0, err
	}
	c.flush()
	return c.Conn.Write(p)
}

// buffer stores p and returns true if packets are dropped and p fits into the
// send buffer. It checks for the drop under the lock that flush takes after the
// drop has ended, so that no data is buffered after the last flush.
func (c *conn) buffer(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.network.isDropped(c.endpoints) || c.closed || len(c.unsent)+len(p) > sendBufferBytes {
		return false
	}
	c.unsent = append(c.unsent, p...)
	return true
}

// flush sends the buffered writes unless packets are still dropped.
func (c *conn) flush() {
	if c.network.isDropped(c.endpoints) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unsent) == 0 || c.closed {
		return
	}
	_, _ = c.Conn.Write(c.unsent) // the next call on the connection returns the failure
	c.unsent = nil
}

// waitForDelivery blocks until packets are no longer dropped. It returns
// net.ErrClosed if the connection is closed first, and os.ErrDeadlineExceeded if
// the deadline passes first; a zero deadline means none.
func (c *conn) waitForDelivery(deadline *time.Time) error {
	for c.network.isDropped(c.endpoints) {
		c.mu.Lock()
		closed, until := c.closed, *deadline
		c.mu.Unlock()
		if closed {
			return net.ErrClosed
		}
		if !until.IsZero() && !time.Now().Before(until) {
			return os.ErrDeadlineExceeded
		}
		time.Sleep(dropPollInterval)
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.storeDeadline(&c.readDeadline, t)
	c.storeDeadline(&c.writeDeadline, t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.storeDeadline(&c.readDeadline, t)
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.storeDeadline(&c.writeDeadline, t)
	return c.Conn.SetWriteDeadline(t)
}

func (c *conn) storeDeadline(deadline *time.Time, t time.Time) {
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
