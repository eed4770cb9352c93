package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// PlatformZone is the name under which the Network knows the platform, next to
// the availability zones.
const PlatformZone = "platform"

// Network simulates the network between availability zones and the platform for
// the connections dialled through it. A place is a zone or PlatformZone. There
// are two kinds of partition between two places: a cut closes open connections
// and refuses new ones before anything is sent, as routers do that report an
// unreachable host; a drop silently discards every packet.
type Network struct {
	mu         sync.Mutex
	zoneByAddr map[string]string // by address, host:port
	cuts       map[pair]bool
	isolated   map[string]bool // places cut from all others
	drops      map[pair]bool
	dropsAll   map[string]bool // places whose packets to all others are dropped
	conns      map[*conn]struct{}

	sent, received atomic.Int64
}

// pair is an unordered pair of places; pairOf puts them in order.
type pair struct{ a, b string }

// pairOf returns the pair of a and b, which is the same in either order.
func pairOf(a, b string) pair {
	if b < a {
		a, b = b, a
	}
	return pair{a, b}
}

func newNetwork() *Network {
	return &Network{
		zoneByAddr: make(map[string]string),
		cuts:       make(map[pair]bool),
		isolated:   make(map[string]bool),
		drops:      make(map[pair]bool),
		dropsAll:   make(map[string]bool),
		conns:      make(map[*conn]struct{}),
	}
}

// Place assigns addr (host:port) to zone. Addresses without a zone belong to the
// platform.
func (n *Network) Place(addr, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zoneByAddr[addr] = zone
}

// Cut closes the connections between two places and refuses new ones until Heal.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[pairOf(a, b)] = true
	n.closeCutLocked()
}

// Drop discards the packets between two places until Heal: connections stay open
// and new dials block. Data sent meanwhile arrives after Heal, since TCP
// retransmits it.
func (n *Network) Drop(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drops[pairOf(a, b)] = true
}

// Heal ends a Cut and a Drop between two places.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	delete(n.cuts, pairOf(a, b))
	delete(n.drops, pairOf(a, b))
	n.mu.Unlock()
	n.flushAll()
}

// DropAll starts or ends dropping the packets between a place and all others.
func (n *Network) DropAll(place string, on bool) {
	n.mu.Lock()
	n.dropsAll[place] = on
	n.mu.Unlock()
	n.flushAll()
}

// Isolate starts or ends a cut between a place and all others.
func (n *Network) Isolate(place string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[place] = on
	n.closeCutLocked()
}

// IsCut reports whether connections between a and b are refused. It does not
// report drops.
func (n *Network) IsCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isCutLocked(pairOf(a, b))
}

func (n *Network) isCutLocked(p pair) bool {
	return p.a != p.b && (n.cuts[p] || n.isolated[p.a] || n.isolated[p.b])
}

func (n *Network) closeCutLocked() {
	for c := range n.conns {
		if n.isCutLocked(c.endpoints) {
			delete(n.conns, c)
			_ = c.Conn.Close() // the peer sees the connection end even if Close fails
		}
	}
}

// Dialer returns a dial function for a process in zone from. It can be used as
// DialContext of an http.Transport.
func (n *Network) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		return n.dial(ctx, from, network, addr)
	}
}

// Client returns an HTTP client for a process in zone from, to be used by the
// gateway and other adapters.
func (n *Network) Client(from string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dialer(from), MaxIdleConnsPerHost: 16}}
}

func (n *Network) dial(ctx context.Context, from, network, addr string) (net.Conn, error) {
	refused := &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	n.mu.Lock()
	to, ok := n.zoneByAddr[addr]
	n.mu.Unlock()
	if !ok {
		to = PlatformZone
	}
	if err := n.waitForDelivery(ctx, pairOf(from, to)); err != nil {
		return nil, err
	}
	if n.IsCut(from, to) {
		return nil, refused
	}
	var d net.Dialer
	raw, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, endpoints: pairOf(from, to), network: n}
	if !n.track(c) {
		_ = raw.Close() // cut during the dial; nothing was sent
		return nil, refused
	}
	return c, nil
}

// waitForDelivery blocks while packets are dropped, as a real dial would. It
// returns a dial error if ctx ends first.
func (n *Network) waitForDelivery(ctx context.Context, p pair) error {
	for n.isDropped(p) {
		select {
		case <-ctx.Done():
			return &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		case <-time.After(dropPollInterval):
		}
	}
	return nil
}

// track registers an open connection. It returns false if its endpoints have been
// cut from each other in the meantime.
func (n *Network) track(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isCutLocked(c.endpoints) {
		return false
	}
	n.conns[c] = struct{}{}
	return true
}

// Bytes returns the number of bytes sent and received over connections opened
// through the Network. HTTP headers are included, TCP headers are not.
func (n *Network) Bytes() (sent, received int64) {
	return n.sent.Load(), n.received.Load()
}

func (n *Network) isDropped(p pair) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return p.a != p.b && (n.drops[p] || n.dropsAll[p.a] || n.dropsAll[p.b])
}

// flushAll sends the buffered writes of all connections whose packets are no
// longer dropped.
func (n *Network) flushAll() {
	n.mu.Lock()
	var open []*conn
	for c := range n.conns {
		open = append(open, c)
	}
	n.mu.Unlock()
	for _, c := range open {
		c.flush()
	}
}
