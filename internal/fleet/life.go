package fleet

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/wave"
)

// waves are the started waves as one pass read them.
type waves map[model.WaveName]*cell[WaveRecord]

// waveOf returns the running wave that holds the VM, or nil where an order
// holds it or the run that took it has ended or is paused.
func (ws waves) waveOf(vm *model.VM) *cell[WaveRecord] {
	for name, w := range ws {
		if wave.Holder(name) == vm.Holder && w.value.Run == vm.Run && w.value.State == WaveRunning {
			return w
		}
	}
	return nil
}

// stepVM does the next step in the life of a VM that something holds.
func (p *pass) stepVM(ctx context.Context, ws waves, vm view.VMRecord) error {
	switch vm.State {
	case model.VMLeaving:
		return p.stepLeaving(ctx, ws, vm)
	case model.VMEmpty:
		return p.stepEmpty(ctx, vm)
	case model.VMRebooting:
		return p.stepRebooting(ctx, vm)
	case model.VMProbation:
		return p.stepProbation(ctx, vm)
	}
	return nil
}

// stepLeaving drains the VM, waits until nobody sends to it and nothing runs on
// it, and lets it go on to its purpose.
func (p *pass) stepLeaving(ctx context.Context, ws waves, vm view.VMRecord) error {
	if err := p.f.drain(ctx, &vm.VM); err != nil {
		return err
	}
	byWave := wave.HeldByWave(vm.Holder)
	w := ws.waveOf(&vm.VM)
	if byWave && w == nil {
		return p.giveBack(ctx, vm, "the wave no longer runs", false)
	}
	quiet, err := p.quiet(ctx, vm)
	switch {
	case quiet && byWave:
		return p.startReboot(ctx, vm, w)
	case quiet:
		return p.setEmpty(ctx, vm)
	case byWave && !vm.Cut && p.graceOver(vm, w):
		return p.giveBack(ctx, vm, "the drain took longer than the wave's grace", true)
	}
	return err
}

// quiet reports whether the VM has no work and will get none. Nothing in flight
// is asked last: it only stays so once every sender knows and the runner
// refuses.
func (p *pass) quiet(ctx context.Context, vm view.VMRecord) (bool, error) {
	missing, err := p.f.acks.Missing(ctx, vm.Revision)
	if err != nil {
		return false, fault("acks", err)
	}
	if len(missing) > 0 {
		return false, nil
	}
	if vm.Cut {
		return true, nil
	}
	if !p.f.asks.due(vm, p.now) {
		return false, nil
	}
	n, err := p.f.machines.InFlight(ctx, vm.ID)
	if err != nil {
		return false, fault("in-flight", err)
	}
	if n > 0 {
		return false, nil
	}
	delete(p.f.asks, vm.ID) // if the next step has to wait, it is asked anew at once
	return true, nil
}

func (p *pass) graceOver(vm view.VMRecord, w *cell[WaveRecord]) bool {
	declared := p.declaredWave(w.value.Name)
	return declared != nil && p.now.Sub(vm.Since) > wave.Grace(declared)
}

func (p *pass) declaredWave(name model.WaveName) *model.Wave {
	for i := range p.snap.Declaration.Waves {
		if p.snap.Declaration.Waves[i].Name == name {
			return &p.snap.Declaration.Waves[i]
		}
	}
	return nil
}

// startReboot counts the budgets again and writes the intent to reboot. Since
// the stop was granted VMs may have failed; the VM still works, so where the
// budget needs it, it goes back instead.
func (p *pass) startReboot(ctx context.Context, vm view.VMRecord, w *cell[WaveRecord]) error {
	m, ok := p.machines[vm.ID]
	if !ok && p.graceOver(vm, w) {
		return p.giveBack(ctx, vm, "the platform does not list the VM", true)
	}
	if !ok || p.list.AsOf.Before(vm.Since) {
		return nil
	}
	r, err := p.f.read(ctx, []model.VMID{vm.ID}, vm.Ledgers, w.value.Name)
	if err != nil {
		return err
	}
	c := r.vms[vm.ID]
	if c.rev != vm.Revision || r.wave.rev != w.rev || p.behind(r) != "" || p.stale() != "" {
		return nil
	}
	if why := p.broken(r); why != "" {
		return p.giveBack(ctx, vm, why, true)
	}
	p.enter(c, model.VMRebooting, p.f.attemptID(vm.ID), vm.Reason)
	c.value.ProofBoots = m.Boots + 1
	wr := &write{}
	wr.change(c.cond(), c.put())
	wr.guard(w.cond())
	won, err := p.settle(ctx, "reboot intent", wr)
	if !won {
		return err
	}
	_, err = p.f.reboot(ctx, &c.value)
	return err
}

// broken names the first service whose budget does not hold, or nothing.
func (p *pass) broken(r *reading) string {
	for _, name := range sorted(r.ledgers) {
		s := p.snap.Declaration.Service(name)
		if s == nil {
			continue
		}
		if why := p.tally(s, r.ledgers[name].value, p.weights(nil)).Violation(); why != "" {
			return why
		}
	}
	return ""
}

// setEmpty records that an order's VM has no work left.
func (p *pass) setEmpty(ctx context.Context, vm view.VMRecord) error {
	c := cellOf(vm)
	p.enter(c, model.VMEmpty, vm.Attempt, vm.Reason)
	_, err := p.turn(ctx, "empty", c)
	return err
}

// giveBack starts the way back into the pool without a reboot.
func (p *pass) giveBack(ctx context.Context, vm view.VMRecord, why string, postponed bool) error {
	c := cellOf(vm)
	p.enter(c, model.VMProbation, vm.Attempt, "given back: "+why)
	c.value.Run = ""
	if postponed {
		c.value.Postponed = p.now
	}
	won, err := p.turn(ctx, "give back", c)
	if !won {
		return err
	}
	return p.stepProbation(ctx, view.VMRecord{VM: c.value, Revision: c.rev})
}

// stepRebooting reboots the VM and waits for the proof: a list made after the
// platform took the order shows it live with one boot more.
func (p *pass) stepRebooting(ctx context.Context, vm view.VMRecord) error {
	at, err := p.f.reboot(ctx, &vm.VM)
	if err != nil {
		return err
	}
	m, ok := p.machines[vm.ID]
	if !ok || !m.Live || m.Boots < vm.ProofBoots || !p.list.AsOf.After(at) {
		return nil
	}
	c := cellOf(vm)
	p.enter(c, model.VMProbation, vm.Attempt, vm.Reason)
	won, err := p.turn(ctx, "probation", c)
	if !won {
		return err
	}
	return p.stepProbation(ctx, view.VMRecord{VM: c.value, Revision: c.rev})
}

// stepProbation takes the drain back and waits for the proof of health. A VM
// that was not rebooted may have been taken out of leaving by an order, which
// confirms no drain; it is used up here before it is taken back.
func (p *pass) stepProbation(ctx context.Context, vm view.VMRecord) error {
	if vm.Attempt != "" && vm.ProofBoots == 0 {
		if err := p.f.drain(ctx, &vm.VM); err != nil {
			return err
		}
	}
	if vm.Attempt != "" {
		if err := p.f.undrain(ctx, &vm.VM); err != nil {
			return err
		}
	}
	if !p.proven(vm) {
		return nil
	}
	return p.putBack(ctx, vm, vm.Pool)
}

// proven reports whether the VM was seen live and healthy without a break for
// as long as its probation is.
func (p *pass) proven(vm view.VMRecord) bool {
	e := p.evidence(vm.ID, false)
	if !e.Listed || e.Health != model.HealthHealthy {
		delete(p.f.healthy, vm.ID)
		return false
	}
	since, ok := p.f.healthy[vm.ID]
	if !ok || since.Before(vm.Since) {
		since = p.now
		p.f.healthy[vm.ID] = since
	}
	return p.now.Sub(since) >= p.probation(vm)
}

// probation is how long a rebooted VM has to be healthy. One that was given
// back ran all the time.
func (p *pass) probation(vm view.VMRecord) time.Duration {
	if vm.ProofBoots == 0 {
		return 0
	}
	for i := range p.snap.Declaration.Waves {
		w := &p.snap.Declaration.Waves[i]
		if wave.Holder(w.Name) == vm.Holder {
			return w.Probation
		}
	}
	return 0
}

// stepEmpty finishes a move; a drained VM stays until an order undrains it.
func (p *pass) stepEmpty(ctx context.Context, vm view.VMRecord) error {
	if vm.MoveTo == "" {
		return nil
	}
	if err := p.f.undrain(ctx, &vm.VM); err != nil {
		return err
	}
	if !p.proven(vm) {
		return nil
	}
	return p.putBack(ctx, vm, vm.MoveTo)
}

// putBack writes the VM into a pool and releases its stop in every ledger, in
// one step. The ledgers of the pool's services are written as well, so that
// counts of their members made meanwhile fail.
func (p *pass) putBack(ctx context.Context, vm view.VMRecord, pool model.PoolName) error {
	names := mergeNames(vm.Ledgers, p.concerned([]model.PoolName{pool}))
	r, err := p.f.read(ctx, []model.VMID{vm.ID}, names, "")
	if err != nil {
		return err
	}
	c := r.vms[vm.ID]
	if c.rev != vm.Revision {
		return nil
	}
	p.finish(c, pool)
	w := &write{}
	w.change(c.cond(), c.put())
	for _, name := range names {
		l := r.ledgers[name]
		l.value = l.value.without(vm.ID)
		l.value.Change = c.value.Change
		w.change(l.cond(), l.put())
	}
	delete(p.f.healthy, vm.ID)
	_, err = p.settle(ctx, "put back", w)
	return err
}

func (p *pass) finish(c *cell[model.VM], pool model.PoolName) {
	vm := &c.value
	if vm.ProofBoots > 0 && wave.HeldByWave(vm.Holder) {
		vm.Wave = wave.NameOf(vm.Holder)
		vm.Took = p.now.Sub(vm.Out)
		vm.Postponed = time.Time{}
	}
	p.enter(c, model.VMInPool, "", vm.Reason)
	vm.Pool = pool
	vm.Holder = ""
	vm.MoveTo = ""
	vm.Ledgers = nil
	vm.Cut = false
}

// enter sets the record to a state of its life.
func (p *pass) enter(c *cell[model.VM], s model.VMState, a model.AttemptID, reason string) {
	c.value.State = s
	c.value.Attempt = a
	c.value.Since = p.now
	c.value.Change = p.f.changeID()
	c.value.Reason = reason
}

// settle commits a step and reports whether it did. A conflict is no error:
// another reconciler or an order was first, and the next pass sees what it
// wrote.
func (p *pass) settle(ctx context.Context, op string, w *write) (won bool, err error) {
	_, err = p.f.commit(ctx, op, w)
	if isConflict(err) {
		return false, nil
	}
	return err == nil, err
}

// turn commits a step that changes nothing but the VM's record.
func (p *pass) turn(ctx context.Context, op string, c *cell[model.VM]) (won bool, err error) {
	w := &write{}
	w.change(c.cond(), c.put())
	return p.settle(ctx, op, w)
}

func cellOf(vm view.VMRecord) *cell[model.VM] {
	return &cell[model.VM]{key: infra.VMKey(vm.ID), rev: vm.Revision, value: vm.VM}
}

func mergeNames(a, b []model.ServiceName) []model.ServiceName {
	merged := append([]model.ServiceName(nil), a...)
	for _, name := range b {
		found := false
		for _, have := range a {
			found = found || have == name
		}
		if !found {
			merged = append(merged, name)
		}
	}
	return merged
}
