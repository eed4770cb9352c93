package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
)

// PlatformZone is the platform's own place in the Network.
const PlatformZone = "platform"

// Network is the network between availability zones and the platform, as far
// as connections are opened through it. A cut closes what is open between two
// places and refuses what is new, unsent: as a partition whose routers answer.
type Network struct {
	mu    sync.Mutex
	zones map[string]string // by address
	cuts  map[pair]bool
	alone map[string]bool // places cut off from all others
	conns map[*conn]struct{}

	sent, received atomic.Int64
}

type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if b < a {
		a, b = b, a
	}
	return pair{a, b}
}

type conn struct {
	net.Conn
	between pair
	network *Network
}

func newNetwork() *Network {
	return &Network{
		zones: make(map[string]string),
		cuts:  make(map[pair]bool),
		alone: make(map[string]bool),
		conns: make(map[*conn]struct{}),
	}
}

// Place says that addr (host:port) is in zone. Addresses that were never
// placed belong to the platform.
func (n *Network) Place(addr, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[addr] = zone
}

// Cut parts two zones, or a zone and PlatformZone.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[pairOf(a, b)] = true
	n.closeCutLocked()
}

// Heal takes a Cut back.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, pairOf(a, b))
}

// Isolate cuts a place off from all others, or takes that back.
func (n *Network) Isolate(place string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.alone[place] = on
	n.closeCutLocked()
}

// IsCut reports whether a and b cannot reach each other.
func (n *Network) IsCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isCutLocked(pairOf(a, b))
}

func (n *Network) isCutLocked(p pair) bool {
	return p.a != p.b && (n.cuts[p] || n.alone[p.a] || n.alone[p.b])
}

func (n *Network) closeCutLocked() {
	for c := range n.conns {
		if n.isCutLocked(c.between) {
			delete(n.conns, c)
			_ = c.Conn.Close() // the peer sees the cut either way
		}
	}
}

// Dialer returns the way of a process in zone from to every address; it fits
// net/http's Transport.DialContext.
func (n *Network) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		return n.dial(ctx, from, network, addr)
	}
}

// Client returns an HTTP client of a process in zone from, for the gateway's
// and other adapters.
func (n *Network) Client(from string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dialer(from), MaxIdleConnsPerHost: 16}}
}

func (n *Network) dial(ctx context.Context, from, network, addr string) (net.Conn, error) {
	refused := &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	n.mu.Lock()
	to, ok := n.zones[addr]
	n.mu.Unlock()
	if !ok {
		to = PlatformZone
	}
	if n.IsCut(from, to) {
		return nil, refused
	}
	var d net.Dialer
	raw, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, between: pairOf(from, to), network: n}
	if !n.track(c) {
		_ = raw.Close() // cut while dialling; nothing was sent
		return nil, refused
	}
	return c, nil
}

func (n *Network) track(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isCutLocked(c.between) {
		return false
	}
	n.conns[c] = struct{}{}
	return true
}

// Bytes returns how much was sent and received over connections opened
// through the Network, with the headers of HTTP and without those of TCP.
func (n *Network) Bytes() (sent, received int64) {
	return n.sent.Load(), n.received.Load()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.network.sent.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
