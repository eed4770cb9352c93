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

// PlatformZone is the platform's own place in the Network.
const PlatformZone = "platform"

// Network is the network between availability zones and the platform, as far
// as connections are opened through it. Two places are parted in two ways: a
// cut closes what is open between them and refuses what is new, unsent, as
// where routers answer; a drop loses every packet without a word.
type Network struct {
	mu    sync.Mutex
	zones map[string]string // by address
	cuts  map[pair]bool
	alone map[string]bool // places cut off from all others
	drops map[pair]bool
	mute  map[string]bool // places whose packets to all others are dropped
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

func newNetwork() *Network {
	return &Network{
		zones: make(map[string]string),
		cuts:  make(map[pair]bool),
		alone: make(map[string]bool),
		drops: make(map[pair]bool),
		mute:  make(map[string]bool),
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

// Drop loses what two places send each other until Heal: connections stay open
// and new ones hang. What was sent meanwhile arrives late, as TCP repeats it.
func (n *Network) Drop(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drops[pairOf(a, b)] = true
}

// Heal takes a Cut or a Drop back.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	delete(n.cuts, pairOf(a, b))
	delete(n.drops, pairOf(a, b))
	n.mu.Unlock()
	n.deliver()
}

// Mute drops what a place and all others send each other, or takes that back.
func (n *Network) Mute(place string, on bool) {
	n.mu.Lock()
	n.mute[place] = on
	n.mu.Unlock()
	n.deliver()
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
	if err := n.awaitDelivery(ctx, pairOf(from, to)); err != nil {
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
	c := &conn{Conn: raw, between: pairOf(from, to), network: n}
	if !n.track(c) {
		_ = raw.Close() // cut while dialling; nothing was sent
		return nil, refused
	}
	return c, nil
}

// awaitDelivery waits while packets are dropped, as a dial does.
func (n *Network) awaitDelivery(ctx context.Context, p pair) error {
	for n.isDropped(p) {
		select {
		case <-ctx.Done():
			return &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		case <-time.After(dropPoll):
		}
	}
	return nil
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

func (n *Network) isDropped(p pair) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return p.a != p.b && (n.drops[p] || n.mute[p.a] || n.mute[p.b])
}

// deliver sends on what was held back on connections that are healed.
func (n *Network) deliver() {
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
