// Package relay keeps this entry VM's view of the fleet current. One or two
// entry VMs of each zone, the relays, hold watches on the platform's store and
// forward changes to the others, so the load on the platform grows with the
// number of zones rather than of entry VMs. There is no leader election:
// several relays at once are harmless, and if all relays of a zone fail, each
// entry VM watches the store itself.
package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// roleCheckInterval is how often an entry VM decides whether to act as a
	// relay and where to get its view from.
	roleCheckInterval = 250 * time.Millisecond
	// pollInterval is how often an entry VM polls a relay to learn whether its
	// view is still current. It limits how precisely the age of a view is
	// known; changes are pushed without waiting for a poll.
	pollInterval = time.Second
	// beaconInterval is how often a relay checks that its watch is current, by
	// writing a beacon that must come back over the watch. With two relays in
	// each of 6 zones that makes 6 writes a second.
	beaconInterval = 2 * time.Second
	// maxRelayAge is the age of its view from which a relay no longer counts
	// as current: two missed beacons and the timeout of one call.
	maxRelayAge = 2*beaconInterval + callTimeout
	// takeoverDelay is how long an entry VM that doesn't rank among the first
	// RelaysPerZone of its zone must see too few current relays before it
	// becomes one itself. takeoverDelayPerRank is added for each entry VM that
	// ranks before it, so that not all read the store at once when the
	// platform recovers.
	takeoverDelay        = time.Second
	takeoverDelayPerRank = time.Second
	// watchReleaseDelay is how long an entry VM keeps its watches after it is
	// no longer needed as a relay, so that a flapping peer doesn't make
	// watches move.
	watchReleaseDelay = 5 * time.Second
	// maxResumeAge is the age up to which a watch resumes from the view's
	// revision; for an older view, all VMs are read again. Otherwise a store
	// that was restored from a backup, and whose revision has since passed the
	// view's, would go unnoticed, and the changes made in between would never
	// be seen. A restore can't complete and pass the view's revision within
	// this time.
	maxResumeAge = 30 * time.Second
	// startupPeerTimeout is how long a starting daemon waits for a declaration
	// from peers before it reads the store: a store restored from a backup
	// would return a declaration that was replaced long ago.
	startupPeerTimeout = 2 * time.Second
	// callTimeout bounds each call to the platform, which answers in
	// milliseconds.
	callTimeout = 2 * time.Second
)

// Peers is the part of the peer mesh that the relay uses.
type Peers interface {
	Peers() []peer.Status
	Send(to model.EntryID, k peer.Kind, msg any) bool
	Handle(k peer.Kind, h peer.Handler)
}

// Options configures a Relay. All fields except Log are required.
type Options struct {
	Self  view.EntryRecord
	Store infra.Store
	View  *view.Holder
	Peers Peers
	Log   logr.Logger
}

// Relay keeps a view.Holder current. It is safe for concurrent use.
type Relay struct {
	opts  Options
	state *state
	subs  *subscribers
	polls *pendingPolls

	watching    atomic.Bool // this entry VM holds watches on the store
	storeBehind atomic.Bool // the store is older than the accepted view
	tasks       sync.WaitGroup
}

// New returns a Relay and registers its message handlers with the peers. It
// must be called before the peer mesh runs.
func New(opts Options) *Relay {
	r := &Relay{opts: opts, state: newState(opts.View, opts.Log), subs: newSubscribers(), polls: newPendingPolls()}
	opts.Peers.Handle(peer.KindViewPoll, r.handlePoll)
	opts.Peers.Handle(peer.KindView, r.handleUpdate)
	return r
}

// Watching reports whether this entry VM holds watches on the platform's store.
// Digests carry it to peers.
func (r *Relay) Watching() bool { return r.watching.Load() }

// StoreBehind reports whether the platform's store is older than the view
// accepted here, as after a restore from a backup. Planned stops must wait
// until the store has passed that view.
func (r *Relay) StoreBehind() bool { return r.storeBehind.Load() }

// Run keeps the view current and this entry VM registered until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	r.tasks.Go(func() { r.keepRegistered(ctx) })
	r.tasks.Go(func() { r.pushChanges(ctx) })
	r.tasks.Go(func() { r.superviseSource(ctx) })
	r.pollPeers(ctx)
	r.tasks.Wait()
}

// superviseSource opens watches on the platform's store while this entry VM
// should act as a relay, and closes them watchReleaseDelay after it no longer
// should.
func (r *Relay) superviseSource(ctx context.Context) {
	r.awaitPeers(ctx)
	var close func()
	var tooFewSince, unwantedSince time.Time
	for ctx.Err() == nil {
		now := time.Now()
		switch {
		case r.shouldWatch(&tooFewSince, now):
			unwantedSince = time.Time{}
			if close == nil {
				close = r.openSource(ctx)
			}
		case close != nil && unwantedSince.IsZero():
			unwantedSince = now
		case close != nil && now.Sub(unwantedSince) >= watchReleaseDelay:
			close()
			close = nil
		}
		sleep.For(ctx, roleCheckInterval)
	}
	if close != nil {
		close()
	}
}

// openSource starts a storeSource and returns a function that stops it and
// waits until it has ended.
func (r *Relay) openSource(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s := newStoreSource(r)
		s.run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// awaitPeers waits, for at most startupPeerTimeout, until peers have sent a
// declaration.
func (r *Relay) awaitPeers(ctx context.Context) {
	until := time.Now().Add(startupPeerTimeout)
	for ctx.Err() == nil && time.Now().Before(until) && r.state.versions().Generation == 0 {
		sleep.For(ctx, roleCheckInterval/5)
	}
}

// shouldWatch reports whether this entry VM should hold watches: fewer than
// RelaysPerZone of the entry VMs that rank before it are current relays. Unless
// it ranks among the first RelaysPerZone or already watches, that must have
// lasted for its takeover delay. tooFewSince records since when there have been
// too few; zero if there are enough.
func (r *Relay) shouldWatch(tooFewSince *time.Time, now time.Time) bool {
	n, relaying := rank(r.opts.Self.ID, r.opts.Self.Zone, r.opts.Peers.Peers())
	if relaying >= RelaysPerZone {
		*tooFewSince = time.Time{}
		return false
	}
	if n < RelaysPerZone || r.Watching() {
		return true
	}
	if tooFewSince.IsZero() {
		*tooFewSince = now
	}
	return now.Sub(*tooFewSince) >= takeoverDelay+time.Duration(n)*takeoverDelayPerRank
}

// age returns the time since the view was last known to be current.
func (r *Relay) age() time.Duration { return time.Since(r.opts.View.Load().AsOf) }
