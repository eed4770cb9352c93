package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Handler takes a frame in. It runs on the connection's reading goroutine and
// must not wait.
type Handler func(from model.EntryID, body []byte)

// Options are what a Mesh needs. Self, Cluster, Listener and View must
// be set.
type Options struct {
	Self     view.EntryRecord // with the incarnation of this run
	Cluster  string           // deployment name; others are turned away
	Seeds    []string         // host:port of peers to try first
	View     *view.Holder
	Listener net.Listener
	// Dial opens a connection; nil for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// TLS makes connections mutual TLS; nil for plain TCP.
	TLS *tls.Config
	// ClientTLS returns the configuration of a connection to be dialled, so
	// that it has the newest certificates; nil for that of TLS.
	ClientTLS func() *tls.Config
	// FillDigest sets in each digest what this entry VM knows beside its view: its
	// loads, its queue, what it lends, the VMs it asks; nil for nothing.
	FillDigest func(*Digest)
	// Watching reports whether this entry VM holds the platform's watch; nil
	// for never.
	Watching func() bool
	// BytesPerSecond bounds what digests take; 0 for DefaultBytesPerSecond.
	BytesPerSecond int
	Log            logr.Logger
}

// DefaultBytesPerSecond is what digests may take on the way out; about as much
// comes in. A node may spend 14 KB a second on control, of which 2 are left to
// the platform's calls and relayed views.
const DefaultBytesPerSecond = 6 << 10

// Mesh is this entry VM's side of all peer connections. Each entry VM dials
// every other and sends on the connection it dialled, so that no two need to
// agree which of two connections stays. It is safe for concurrent use.
type Mesh struct {
	opts     Options
	table    *table
	handlers [kindEnd]Handler
	seq      atomic.Uint64
	connID   atomic.Uint64
	stats    Stats

	mu      sync.Mutex
	links   map[string]*link // by address
	inbound map[net.Conn]struct{}
	ended   bool

	tasks  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a Mesh that does nothing before Run.
func New(opts Options) *Mesh {
	if opts.BytesPerSecond == 0 {
		opts.BytesPerSecond = DefaultBytesPerSecond
	}
	if opts.Dial == nil {
		opts.Dial = dialTCP
	}
	if opts.Watching == nil {
		opts.Watching = func() bool { return false }
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{
		opts:    opts,
		table:   newTable(opts.Self.Zone),
		links:   make(map[string]*link),
		inbound: make(map[net.Conn]struct{}),
		ctx:     ctx,
		cancel:  cancel,
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Handle sets the handler of a kind of frame. Call it before Run.
func (m *Mesh) Handle(k Kind, h Handler) { m.handlers[k] = h }

// Run listens and dials until ctx ends or Close is called, then closes every
// connection and returns when all its goroutines have ended. It returns an
// error only where the listener fails.
func (m *Mesh) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, m.cancel)
	defer stop()
	m.tasks.Go(m.maintain)
	failed := make(chan error, 1)
	m.tasks.Go(func() { failed <- m.accept() })
	var err error
	select {
	case <-m.ctx.Done():
	case err = <-failed:
	}
	m.end()
	m.tasks.Wait()
	return trace.Wrap(err)
}

// Close ends Run.
func (m *Mesh) Close() { m.cancel() }

func (m *Mesh) end() {
	m.cancel()
	m.opts.Listener.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	for c := range m.inbound {
		c.Close()
	}
}

// maintainEvery is how often links are made for new peers and silent peers'
// loads are dropped; a fifth of loadsFresh keeps that window sharp.
const maintainEvery = loadsFresh / 5

func (m *Mesh) maintain() {
	tick := time.NewTicker(maintainEvery)
	defer tick.Stop()
	for {
		m.table.expire()
		m.dialKnown()
		select {
		case <-tick.C:
		case <-m.ctx.Done():
			return
		}
	}
}

// dialKnown keeps one link per address that the settings, the view or a peer
// itself names, and ends links to addresses that nobody names any more.
func (m *Mesh) dialKnown() {
	wanted := m.knownAddresses()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return
	}
	for address := range wanted {
		if m.links[address] == nil {
			m.startLinkLocked(address)
		}
	}
	for address, l := range m.links {
		if !wanted[address] {
			l.cancel()
			delete(m.links, address)
		}
	}
}

func (m *Mesh) startLinkLocked(address string) {
	ctx, cancel := context.WithCancel(m.ctx)
	l := &link{mesh: m, address: address, cancel: cancel, queue: make(chan []byte, linkQueue)}
	m.links[address] = l
	m.tasks.Go(func() { l.run(ctx) })
}

func (m *Mesh) knownAddresses() map[string]bool {
	known := make(map[string]bool)
	for _, a := range m.opts.Seeds {
		known[a] = true
	}
	for _, e := range m.opts.View.Load().Entries {
		known[e.Peer] = true
	}
	for _, s := range m.table.list() {
		known[s.Address] = true
	}
	delete(known, m.opts.Self.Peer)
	delete(known, "")
	return known
}

// Send queues a frame for a peer and reports whether there is a connection
// with room in its queue. It does not wait; a frame may still be lost.
func (m *Mesh) Send(to model.EntryID, k Kind, msg any) bool {
	frame, err := encodeFrame(k, msg)
	if err != nil {
		m.opts.Log.Error(err, "peer frame not sent", "to", to)
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.remote.Load() == to {
			return l.enqueue(frame)
		}
	}
	return false
}

// Peers returns every peer heard in the last minute, live or not.
func (m *Mesh) Peers() []Status { return m.table.list() }

// PeerInFlight implements Loads.
func (m *Mesh) PeerInFlight(vm model.VMID) int { return m.table.load(vm).inFlight }

// PeerSaysLeaving implements Loads.
func (m *Mesh) PeerSaysLeaving(vm model.VMID) bool { return m.table.load(vm).leaving > 0 }

// LiveEntries implements Loads.
func (m *Mesh) LiveEntries(zone model.ZoneName) int {
	n := 0
	if zone == m.opts.Self.Zone {
		n = 1
	}
	for _, s := range m.table.list() {
		if s.Live && s.Zone == zone {
			n++
		}
	}
	return n
}

// Live returns the IDs of all live entry VMs, this one included.
func (m *Mesh) Live() []model.EntryID {
	ids := []model.EntryID{m.opts.Self.ID}
	for _, s := range m.table.list() {
		if s.Live {
			ids = append(ids, s.Entry)
		}
	}
	return ids
}

// Clocks returns the earliest and the latest wall clock of the live entry VMs,
// this one included. The true time lies between them unless all are off to the
// same side. What must not end too soon begins by the latest and ends by the
// earliest: one VM whose clock is a day off would otherwise forget claims a day
// too early, and a late duplicate would run again.
func (m *Mesh) Clocks() (earliest, latest time.Time) {
	var low, high time.Duration
	for _, s := range m.table.list() {
		if s.Live {
			low = min(low, s.ClockOffset)
			high = max(high, s.ClockOffset)
		}
	}
	now := time.Now()
	return now.Add(low), now.Add(high)
}

var (
	_ Loads        = (*Mesh)(nil)
	_ DigestSource = (*Mesh)(nil)
)

// PeerDigests implements DigestSource.
func (m *Mesh) PeerDigests() []PeerDigest {
	var live []PeerDigest
	for _, p := range m.Peers() {
		if p.Live {
			live = append(live, PeerDigest{Digest: p.Digest, ReceivedAt: p.LastSeen})
		}
	}
	return live
}

func (m *Mesh) hello() hello {
	s := m.opts.Self
	return hello{
		Version: ProtocolVersion, Cluster: m.opts.Cluster,
		Entry: string(s.ID), Zone: string(s.Zone), Peer: s.Peer, Incarnation: s.Incarnation,
	}
}

// digest returns what this entry VM knows first hand now, with all loads.
func (m *Mesh) digest() Digest {
	v := m.opts.View.Load()
	d := Digest{
		Entry: m.opts.Self.ID, Zone: m.opts.Self.Zone, Seq: m.seq.Add(1),
		Revision: v.Revision, Generation: v.Generation(), AgeMillis: ageMillis(time.Since(v.AsOf)),
		Clock: time.Now().UnixMilli(), Watching: m.opts.Watching(),
	}
	if m.opts.FillDigest != nil {
		m.opts.FillDigest(&d)
	}
	for _, l := range d.Loads {
		d.InFlight += uint32(l.InFlight)
	}
	return d
}

func ageMillis(age time.Duration) uint32 {
	return uint32(min(max(age.Milliseconds(), 0), int64(^uint32(0))))
}

var (
	errVersion     = errors.New("peer: foreign protocol version")
	errCluster     = errors.New("peer: foreign cluster")
	errSuperseded  = errors.New("peer: superseded incarnation")
	errSelf        = errors.New("peer: address leads back to this entry VM")
	errUnsolicited = errors.New("peer: unsolicited frame")
)

// checkHello says why a connection with this hello must go, or nil.
func (m *Mesh) checkHello(h hello) error {
	switch {
	case h.Version != ProtocolVersion:
		return trace.Wrap(errVersion, "version %d from %s, here %d", h.Version, h.Entry, ProtocolVersion)
	case h.Cluster != m.opts.Cluster:
		return trace.Wrap(errCluster, "cluster %q from %s, here %q", h.Cluster, h.Entry, m.opts.Cluster)
	case h.Entry == "" || h.Zone == "":
		return trace.Wrap(errFrame, "hello without entry or zone")
	case model.EntryID(h.Entry) == m.opts.Self.ID && h.Incarnation == m.opts.Self.Incarnation:
		return errSelf
	}
	return nil
}
