// Package view holds this entry VM's view of the fleet: an immutable snapshot
// that may be stale but never goes backwards. Decisions that must be correct
// are made by compare-and-swap (CAS) in the store; a view only tells which to
// attempt.
package view

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// VMRecord is a VM with the revision of its key in the store, which is used for
// CAS and for fencing.
type VMRecord struct {
	model.VM
	Revision infra.Revision
}

// EntryRecord is one entry VM as registered in the store.
type EntryRecord struct {
	ID       model.EntryID
	Zone     model.ZoneName
	Peer     string // host:port of its peer listener
	Caller   string // host:port of its caller listener
	Operator string // host:port of its operator listener
	// Incarnation distinguishes runs of the daemon under one ID: a restarted
	// daemon has acknowledged nothing and holds no claims of the run before.
	// It is the start time in Unix nanoseconds and increases with each run.
	Incarnation uint64
}

// Snapshot is one consistent view of the fleet. It and everything that it
// points to are read-only.
type Snapshot struct {
	Revision    infra.Revision     // store revision up to which VMs and Entries are known
	AsOf        time.Time          // when the snapshot was last known to be current; zero if never
	Declaration *model.Declaration // nil before the first
	VMs         map[model.VMID]VMRecord
	Entries     []EntryRecord
}

// Generation returns the declaration's generation, 0 before the first
// declaration.
func (s *Snapshot) Generation() uint64 {
	if s.Declaration == nil {
		return 0
	}
	return s.Declaration.Generation
}

// Holder holds the newest snapshot. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changed chan struct{}
}

// NewHolder returns a Holder with an empty snapshot.
func NewHolder() *Holder {
	h := &Holder{changed: make(chan struct{})}
	h.current.Store(&Snapshot{})
	return h
}

// Load returns the newest snapshot, never nil.
func (h *Holder) Load() *Snapshot { return h.current.Load() }

// Changed returns a channel that is closed at the next Publish.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Publish makes next the newest snapshot and reports whether it did. It refuses
// a snapshot of a lower revision or generation: otherwise a lagging relay
// could revert an accepted configuration after a network partition heals.
func (h *Holder) Publish(next *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	if next.Revision < old.Revision || next.Generation() < old.Generation() {
		return false
	}
	h.current.Store(next)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}
