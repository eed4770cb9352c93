package relay

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// subscriptionFor is how long a poll subscribes to changes; three polls
	// in a row must be missing.
	subscriptionFor = 3 * pollEvery
	// pushEvery is the shortest time between two pushes to the subscribers.
	// What changes in between goes in one frame.
	pushEvery = 20 * time.Millisecond
	// pollsOpen is how many polls may wait for their answer.
	pollsOpen = 8
)

// polls remembers when each open poll was sent: the answer says how old the
// sender's view was, and only the time of asking is known to be before that.
// By the time of receiving, a view held up on the way would look fresh.
type polls struct {
	mu   sync.Mutex
	last uint64
	sent map[uint64]time.Time
}

func newPolls() *polls { return &polls{sent: make(map[uint64]time.Time)} }

func (p *polls) open(now time.Time) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last++
	p.sent[p.last] = now
	delete(p.sent, p.last-pollsOpen)
	return p.last
}

// close returns when the poll was sent; the zero time if it is not open.
func (p *polls) close(nonce uint64) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.sent[nonce]
	delete(p.sent, nonce)
	return at
}

// pollPeers asks a peer for what is newer until ctx ends.
func (r *Relay) pollPeers(ctx context.Context) {
	var last time.Time
	for ctx.Err() == nil {
		wait := pollEvery
		if r.state.versions().Generation == 0 {
			wait = decideEvery
		}
		if time.Since(last) >= wait && r.pollOnce() {
			last = time.Now()
		}
		sleep.For(ctx, decideEvery/5)
	}
}

func (r *Relay) pollOnce() bool {
	have := r.state.versions()
	age := r.age()
	peers := r.opts.Peers.Peers()
	if r.Watching() && age < relayCurrent && !anyAhead(have, peers) {
		return false
	}
	target, ok := source(r.opts.Self.ID, r.opts.Self.Zone, have, age, peers)
	if !ok {
		return false
	}
	nonce := r.polls.open(time.Now())
	return r.opts.Peers.Send(target, peer.KindViewPoll, poll{Nonce: nonce, Have: have})
}

// anyAhead reports whether a live peer has accepted a newer declaration.
func anyAhead(have versions, peers []peer.Status) bool {
	for _, p := range peers {
		if p.Live && p.Generation > have.Generation {
			return true
		}
	}
	return false
}

// onPoll answers a peer and subscribes it to changes.
func (r *Relay) onPoll(from model.EntryID, body []byte) {
	var p poll
	if err := msgpack.Unmarshal(body, &p); err != nil {
		r.opts.Log.Error(err, "poll not readable", "from", from)
		return
	}
	u := r.state.since(p.Have)
	u.Nonce = p.Nonce
	if r.opts.Peers.Send(from, peer.KindView, u) {
		r.subs.set(from, u.Is, time.Now())
	}
}

// onView takes in an answer or a pushed change.
func (r *Relay) onView(from model.EntryID, body []byte) {
	var u update
	if err := msgpack.Unmarshal(body, &u); err != nil {
		r.opts.Log.Error(err, "view not readable", "from", from)
		return
	}
	var asOf time.Time
	if asked := r.polls.close(u.Nonce); !asked.IsZero() {
		asOf = asked.Add(-time.Duration(u.AgeMillis) * time.Millisecond)
	}
	r.state.merge(u, asOf)
}

// subscribers are the peers that polled here of late, and what each has.
type subscribers struct {
	mu   sync.Mutex
	subs map[model.EntryID]subscriber
}

type subscriber struct {
	has   versions
	until time.Time
}

func newSubscribers() *subscribers {
	return &subscribers{subs: make(map[model.EntryID]subscriber)}
}

func (s *subscribers) set(id model.EntryID, has versions, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs[id] = subscriber{has: has, until: now.Add(subscriptionFor)}
}

// pushed notes what a subscriber has been sent, without renewing it.
func (s *subscribers) pushed(id model.EntryID, has versions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub, ok := s.subs[id]; ok {
		sub.has = has
		s.subs[id] = sub
	}
}

// current returns the live subscribers.
func (s *subscribers) current(now time.Time) map[model.EntryID]versions {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := make(map[model.EntryID]versions)
	for id, sub := range s.subs {
		if now.After(sub.until) {
			delete(s.subs, id)
			continue
		}
		live[id] = sub.has
	}
	return live
}

// pushChanges sends changes to the subscribers: the first at once, those that
// follow within pushEvery together.
func (r *Relay) pushChanges(ctx context.Context) {
	var pushed time.Time
	for ctx.Err() == nil {
		changed := r.opts.View.Changed()
		if r.pushOnce() {
			pushed = time.Now()
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
		if since := time.Since(pushed); since < pushEvery {
			sleep.For(ctx, pushEvery-since)
		}
	}
}

// pushOnce sends each subscriber what it lacks and reports whether any did.
func (r *Relay) pushOnce() bool {
	pushed := false
	mine := r.state.versions()
	for id, has := range r.subs.current(time.Now()) {
		if has.Revision >= mine.Revision && has.Entries >= mine.Entries && has.Generation >= mine.Generation {
			continue
		}
		u := r.state.since(has)
		if r.opts.Peers.Send(id, peer.KindView, u) {
			r.subs.pushed(id, u.Is)
			pushed = true
		}
	}
	return pushed
}
