package fleet

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/wave"
)

// waves holds the started waves as one pass read them.
type waves map[model.WaveName]*versioned[WaveRecord]

// waveOf returns the running wave that holds the VM. It returns nil if an order
// holds the VM, or if the run that took it has ended or is paused.
func (ws waves) waveOf(vm *model.VM) *versioned[WaveRecord] {
	for name, w := range ws {
		if wave.Holder(name) == vm.Holder && w.value.Run == vm.Run && w.value.State == WaveRunning {
			return w
		}
	}
	return nil
}

// stepVM does the next step of a VM that a wave, an order or a join holds.
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

// stepLeaving drains the VM and waits until no entry VM sends to it and nothing
// runs on it. Then a wave's VM is rebooted and an order's VM becomes empty.
func (p *pass) stepLeaving(ctx context.Context, ws waves, vm view.VMRecord) error {
	if err := p.f.drain(ctx, &vm.VM); err != nil {
		return err
	}
	byWave := wave.HeldByWave(vm.Holder)
	w := ws.waveOf(&vm.VM)
	if byWave && w == nil {
		return p.returnToPool(ctx, vm, "the wave no longer runs", false)
	}
	idle, err := p.isIdle(ctx, vm)
	switch {
	case idle && byWave:
		return p.startReboot(ctx, vm, w)
	case idle:
		return p.setEmpty(ctx, vm)
	case byWave && !vm.Cut && p.graceExceeded(vm, w):
		return p.returnToPool(ctx, vm, "the drain took longer than the wave's grace", true)
	}
	return err
}

// isIdle reports whether the VM has no work and will get none. The work in flight
// is polled last: it stays at zero only once every entry VM knows of the drain
// and the VM's runner refuses work.
func (p *pass) isIdle(ctx context.Context, vm view.VMRecord) (bool, error) {
	missing, err := p.f.acks.Missing(ctx, vm.Revision)
	if err != nil {
		return false, wrapError("check view acknowledgements", err)
	}
	if len(missing) > 0 {
		return false, nil
	}
	if vm.Cut {
		return true, nil
	}
	if !p.f.inFlightPolls.due(vm, p.now) {
		return false, nil
	}
	n, err := p.f.machines.InFlight(ctx, vm.ID)
	if err != nil {
		return false, wrapError("in-flight", err)
	}
	if n > 0 {
		return false, nil
	}
	delete(p.f.inFlightPolls, vm.ID) // if the next step has to wait, the VM is polled again at once
	return true, nil
}

func (p *pass) graceExceeded(vm view.VMRecord, w *versioned[WaveRecord]) bool {
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

// startReboot counts the budgets again and writes the intent to reboot. Other VMs
// may have failed since the stop was granted. This one still works, so it returns
// to its pool instead if the budget requires it.
func (p *pass) startReboot(ctx context.Context, vm view.VMRecord, w *versioned[WaveRecord]) error {
	m, ok := p.machines[vm.ID]
	if !ok && p.graceExceeded(vm, w) {
		return p.returnToPool(ctx, vm, "the platform does not list the VM", true)
	}
	if !ok || p.list.AsOf.Before(vm.Since) {
		return nil
	}
	r, err := p.f.read(ctx, []model.VMID{vm.ID}, vm.Ledgers, w.value.Name)
	if err != nil {
		return err
	}
	c := r.vms[vm.ID]
	if c.rev != vm.Revision || r.wave.rev != w.rev || p.viewBehindLedger(r) != "" || p.staleEvidence() != "" {
		return nil
	}
	if why := p.budgetViolation(r); why != "" {
		return p.returnToPool(ctx, vm, why, true)
	}
	p.setState(c, model.VMRebooting, p.f.attemptID(vm.ID), vm.Reason)
	c.value.ProofBoots = m.Boots + 1
	wr := &writeSet{}
	wr.update(c.cond(), c.put())
	wr.require(w.cond())
	won, err := p.commitStep(ctx, "record reboot intent", wr)
	if !won {
		return err
	}
	_, err = p.f.reboot(ctx, &c.value)
	return err
}

// budgetViolation describes the first violated budget of the services read; empty
// if none is violated.
func (p *pass) budgetViolation(r *readSet) string {
	for _, name := range sortedServices(r.ledgers) {
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

// setEmpty records that a VM held by an order has no work left.
func (p *pass) setEmpty(ctx context.Context, vm view.VMRecord) error {
	c := versionedVM(vm)
	p.setState(c, model.VMEmpty, vm.Attempt, vm.Reason)
	_, err := p.commitVM(ctx, "record empty VM", c)
	return err
}

// returnToPool starts the return of a VM to its pool without a reboot. postponed
// records that the wave has to maintain the VM later.
func (p *pass) returnToPool(ctx context.Context, vm view.VMRecord, why string, postponed bool) error {
	c := versionedVM(vm)
	p.setState(c, model.VMProbation, vm.Attempt, "given back: "+why)
	c.value.Run = ""
	if postponed {
		c.value.Postponed = p.now
	}
	won, err := p.commitVM(ctx, "return VM to its pool", c)
	if !won {
		return err
	}
	return p.stepProbation(ctx, view.VMRecord{VM: c.value, Revision: c.rev})
}

// stepRebooting reboots the VM and waits for the proof of the reboot: a list of
// VMs made after the platform accepted the reboot shows the VM live with one boot
// more.
func (p *pass) stepRebooting(ctx context.Context, vm view.VMRecord) error {
	at, err := p.f.reboot(ctx, &vm.VM)
	if err != nil {
		return err
	}
	m, ok := p.machines[vm.ID]
	if !ok || !m.Live || m.Boots < vm.ProofBoots || !p.list.AsOf.After(at) {
		return nil
	}
	c := versionedVM(vm)
	p.setState(c, model.VMProbation, vm.Attempt, vm.Reason)
	won, err := p.commitVM(ctx, "record probation", c)
	if !won {
		return err
	}
	return p.stepProbation(ctx, view.VMRecord{VM: c.value, Revision: c.rev})
}

// stepProbation reverts the drain and waits until the VM has proven healthy. A VM
// that was not rebooted may have left the leaving state by an order, which does
// not confirm the drain with the platform. The drain's attempt is therefore
// confirmed here first, so that a late call for it has no effect.
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
	if !p.provenHealthy(vm) {
		return nil
	}
	return p.putBack(ctx, vm, vm.Pool)
}

// provenHealthy reports whether the VM has been seen live and healthy without a
// break for the duration of its probation.
func (p *pass) provenHealthy(vm view.VMRecord) bool {
	e := p.evidence(vm.ID, false)
	if !e.Listed || e.Health != model.HealthHealthy {
		delete(p.f.healthySince, vm.ID)
		return false
	}
	since, ok := p.f.healthySince[vm.ID]
	if !ok || since.Before(vm.Since) {
		since = p.now
		p.f.healthySince[vm.ID] = since
	}
	return p.now.Sub(since) >= p.probation(vm)
}

// probation returns how long the VM has to be healthy before it returns to its
// pool. It is 0 for a VM that was not rebooted, since that ran all the time.
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

// stepEmpty completes a move. A drained VM stays empty until an order undrains it.
func (p *pass) stepEmpty(ctx context.Context, vm view.VMRecord) error {
	if vm.MoveTo == "" {
		return nil
	}
	if err := p.f.undrain(ctx, &vm.VM); err != nil {
		return err
	}
	if !p.provenHealthy(vm) {
		return nil
	}
	return p.putBack(ctx, vm, vm.MoveTo)
}

// putBack puts the VM into a pool and removes its stop from every ledger, in one
// transaction. It also writes the ledgers of the pool's services, so that a
// compare-and-swap based on an older count of their VMs fails.
func (p *pass) putBack(ctx context.Context, vm view.VMRecord, pool model.PoolName) error {
	names := mergeNames(vm.Ledgers, p.affectedServices([]model.PoolName{pool}))
	r, err := p.f.read(ctx, []model.VMID{vm.ID}, names, "")
	if err != nil {
		return err
	}
	c := r.vms[vm.ID]
	if c.rev != vm.Revision {
		return nil
	}
	p.markInPool(c, pool)
	w := &writeSet{}
	w.update(c.cond(), c.put())
	for _, name := range names {
		l := r.ledgers[name]
		l.value = l.value.without(vm.ID)
		l.value.Change = c.value.Change
		w.update(l.cond(), l.put())
	}
	delete(p.f.healthySince, vm.ID)
	_, err = p.commitStep(ctx, "put VM into its pool", w)
	return err
}

func (p *pass) markInPool(c *versioned[model.VM], pool model.PoolName) {
	vm := &c.value
	if vm.ProofBoots > 0 && wave.HeldByWave(vm.Holder) {
		vm.Wave = wave.NameOf(vm.Holder)
		vm.Took = p.now.Sub(vm.Out)
		vm.Postponed = time.Time{}
	}
	p.setState(c, model.VMInPool, "", vm.Reason)
	vm.Pool = pool
	vm.Holder = ""
	vm.MoveTo = ""
	vm.Ledgers = nil
	vm.Cut = false
}

// setState sets the state of a VM's record, with the attempt and reason for it.
func (p *pass) setState(c *versioned[model.VM], s model.VMState, a model.AttemptID, reason string) {
	c.value.State = s
	c.value.Attempt = a
	c.value.Since = p.now
	c.value.Change = p.f.changeID()
	c.value.Reason = reason
}

// commitStep commits a step and reports whether it took effect. A conflict is no
// error: another reconciler or an order was first, and the next pass sees what it
// wrote.
func (p *pass) commitStep(ctx context.Context, op string, w *writeSet) (won bool, err error) {
	_, err = p.f.commit(ctx, op, w)
	if isConflict(err) {
		return false, nil
	}
	return err == nil, err
}

// commitVM commits a step that changes only the VM's record.
func (p *pass) commitVM(ctx context.Context, op string, c *versioned[model.VM]) (won bool, err error) {
	w := &writeSet{}
	w.update(c.cond(), c.put())
	return p.commitStep(ctx, op, w)
}

func versionedVM(vm view.VMRecord) *versioned[model.VM] {
	return &versioned[model.VM]{key: infra.VMKey(vm.ID), rev: vm.Revision, value: vm.VM}
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
