// Package fleet runs maintenance waves, drains and moves of VMs between pools.
//
// Every entry VM may run a Fleet. It is a level-triggered reconciler: each pass
// reads the current state of a VM and does the next step towards its desired
// state. Every step is a compare-and-swap on the VM's key, the ledgers of the
// affected services and the wave's key, so any number of reconcilers may run
// concurrently, pause or crash.
//
// A wave is a maintenance roll-out that reboots the VMs of its pools one batch
// after another. A ledger lists the planned stops of one service's VMs that are
// in progress. A planned stop takes a VM out of its pool. An order is an
// operator's command on one VM or wave, such as a drain, a move or an undrain.
//
// A VM that is out of its pool has a holder: the wave or the order that took it
// out, or a join. A join is the admission of a VM that was declared later than
// its pool; the VM enters the pool once it has proven healthy.
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

// Acks reports which live entry VMs have not yet acknowledged a store revision,
// that is, whose view of the fleet may be older.
type Acks interface {
	// Missing returns the live entry VMs that may still act on a view older
	// than since. It returns an error if that can't be determined.
	Missing(ctx context.Context, since infra.Revision) ([]model.EntryID, error)
}

// Options configures a Fleet. Store, Machines, View, Acks, Health and Self are
// required.
type Options struct {
	Store    infra.Store
	Machines infra.Machines
	View     *view.Holder
	Acks     Acks
	// Health returns the health of a VM as this entry VM observes it. It must
	// cover VMs in probation as well as those in a pool.
	Health       func(model.VMID) model.Health
	Clock        clockwork.Clock // the system clock if nil
	Log          logr.Logger
	Self         model.EntryID
	NewID        func() string // returns a unique ID; random IDs if nil
	PassInterval time.Duration // time between two passes while there is work; busyPassInterval if 0
}

// Fleet is the reconciler of one entry VM. It also carries out the orders of
// operators on waves and VMs and answers queries about them. It is safe for
// concurrent use.
type Fleet struct {
	store        infra.Store
	machines     infra.Machines
	view         *view.Holder
	acks         Acks
	health       func(model.VMID) model.Health
	clock        clockwork.Clock
	log          logr.Logger
	self         model.EntryID
	newID        func() string
	passInterval time.Duration
	wake         chan struct{} // makes Run start a pass at once

	passMu sync.Mutex // held during a pass
	// The fields up to mu are used only by passes, under passMu.
	shards        shards
	confirmed     confirmedAttempts
	inFlightPolls pollTimes
	healthySince  map[model.VMID]time.Time // when each VM in probation was first seen healthy without a break

	mu                 sync.Mutex
	machineList        infra.MachineList // the newest list of VMs fetched from the platform
	machineListFetched time.Time         // when a list was last fetched; zero if never
}

// New returns a Fleet. It does nothing until one of its methods is called.
func New(o Options) *Fleet {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.PassInterval == 0 {
		o.PassInterval = busyPassInterval
	}
	if o.NewID == nil {
		o.NewID = randomID
	}
	return &Fleet{
		store:         o.Store,
		machines:      o.Machines,
		view:          o.View,
		acks:          o.Acks,
		health:        o.Health,
		clock:         o.Clock,
		log:           o.Log,
		self:          o.Self,
		newID:         o.NewID,
		passInterval:  o.PassInterval,
		wake:          make(chan struct{}, 1),
		shards:        newShards(),
		confirmed:     make(confirmedAttempts),
		inFlightPolls: make(pollTimes),
		healthySince:  make(map[model.VMID]time.Time),
	}
}

func randomID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // documented never to fail
	return hex.EncodeToString(b[:])
}

// changeID returns a new ID for a change that this reconciler makes without an
// order.
func (f *Fleet) changeID() model.ChangeID {
	return model.ChangeID(string(f.self) + "-" + f.newID())
}

// attemptID returns the ID of a new attempt to drain or reboot a VM. The platform
// applies an attempt at most once.
func (f *Fleet) attemptID(vm model.VMID) model.AttemptID {
	return model.AttemptID(string(vm) + "-" + f.newID())
}

// Wake makes Run start its next pass at once.
func (f *Fleet) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
