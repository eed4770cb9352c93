package dev

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/pumicestage/pumicestage/internal/daemon"
)

// wire is all that one entry VM sends over; cutting it is how a lost VM looks
// from outside.
type wire struct {
	next daemon.DialFunc

	mu    sync.Mutex
	dead  bool
	conns map[net.Conn]struct{}
}

func newWire(next daemon.DialFunc) *wire {
	return &wire{next: next, conns: make(map[net.Conn]struct{})}
}

func (w *wire) dial(ctx context.Context, network, address string) (net.Conn, error) {
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
	w.conns[conn] = struct{}{}
	return &wireConn{Conn: conn, wire: w}, nil
}

// cut ends every connection and lets none open.
func (w *wire) cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for conn := range w.conns {
		conn.Close()
	}
	clear(w.conns)
}

type wireConn struct {
	net.Conn
	wire *wire
}

// Close implements net.Conn.
func (c *wireConn) Close() error {
	c.wire.mu.Lock()
	delete(c.wire.conns, c.Conn)
	c.wire.mu.Unlock()
	return c.Conn.Close()
}
