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

// Handler handles a received frame. It runs on the goroutine that reads the
// connection and must not block.
type Handler func(from model.EntryID, body []byte)

// Options configure a Mesh. Self, Cluster, Listener and View are required.
type Options struct {
	Self     view.EntryRecord // Incarnation must be that of this run
	Cluster  string           // deployment name; peers with another one are rejected
	Seeds    []string         // host:port of peers that are dialed in any case
	View     *view.Holder
	Listener net.Listener
	// Dial opens a connection to a host:port; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// TLS configures mutual TLS; nil means plain TCP.
	TLS *tls.Config
	// ClientTLS returns the configuration for a connection about to be dialed, so
	// that it uses the newest certificates; nil means the one in TLS. It is
	// ignored if TLS is nil.
	ClientTLS func() *tls.Config
	// FillDigest sets the fields of each digest that do not come from the view:
	// loads, queue, lent slots and VM health; nil leaves them empty.
	FillDigest func(*Digest)
	// Watching reports whether this entry VM holds the platform's watch; nil
	// means that it never does.
	Watching func() bool
	// BytesPerSecond limits the digests sent to all peers together; 0 means
	// DefaultBytesPerSecond.
	BytesPerSecond int
	Log            logr.Logger
}

// DefaultBytesPerSecond limits the digests sent; about as much is received. A node
// may spend 14 KB a second on control traffic, of which 2 KB remain for the
// platform's calls and for relayed views.
const DefaultBytesPerSecond = 6 << 10

// Mesh is this entry VM's end of all peer connections. Each entry VM dials every
// other one and sends only on the connection that it dialed, so two entry VMs
// never have to agree on which of two connections to keep. It is safe for
// concurrent use.
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
	closed  bool

	goroutines sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
}

// New returns a Mesh that is inactive until Run is called.
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

// Handle sets the handler for a kind of frame. It must be called before Run.
func (m *Mesh) Handle(k Kind, h Handler) { m.handlers[k] = h }

// Run accepts and dials connections until ctx ends or Close is called, then closes
// every connection and returns once all its goroutines have ended. It returns an
// error only if the listener fails.
func (m *Mesh) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, m.cancel)
	defer stop()
	m.goroutines.Go(m.maintain)
	failed := make(chan error, 1)
	m.goroutines.Go(func() { failed <- m.accept() })
	var err error
	select {
	case <-m.ctx.Done():
	case err = <-failed:
	}
	m.shutDown()
	m.goroutines.Wait()
	return trace.Wrap(err)
}

// Close makes Run return. It does not wait for it.
func (m *Mesh) Close() { m.cancel() }

// shutDown stops all links, closes the listener and the inbound connections, and
// prevents new ones.
func (m *Mesh) shutDown() {
	m.cancel()
	m.opts.Listener.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for c := range m.inbound {
		c.Close()
	}
}

// maintainInterval is how often links to new peers are started and the loads of
// silent peers are dropped. At a fifth of loadTTL, loads are dropped soon after
// they expire.
const maintainInterval = loadTTL / 5

func (m *Mesh) maintain() {
	tick := time.NewTicker(maintainInterval)
	defer tick.Stop()
	for {
		m.table.expire()
		m.reconcileLinks()
		select {
		case <-tick.C:
		case <-m.ctx.Done():
			return
		}
	}
}

// reconcileLinks keeps one link for each address that the settings, the view or a
// peer itself names, and stops links to addresses that none of them names any
// more.
func (m *Mesh) reconcileLinks() {
	wanted := m.knownAddresses()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
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
	l := &link{mesh: m, address: address, cancel: cancel, queue: make(chan []byte, linkQueueLength)}
	m.links[address] = l
	m.goroutines.Go(func() { l.run(ctx) })
}

// knownAddresses returns the addresses of all known peers, without this entry VM.
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

// Send queues a frame for a peer and reports whether the peer is connected and its
// queue had free space. It does not block, and the frame may still be lost.
func (m *Mesh) Send(to model.EntryID, k Kind, msg any) bool {
	frame, err := encodeFrame(k, msg)
	if err != nil {
		m.opts.Log.Error(err, "cannot encode frame for peer", "to", to)
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

// Peers returns every peer that has been heard from in the last minute, live or not.
func (m *Mesh) Peers() []Status { return m.table.list() }

// PeerInFlight implements Loads.
func (m *Mesh) PeerInFlight(vm model.VMID) int { return m.table.sumFor(vm).inFlight }

// PeerSaysLeaving implements Loads.
func (m *Mesh) PeerSaysLeaving(vm model.VMID) bool { return m.table.sumFor(vm).leaving > 0 }

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

// Live returns the IDs of all live entry VMs, including this one.
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
// including this one. The true time lies between them unless all clocks are off in
// the same direction. Anything that must not expire too early should start at
// latest and be compared with earliest. Otherwise, a single VM whose clock is a day
// ahead would delete the records of requests that may run only once (package claim)
// a day too early, and a late duplicate of such a request would run again.
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
			live = append(live, PeerDigest{Digest: p.Digest, ReceivedAt: p.LastHeard})
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

// digest returns the current state of this entry VM with all loads.
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
	errProtocolVersion = errors.New("peer: unsupported protocol version")
	errCluster         = errors.New("peer: cluster name differs")
	errSuperseded      = errors.New("peer: superseded by a newer connection or incarnation")
	errSelf            = errors.New("peer: connected to this entry VM itself")
	errUnexpectedFrame = errors.New("peer: unexpected frame kind")
)

// checkHello returns the reason why a connection with this hello must be closed, or
// nil.
func (m *Mesh) checkHello(h hello) error {
	switch {
	case h.Version != ProtocolVersion:
		return trace.Wrap(errProtocolVersion, "version %d from %s, want %d", h.Version, h.Entry, ProtocolVersion)
	case h.Cluster != m.opts.Cluster:
		return trace.Wrap(errCluster, "cluster %q from %s, want %q", h.Cluster, h.Entry, m.opts.Cluster)
	case h.Entry == "" || h.Zone == "":
		return trace.Wrap(errMalformedFrame, "hello lacks the entry VM ID or the zone")
	case model.EntryID(h.Entry) == m.opts.Self.ID && h.Incarnation == m.opts.Self.Incarnation:
		return errSelf
	}
	return nil
}
