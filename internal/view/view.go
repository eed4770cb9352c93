// Package view holds what this entry VM knows of the fleet: an immutable
// snapshot that may be stale and never steps back. Decisions that must be
// right are CAS in the store; a view only tells what to try.
package view

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// VMRecord is a VM with the revision of its key, for CAS and for fencing.
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
	// Incarnation tells runs of the daemon under one ID apart: a restarted
	// one has acknowledged nothing and holds no claims of the earlier one. It
	// grows from run to run: the time of the start, in nanoseconds.
	Incarnation uint64
}

// Snapshot is one consistent view. It and all it points to are read-only.
type Snapshot struct {
	Revision    infra.Revision // of the store, up to which VMs and Entries are known
	AsOf        time.Time      // when this was last known to be current
	Declaration *model.Declaration
	VMs         map[model.VMID]VMRecord
	Entries     []EntryRecord
}

// Generation returns the declaration's generation, 0 before the first.
func (s *Snapshot) Generation() uint64 {
	if s.Declaration == nil {
		return 0
	}
	return s.Declaration.Generation
}

// Holder hands out the newest snapshot. It is safe for concurrent use.
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

// Publish makes next the newest snapshot and reports whether it did. A
// snapshot of an older revision or generation is refused: after a heal a
// lagging relay would otherwise take an accepted configuration back.
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
