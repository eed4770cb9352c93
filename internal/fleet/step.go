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

// Step does one pass over all work, whoever holds its shards: every VM that
// something holds goes one step on where it can, and every running wave takes
// out what its plan allows. A failure at one VM does not keep the others back;
// the error joins all of them.
func (f *Fleet) Step(ctx context.Context) error {
	f.step.Lock()
	defer f.step.Unlock()
	if f.view.Load().Declaration == nil {
		return nil
	}
	ws, err := f.loadWaves(ctx)
	if err != nil {
		return err
	}
	return f.pass(ctx, ws, func(string) bool { return true })
}

// stepTimeout bounds the platform calls of one step of one VM or wave, so that
// a slow platform keeps a pass from none of the others.
const stepTimeout = 5 * time.Second

// passRefresh is how old the evidence of a pass may get before it is looked at
// anew; a slow platform can stretch a pass.
const passRefresh = 2 * time.Second

// bounded runs one step under stepTimeout.
func bounded(ctx context.Context, step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return step(ctx)
}

// refreshed returns the pass, or a new one where it has become old.
func (p *pass) refreshed() *pass {
	if p.f.clock.Since(p.now) < passRefresh {
		return p
	}
	return p.f.newPass()
}

// pass does the work of the holders that mine names.
func (f *Fleet) pass(ctx context.Context, ws waves, mine func(holder string) bool) error {
	var errs []error
	err := bounded(ctx, func(ctx context.Context) error { return f.refreshList(ctx, listPeriods*f.every) })
	if err != nil {
		errs = append(errs, err)
	}
	p := f.newPass()
	for _, vm := range p.held() {
		if !mine(vm.Holder) {
			continue
		}
		p = p.refreshed()
		if err := bounded(ctx, func(ctx context.Context) error { return p.stepVM(ctx, ws, vm) }); err != nil {
			errs = append(errs, err)
		}
	}
	for _, name := range ws.running() {
		if !mine(wave.Holder(name)) {
			continue
		}
		p = p.refreshed()
		if err := bounded(ctx, func(ctx context.Context) error { return p.stepWave(ctx, ws[name]) }); err != nil {
			errs = append(errs, err)
		}
	}
	return trace.NewAggregate(errs...)
}

// loadWaves reads every started wave.
func (f *Fleet) loadWaves(ctx context.Context) (waves, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	kvs, _, err := f.store.Range(ctx, infra.WavePrefix)
	if err != nil {
		return nil, fault("read waves", err)
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

// running names the waves that may start stops, sorted.
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

// held returns the VMs that something holds, sorted by ID.
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

// stepWave carries out what the plan says now.
func (p *pass) stepWave(ctx context.Context, w *cell[WaveRecord]) error {
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

func (p *pass) startStops(ctx context.Context, w *cell[WaveRecord], vms []model.VMID) error {
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
	p.f.log.Info("VMs are leaving for maintenance", "wave", w.value.Name, "vms", g.vms)
	return p.drainAll(ctx, g)
}

// drainAll drains what was granted just now, rather than in the next pass.
func (p *pass) drainAll(ctx context.Context, g grant) error {
	var errs []error
	for i := range g.records {
		if err := p.f.drain(ctx, &g.records[i]); err != nil {
			errs = append(errs, err)
		}
	}
	return trace.NewAggregate(errs...)
}

// endWave writes that the wave stops by itself: finished, or paused for a
// reason.
func (p *pass) endWave(ctx context.Context, w *cell[WaveRecord], s WaveState, reason string) error {
	c := *w
	c.value.State = s
	c.value.Reason = reason
	c.value.Change = p.f.changeID()
	c.value.Actor = string(p.f.self)
	if s == WaveFinished {
		c.value.Ended = p.now
	}
	p.f.log.Info("wave", "wave", c.value.Name, "state", s, "reason", reason)
	wr := &write{}
	wr.change(c.cond(), c.put())
	_, err := p.settle(ctx, "end wave", wr)
	return err
}

// plan makes the plan of a wave from the view; false where it is not declared.
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

// planVMs returns the VMs of the wave's pools and of all pools that share a
// service with them, pool by pool.
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
