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
	// emptyTime is what emptying a VM takes as a rule: its longest tasks.
	emptyTime = 2500 * time.Millisecond
	// lastingMove is what a lasting task's move takes until the next of its step may:
	// its stop, its start elsewhere, and until a list shows it at work. Moves of one
	// step have been seen 2.3 to 2.6 s apart.
	lastingMove = 2500 * time.Millisecond
	// maintenanceTime is what one VM's maintenance takes, detection included.
	maintenanceTime = 2700 * time.Millisecond
)

// unsaved says that nothing of a wave is stored yet.
const unsaved = -1

// waveRun is how a wave stands.
type waveRun struct {
	Done      map[string]bool `json:"done"`
	Completed bool            `json:"completed,omitempty"`
	// Seen is when the first owner of the fleet saw the wave, by its wall clock. An
	// entry VM that was started since would think that all of the time is left.
	Seen time.Time `json:"seen,omitzero"`

	reported string
	saved    int // how many were done when it was last stored
	loaded   bool
	emptying map[string]time.Duration // since when a VM is closed to new tasks
}

// wave takes one wave a step further and returns what cells are to do for it.
func (f *Fleet) wave(ctx context.Context, w OrderedWave) []cellOrder {
	r := f.waves[w.Name]
	if r == nil {
		r = &waveRun{Done: make(map[string]bool), emptying: make(map[string]time.Duration)}
		f.waves[w.Name] = r
	}
	if !r.loaded && !f.loadWave(ctx, w.Name, r) {
		return nil
	}
	w.Seen = f.since(w, r)
	if r.Completed {
		f.report(ctx, w.Name, r)
		return nil
	}
	in := f.input(w, r)
	if len(in.Remaining) == 0 && in.Unavailable == 0 {
		r.Completed = true
		clear(r.emptying)
		f.Log.Info("wave completed", "wave", w.Name, "took", (f.Clock.Now() - w.Seen).String())
	}
	f.report(ctx, w.Name, r)
	var orders []cellOrder
	if !r.Completed {
		d := upkeep.Decide(in)
		f.maintain(ctx, w, r, d.Maintain)
		orders = f.empty(r, d)
	}
	f.saveWave(ctx, w.Name, r)
	return orders
}

// since returns when the wave was ordered, on our clock: by what the first owner
// noted or what we saw ourselves, whichever is earlier. Too early makes it hurry.
func (f *Fleet) since(w OrderedWave, r *waveRun) time.Duration {
	now, wall := f.Clock.Now(), f.Clock.Wall()
	if r.Seen.IsZero() {
		r.Seen = wall.Add(w.Seen - now)
	}
	return min(w.Seen, now-wall.Sub(r.Seen))
}

func (f *Fleet) input(w OrderedWave, r *waveRun) upkeep.Input {
	in := upkeep.Input{
		TimeLeft:   w.Seen + w.Duration - f.Clock.Now(),
		TimePerVM:  emptyTime + maintenanceTime,
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
			f.due[vm.Worker] = true
		}
	}
	return in
}

// candidate describes a due VM. One that is under another order, or of which it
// is not known what runs on it, is due and can't be chosen.
func (f *Fleet) candidate(r *waveRun, vm work.VM, ordered bool) upkeep.Candidate {
	since, closed := r.emptying[vm.ID]
	c := upkeep.Candidate{VM: vm, Parked: f.parked(vm.Pool), Cordoned: closed}
	if closed {
		c.CordonedFor = f.Clock.Now() - since
	}
	if view := f.cells[vm.Pool]; view != nil {
		c.Backlog = view.Backlog > 0
		c.SerialMoveTime = time.Duration(view.SerialMoves) * lastingMove
	}
	report := f.worker(vm)
	switch {
	case ordered || !c.Parked && (report == nil || !report.Polled):
		c.VM.State = work.VMMoving
	case report != nil:
		c.Tasks, c.LongRunning = report.Tasks, report.LongRunning
	}
	return c
}

// empty notes which VMs are to be emptied; those no longer chosen are opened
// with all that nobody keeps closed.
func (f *Fleet) empty(r *waveRun, d upkeep.Decision) []cellOrder {
	for id := range r.emptying {
		if !slices.Contains(d.Drain, id) && !slices.Contains(d.Maintain, id) {
			delete(r.emptying, id)
		}
	}
	var out []cellOrder
	add := func(kind engine.CellOrderKind, id string) {
		vm := f.vms[id]
		out = append(out, cellOrder{cell: vm.Pool, order: engine.CellOrder{Kind: kind, Worker: vm.Worker}})
	}
	for _, id := range d.Drain {
		if _, closed := r.emptying[id]; !closed {
			r.emptying[id] = f.Clock.Now()
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

func (f *Fleet) maintain(ctx context.Context, w OrderedWave, r *waveRun, ids []string) {
	booked := f.claim(ctx, ids, func(vm work.VM) *vmOrder {
		return &vmOrder{sent: f.Clock.Now(), wave: w.Name, life: vm.Worker}
	})
	for id := range booked {
		delete(r.emptying, id)
	}
	f.each(booked, func(id string, o *vmOrder) {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		out := f.Machines.Maintain(call, id, w.Name, f.Term.Token())
		cancel()
		f.Metrics.VM("maintain")
		f.Log.Info("maintenance ordered", "vm", id, "pool", f.vms[id].Pool, "wave", w.Name, "outcome", out.String(), "left", (w.Seen + w.Duration - o.sent).String())
		f.outcome(ctx, id, o, out)
	})
	// The next pass reads the maps that the orders' outcomes use.
	f.wg.Wait()
}

func (f *Fleet) loadWave(ctx context.Context, name string, r *waveRun) bool {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	kv, _, err := f.Store.Get(call, infra.WorkWavePrefix+name)
	if err != nil {
		f.Log.Info("wave's progress not read", "wave", name, "error", err.Error())
		return false
	}
	if kv.ModRevision != 0 {
		if err := json.Unmarshal(kv.Value, r); err != nil {
			f.Log.Error(err, "wave's progress is malformed: its VMs are ordered again, which is harmless", "wave", name)
		}
	}
	if r.Done == nil {
		r.Done = make(map[string]bool)
	}
	r.loaded = true
	r.saved = len(r.Done)
	if kv.ModRevision == 0 {
		r.saved = unsaved
	}
	return true
}

// saveWave stores what is done, so that a successor need not order it again.
func (f *Fleet) saveWave(ctx context.Context, name string, r *waveRun) {
	if r.saved == len(r.Done) {
		return
	}
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings and booleans: it can't fail
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := f.Store.Txn(call, infra.Txn{Then: []infra.Op{infra.Put(infra.WorkWavePrefix+name, raw)}}); err != nil {
		f.Log.Info("wave's progress not stored", "wave", name, "error", err.Error())
		return
	}
	r.saved = len(r.Done)
}

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
		f.Log.Info("wave's state not reported", "wave", name, "error", err.Error())
		return
	}
	r.reported = state
}
