// Package fleetowner carries out what concerns VMs across services: maintenance
// waves, and moves between pools. One entry VM at a time has this duty. It reads
// the platform's list of VMs, asks the owners of the cells what runs on them, and
// orders a VM away only after its cell's owner has closed it.
package fleetowner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/infra"
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
}

// Fleet is the duty for one term.
type Fleet struct {
	Options

	began    time.Duration
	listed   time.Duration // when the VMs were last listed
	vms      map[string]work.VM
	cells    map[string]*cellView
	waves    map[string]*waveRun
	lastBusy map[string]time.Duration // when each service last had a backlog
	// inherited are the VMs that were not up when this owner took over.
	inherited map[string]bool
	wg        sync.WaitGroup

	mu     sync.Mutex
	orders map[string]*vmOrder // by VM
}

// vmOrder is an order for a VM that may not be over.
type vmOrder struct {
	sent time.Duration
	wave string // the order is maintenance of this wave
	pool string // the order is a move to this pool
	life work.WorkerID
	left bool // the VM was seen to be not up since
	// accepted: the platform has begun to carry it out.
	accepted bool
}

// cellView is what a cell's owner reported in this pass.
type cellView struct {
	engine.CellReport
	byID map[work.WorkerID]*engine.WorkerReport
}

// New returns the duty for a term.
func New(o Options) *Fleet {
	return &Fleet{
		Options: o, waves: make(map[string]*waveRun), lastBusy: make(map[string]time.Duration),
		orders: make(map[string]*vmOrder), cells: make(map[string]*cellView),
	}
}

// Run reconciles until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	f.began = f.Clock.Now()
	defer f.wg.Wait()
	f.Log.Info("fleet taken over", "token", f.Term.Token())
	for ctx.Err() == nil {
		f.pass(ctx)
		sleep(ctx, passEvery)
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
		if c.Backlog > 0 || c.Arriving > 0 || c.Short > 0 {
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

// pass looks once at everything and acts on it.
func (f *Fleet) pass(ctx context.Context) {
	f.syncCells(ctx, nil)
	if !f.busy() && f.Clock.Now() < f.listed+listQuiet {
		return
	}
	call, cancel := context.WithTimeout(ctx, listTimeout)
	sent := f.Clock.Now()
	list, err := f.Machines.List(call)
	cancel()
	if err != nil {
		f.Log.Info("VMs not listed", "error", err.Error())
		return
	}
	f.listed = sent
	f.inherit(list)
	f.vms = make(map[string]work.VM, len(list))
	for _, vm := range list {
		f.vms[vm.ID] = vm
	}
	f.settle(sent)
	if !f.Term.Certain() {
		return
	}
	var orders []cellOrder
	for _, w := range f.Waves.Ordered() {
		orders = append(orders, f.wave(ctx, w)...)
	}
	f.send(ctx, append(orders, f.openStale()...))
	f.rebalance(ctx)
}

// cellOrder is an order for a worker of a cell.
type cellOrder struct {
	cell  string
	order engine.CellOrder
}

// syncCells asks every cell for a report and hands it its orders. It returns
// which orders were carried out.
func (f *Fleet) syncCells(ctx context.Context, orders []cellOrder) map[work.WorkerID]bool {
	byCell := make(map[string][]engine.CellOrder)
	for name, s := range f.Declared().Services {
		if !s.Standby {
			byCell[name] = nil
		}
	}
	for _, o := range orders {
		byCell[o.cell] = append(byCell[o.cell], o.order)
	}
	var mu sync.Mutex
	var calls sync.WaitGroup
	views := make(map[string]*cellView)
	taken := make(map[work.WorkerID]bool)
	for cell, list := range byCell {
		if orders != nil && len(list) == 0 {
			continue
		}
		calls.Go(func() {
			a, err := f.syncCell(ctx, cell, list)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			views[cell] = viewOf(a.Report)
			for i, o := range list {
				taken[o.Worker] = i < len(a.Taken) && a.Taken[i]
			}
		})
	}
	calls.Wait()
	if orders == nil {
		f.cells = views
	}
	return taken
}

func (f *Fleet) syncCell(ctx context.Context, cell string, orders []engine.CellOrder) (engine.CellAnswer, error) {
	call, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	a, err := f.Cells.Sync(call, cell, engine.CellSync{Token: f.Term.Token(), Orders: orders})
	if err != nil {
		f.Log.V(1).Info("cell does not report", "cell", cell, "orders", len(orders), "error", err.Error())
	}
	return a, err
}

func viewOf(r engine.CellReport) *cellView {
	v := &cellView{CellReport: r, byID: make(map[work.WorkerID]*engine.WorkerReport, len(r.Workers))}
	for i := range v.Workers {
		v.byID[v.Workers[i].ID] = &v.Workers[i]
	}
	return v
}

// send hands cells their orders.
func (f *Fleet) send(ctx context.Context, orders []cellOrder) map[work.WorkerID]bool {
	if len(orders) == 0 {
		return nil
	}
	return f.syncCells(ctx, orders)
}

// worker returns the report on the VM's present life; nil where there is none.
func (f *Fleet) worker(vm work.VM) *engine.WorkerReport {
	c := f.cells[vm.Pool]
	if c == nil {
		return nil
	}
	return c.byID[vm.Worker]
}

func (f *Fleet) parked(pool string) bool { return f.Declared().Services[pool].Standby }

// reported reports whether it is known what runs on the pool's VMs.
func (f *Fleet) reported(pool string) bool { return f.parked(pool) || f.cells[pool] != nil }

// inherit notes the VMs that an earlier owner's orders keep busy at the
// take-over: all that are not up in the first list.
func (f *Fleet) inherit(list []work.VM) {
	if f.inherited != nil {
		return
	}
	f.inherited = make(map[string]bool)
	for _, vm := range list {
		if vm.State != work.VMUp {
			f.inherited[vm.ID] = true
		}
	}
}

// reserved reports whether the VM is left alone for now, as an earlier owner
// may just have given it an order.
func (f *Fleet) reserved(vm string) bool {
	return f.inherited[vm] && f.Clock.Now() < f.began+vmOrderPause
}

func (f *Fleet) orderOf(vm string) *vmOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.orders[vm]
}

// settle ends orders whose effect is over.
func (f *Fleet) settle(sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, o := range f.orders {
		vm, exists := f.vms[id]
		switch {
		case !exists:
			delete(f.orders, id)
		case vm.State != work.VMUp:
			o.left = true
		case sent > o.sent && (o.left || vm.Worker != o.life || o.accepted && sent > o.sent+acceptedOver):
			if r := f.waves[o.wave]; r != nil {
				r.Done[id] = true
			}
			delete(f.orders, id)
		case sent > o.sent+orderOver:
			// Not carried out, or over long ago.
			delete(f.orders, id)
		}
	}
}

// openStale opens workers that nobody has a reason to keep closed: an order that
// was given up, or what an earlier owner of the fleet left behind. Its claims are
// kept until its orders are certain to be over.
func (f *Fleet) openStale() []cellOrder {
	wanted := make(map[work.WorkerID]bool)
	for _, r := range f.waves {
		for id := range r.emptying {
			wanted[f.vms[id].Worker] = true
		}
	}
	f.mu.Lock()
	for _, o := range f.orders {
		wanted[o.life] = true
	}
	f.mu.Unlock()
	var out []cellOrder
	for cell, c := range f.cells {
		for i := range c.Workers {
			w := &c.Workers[i]
			if w.Cordon.Kind == engine.Open || wanted[w.ID] {
				continue
			}
			foreign := w.Cordon.Token != f.Term.Token()
			if w.Cordon.Kind == engine.Claimed && foreign && f.Clock.Now() < f.began+orderOver {
				continue
			}
			out = append(out, cellOrder{cell: cell, order: engine.CellOrder{Kind: engine.OrderOpen, Worker: w.ID}})
		}
	}
	return out
}

// claim books an order for the VM if its cell closes it; nil where it is in use.
// claims of parked VMs need no cell.
func (f *Fleet) claim(ctx context.Context, ids []string, book func(vm work.VM) *vmOrder) map[string]*vmOrder {
	var asks []cellOrder
	var free []work.VM
	for _, id := range ids {
		vm := f.vms[id]
		if f.orderOf(id) != nil || f.reserved(id) || vm.State != work.VMUp {
			continue
		}
		free = append(free, vm)
		if !f.parked(vm.Pool) {
			asks = append(asks, cellOrder{cell: vm.Pool, order: engine.CellOrder{Kind: engine.OrderClaim, Worker: vm.Worker}})
		}
	}
	taken := f.send(ctx, asks)
	out := make(map[string]*vmOrder)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, vm := range free {
		if !f.parked(vm.Pool) && !taken[vm.Worker] {
			continue
		}
		o := book(vm)
		f.orders[vm.ID] = o
		out[vm.ID] = o
	}
	return out
}

// outcome takes over what became of an order.
func (f *Fleet) outcome(ctx context.Context, id string, o *vmOrder, out engine.VMOutcome) {
	switch out {
	case engine.VMDone:
		f.mu.Lock()
		o.accepted = true
		f.mu.Unlock()
		if vm := f.vms[id]; !f.parked(vm.Pool) {
			f.send(ctx, []cellOrder{{cell: vm.Pool, order: engine.CellOrder{Kind: engine.OrderGone, Worker: o.life}}})
		}
	case engine.VMFenced:
		f.Term.End("the platform knows a later owner")
	case engine.VMBusy, engine.VMLater, engine.VMInvalid:
		f.mu.Lock()
		delete(f.orders, id)
		f.mu.Unlock()
	}
}

// each runs do for every booked order, some at a time.
func (f *Fleet) each(booked map[string]*vmOrder, do func(id string, o *vmOrder)) {
	ids := make([]string, 0, len(booked))
	for id := range booked {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		f.wg.Go(func() { do(id, booked[id]) })
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
