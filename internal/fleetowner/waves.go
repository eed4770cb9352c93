package fleetowner

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/upkeep"
	"github.com/pumicestage/pumicestage/policy/work"
)

const (
	// drainTime is the usual time to drain a VM: the run time of its longest tasks.
	drainTime = 2500 * time.Millisecond
	// longRunningMoveTime is the time from the start of a long-running task's move until the
	// next task of its step may move: the stop, the start on another worker, and the poll that
	// shows it running. Successive moves of one step are 2.3 to 2.6 s apart.
	longRunningMoveTime = 2500 * time.Millisecond
	// maintenanceTime is the time that the maintenance of one VM takes, including the
	// detection that it is up again.
	maintenanceTime = 2700 * time.Millisecond
	// postponement is how long a VM is not drained after its cell has reported that it must not be.
	postponement = 10 * time.Second
)

// savedProgress tells which progress of a wave was stored.
type savedProgress struct {
	done      int // the number of VMs that were done
	completed bool
}

// waveRun is the progress of a wave. Its exported fields are stored.
type waveRun struct {
	Done      map[string]bool `json:"done"`
	Completed bool            `json:"completed,omitempty"`
	// Seen is when the first owner of the fleet saw the wave, on its wall clock. Without it
	// an entry VM that started later would assume that the whole duration is left.
	Seen time.Time `json:"seen,omitzero"`

	reported      string
	saved         *savedProgress // what was stored last; nil: nothing
	rev           infra.Revision // of what is stored; 0: nothing
	loaded        bool
	drainingSince map[string]time.Duration // by VM: since when it has been closed to new tasks
	postponed     map[string]time.Duration // by VM: until when it is not drained
}

// advanceWave orders the maintenance that the wave needs next, reports and stores its progress,
// and returns the orders for cells.
func (f *Fleet) advanceWave(ctx context.Context, w OrderedWave) []cellOrder {
	r := f.waves[w.Name]
	if r == nil {
		r = &waveRun{Done: make(map[string]bool), drainingSince: make(map[string]time.Duration), postponed: make(map[string]time.Duration)}
		f.waves[w.Name] = r
	}
	if !r.loaded && !f.loadWave(ctx, w.Name, r) {
		return nil
	}
	w.Seen = f.orderedAt(w, r)
	var in upkeep.Input
	if !r.Completed {
		in = f.upkeepInput(w, r)
		f.completeIfDone(w, r, in)
	}
	if r.Completed {
		f.saveWave(ctx, w.Name, r)
		f.report(ctx, w.Name, r)
		return nil
	}
	f.report(ctx, w.Name, r)
	orders := f.repeatUndecided(ctx, w)
	d := upkeep.Decide(in)
	f.maintain(ctx, w, r, d.Maintain)
	orders = append(orders, f.drainOrders(r, d)...)
	f.saveWave(ctx, w.Name, r)
	return orders
}

// completeIfDone marks the wave as completed if none of its VMs remains or is being maintained.
func (f *Fleet) completeIfDone(w OrderedWave, r *waveRun, in upkeep.Input) {
	if len(in.Remaining) > 0 || in.Unavailable > 0 {
		return
	}
	r.Completed = true
	clear(r.drainingSince)
	f.Log.Info("wave completed", "wave", w.Name, "took", (f.Clock.Now() - w.Seen).String())
}

// orderedAt returns when the wave was ordered, on this entry VM's monotonic clock: when the
// first owner saw it or when this entry VM did, whichever is earlier. A value that is too early
// only makes the wave more urgent.
func (f *Fleet) orderedAt(w OrderedWave, r *waveRun) time.Duration {
	now, wall := f.Clock.Now(), f.Clock.Wall()
	if r.Seen.IsZero() {
		r.Seen = wall.Add(w.Seen - now)
	}
	return min(w.Seen, now-wall.Sub(r.Seen))
}

// upkeepInput returns the wave's state as the input of upkeep.Decide, and marks the workers of
// its remaining VMs as due.
func (f *Fleet) upkeepInput(w OrderedWave, r *waveRun) upkeep.Input {
	in := upkeep.Input{
		TimeLeft:   w.Seen + w.Duration - f.Clock.Now(),
		TimePerVM:  drainTime + maintenanceTime,
		MaxAtATime: w.MaxAtATime,
	}
	for _, id := range w.VMs {
		vm, exists := f.vms[id]
		o := f.orderOf(id)
		switch {
		case o != nil && o.wave == w.Name, exists && vm.State == work.VMMaintenance:
			in.Unavailable++
		case !exists || r.Done[id]:
		default:
			in.Remaining = append(in.Remaining, f.candidate(r, vm, o != nil))
			f.dueWorkers[vm.Worker] = true
		}
	}
	return in
}

// candidate describes a VM that is still to be maintained. The state of a VM that is under
// another order, or on which it is not known what runs, is set to VMMoving, so that it stays
// due and can't be chosen.
func (f *Fleet) candidate(r *waveRun, vm work.VM, ordered bool) upkeep.Candidate {
	start, draining := r.drainingSince[vm.ID]
	c := upkeep.Candidate{VM: vm, Parked: f.isStandby(vm.Pool), Cordoned: draining}
	if draining {
		c.CordonedFor = f.Clock.Now() - start
	}
	if view := f.cells[vm.Pool]; view != nil {
		c.Backlog = view.Backlog > 0
		c.SerialMoveTime = time.Duration(view.SerialMoves) * longRunningMoveTime
	}
	report := f.worker(vm)
	switch {
	case ordered || !c.Parked && (report == nil || !report.Polled):
		c.VM.State = work.VMMoving
	case report != nil:
		c.Tasks, c.LongRunning = report.Tasks, report.LongRunning
		c.Postponed = f.postpone(r, vm, report)
	}
	return c
}

// postpone reports whether the VM must not be drained for now, by its cell's report.
func (f *Fleet) postpone(r *waveRun, vm work.VM, report *engine.WorkerReport) bool {
	now := f.Clock.Now()
	if report.CordonBlocked {
		if now >= r.postponed[vm.ID] {
			f.Log.Info("maintenance of VM postponed: it alone can run some of its tasks, or waiting ones", "vm", vm.ID, "pool", vm.Pool,
				"worker", vm.Worker, "tasks", report.Tasks, "lasting", report.LongRunning)
		}
		r.postponed[vm.ID] = now + postponement
	}
	return now < r.postponed[vm.ID]
}

// drainOrders records which VMs are draining and returns the orders for their cells. VMs that
// are no longer chosen are opened by cordonUpdates.
func (f *Fleet) drainOrders(r *waveRun, d upkeep.Decision) []cellOrder {
	for id := range r.drainingSince {
		if !slices.Contains(d.Drain, id) && !slices.Contains(d.Maintain, id) {
			delete(r.drainingSince, id)
		}
	}
	var out []cellOrder
	add := func(kind engine.CellOrderKind, id string) {
		vm := f.vms[id]
		out = append(out, cellOrder{cell: vm.Pool, order: engine.CellOrder{Kind: kind, Worker: vm.Worker}})
	}
	for _, id := range d.Drain {
		if _, draining := r.drainingSince[id]; !draining {
			r.drainingSince[id] = f.Clock.Now()
		}
		if report := f.worker(f.vms[id]); report == nil || !report.Cordon.Closes() {
			add(engine.OrderVacate, id)
		}
	}
	for _, id := range d.Evict {
		add(engine.OrderEvict, id)
	}
	return out
}

// maintain claims the VMs and orders the maintenance of those that were claimed.
func (f *Fleet) maintain(ctx context.Context, w OrderedWave, r *waveRun, ids []string) {
	orders := f.claim(ctx, ids, func(vm work.VM) *vmOrder {
		return &vmOrder{sent: f.Clock.Now(), wave: w.Name, incarnation: vm.Worker}
	})
	for id := range orders {
		delete(r.drainingSince, id)
	}
	f.orderMaintenance(ctx, w, orders)
}

// repeatUndecided orders the maintenance of VMs again whose order was not answered and whose
// incarnation has ended since, for an unknown cause: the platform accepts an order that was
// carried out before and does nothing. VMs that can't be claimed keep their order; repeatUndecided
// returns orders for cells to empty them, as the first call may still be carried out.
func (f *Fleet) repeatUndecided(ctx context.Context, w OrderedWave) (vacate []cellOrder) {
	orders := make(map[string]*vmOrder)
	var claims []cellOrder
	for _, id := range w.VMs {
		if o := f.orderOf(id); o != nil && o.wave == w.Name && o.undecided(f.vms[id]) {
			orders[id] = o
			claims = append(claims, cellOrder{cell: f.vms[id].Pool, order: engine.CellOrder{Kind: engine.OrderClaim, Worker: f.vms[id].Worker}})
		}
	}
	taken := f.send(ctx, f.withoutStandby(claims))
	f.mu.Lock()
	for id, o := range orders {
		vm := f.vms[id]
		if !f.isStandby(vm.Pool) && !taken[vm.Worker] {
			vacate = append(vacate, cellOrder{cell: vm.Pool, order: engine.CellOrder{Kind: engine.OrderVacate, Worker: vm.Worker}})
			delete(orders, id)
			continue
		}
		o.sent, o.cell, o.incarnation, o.reportedGone, o.repeated = f.Clock.Now(), vm.Pool, vm.Worker, false, true
	}
	f.mu.Unlock()
	f.orderMaintenance(ctx, w, orders)
	return vacate
}

// orderMaintenance orders the maintenance of the VMs and waits for the answers.
func (f *Fleet) orderMaintenance(ctx context.Context, w OrderedWave, orders map[string]*vmOrder) {
	f.execute(orders, func(id string, o *vmOrder) {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		out := f.Machines.Maintain(call, id, w.Name, f.Term.Token())
		cancel()
		f.Metrics.CountVMOrder("maintain")
		f.Log.Info("maintenance ordered", "vm", id, "pool", f.vms[id].Pool, "wave", w.Name, "outcome", out.String(), "repeated", o.repeated, "left", (w.Seen + w.Duration - o.sent).String())
		f.recordOutcome(ctx, id, o, out)
	})
	// The next pass must not run while recordOutcome uses the same maps.
	f.wg.Wait()
}

// loadWave loads the stored progress into r. It returns false if the store could not be read.
func (f *Fleet) loadWave(ctx context.Context, name string, r *waveRun) bool {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	kv, _, err := f.Store.Get(call, infra.WorkWavePrefix+name)
	if err != nil {
		f.Log.Info("reading the progress of a wave failed", "wave", name, "error", err.Error())
		return false
	}
	f.mergeStored(name, r, kv)
	r.loaded = true
	if kv.ModRevision != 0 {
		r.saved = r.progress()
	}
	return true
}

// mergeStored adds the stored progress to r.
func (f *Fleet) mergeStored(name string, r *waveRun, kv infra.KV) {
	r.rev = kv.ModRevision
	if kv.ModRevision != 0 {
		if err := json.Unmarshal(kv.Value, r); err != nil {
			f.Log.Error(err, "decoding the progress of a wave failed: maintenance of its VMs is ordered again, which is harmless", "wave", name)
		}
	}
	if r.Done == nil {
		r.Done = make(map[string]bool)
	}
}

// progress returns the part of the progress whose changes are stored.
func (r *waveRun) progress() *savedProgress {
	return &savedProgress{done: len(r.Done), completed: r.Completed}
}

// saveWave stores the progress if it has changed, so that the next owner neither orders the same
// maintenance again nor takes a completed wave for running. A failure is logged and retried in the
// next pass. The write is conditional on what was stored before, so that an earlier attempt without an
// answer, or one of a former owner, doesn't replace it later.
func (f *Fleet) saveWave(ctx context.Context, name string, r *waveRun) {
	if r.saved != nil && *r.saved == *r.progress() {
		return
	}
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings, booleans and a time: encoding can't fail
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := infra.WorkWavePrefix + name
	res, err := f.Store.Txn(call, infra.Txn{
		If:   []infra.Cond{{Key: key, ModRevision: r.rev}},
		Then: []infra.Op{infra.Put(key, raw)},
		Else: []infra.Op{infra.Read(key)},
	})
	switch {
	case err != nil:
		f.Log.Info("storing the progress of a wave failed", "wave", name, "error", err.Error())
	case res.Succeeded:
		r.rev, r.saved = res.Revision, r.progress()
	case len(res.Reads) > 0:
		f.Log.Info("the stored progress of a wave was changed by another write", "wave", name)
		f.mergeStored(name, r, res.Reads[0])
	}
}

// report tells the operator the state of the wave if it has changed.
func (f *Fleet) report(ctx context.Context, name string, r *waveRun) {
	state := "running"
	if r.Completed {
		state = "completed"
	}
	if r.reported == state {
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := f.Waves.Report(call, name, r.Completed); err != nil {
		f.Log.Info("reporting the state of a wave failed", "wave", name, "error", err.Error())
		return
	}
	r.reported = state
}
