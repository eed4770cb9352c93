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

// Machines are the VMs and tasks. It is a infra.Machines by itself, and
// the control by which a test makes VMs, fails them and says how tasks behave.
type Machines struct {
	clock clockwork.Clock

	mu         sync.Mutex
	vms        map[model.VMID]*vm
	done       map[effect]bool
	tasks      map[model.AttemptID]*task
	progress   map[model.JobID]time.Duration // kept by checkpoints
	behaviour  map[model.JobID]Behaviour
	listLag    time.Duration
	frozenAt   time.Time // zero where the list moves on
	usageEvery time.Duration
	rebootTime time.Duration
	tally      Tally
}

// Tally is what happened to work on the machines, counted here and not by
// whoever gave the orders.
type Tally struct {
	CutByReboot int // requests that an ordered reboot cut
	CutByCrash  int // requests that an unplanned stop cut
	TasksCut    int // tasks that an ordered reboot ended
	Reboots     int
	Starts      map[model.JobID]int // tasks started, by job
	Finished    map[model.JobID]int // tasks that ran to their end, by job
}

type vm struct {
	id       model.VMID
	capacity model.Resources
	runner   Runner
	turn     sync.Mutex // held while the runner is called
	live     bool
	leaving  bool
	draining bool
	allFail  bool
	boots    int
	tasks    map[*task]struct{} // those that run
	history  []moment
}

// moment is a VM as it was from then on, for the lagging list.
type moment struct {
	from    time.Time
	machine infra.Machine
}

// effect identifies one effect on one VM; a repeat of it is already done.
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
		done:      make(map[effect]bool),
		tasks:     make(map[model.AttemptID]*task),
		progress:  make(map[model.JobID]time.Duration),
		behaviour: make(map[model.JobID]Behaviour),
		tally:     Tally{Starts: make(map[model.JobID]int), Finished: make(map[model.JobID]int)},
	}
}

// Add makes a live VM; runner may be nil.
func (m *Machines) Add(id model.VMID, capacity model.Resources, runner Runner) {
	if runner == nil {
		runner = Hooks{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	v := &vm{id: id, capacity: capacity, runner: runner, live: true, tasks: make(map[*task]struct{})}
	m.vms[id] = v
	m.noteLocked(v)
}

// SetLeaving marks a VM as one that the platform itself will take away.
func (m *Machines) SetLeaving(id model.VMID, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v, ok := m.vms[id]; ok {
		v.leaving = leaving
		m.noteLocked(v)
	}
}

// Fail stops a VM without warning; its tasks are lost.
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

// Recover starts a VM that failed.
func (m *Machines) Recover(id model.VMID) { m.start(id) }

// SetListLag makes the list show the VMs as they were so long ago.
func (m *Machines) SetListLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listLag = lag
}

// SetRebootTime makes a reboot keep the VM down for so long.
func (m *Machines) SetRebootTime(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rebootTime = d
}

// Tally returns what happened so far.
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

// freeze stops the list, or lets it move on.
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
	v, fresh, err := m.begin(e)
	if err != nil || !fresh {
		return err
	}
	v.turn.Lock()
	defer v.turn.Unlock()
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
	v, fresh, err := m.begin(effect{"reboot", id, attempt})
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

// begin notes an effect before it happens and reports whether it is the first
// of its attempt.
func (m *Machines) begin(e effect) (v *vm, fresh bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.vms[e.vm]
	if !ok {
		return nil, false, infra.Errorf(e.op, infra.KindNotFound, "VM %s", e.vm)
	}
	if e.attempt == "" {
		return nil, false, infra.Errorf(e.op, infra.KindInvalid, "no attempt")
	}
	if m.done[e] {
		return v, false, nil
	}
	m.done[e] = true
	return v, true, nil
}

// start starts a VM that is down. It is live only once its runner is, so that
// whoever sees it live finds it working.
func (m *Machines) start(id model.VMID) {
	m.mu.Lock()
	v, ok := m.vms[id]
	m.mu.Unlock()
	if !ok {
		return
	}
	v.turn.Lock()
	defer v.turn.Unlock()
	if m.isLive(v) {
		return
	}
	v.runner.Start()
	m.mu.Lock()
	defer m.mu.Unlock()
	v.live, v.draining = true, false
	v.boots++
	m.noteLocked(v)
}

func (m *Machines) isLive(v *vm) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return v.live
}

func (v *vm) stop() int {
	v.turn.Lock()
	defer v.turn.Unlock()
	return v.runner.Stop()
}

func (m *Machines) stopLocked(v *vm, reason string) {
	for t := range v.tasks {
		t.end(infra.TaskLost, reason)
	}
	v.live = false
	m.noteLocked(v)
}

// noteLocked records the VM as it is now, and forgets what no list can show.
func (m *Machines) noteLocked(v *vm) {
	now := m.clock.Now()
	v.history = append(v.history, moment{from: now, machine: infra.Machine{
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

// at returns the VM as it was, if it was there.
func (v *vm) at(t time.Time) (infra.Machine, bool) {
	for i := len(v.history) - 1; i >= 0; i-- {
		if !v.history[i].from.After(t) {
			return v.history[i].machine, true
		}
	}
	return infra.Machine{}, false
}
