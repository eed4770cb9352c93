package engine

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/upkeep"
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

// Pace of the fleet's reconciler.
const (
	fleetQuiet = 1 * time.Second
	fleetBusy  = 300 * time.Millisecond
	fleetLeast = 100 * time.Millisecond // between two passes; each lists the VMs
	// listTimeout ends a call to the platform's VM service.
	listTimeout = 1 * time.Second
	// vmOrderPause keeps orders for a VM apart from an earlier owner's that is
	// still being carried out: two owners that take turns at one VM within a
	// lease undo each other's orders.
	vmOrderPause = 3200 * time.Millisecond
	// emptyTime is what emptying a VM takes as a rule: its longest tasks.
	emptyTime = 2500 * time.Millisecond
	// maintenanceTime is what one VM's maintenance takes, detection included.
	maintenanceTime = 2700 * time.Millisecond
)

// vmOrder is an order for a VM that may not be over.
type vmOrder struct {
	sent     time.Duration
	accepted bool
	wave     string        // the order is maintenance of this wave
	pool     string        // the order is a move to this pool
	life     work.WorkerID // the worker it had
	left     bool          // it was seen to be not up since
}

// fleet looks after VMs: which life each has, and the waves.
type fleet struct {
	e        *Engine
	vms      map[string]work.VM
	waves    map[string]*waveRun
	lastBusy map[string]time.Duration // when each service last had a backlog
	began    time.Duration
	// inherited are the VMs that were not up when this owner took over.
	inherited map[string]bool
	kick      chan struct{}

	mu     sync.Mutex // taken after the engine's
	orders map[string]*vmOrder
}

func (f *fleet) orderOf(vm string) *vmOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.orders[vm]
}

type waveRun struct {
	Done      map[string]bool `json:"done"`
	Completed bool            `json:"completed,omitempty"`
	reported  string
	saved     int
	loaded    bool
	emptying  map[string]time.Duration // since when a VM is closed to new tasks
}

func newFleet(e *Engine) *fleet {
	return &fleet{
		e: e, orders: make(map[string]*vmOrder), waves: make(map[string]*waveRun),
		lastBusy: make(map[string]time.Duration), kick: make(chan struct{}, 1),
	}
}

func (f *fleet) run(ctx context.Context) {
	f.began = f.e.Clock.Now()
	for ctx.Err() == nil {
		f.pass(ctx)
		f.rest(ctx)
	}
}

// rest waits for the next pass: shortly while something goes on, and at once
// where work begins to wait.
func (f *fleet) rest(ctx context.Context) {
	pause := fleetQuiet
	if f.busy() {
		pause = fleetBusy
	}
	sleep(ctx, fleetLeast)
	t := time.NewTimer(pause - fleetLeast)
	defer t.Stop()
	select {
	case <-f.kick:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (f *fleet) busy() bool {
	f.mu.Lock()
	orders := len(f.orders)
	f.mu.Unlock()
	if orders > 0 {
		return true
	}
	for _, w := range f.e.Waves.Ordered() {
		if r := f.waves[w.Name]; r == nil || !r.Completed {
			return true
		}
	}
	return false
}

func (f *fleet) pass(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	sent := f.e.Clock.Now()
	list, err := f.e.Machines.List(call)
	cancel()
	if err != nil {
		f.e.Log.Info("VMs not listed", "error", err.Error())
		return
	}
	f.inherit(list)
	f.vms = make(map[string]work.VM, len(list))
	for _, vm := range list {
		f.vms[vm.ID] = vm
	}
	f.e.mu.Lock()
	f.e.core.SetFleet(list)
	f.e.mu.Unlock()
	f.lives(sent)
	f.settle(sent)
	for _, w := range f.e.Waves.Ordered() {
		f.wave(ctx, w)
	}
	f.rebalance(ctx)
}

// lives ends the workers that the platform says are over: those whose VM has
// another life or none.
func (f *fleet) lives(sent time.Duration) {
	now := f.e.Clock.Now()
	f.e.mu.Lock()
	defer f.e.mu.Unlock()
	current := f.e.core.alive
	for id, w := range f.e.core.workers {
		// A worker that was heard after the list was asked for is alive: the
		// list was older.
		if _, up := current[id]; !up && w.clockAt < sent && w.missed > 0 {
			f.e.core.WorkerGone(id, "its VM has another life or none", now)
		}
	}
}

// settle ends orders whose effect is over.
func (f *fleet) settle(sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, o := range f.orders {
		vm, exists := f.vms[id]
		switch {
		case !exists:
			delete(f.orders, id)
		case vm.State != work.VMUp:
			o.left = true
		case sent > o.sent && (o.left || vm.Worker != o.life):
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

// orderOver is when an order for a VM without visible effect is given up: the
// platform may carry one out up to 12 s late.
const orderOver = 13 * time.Second

// mayOrder reports whether orders for VMs may be given at all.
func (f *fleet) mayOrder() bool { return f.e.Term.Certain() }

// inherit notes the VMs that an earlier owner's orders keep busy at the
// take-over: all that are not up in the first list.
func (f *fleet) inherit(list []work.VM) {
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
func (f *fleet) reserved(vm string) bool {
	return f.inherited[vm] && f.e.Clock.Now() < f.began+vmOrderPause
}

func (f *fleet) wave(ctx context.Context, w OrderedWave) {
	r := f.waves[w.Name]
	if r == nil {
		r = &waveRun{Done: make(map[string]bool), emptying: make(map[string]time.Duration)}
		f.waves[w.Name] = r
	}
	if !r.loaded && !f.loadWave(ctx, w.Name, r) {
		return
	}
	if r.Completed {
		f.report(ctx, w.Name, r)
		return
	}
	in := f.input(w, r)
	if len(in.Due) == 0 && in.Away == 0 {
		r.Completed = true
		f.e.Log.Info("wave completed", "wave", w.Name, "took", (f.e.Clock.Now() - w.Seen).String())
	}
	f.report(ctx, w.Name, r)
	if r.Completed || !f.mayOrder() {
		f.saveWave(ctx, w.Name, r)
		return
	}
	d := upkeep.Decide(in)
	f.cordon(r, d)
	for _, id := range d.Maintain {
		f.maintain(ctx, w, r, id)
	}
	f.saveWave(ctx, w.Name, r)
}

func (f *fleet) input(w OrderedWave, r *waveRun) upkeep.Input {
	in := upkeep.Input{
		Left:       w.Seen + w.Duration - f.e.Clock.Now(),
		Each:       emptyTime + maintenanceTime,
		MaxAtATime: w.MaxAtATime,
	}
	f.e.mu.Lock()
	defer f.e.mu.Unlock()
	backlog := f.e.core.Backlog()
	for _, id := range w.VMs {
		vm, exists := f.vms[id]
		o := f.orderOf(id)
		if o != nil && o.wave == w.Name {
			in.Away++
			continue
		}
		if exists && vm.State == work.VMMaintenance {
			in.Away++
			continue
		}
		if !exists || r.Done[id] || o != nil {
			continue
		}
		since, closed := r.emptying[id]
		on := f.e.core.Occupied(vm.Worker)
		in.Due = append(in.Due, upkeep.Candidate{
			VM: vm, Parked: f.e.core.declared.Services[vm.Pool].Standby, Tasks: on.Tasks, Lasting: on.Lasting,
			Backlog: backlog[vm.Pool] > 0, Cordoned: closed, Emptying: f.e.Clock.Now() - since,
		})
	}
	return in
}

// Backlog counts the tasks that wait for room, by service.
func (c *Core) Backlog() map[string]int {
	out := make(map[string]int)
	for _, j := range c.open {
		for _, o := range j.live {
			for _, s := range o.steps {
				if s.pending > 0 && s.ready() {
					out[j.queue.Service] += s.pending
				}
			}
		}
	}
	return out
}

// cordon closes the VMs that are to be emptied and opens those no longer chosen.
func (f *fleet) cordon(r *waveRun, d upkeep.Decision) {
	f.e.mu.Lock()
	defer f.e.mu.Unlock()
	chosen := append(slices.Clone(d.Empty), d.Maintain...)
	for id := range r.emptying {
		if !slices.Contains(chosen, id) && f.orderOf(id) == nil {
			delete(r.emptying, id)
			f.e.core.Cordon(f.vms[id].Worker, "", false)
		}
	}
	for _, id := range chosen {
		if _, closed := r.emptying[id]; !closed {
			r.emptying[id] = f.e.Clock.Now()
		}
		f.e.core.Cordon(f.vms[id].Worker, "maintenance", true)
	}
	for _, id := range d.Evict {
		f.e.core.Evict(f.vms[id].Worker)
	}
}

func (f *fleet) maintain(ctx context.Context, w OrderedWave, r *waveRun, id string) {
	vm := f.vms[id]
	o := f.claimMaintenance(w.Name, vm)
	if o == nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, listTimeout)
	out := f.e.Machines.Maintain(call, id, w.Name, f.e.Term.Token())
	cancel()
	f.e.Metrics.vm("maintain")
	f.e.Log.Info("maintenance ordered", "vm", id, "pool", vm.Pool, "wave", w.Name, "outcome", int(out), "left", (w.Seen + w.Duration - o.sent).String())
	switch out {
	case VMDone:
		o.accepted = true
		r.Done[id] = true
		f.e.mu.Lock()
		f.e.core.WorkerGone(vm.Worker, "maintenance", f.e.Clock.Now())
		f.e.mu.Unlock()
	case VMFenced:
		f.e.Term.End("the platform knows a later owner")
	case VMBusy, VMLater, VMInvalid:
		f.mu.Lock()
		delete(f.orders, id)
		f.mu.Unlock()
	}
}

// claimMaintenance books the order if the VM is empty; nil where it is not: a
// start may have been on its way when the decision was made.
func (f *fleet) claimMaintenance(wave string, vm work.VM) *vmOrder {
	f.e.mu.Lock()
	defer f.e.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.e.core.Occupied(vm.Worker).Tasks > 0 || f.orders[vm.ID] != nil || f.reserved(vm.ID) {
		return nil
	}
	o := &vmOrder{sent: f.e.Clock.Now(), wave: wave, life: vm.Worker}
	f.orders[vm.ID] = o
	return o
}

func (f *fleet) loadWave(ctx context.Context, name string, r *waveRun) bool {
	kv, _, err := f.e.Store.Get(ctx, infra.WorkWavePrefix+name)
	if err != nil {
		f.e.Log.Info("wave's progress not read", "wave", name, "error", err.Error())
		return false
	}
	if kv.ModRevision != 0 {
		if err := json.Unmarshal(kv.Value, r); err != nil {
			f.e.Log.Error(err, "wave's progress is malformed: its VMs are ordered again, which is harmless", "wave", name)
		}
	}
	if r.Done == nil {
		r.Done = make(map[string]bool)
	}
	r.loaded = true
	r.saved = len(r.Done)
	return true
}

// saveWave stores what is done, so that a successor need not order it again.
func (f *fleet) saveWave(ctx context.Context, name string, r *waveRun) {
	if r.saved == len(r.Done) {
		return
	}
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings and booleans: it can't fail
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := f.e.Store.Txn(call, infra.Txn{Then: []infra.Op{infra.Put(infra.WorkWavePrefix+name, raw)}}); err != nil {
		f.e.Log.Info("wave's progress not stored", "wave", name, "error", err.Error())
		return
	}
	r.saved = len(r.Done)
}

func (f *fleet) report(ctx context.Context, name string, r *waveRun) {
	state := "running"
	if r.Completed {
		state = "completed"
	}
	if r.reported == state {
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := f.e.Waves.Report(call, name, r.Completed); err != nil {
		f.e.Log.Info("wave's state not reported", "wave", name, "error", err.Error())
		return
	}
	r.reported = state
}
