// Package fleet carries maintenance waves, drains and moves through the fleet.
//
// Every entry VM may run a Fleet. It is level-driven: each pass reads where a
// VM stands and does the next step towards where it should stand. All steps
// are compare-and-swap on the VM's key, the ledgers of the services concerned
// and the wave's key, so any number of them may work at once, pause or die.
package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Acks tells which live entry VMs have not yet a view of at least a revision.
type Acks interface {
	// Missing names the live entry VMs that may still act on a view older
	// than since. An error means that it is not known.
	Missing(ctx context.Context, since infra.Revision) ([]model.EntryID, error)
}

// Options are what a Fleet works with. Store, Machines, View, Acks, Health
// and Self are required.
type Options struct {
	Store    infra.Store
	Machines infra.Machines
	View     *view.Holder
	Acks     Acks
	// Health returns what this entry VM knows of a VM first hand; it must
	// know VMs in probation as well as those in a pool.
	Health func(model.VMID) model.Health
	Clock  clockwork.Clock // the real one if nil
	Log    logr.Logger
	Self   model.EntryID
	NewID  func() string // makes unique IDs; random if nil
	Every  time.Duration // between two passes while there is work; a second if 0
}

// Fleet is the reconciler of one entry VM, and the commands and questions on
// waves and VMs. It is safe for concurrent use.
type Fleet struct {
	store    infra.Store
	machines infra.Machines
	view     *view.Holder
	acks     Acks
	health   func(model.VMID) model.Health
	clock    clockwork.Clock
	log      logr.Logger
	self     model.EntryID
	newID    func() string
	every    time.Duration
	kick     chan struct{} // wakes Run

	step sync.Mutex // one pass at a time
	// What follows is used by passes alone.
	shards  shards
	effects effects
	asks    asks
	healthy map[model.VMID]time.Time // since when a VM in probation is seen healthy

	mu     sync.Mutex
	list   infra.MachineList // the newest list fetched
	listed time.Time         // when it was fetched
}

// New returns a Fleet. It does nothing until Step or Run is called.
func New(o Options) *Fleet {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Every == 0 {
		o.Every = busyEvery
	}
	if o.NewID == nil {
		o.NewID = randomID
	}
	return &Fleet{
		store:    o.Store,
		machines: o.Machines,
		view:     o.View,
		acks:     o.Acks,
		health:   o.Health,
		clock:    o.Clock,
		log:      o.Log,
		self:     o.Self,
		newID:    o.NewID,
		every:    o.Every,
		kick:     make(chan struct{}, 1),
		shards:   newShards(),
		effects:  make(effects),
		asks:     make(asks),
		healthy:  make(map[model.VMID]time.Time),
	}
}

func randomID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, by its contract
	return hex.EncodeToString(b[:])
}

// changeID returns the ID of a change this reconciler makes by itself.
func (f *Fleet) changeID() model.ChangeID {
	return model.ChangeID(string(f.self) + "-" + f.newID())
}

// attemptID returns the ID of a new attempt at an outside effect.
func (f *Fleet) attemptID(vm model.VMID) model.AttemptID {
	return model.AttemptID(string(vm) + "-" + f.newID())
}

// Wake lets Run pass at once.
func (f *Fleet) Wake() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}
