// Package peertest is a network in memory for tests of entry VMs: its
// connections can be cut between zones as a partition does it, without notice
// to either end. It works within testing/synctest.
package peertest

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

var errRefused = errors.New("peertest: connection refused")

// longAgo as a deadline ends every call of a connection at once.
var longAgo = time.Unix(1, 0)

// Network connects listeners of zones.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
	cut       map[[2]model.ZoneName]bool
	conns     map[*conn]struct{}
}

// New returns a network without cuts.
func New() *Network {
	return &Network{
		listeners: make(map[string]*Listener),
		cut:       make(map[[2]model.ZoneName]bool),
		conns:     make(map[*conn]struct{}),
	}
}

// Listen opens a listener at an address of the zone.
func (n *Network) Listen(zone model.ZoneName, address string) *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &Listener{network: n, zone: zone, address: address, queue: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Partition parts two zones. What is sent from now on is lost without notice, and
// dialling hangs until its deadline. A zone cut from itself loses its own
// connections.
func (n *Network) Partition(a, b model.ZoneName) { n.set(a, b, true) }

// Heal joins two zones. Connections from before the cut stay dead: TCP would
// try them again only after its long backoff.
func (n *Network) Heal(a, b model.ZoneName) { n.set(a, b, false) }

func (n *Network) set(a, b model.ZoneName, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]model.ZoneName{a, b}] = cut
	n.cut[[2]model.ZoneName{b, a}] = cut
	if !cut {
		return
	}
	for c := range n.conns {
		if c.between(a, b) {
			c.dead.Store(true)
		}
	}
}

// Dialer returns the way into the network from a zone.
func (n *Network) Dialer(from model.ZoneName) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[address]
		cut := l != nil && n.cut[[2]model.ZoneName{from, l.zone}]
		n.mu.Unlock()
		if l == nil {
			return nil, errRefused
		}
		if cut {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		near, far := net.Pipe()
		ends := [2]*conn{n.end(near, from, l.zone), n.end(far, l.zone, from)}
		select {
		case l.queue <- ends[1]:
			return ends[0], nil
		case <-l.closed:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (n *Network) end(c net.Conn, from, to model.ZoneName) *conn {
	end := &conn{Conn: c, network: n, from: from, to: to}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[end] = struct{}{}
	return end
}

// conn is one end of a connection.
type conn struct {
	net.Conn
	network  *Network
	from, to model.ZoneName
	dead     atomic.Bool
	closed   atomic.Bool
}

func (c *conn) between(a, b model.ZoneName) bool {
	return c.from == a && c.to == b || c.from == b && c.to == a
}

// Write loses what is sent over a dead connection.
func (c *conn) Write(p []byte) (int, error) {
	if c.dead.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection; a dead one's other end does not hear of it.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	c.closed.Store(true)
	if c.dead.Load() {
		return c.Conn.SetDeadline(longAgo)
	}
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.deadline(c.Conn.SetDeadline, t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error { return c.deadline(c.Conn.SetReadDeadline, t) }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error { return c.deadline(c.Conn.SetWriteDeadline, t) }

// deadline keeps the deadline by which Close ended a dead connection.
func (c *conn) deadline(set func(time.Time) error, t time.Time) error {
	if err := set(t); err != nil {
		return err
	}
	if c.closed.Load() {
		c.Conn.SetDeadline(longAgo)
		return net.ErrClosed
	}
	return nil
}

// Listener is a net.Listener of the network.
type Listener struct {
	network *Network
	zone    model.ZoneName
	address string
	queue   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return address(l.address) }

type address string

func (a address) Network() string { return "peertest" }
func (a address) String() string  { return string(a) }
