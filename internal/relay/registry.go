package relay

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// ErrStoreBehind means that the store's revision is lower than one that entry
// VMs have accepted, as after a restore from a backup. The revisions of such a
// store can't be compared with those that were acknowledged.
var ErrStoreBehind = errors.New("relay: the store is older than the accepted view")

// registrationCacheTTL is how long the registrations read from the store are
// reused. A wave that waits for acknowledgements queries them several times a
// second.
const registrationCacheTTL = time.Second

// Registry tells which live entry VMs have applied a revision or a declaration.
// An entry VM counts as live if it is registered in the store, or if its
// registration expired but it still sends digests: one that has lost contact
// with the platform goes on forwarding requests. What each has applied is
// taken from its digests. Registry is safe for concurrent use.
type Registry struct {
	self  view.EntryRecord
	store infra.Store
	view  *view.Holder
	peers interface{ Peers() []peer.Status }

	mu      sync.Mutex
	entries []view.EntryRecord
	readAt  time.Time
}

// NewRegistry returns a Registry. It takes the options of the Relay but uses
// only Self, Store, View and Peers.
func NewRegistry(opts Options) *Registry {
	return &Registry{self: opts.Self, store: opts.Store, view: opts.View, peers: opts.Peers}
}

// Missing returns the live entry VMs, sorted by ID, that have not acknowledged
// all revisions up to since. It reads the store at most once a second. It
// returns ErrStoreBehind if the store is older than what was accepted.
func (g *Registry) Missing(ctx context.Context, since infra.Revision) ([]model.EntryID, error) {
	_, missing, err := g.partition(ctx, func(rev infra.Revision, _ uint64) bool { return rev >= since })
	return missing, err
}

// InForce returns the live entry VMs that have applied the declaration of the
// generation or a later one, and those that are not known to have; both are
// sorted by ID. It returns ErrStoreBehind if the store is older than what was
// accepted.
func (g *Registry) InForce(ctx context.Context, generation uint64) (have, missing []model.EntryID, err error) {
	return g.partition(ctx, func(_ infra.Revision, gen uint64) bool { return gen >= generation })
}

// partition divides the live entry VMs by whether what they acknowledged
// satisfies the condition.
func (g *Registry) partition(ctx context.Context, satisfied func(infra.Revision, uint64) bool) (have, missing []model.EntryID, err error) {
	entries, err := g.registered(ctx)
	if err != nil {
		return nil, nil, err
	}
	statuses := make(map[model.EntryID]peer.Status)
	for _, p := range g.peers.Peers() {
		statuses[p.Entry] = p
	}
	for _, e := range withUnregisteredPeers(entries, statuses) {
		if g.acknowledged(e, statuses, satisfied) {
			have = append(have, e.ID)
		} else {
			missing = append(missing, e.ID)
		}
	}
	return have, missing, nil
}

// withUnregisteredPeers returns the registered entry VMs together with the
// live peers that are not registered, sorted by ID.
func withUnregisteredPeers(registered []view.EntryRecord, statuses map[model.EntryID]peer.Status) []view.EntryRecord {
	all := slices.Clone(registered)
	for id, p := range statuses {
		known := slices.ContainsFunc(registered, func(e view.EntryRecord) bool { return e.ID == id })
		if p.Live && !known {
			all = append(all, view.EntryRecord{ID: id, Zone: p.Zone, Incarnation: p.Incarnation})
		}
	}
	slices.SortFunc(all, func(a, b view.EntryRecord) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// acknowledged reports whether what the entry VM has acknowledged satisfies the
// condition.
func (g *Registry) acknowledged(e view.EntryRecord, statuses map[model.EntryID]peer.Status, satisfied func(infra.Revision, uint64) bool) bool {
	if e.ID == g.self.ID && e.Incarnation == g.self.Incarnation {
		v := g.view.Load()
		return satisfied(v.Revision, v.Generation())
	}
	// Views never go backwards within an incarnation, so an old digest of the
	// same incarnation remains valid. A digest of an older incarnation doesn't
	// count.
	p, known := statuses[e.ID]
	return known && p.Incarnation == e.Incarnation && satisfied(p.Revision, p.Generation)
}

// registered returns the registered entry VMs, read again from the store if the
// cached ones are older than registrationCacheTTL.
func (g *Registry) registered(ctx context.Context) ([]view.EntryRecord, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.readAt.IsZero() || time.Since(g.readAt) >= registrationCacheTTL {
		if err := g.readLocked(ctx); err != nil {
			return nil, err
		}
	}
	return g.entries, nil
}

func (g *Registry) readLocked(ctx context.Context) error {
	started := time.Now()
	accepted := g.highestAccepted()
	kvs, rev, err := g.store.Range(ctx, infra.EntryPrefix)
	if err != nil {
		return trace.Wrap(err)
	}
	if rev < accepted {
		return trace.Wrap(ErrStoreBehind, "store at %d, accepted %d", rev, accepted)
	}
	entries := make([]view.EntryRecord, 0, len(kvs))
	for _, kv := range kvs {
		var e view.EntryRecord
		if err := json.Unmarshal(kv.Value, &e); err != nil {
			return trace.Wrap(err, "entry record %s", kv.Key)
		}
		entries = append(entries, e)
	}
	g.entries, g.readAt = entries, started
	return nil
}

// highestAccepted returns the highest revision that any entry VM has reported.
// A store that answers with a lower one has been restored from a backup: old
// digests would then count as acknowledgements of revisions that are yet to be
// written.
func (g *Registry) highestAccepted() infra.Revision {
	highest := g.view.Load().Revision
	for _, p := range g.peers.Peers() {
		highest = max(highest, p.Revision)
	}
	return highest
}
