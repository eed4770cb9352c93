// Package peertest provides an in-memory network for tests of entry VMs. Zones can
// be partitioned from each other without notice to either end of a connection. It
// works within testing/synctest.
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

// pastDeadline, set as a deadline, makes every call on a connection fail at once.
var pastDeadline = time.Unix(1, 0)

// Network connects listeners that are each in a zone.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*Listener
	partitioned map[[2]model.ZoneName]bool
	conns       map[*conn]struct{}
}

// New returns a network without partitions.
func New() *Network {
	return &Network{
		listeners:   make(map[string]*Listener),
		partitioned: make(map[[2]model.ZoneName]bool),
		conns:       make(map[*conn]struct{}),
	}
}

// Listen opens a listener in the zone at an address.
func (n *Network) Listen(zone model.ZoneName, address string) *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &Listener{network: n, zone: zone, address: address, queue: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Partition separates two zones. Whatever is sent between them from now on is
// silently lost, and dialing blocks until its context ends. Partitioning a zone
// from itself breaks the connections within it.
func (n *Network) Partition(a, b model.ZoneName) { n.setPartitioned(a, b, true) }

// Heal ends the partition of two zones. Connections from before it stay dead, since
// TCP would retransmit on them only after its long backoff.
func (n *Network) Heal(a, b model.ZoneName) { n.setPartitioned(a, b, false) }

func (n *Network) setPartitioned(a, b model.ZoneName, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]model.ZoneName{a, b}] = partitioned
	n.partitioned[[2]model.ZoneName{b, a}] = partitioned
	if !partitioned {
		return
	}
	for c := range n.conns {
		if c.between(a, b) {
			c.dead.Store(true)
		}
	}
}

// Dialer returns a function that dials addresses of the network from a zone.
func (n *Network) Dialer(from model.ZoneName) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[address]
		partitioned := l != nil && n.partitioned[[2]model.ZoneName{from, l.zone}]
		n.mu.Unlock()
		if l == nil {
			return nil, errRefused
		}
		if partitioned {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		local, remote := net.Pipe()
		ends := [2]*conn{n.addEnd(local, from, l.zone), n.addEnd(remote, l.zone, from)}
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

// addEnd wraps one end of a connection and registers it with the network.
func (n *Network) addEnd(c net.Conn, from, to model.ZoneName) *conn {
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
	dead     atomic.Bool // a partition has cut the connection
	closed   atomic.Bool
}

// between reports whether the connection links zones a and b, in either
// direction.
func (c *conn) between(a, b model.ZoneName) bool {
	return c.from == a && c.to == b || c.from == b && c.to == a
}

// Write writes p, or silently discards it if the connection is dead.
func (c *conn) Write(p []byte) (int, error) {
	if c.dead.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes this end of the connection. The other end is not notified if the
// connection is dead.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	c.closed.Store(true)
	if c.dead.Load() {
		return c.Conn.SetDeadline(pastDeadline)
	}
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetDeadline, t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetReadDeadline, t) }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetWriteDeadline, t) }

// setDeadline sets a deadline, unless Close has ended a dead connection with
// pastDeadline; it then restores that and returns net.ErrClosed.
func (c *conn) setDeadline(set func(time.Time) error, t time.Time) error {
	if err := set(t); err != nil {
		return err
	}
	if c.closed.Load() {
		c.Conn.SetDeadline(pastDeadline)
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

// address is the net.Addr of a Listener.
type address string

func (a address) Network() string { return "peertest" }
func (a address) String() string  { return string(a) }
