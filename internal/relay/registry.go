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

// ErrStoreBehind means that the store is older than what entry VMs have
// accepted, as after a restore from a backup: its revisions say nothing about
// what was acknowledged.
var ErrStoreBehind = errors.New("relay: the store is older than the accepted view")

// registeredFor is how long one reading of the registrations serves. A wave
// that waits for acknowledgements asks some times a second.
const registeredFor = time.Second

// Registry answers which live entry VMs have what in force. Live are those
// registered in the store, and those heard of late though their registration
// lapsed: one that lost the platform goes on sending requests. What each has,
// its digests say. It is safe for concurrent use.
type Registry struct {
	self  view.EntryRecord
	store infra.Store
	view  *view.Holder
	peers interface{ Peers() []peer.Status }

	mu      sync.Mutex
	entries []view.EntryRecord
	read    time.Time
}

// NewRegistry returns a Registry; it takes the same options as the Relay.
func NewRegistry(opts Options) *Registry {
	return &Registry{self: opts.Self, store: opts.Store, view: opts.View, peers: opts.Peers}
}

// Missing returns the live entry VMs that have not acknowledged everything up
// to since, sorted. It costs at most one read a second.
func (g *Registry) Missing(ctx context.Context, since infra.Revision) ([]model.EntryID, error) {
	_, missing, err := g.split(ctx, func(rev infra.Revision, _ uint64) bool { return rev >= since })
	return missing, err
}

// InForce returns the live entry VMs that have the declaration of the
// generation, or a later one, in force, and those not known to.
func (g *Registry) InForce(ctx context.Context, generation uint64) (have, missing []model.EntryID, err error) {
	return g.split(ctx, func(_ infra.Revision, gen uint64) bool { return gen >= generation })
}

func (g *Registry) split(ctx context.Context, ok func(infra.Revision, uint64) bool) (have, missing []model.EntryID, err error) {
	entries, err := g.registered(ctx)
	if err != nil {
		return nil, nil, err
	}
	said := make(map[model.EntryID]peer.Status)
	for _, p := range g.peers.Peers() {
		said[p.Entry] = p
	}
	for _, e := range withHeard(entries, said) {
		if g.has(e, said, ok) {
			have = append(have, e.ID)
		} else {
			missing = append(missing, e.ID)
		}
	}
	return have, missing, nil
}

// withHeard adds the live peers that are not registered, and sorts by ID.
func withHeard(registered []view.EntryRecord, said map[model.EntryID]peer.Status) []view.EntryRecord {
	all := slices.Clone(registered)
	for id, p := range said {
		known := slices.ContainsFunc(registered, func(e view.EntryRecord) bool { return e.ID == id })
		if p.Live && !known {
			all = append(all, view.EntryRecord{ID: id, Zone: p.Zone, Incarnation: p.Incarnation})
		}
	}
	slices.SortFunc(all, func(a, b view.EntryRecord) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (g *Registry) has(e view.EntryRecord, said map[model.EntryID]peer.Status, ok func(infra.Revision, uint64) bool) bool {
	if e.ID == g.self.ID && e.Incarnation == g.self.Incarnation {
		v := g.view.Load()
		return ok(v.Revision, v.Generation())
	}
	// Views never step back within a run, so that an old digest of the same
	// run acknowledges for good. An earlier run's says nothing.
	p, heard := said[e.ID]
	return heard && p.Incarnation == e.Incarnation && ok(p.Revision, p.Generation)
}

// registered returns the registrations, read anew where the last reading is
// too old.
func (g *Registry) registered(ctx context.Context) ([]view.EntryRecord, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.read.IsZero() || time.Since(g.read) >= registeredFor {
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
	g.entries, g.read = entries, started
	return nil
}

// highestAccepted returns the highest revision any entry VM has said to have.
// A store that answers with a lower one has been restored: every old digest
// would then count as an acknowledgement of what is yet to be written.
func (g *Registry) highestAccepted() infra.Revision {
	highest := g.view.Load().Revision
	for _, p := range g.peers.Peers() {
		highest = max(highest, p.Revision)
	}
	return highest
}
