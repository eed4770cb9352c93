package fleet

import (
	"context"
	"sort"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/budget"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/wave"
)

// Step does one pass over all work, whichever entry VM holds its shards. It does
// the next possible step of every VM that a wave or an order holds, and starts
// the stops that the plan of every running wave allows. A failure at one VM does
// not affect the others; the error joins all failures.
func (f *Fleet) Step(ctx context.Context) error {
	f.passMu.Lock()
	defer f.passMu.Unlock()
	if f.view.Load().Declaration == nil {
		return nil
	}
	ws, err := f.loadWaves(ctx)
	if err != nil {
		return err
	}
	return f.pass(ctx, ws, func(string) bool { return true })
}

// stepTimeout bounds the platform calls of one step of a VM or wave, so that a
// call that hangs does not keep the pass from the other VMs and waves.
const stepTimeout = 5 * time.Second

// maxPassAge is the age at which a pass is replaced by one that uses the present
// view and list of VMs. A slow platform can make a pass take long.
const maxPassAge = 2 * time.Second

// withStepTimeout runs one step with a deadline of stepTimeout.
func withStepTimeout(ctx context.Context, step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return step(ctx)
}

// refreshed returns the pass, or a new one if it is older than maxPassAge.
func (p *pass) refreshed() *pass {
	if p.f.clock.Since(p.now) < maxPassAge {
		return p
	}
	return p.f.newPass()
}

// pass does one pass over the VMs and waves of the holders for which owns returns
// true.
func (f *Fleet) pass(ctx context.Context, ws waves, owns func(holder string) bool) error {
	var errs []error
	err := withStepTimeout(ctx, func(ctx context.Context) error { return f.refreshList(ctx, passesPerListFetch*f.passInterval) })
	if err != nil {
		errs = append(errs, err)
	}
	p := f.newPass()
	for _, vm := range p.held() {
		if !owns(vm.Holder) {
			continue
		}
		p = p.refreshed()
		if err := withStepTimeout(ctx, func(ctx context.Context) error { return p.stepVM(ctx, ws, vm) }); err != nil {
			errs = append(errs, err)
		}
	}
	for _, name := range ws.running() {
		if !owns(wave.Holder(name)) {
			continue
		}
		p = p.refreshed()
		if err := withStepTimeout(ctx, func(ctx context.Context) error { return p.stepWave(ctx, ws[name]) }); err != nil {
			errs = append(errs, err)
		}
	}
	return trace.NewAggregate(errs...)
}

// loadWaves reads all started waves from the store.
func (f *Fleet) loadWaves(ctx context.Context) (waves, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	kvs, _, err := f.store.Range(ctx, infra.WavePrefix)
	if err != nil {
		return nil, wrapError("read waves", err)
	}
	ws := make(waves)
	for _, kv := range kvs {
		c, err := decode[WaveRecord](kv)
		if err != nil {
			return nil, err
		}
		ws[c.value.Name] = &c
	}
	return ws, nil
}

// running returns the names of the waves that may start stops, sorted.
func (ws waves) running() []model.WaveName {
	var names []model.WaveName
	for name, w := range ws {
		if w.value.State == WaveRunning {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// held returns the VMs that a wave, an order or a join holds, sorted by ID.
func (p *pass) held() []view.VMRecord {
	var vms []view.VMRecord
	for _, vm := range p.snap.VMs {
		if vm.Holder != "" {
			vms = append(vms, vm)
		}
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms
}

// stepWave makes the plan of a wave and carries it out.
func (p *pass) stepWave(ctx context.Context, w *versioned[WaveRecord]) error {
	plan, ok := p.plan(&w.value)
	if !ok {
		return p.endWave(ctx, w, WavePaused, "the wave is no longer declared")
	}
	switch plan.Verdict {
	case wave.Finished:
		return p.endWave(ctx, w, WaveFinished, "")
	case wave.Pause:
		return p.endWave(ctx, w, WavePaused, plan.Reason)
	case wave.Go:
		return p.startStops(ctx, w, plan.Stops)
	}
	return nil
}

func (p *pass) startStops(ctx context.Context, w *versioned[WaveRecord], vms []model.VMID) error {
	req := stopRequest{
		vms:    vms,
		holder: wave.Holder(w.value.Name),
		wave:   w,
		change: p.f.changeID(),
		reason: "maintenance by " + wave.Holder(w.value.Name),
		edit:   func(vm *model.VM) { vm.Run = w.value.Run },
	}
	g, err := p.grantStops(ctx, req)
	if isConflict(err) {
		return nil
	}
	if err != nil || len(g.vms) == 0 {
		return err
	}
	p.f.log.Info("taking VMs out of their pools for maintenance", "wave", w.value.Name, "vms", g.vms)
	return p.drainAll(ctx, g)
}

// drainAll drains the VMs that were just granted, rather than in the next pass.
func (p *pass) drainAll(ctx context.Context, g grant) error {
	var errs []error
	for i := range g.records {
		if err := p.f.drain(ctx, &g.records[i]); err != nil {
			errs = append(errs, err)
		}
	}
	return trace.NewAggregate(errs...)
}

// endWave sets the wave to finished, or to paused for a reason, without an
// order.
func (p *pass) endWave(ctx context.Context, w *versioned[WaveRecord], s WaveState, reason string) error {
	c := *w
	c.value.State = s
	c.value.Reason = reason
	c.value.Change = p.f.changeID()
	c.value.Actor = string(p.f.self)
	if s == WaveFinished {
		c.value.Ended = p.now
	}
	p.f.log.Info("ending or pausing wave", "wave", c.value.Name, "state", s, "reason", reason)
	wr := &writeSet{}
	wr.update(c.cond(), c.put())
	_, err := p.commitStep(ctx, "end wave", wr)
	return err
}

// plan makes the plan of a wave from the view; false if the wave is not declared.
func (p *pass) plan(w *WaveRecord) (wave.Plan, bool) {
	declared := p.declaredWave(w.Name)
	if declared == nil {
		return wave.Plan{}, false
	}
	s := wave.Snapshot{
		Now:         p.now,
		Declaration: p.snap.Declaration,
		Wave:        *declared,
		Run:         w.Run,
		VMs:         p.planVMs(w.Pools),
		Started:     w.Started,
		Resumed:     w.Resumed,
		ViewAge:     p.viewAge(),
		ListAge:     p.listAge(),
	}
	s.Wave.Pools = w.Pools
	return wave.MakePlan(s), true
}

// planVMs returns the VMs of the pools and of all pools that share a service with
// them, grouped by pool.
func (p *pass) planVMs(pools []model.PoolName) []wave.VM {
	wanted := make(map[model.PoolName]bool)
	for _, pool := range pools {
		wanted[pool] = true
		for _, s := range p.servicesOf(pool) {
			for _, other := range s.Pools {
				wanted[other] = true
			}
		}
	}
	names := make([]model.PoolName, 0, len(wanted))
	for pool := range wanted {
		names = append(names, pool)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	vms := make([]wave.VM, 0, len(p.snap.VMs))
	for _, pool := range names {
		for _, id := range p.byPool[pool] {
			vms = append(vms, p.planVM(id))
		}
	}
	return vms
}

func (p *pass) planVM(id model.VMID) wave.VM {
	vm := p.snap.VMs[id].VM
	e := p.evidence(id, vm.Holder != "")
	return wave.VM{VM: &vm, Up: budget.Up(vm.State, e), Health: e.Health}
}
