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
	// subscriptionTTL is how long a poll subscribes its sender to changes. A
	// subscription expires after three missed polls.
	subscriptionTTL = 3 * pollInterval
	// minPushInterval is the minimum time between two pushes to the
	// subscribers. Changes within it are sent together in one frame.
	minPushInterval = 20 * time.Millisecond
	// maxPendingPolls is how many polls may await an answer; older ones are
	// forgotten.
	maxPendingPolls = 8
)

// pendingPolls records when each unanswered poll was sent. An answer states
// the age of the sender's view, and only the send time of the poll is certain
// to precede the moment at which that age was taken. If the age were counted
// from receipt, an answer delayed in transit would look fresh.
type pendingPolls struct {
	mu        sync.Mutex
	lastNonce uint64
	sentAt    map[uint64]time.Time
}

func newPendingPolls() *pendingPolls { return &pendingPolls{sentAt: make(map[uint64]time.Time)} }

// add records a poll sent at now and returns its nonce.
func (p *pendingPolls) add(now time.Time) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNonce++
	p.sentAt[p.lastNonce] = now
	delete(p.sentAt, p.lastNonce-maxPendingPolls)
	return p.lastNonce
}

// remove forgets the poll and returns when it was sent, or the zero time if no
// such poll is pending.
func (p *pendingPolls) remove(nonce uint64) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.sentAt[nonce]
	delete(p.sentAt, nonce)
	return at
}

// pollPeers polls a peer for a newer view every pollInterval until ctx ends.
// Without a declaration it polls every roleCheckInterval.
func (r *Relay) pollPeers(ctx context.Context) {
	var last time.Time
	for ctx.Err() == nil {
		wait := pollInterval
		if r.state.versions().Generation == 0 {
			wait = roleCheckInterval
		}
		if time.Since(last) >= wait && r.pollOnce() {
			last = time.Now()
		}
		sleep.For(ctx, roleCheckInterval/5)
	}
}

// pollOnce sends a poll to the best source and reports whether it did. A relay
// with a current view polls only if a peer has a newer declaration.
func (r *Relay) pollOnce() bool {
	have := r.state.versions()
	age := r.age()
	peers := r.opts.Peers.Peers()
	if r.Watching() && age < maxRelayAge && !anyNewerGeneration(have, peers) {
		return false
	}
	target, ok := selectSource(r.opts.Self.ID, r.opts.Self.Zone, have, age, peers)
	if !ok {
		return false
	}
	nonce := r.polls.add(time.Now())
	return r.opts.Peers.Send(target, peer.KindViewPoll, poll{Nonce: nonce, Have: have})
}

// anyNewerGeneration reports whether a live peer has accepted a declaration of
// a higher generation.
func anyNewerGeneration(have versions, peers []peer.Status) bool {
	for _, p := range peers {
		if p.Live && p.Generation > have.Generation {
			return true
		}
	}
	return false
}

// handlePoll answers a peer's poll and subscribes the peer to changes.
func (r *Relay) handlePoll(from model.EntryID, body []byte) {
	var p poll
	if err := msgpack.Unmarshal(body, &p); err != nil {
		r.opts.Log.Error(err, "cannot decode a peer's poll", "from", from)
		return
	}
	u := r.state.deltaFor(p.Have)
	u.Nonce = p.Nonce
	if r.opts.Peers.Send(from, peer.KindView, u) {
		r.subs.set(from, u.Versions, time.Now())
	}
}

// handleUpdate merges an answer to a poll or a pushed change.
func (r *Relay) handleUpdate(from model.EntryID, body []byte) {
	var u update
	if err := msgpack.Unmarshal(body, &u); err != nil {
		r.opts.Log.Error(err, "cannot decode a peer's view update", "from", from)
		return
	}
	var asOf time.Time
	if asked := r.polls.remove(u.Nonce); !asked.IsZero() {
		asOf = asked.Add(-time.Duration(u.AgeMillis) * time.Millisecond)
	}
	r.state.merge(u, asOf)
}

// subscribers holds the peers whose poll was answered within subscriptionTTL,
// and the versions last sent to each.
type subscribers struct {
	mu   sync.Mutex
	subs map[model.EntryID]subscriber
}

type subscriber struct {
	sent    versions
	expires time.Time
}

func newSubscribers() *subscribers {
	return &subscribers{subs: make(map[model.EntryID]subscriber)}
}

func (s *subscribers) set(id model.EntryID, has versions, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs[id] = subscriber{sent: has, expires: now.Add(subscriptionTTL)}
}

// recordSent records the versions sent to a subscriber without extending its
// subscription.
func (s *subscribers) recordSent(id model.EntryID, has versions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub, ok := s.subs[id]; ok {
		sub.sent = has
		s.subs[id] = sub
	}
}

// active drops expired subscriptions and returns the versions last sent to
// each remaining subscriber.
func (s *subscribers) active(now time.Time) map[model.EntryID]versions {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := make(map[model.EntryID]versions)
	for id, sub := range s.subs {
		if now.After(sub.expires) {
			delete(s.subs, id)
			continue
		}
		live[id] = sub.sent
	}
	return live
}

// pushChanges sends changes to the subscribers until ctx ends: the first at
// once, those that follow within minPushInterval together.
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
		if since := time.Since(pushed); since < minPushInterval {
			sleep.For(ctx, minPushInterval-since)
		}
	}
}

// pushOnce sends each subscriber the changes that it lacks and reports whether
// anything was sent.
func (r *Relay) pushOnce() bool {
	pushed := false
	mine := r.state.versions()
	for id, has := range r.subs.active(time.Now()) {
		if has.Revision >= mine.Revision && has.Entries >= mine.Entries && has.Generation >= mine.Generation {
			continue
		}
		u := r.state.deltaFor(has)
		if r.opts.Peers.Send(id, peer.KindView, u) {
			r.subs.recordSent(id, u.Versions)
			pushed = true
		}
	}
	return pushed
}
