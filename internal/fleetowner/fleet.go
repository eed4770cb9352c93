// Package fleetowner manages VMs across services: it carries out maintenance waves and moves
// VMs between pools. One entry VM at a time, the fleet's owner, has this duty. It reads the
// platform's list of VMs, asks the owners of the cells (a cell is a service's workers and the
// jobs on them) what runs on the VMs, and orders the maintenance or move of a VM only after
// the cell's owner has cordoned its worker.
package fleetowner

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/polling"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Waves holds the maintenance waves that the operator has ordered.
type Waves interface {
	// Ordered returns the ordered waves.
	Ordered() []OrderedWave
	// Report tells the operator whether a wave is running or completed.
	Report(ctx context.Context, wave string, completed bool) error
}

// OrderedWave is a wave and the time, on the monotonic clock, at which this entry VM first saw
// it.
type OrderedWave struct {
	work.Wave
	Seen time.Duration
}

// Cells calls the owners of the cells.
type Cells interface {
	// Sync sends orders to the owner of the cell and returns its report.
	Sync(ctx context.Context, cell string, s engine.CellSync) (engine.CellAnswer, error)
}

// Intervals and timeouts of the reconciler.
const (
	// passInterval is the time between passes. The cells' reports cost little, and a
	// longer interval delays the VMs that a burst needs.
	passInterval = 80 * time.Millisecond
	// idleListInterval is the time between reads of the list of VMs, which the platform
	// charges for, while no work waits and no order or wave is in progress.
	idleListInterval = 500 * time.Millisecond
	// listTimeout bounds a call to the platform's VM service: a list or an order.
	listTimeout = 1 * time.Second
	// syncTimeout bounds a call to a cell's owner.
	syncTimeout = 500 * time.Millisecond
	// storeTimeout bounds a call to the store.
	storeTimeout = 700 * time.Millisecond
	// inheritedVMPause is how long a new owner gives no orders for a VM that was not up
	// when it took over, as an order of the previous owner may still be in progress: two
	// owners that order the same VM within one lease undo each other's orders.
	inheritedVMPause = 3200 * time.Millisecond
	// orderExpiry is the age at which an order without a visible effect is dropped: the
	// platform may carry out an order up to 12 s late.
	orderExpiry = 13 * time.Second
	// acceptedOrderDelay is the age at which an accepted order counts as carried out if
	// the VM is up, although no list showed it as not up: lists may fail, and a parked VM
	// has no incarnation that would change.
	acceptedOrderDelay = 1 * time.Second
)

// Options are the dependencies of a Fleet.
type Options struct {
	Store    infra.Store
	Machines engine.Machines
	Waves    Waves
	Cells    Cells
	Declared func() engine.Declared
	Clock    engine.Clock
	Term     engine.Term
	Log      logr.Logger
	Metrics  *engine.Metrics
	// ListRate is the number of reads of the list of VMs per second that the platform
	// allows all entry VMs together; 0 stands for no limit.
	ListRate float64
	// Capacity turns the capacity plan on.
	Capacity CapacityOptions
	// OwnerKey is the store key of the fleet's owner. Its revision is the term's token.
	OwnerKey string
}

// Fleet manages the VMs during one term of ownership. All fields but orders and capacity.last are
// used only by the goroutine of Run, or while it waits.
type Fleet struct {
	Options

	startedAt  time.Duration
	lastList   time.Duration // when the VMs were last listed
	vms        map[string]work.VM
	cells      map[string]*cellView
	waves      map[string]*waveRun
	dueWorkers map[work.WorkerID]bool   // workers whose VMs a wave has yet to maintain
	lastBusy   map[string]time.Duration // when each service last had a backlog
	// inherited holds the VMs that were not up in the first list of this term; nil before it.
	inherited map[string]bool
	capacity  capacityState
	zones     zoneState
	wg        sync.WaitGroup

	mu     sync.Mutex
	orders map[string]*vmOrder // orders in progress, by VM
}

// New returns a Fleet for one term.
func New(o Options) *Fleet {
	return &Fleet{
		Options: o, waves: make(map[string]*waveRun), lastBusy: make(map[string]time.Duration),
		orders: make(map[string]*vmOrder), dueWorkers: make(map[work.WorkerID]bool), cells: make(map[string]*cellView),
		capacity: capacityState{answers: make(chan func(), 1)},
		zones:    zoneState{answered: make(map[work.WorkerID]time.Duration), failed: make(map[work.WorkerID]bool)},
	}
}

// Run repeats a reconciliation pass (see pass) until ctx ends: it compares the state of the fleet
// with the ordered waves and the cells' needs, and sends orders. Then it waits for the calls of
// orders that are in flight.
func (f *Fleet) Run(ctx context.Context) {
	f.startedAt = f.Clock.Now()
	defer f.wg.Wait()
	defer f.endCapacity()
	defer f.endZones()
	f.Log.Info("took over the fleet", "token", f.Term.Token())
	for ctx.Err() == nil {
		f.pass(ctx)
		sleep.For(ctx, passInterval)
	}
}

// hasWork reports whether an order or a wave is in progress, a zone is lost, or a cell has work waiting or
// could use more VMs.
func (f *Fleet) hasWork() bool {
	f.mu.Lock()
	orders := len(f.orders)
	f.mu.Unlock()
	if orders > 0 || len(f.zones.lost) > 0 {
		return true
	}
	for _, c := range f.cells {
		if c.HasBacklog() || c.ArrivalRate > 0 || c.MissingVMs > 0 || c.TrialVMs > 0 {
			return true
		}
	}
	for _, w := range f.Waves.Ordered() {
		if r := f.waves[w.Name]; r == nil || !r.Completed {
			return true
		}
	}
	return false
}

// pass is one reconciliation pass: it reads the state of the fleet once and acts on it. Between
// two reads of the list of VMs it relies on the last list and on its own orders since then. An
// outdated list does no harm, as cells refuse to cordon a worker that is in use.
func (f *Fleet) pass(ctx context.Context) {
	f.syncCells(ctx, nil)
	f.observeZones(ctx)
	now := f.Clock.Now()
	if !f.hasWork() && now < f.lastList+idleListInterval {
		return
	}
	if f.vms == nil || now >= f.lastList+polling.MinListInterval(len(f.vms), f.ListRate) {
		first := f.vms == nil
		if !f.listVMs(ctx) {
			return
		}
		if first {
			// Only now are the zones of the reported workers known: this owner may have taken
			// over because its predecessor's zone is lost.
			f.observeZones(ctx)
		}
	}
	if !f.Term.Certain() {
		return
	}
	var orders []cellOrder
	clear(f.dueWorkers)
	for _, w := range f.Waves.Ordered() {
		orders = append(orders, f.advanceWave(ctx, w)...)
	}
	f.send(ctx, append(orders, f.cordonUpdates()...))
	f.rebalance(ctx)
}

// listVMs reads the list of VMs and updates the orders in progress. It returns false if the list
// could not be read.
func (f *Fleet) listVMs(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sent := f.Clock.Now()
	list, err := f.Machines.List(call)
	if err != nil {
		f.Log.Info("listing VMs failed", "error", err.Error())
		return false
	}
	f.lastList = sent
	f.recordInherited(list)
	f.vms = make(map[string]work.VM, len(list))
	for _, vm := range list {
		f.vms[vm.ID] = vm
	}
	f.send(ctx, f.withoutStandby(f.removeFinishedOrders(sent)))
	return true
}
