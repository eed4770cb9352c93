package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Machines simulates the platform's VMs and the tasks on them. It implements
// infra.Machines directly; its other methods let a test add VMs, make them fail
// and set how tasks behave.
type Machines struct {
	clock clockwork.Clock

	mu            sync.Mutex
	vms           map[model.VMID]*vm
	applied       map[effect]bool
	tasks         map[model.AttemptID]*task
	progress      map[model.JobID]time.Duration // as of the last checkpoint, at full speed
	behaviour     map[model.JobID]Behaviour
	listLag       time.Duration
	frozenAt      time.Time // zero unless the list is frozen
	usageInterval time.Duration
	rebootTime    time.Duration
	tally         Tally
}

// Tally counts what happened to the work on the machines. The stand-in counts
// it itself, so that a test does not rely on the counts of the code under test.
type Tally struct {
	CutByReboot int                 // requests aborted by a requested reboot
	CutByCrash  int                 // requests aborted by the failure of a VM
	TasksCut    int                 // tasks ended by a requested reboot
	Reboots     int                 // requested reboots
	Starts      map[model.JobID]int // tasks started, by job
	Finished    map[model.JobID]int // tasks that succeeded, by job
}

// vm is a simulated VM. Machines.mu guards live and the fields below it.
type vm struct {
	id         model.VMID
	capacity   model.Resources
	runner     Runner
	runnerMu   sync.Mutex         // serializes calls of the runner
	live       bool               // running, not down
	leaving    bool               // the platform is about to remove the VM
	draining   bool               // set by Drain; cleared by Undrain and at each start
	failsTasks bool               // each task fails right after its start
	boots      int                // starts after Add, by a reboot or Recover
	tasks      map[*task]struct{} // running tasks
	history    []snapshot         // by time, oldest first; see recordLocked
}

// snapshot is the state of a VM from a point in time until the next snapshot.
// List reads it when it reports an earlier state.
type snapshot struct {
	from    time.Time
	machine infra.Machine
}

// effect identifies one operation on one VM within one attempt. A repeated call
// with the same values has no further effect.
type effect struct {
	op      string
	vm      model.VMID
	attempt model.AttemptID
}

var _ infra.Machines = (*Machines)(nil)

func newMachines(clock clockwork.Clock) *Machines {
	return &Machines{
		clock:     clock,
		vms:       make(map[model.VMID]*vm),
		applied:   make(map[effect]bool),
		tasks:     make(map[model.AttemptID]*task),
		progress:  make(map[model.JobID]time.Duration),
		behaviour: make(map[model.JobID]Behaviour),
		tally:     Tally{Starts: make(map[model.JobID]int), Finished: make(map[model.JobID]int)},
	}
}

// Add adds a live VM. A nil runner means one that does nothing.
func (m *Machines) Add(id model.VMID, capacity model.Resources, runner Runner) {
	if runner == nil {
		runner = Hooks{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	v := &vm{id: id, capacity: capacity, runner: runner, live: true, tasks: make(map[*task]struct{})}
	m.vms[id] = v
	m.recordLocked(v)
}

// SetLeaving sets whether the platform is about to remove the VM on its own.
func (m *Machines) SetLeaving(id model.VMID, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v, ok := m.vms[id]; ok {
		v.leaving = leaving
		m.recordLocked(v)
	}
}

// Fail stops a live VM without warning. Its tasks are lost.
func (m *Machines) Fail(id model.VMID) {
	m.mu.Lock()
	v, ok := m.vms[id]
	if !ok || !v.live {
		m.mu.Unlock()
		return
	}
	m.stopLocked(v, "VM failed")
	m.mu.Unlock()
	cut := v.stop()
	m.mu.Lock()
	m.tally.CutByCrash += cut
	m.mu.Unlock()
}

// Recover starts a VM that is down.
func (m *Machines) Recover(id model.VMID) { m.start(id) }

// SetListLag sets how far the state that List returns lags behind.
func (m *Machines) SetListLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listLag = lag
}

// SetRebootTime sets how long a reboot keeps the VM down. Zero or less restarts
// it at once.
func (m *Machines) SetRebootTime(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rebootTime = d
}

// Tally returns a copy of the counts so far.
func (m *Machines) Tally() Tally {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advanceLocked()
	out := m.tally
	out.Starts, out.Finished = clone(m.tally.Starts), clone(m.tally.Finished)
	return out
}

func clone(in map[model.JobID]int) map[model.JobID]int {
	out := make(map[model.JobID]int, len(in))
	for k, n := range in {
		out[k] = n
	}
	return out
}

// List implements infra.Machines.
func (m *Machines) List(context.Context) (infra.MachineList, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advanceLocked()
	asOf := m.clock.Now().Add(-m.listLag)
	if !m.frozenAt.IsZero() && m.frozenAt.Before(asOf) {
		asOf = m.frozenAt
	}
	list := infra.MachineList{AsOf: asOf}
	for _, v := range m.vms {
		if machine, ok := v.at(asOf); ok {
			list.Machines = append(list.Machines, machine)
		}
	}
	sort.Slice(list.Machines, func(i, j int) bool { return list.Machines[i].VM < list.Machines[j].VM })
	return list, nil
}

// freeze makes List keep returning the current list, or the live one again.
func (m *Machines) freeze(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !on:
		m.frozenAt = time.Time{}
	case m.frozenAt.IsZero():
		m.frozenAt = m.clock.Now().Add(-m.listLag)
	}
}

// Drain implements infra.Machines.
func (m *Machines) Drain(_ context.Context, id model.VMID, attempt model.AttemptID) error {
	return m.setDraining(effect{"drain", id, attempt}, true)
}

// Undrain implements infra.Machines.
func (m *Machines) Undrain(_ context.Context, id model.VMID, attempt model.AttemptID) error {
	return m.setDraining(effect{"undrain", id, attempt}, false)
}

func (m *Machines) setDraining(e effect, draining bool) error {
	v, fresh, err := m.beginEffect(e)
	if err != nil || !fresh {
		return err
	}
	v.runnerMu.Lock()
	defer v.runnerMu.Unlock()
	m.mu.Lock()
	v.draining = draining
	m.mu.Unlock()
	if draining {
		v.runner.Drain()
		return nil
	}
	v.runner.Undrain()
	return nil
}

// InFlight implements infra.Machines.
func (m *Machines) InFlight(_ context.Context, id model.VMID) (int, error) {
	m.mu.Lock()
	m.advanceLocked()
	v, ok := m.vms[id]
	if !ok {
		m.mu.Unlock()
		return 0, infra.Errorf("in-flight", infra.KindNotFound, "VM %s", id)
	}
	live, tasks := v.live, len(v.tasks)
	m.mu.Unlock()
	if !live {
		return 0, nil
	}
	return v.runner.InFlight() + tasks, nil
}

// Reboot implements infra.Machines.
func (m *Machines) Reboot(_ context.Context, id model.VMID, attempt model.AttemptID) error {
	v, fresh, err := m.beginEffect(effect{"reboot", id, attempt})
	if err != nil || !fresh {
		return err
	}
	m.mu.Lock()
	m.advanceLocked()
	m.tally.Reboots++
	m.tally.TasksCut += len(v.tasks)
	m.stopLocked(v, "VM rebooted")
	down := m.rebootTime
	m.mu.Unlock()
	cut := v.stop()
	m.mu.Lock()
	m.tally.CutByReboot += cut
	m.mu.Unlock()
	if down <= 0 {
		m.start(id)
		return nil
	}
	m.clock.AfterFunc(down, func() { m.start(id) })
	return nil
}

// beginEffect records an effect before it is applied. It returns the VM and
// whether this is the first call for the effect; a repeated one must not be
// applied again. It returns KindNotFound for an unknown VM and KindInvalid for an
// empty attempt.
func (m *Machines) beginEffect(e effect) (v *vm, fresh bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.vms[e.vm]
	if !ok {
		return nil, false, infra.Errorf(e.op, infra.KindNotFound, "VM %s", e.vm)
	}
	if e.attempt == "" {
		return nil, false, infra.Errorf(e.op, infra.KindInvalid, "no attempt")
	}
	if m.applied[e] {
		return v, false, nil
	}
	m.applied[e] = true
	return v, true, nil
}

// start starts a VM that is down. It marks the VM live only after its runner has
// started, so that a VM listed as live accepts requests.
func (m *Machines) start(id model.VMID) {
	m.mu.Lock()
	v, ok := m.vms[id]
	m.mu.Unlock()
	if !ok {
		return
	}
	v.runnerMu.Lock()
	defer v.runnerMu.Unlock()
	if m.isLive(v) {
		return
	}
	v.runner.Start()
	m.mu.Lock()
	defer m.mu.Unlock()
	v.live, v.draining = true, false
	v.boots++
	m.recordLocked(v)
}

func (m *Machines) isLive(v *vm) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return v.live
}

// stop stops the VM's runner and returns the number of requests that this aborted.
func (v *vm) stop() int {
	v.runnerMu.Lock()
	defer v.runnerMu.Unlock()
	return v.runner.Stop()
}

// stopLocked marks the VM as down and its tasks as lost. The caller then stops
// the runner with stop, after it has released the lock.
func (m *Machines) stopLocked(v *vm, reason string) {
	for t := range v.tasks {
		t.end(infra.TaskLost, reason)
	}
	v.live = false
	m.recordLocked(v)
}

// recordLocked adds a snapshot of the VM and discards those that are too old for
// List to return. It discards none while the list is frozen.
func (m *Machines) recordLocked(v *vm) {
	now := m.clock.Now()
	v.history = append(v.history, snapshot{from: now, machine: infra.Machine{
		VM: v.id, Live: v.live, Leaving: v.leaving, Boots: v.boots, Tasks: len(v.tasks),
	}})
	if !m.frozenAt.IsZero() {
		return
	}
	oldest := now.Add(-m.listLag)
	for len(v.history) > 1 && !v.history[1].from.After(oldest) {
		v.history = v.history[1:]
	}
}

// at returns the state of the VM at time t, and false if it did not exist then.
func (v *vm) at(t time.Time) (infra.Machine, bool) {
	for i := len(v.history) - 1; i >= 0; i-- {
		if !v.history[i].from.After(t) {
			return v.history[i].machine, true
		}
	}
	return infra.Machine{}, false
}
