// Package relay keeps this entry VM's view of the fleet current. One or two
// entry VMs a zone hold the platform's watches and pass changes on to the
// others, so that calls to the platform grow with zones and not with entry
// VMs. Nothing is elected: two relays at once do no harm, and where all fall
// silent each entry VM asks the platform itself.
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
	// decideEvery is how often the role and the source of the view are
	// decided anew.
	decideEvery = 250 * time.Millisecond
	// pollEvery is how often a relay is asked whether it is still current. A
	// view's age is known to this; changes come at once without asking.
	pollEvery = time.Second
	// beaconEvery is how often a relay proves that its watch is current, by
	// a write it then sees come back. Two relays in each of 6 zones make 6
	// writes a second of it.
	beaconEvery = 2 * time.Second
	// relayCurrent is the age from which a relay no longer counts as
	// current: two beacons and a call's timeout missing.
	relayCurrent = 2*beaconEvery + callTimeout
	// takeOver is how long an entry VM that is not among the first of its
	// zone sees too few of them relay before it does so itself; each rank
	// waits a little longer, so that a platform that returns is not read by
	// all at once.
	takeOver        = time.Second
	takeOverPerRank = time.Second
	// keepWatch is how long a watch is held on after the role is gone; a
	// peer that comes and goes then moves no watches.
	keepWatch = 5 * time.Second
	// resumeWithin is the age up to which a view is carried on from its
	// revision; an older one is read anew. A store that was restored to an
	// older state and has since passed the view's revision would otherwise
	// go unnoticed, and what it changed on the way would never be seen. No
	// restore is done, and overtaken, in this time.
	resumeWithin = 30 * time.Second
	// startGrace is how long a starting daemon waits for peers before it
	// believes the store: a store restored to an older state would give it a
	// declaration that was replaced long ago.
	startGrace = 2 * time.Second
	// callTimeout bounds each call to the platform, which answers in
	// milliseconds.
	callTimeout = 2 * time.Second
)

// Peers is what the relay needs of the peer mesh.
type Peers interface {
	Peers() []peer.Status
	Send(to model.EntryID, k peer.Kind, msg any) bool
	Handle(k peer.Kind, h peer.Handler)
}

// Options are what a Relay needs; all but Log must be set.
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
	polls *polls

	watching atomic.Bool // the source is open
	behind   atomic.Bool // the store is older than what was accepted
	tasks    sync.WaitGroup
}

// New returns a Relay and sets its handlers on the peers, so call it before
// their Run.
func New(opts Options) *Relay {
	r := &Relay{opts: opts, state: newState(opts.View, opts.Log), subs: newSubscribers(), polls: newPolls()}
	opts.Peers.Handle(peer.KindViewPoll, r.onPoll)
	opts.Peers.Handle(peer.KindView, r.onView)
	return r
}

// Watching reports whether this entry VM holds the platform's watch; peers
// are told so in digests.
func (r *Relay) Watching() bool { return r.watching.Load() }

// StoreBehind reports whether the platform's store is older than the view
// accepted here, as after a restore from a backup. Planned stops must wait
// until it is not.
func (r *Relay) StoreBehind() bool { return r.behind.Load() }

// Run keeps the view current and this entry VM registered until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	r.tasks.Go(func() { r.keepRegistered(ctx) })
	r.tasks.Go(func() { r.pushChanges(ctx) })
	r.tasks.Go(func() { r.superviseSource(ctx) })
	r.pollPeers(ctx)
	r.tasks.Wait()
}

// superviseSource opens the platform's watch while this entry VM should hold
// it.
func (r *Relay) superviseSource(ctx context.Context) {
	r.awaitPeers(ctx)
	var close func()
	var short, unwantedSince time.Time
	for ctx.Err() == nil {
		now := time.Now()
		switch {
		case r.mayWatch(&short, now):
			unwantedSince = time.Time{}
			if close == nil {
				close = r.openSource(ctx)
			}
		case close != nil && unwantedSince.IsZero():
			unwantedSince = now
		case close != nil && now.Sub(unwantedSince) >= keepWatch:
			close()
			close = nil
		}
		sleep.For(ctx, decideEvery)
	}
	if close != nil {
		close()
	}
}

// openSource starts a source and returns what ends it and waits for its end.
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

// awaitPeers gives peers the chance to say what was accepted, before the
// store is believed.
func (r *Relay) awaitPeers(ctx context.Context) {
	until := time.Now().Add(startGrace)
	for ctx.Err() == nil && time.Now().Before(until) && r.state.versions().Generation == 0 {
		sleep.For(ctx, decideEvery/5)
	}
}

// mayWatch reports whether this entry VM's turn has come to hold the watch:
// fewer than RelaysPerZone that come before it do so, for long enough.
func (r *Relay) mayWatch(short *time.Time, now time.Time) bool {
	n, relaying := rank(r.opts.Self.ID, r.opts.Self.Zone, r.opts.Peers.Peers())
	if relaying >= RelaysPerZone {
		*short = time.Time{}
		return false
	}
	if n < RelaysPerZone || r.Watching() {
		return true
	}
	if short.IsZero() {
		*short = now
	}
	return now.Sub(*short) >= takeOver+time.Duration(n)*takeOverPerRank
}

func (r *Relay) age() time.Duration { return time.Since(r.opts.View.Load().AsOf) }
