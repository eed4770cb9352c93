package dev

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/pumicestage/pumicestage/internal/daemon"
)

// faultDialer holds all outgoing connections of one entry VM and injects faults into
// them. Cutting it simulates a lost VM. Stalling it simulates a paused VM:
// nothing is sent until it resumes, and then everything is, however late.
type faultDialer struct {
	next daemon.DialFunc

	mu      sync.Mutex
	dead    bool
	stalled chan struct{} // closed when the stall ends; nil if not stalled
	conns   map[*faultConn]struct{}
}

func newFaultDialer(next daemon.DialFunc) *faultDialer {
	return &faultDialer{next: next, conns: make(map[*faultConn]struct{})}
}

func (w *faultDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := w.awaitStallEnd(ctx.Done()); err != nil {
		return nil, err
	}
	conn, err := w.next(ctx, network, address)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		conn.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ENETDOWN}
	}
	c := &faultConn{Conn: conn, dialer: w, closed: make(chan struct{})}
	w.conns[c] = struct{}{}
	return c, nil
}

// cut closes every connection and makes later dials fail.
func (w *faultDialer) cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for c := range w.conns {
		c.Conn.Close()
	}
	clear(w.conns)
}

// stall holds back all traffic until the returned function is called.
func (w *faultDialer) stall() (resume func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	stalled := make(chan struct{})
	w.stalled = stalled
	return func() {
		w.mu.Lock()
		w.stalled = nil
		var open []*faultConn
		for c := range w.conns {
			open = append(open, c)
		}
		w.mu.Unlock()
		for _, c := range open {
			c.flush()
		}
		close(stalled)
	}
}

// awaitStallEnd waits for the end of a stall. It returns an error if done is closed
// first.
func (w *faultDialer) awaitStallEnd(done <-chan struct{}) error {
	w.mu.Lock()
	stalled := w.stalled
	w.mu.Unlock()
	if stalled == nil {
		return nil
	}
	select {
	case <-stalled:
		return nil
	case <-done:
		return &net.OpError{Op: "wire", Net: "tcp", Err: net.ErrClosed}
	}
}

func (w *faultDialer) isStalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalled != nil
}

type faultConn struct {
	net.Conn
	dialer *faultDialer
	closed chan struct{}
	once   sync.Once

	mu     sync.Mutex
	unsent []byte // written during a stall
}

// Read implements net.Conn.
func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if err := c.dialer.awaitStallEnd(c.closed); err != nil {
		return 0, err
	}
	return n, err
}

// Write implements net.Conn. Data written during a stall is sent after it, even
// if the writer has since closed the connection, as data in transit would be.
func (c *faultConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dialer.isStalled() || len(c.unsent) > 0 {
		c.unsent = append(c.unsent, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// flush sends the data written during the stall and closes the connection if
// its user has closed it meanwhile.
func (c *faultConn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Conn.Write(c.unsent) // the next call returns the error
	c.unsent = nil
	if c.isClosed() {
		c.closeConn()
	}
}

func (c *faultConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unsent) > 0 {
		return nil // flush closes it
	}
	return c.closeConn()
}

func (c *faultConn) closeConn() error {
	c.dialer.mu.Lock()
	delete(c.dialer.conns, c)
	c.dialer.mu.Unlock()
	return c.Conn.Close()
}
