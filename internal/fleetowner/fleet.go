// Package fleetowner carries out what concerns VMs across services: maintenance
// waves, and moves between pools. One entry VM at a time has this duty. It reads
// the platform's list of VMs, asks the owners of the cells what runs on them, and
// orders a VM away only after its cell's owner has closed it.
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

// Waves are the operator's maintenance waves.
type Waves interface {
	// Ordered returns the waves that the operator has ordered.
	Ordered() []OrderedWave
	// Report tells the operator how a wave stands.
	Report(ctx context.Context, wave string, completed bool) error
}

// OrderedWave is a wave and when this entry VM first saw it.
type OrderedWave struct {
	work.Wave
	Seen time.Duration
}

// Cells reaches the owners of the cells.
type Cells interface {
	Sync(ctx context.Context, cell string, s engine.CellSync) (engine.CellAnswer, error)
}

// Pace of the fleet's reconciler.
const (
	// passEvery separates passes. Reports of cells cost little, and each of
	// these milliseconds is one later for the VMs that a burst needs.
	passEvery = 80 * time.Millisecond
	// listQuiet separates lists of the VMs, which are priced, while no work
	// waits and no order or wave is under way.
	listQuiet = 500 * time.Millisecond
	// listTimeout ends a call to the platform's VM service.
	listTimeout = 1 * time.Second
	// syncTimeout ends a call to a cell's owner.
	syncTimeout = 500 * time.Millisecond
	// storeTimeout ends a call to the store.
	storeTimeout = 700 * time.Millisecond
	// vmOrderPause keeps orders for a VM apart from an earlier owner's that is
	// still being carried out: two owners that take turns at one VM within a
	// lease undo each other's orders.
	vmOrderPause = 3200 * time.Millisecond
	// orderOver is when an order for a VM without visible effect is given up:
	// the platform may carry one out up to 12 s late.
	orderOver = 13 * time.Second
	// acceptedOver is when a VM that is up has come back from an accepted order,
	// though no list showed it away: lists may fail, and a parked VM has no
	// life that would change.
	acceptedOver = 1 * time.Second
)

// Options are what a Fleet is made of.
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
	// ListRate is how many reads of the list of VMs the platform takes a second, from
	// all entry VMs together; 0: any number.
	ListRate float64
}

// Fleet is the duty for one term.
type Fleet struct {
	Options

	began    time.Duration
	listed   time.Duration // when the VMs were last listed
	vms      map[string]work.VM
	cells    map[string]*cellView
	waves    map[string]*waveRun
	due      map[work.WorkerID]bool   // workers whose VMs a wave has yet to take
	lastBusy map[string]time.Duration // when each service last had a backlog
	// inherited are the VMs that were not up when this owner took over.
	inherited map[string]bool
	wg        sync.WaitGroup

	mu     sync.Mutex
	orders map[string]*vmOrder // by VM
}

// New returns the duty for a term.
func New(o Options) *Fleet {
	return &Fleet{
		Options: o, waves: make(map[string]*waveRun), lastBusy: make(map[string]time.Duration),
		orders: make(map[string]*vmOrder), due: make(map[work.WorkerID]bool), cells: make(map[string]*cellView),
	}
}

// Run reconciles until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	f.began = f.Clock.Now()
	defer f.wg.Wait()
	f.Log.Info("fleet taken over", "token", f.Term.Token())
	for ctx.Err() == nil {
		f.pass(ctx)
		sleep.For(ctx, passEvery)
	}
}

func (f *Fleet) busy() bool {
	f.mu.Lock()
	orders := len(f.orders)
	f.mu.Unlock()
	if orders > 0 {
		return true
	}
	for _, c := range f.cells {
		if c.HasBacklog() || c.Arriving > 0 || c.MissingVMs > 0 || c.TrialVMs > 0 {
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

// pass looks once at everything and acts on it. Between two lists it goes by the last
// one and by its own orders since: cells refuse to give up what is in use.
func (f *Fleet) pass(ctx context.Context) {
	f.syncCells(ctx, nil)
	now := f.Clock.Now()
	if !f.busy() && now < f.listed+listQuiet {
		return
	}
	if f.vms == nil || now >= f.listed+polling.MinListInterval(len(f.vms), f.ListRate) {
		if !f.list(ctx) {
			return
		}
	}
	if !f.Term.Certain() {
		return
	}
	var orders []cellOrder
	clear(f.due)
	for _, w := range f.Waves.Ordered() {
		orders = append(orders, f.wave(ctx, w)...)
	}
	f.send(ctx, append(orders, f.restCordons()...))
	f.rebalance(ctx)
}

// list reads the VMs; false where it could not.
func (f *Fleet) list(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sent := f.Clock.Now()
	list, err := f.Machines.List(call)
	if err != nil {
		f.Log.Info("VMs not listed", "error", err.Error())
		return false
	}
	f.listed = sent
	f.inherit(list)
	f.vms = make(map[string]work.VM, len(list))
	for _, vm := range list {
		f.vms[vm.ID] = vm
	}
	f.send(ctx, f.cellsOf(f.settle(sent)))
	return true
}
