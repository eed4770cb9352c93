package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// machine is one VM of the fake platform.
type machine struct {
	drained     bool
	idleAt      time.Time // when a drained VM has completed its work
	upAt        time.Time // when the last reboot is complete
	boots       int
	failed      bool          // live, but not healthy
	visibleFrom time.Time     // from when a failure is visible
	drainTime   time.Duration // how long its work takes to complete after a drain
	bootTime    time.Duration
	downAt      time.Time     // when the last reboot begins
	bootDelay   time.Duration // time from the call to the beginning of the reboot
}

// crash makes the machine fail; its health shows that from the time seen.
func (v *machine) crash(seen time.Time) {
	v.failed = true
	v.visibleFrom = seen
}

// rebooting reports whether the machine is down for a reboot.
func (v *machine) rebooting(now time.Time) bool {
	return !now.Before(v.downAt) && now.Before(v.upAt)
}

// listedBoots returns the number of boots that a list shows; it includes a
// reboot once that is complete.
func (v *machine) listedBoots(now time.Time) int {
	if now.Before(v.upAt) {
		return v.boots - 1
	}
	return v.boots
}

// machines is a fake of the platform's control of VMs. It applies an effect once
// per attempt, and records reboots and the work they interrupt.
type machines struct {
	infra.Machines // tasks are not used here
	clock          clockwork.Clock
	mayReceive     func(model.VMID) bool // whether an entry VM may still send to the VM

	mu               sync.Mutex
	vms              map[model.VMID]*machine
	applied          map[model.AttemptID]bool // attempts whose effect was applied
	unavailableUntil time.Time                // calls fail before this time
	unlisted         model.VMID               // this VM is missing from the list
	listAge          time.Duration            // age of the list of VMs when it is returned
	reboots          map[model.VMID]int
	rebootedWithWork []model.VMID                                      // VMs rebooted with work on them
	onEffect         func(op string, vm model.VMID, a model.AttemptID) // called once per effect
	calls            int
	repliesToLose    int // number of next effects whose reply is lost
}

func newMachines(clock clockwork.Clock, d *model.Declaration) *machines {
	m := &machines{
		clock:   clock,
		vms:     make(map[model.VMID]*machine),
		applied: make(map[model.AttemptID]bool),
		reboots: make(map[model.VMID]int),
	}
	for i := range d.VMs {
		m.vms[d.VMs[i].ID] = &machine{drainTime: 20 * time.Second, bootTime: time.Minute, boots: 1}
	}
	return m
}

func (m *machines) loseReplies(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.repliesToLose = n
}

// startOutage makes calls fail for d.
func (m *machines) startOutage(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailableUntil = m.clock.Now().Add(d)
}

func (m *machines) unavailable() bool { return m.clock.Now().Before(m.unavailableUntil) }

func (m *machines) health(id model.VMID) model.Health {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	v, ok := m.vms[id]
	switch {
	case !ok:
		return model.HealthUnknown
	case v.rebooting(now) || (v.failed && !now.Before(v.visibleFrom)):
		return model.HealthDown
	}
	return model.HealthHealthy
}

func (m *machines) List(context.Context) (infra.MachineList, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.unavailable() {
		return infra.MachineList{}, infra.Errorf("list", infra.KindUnavailable, "down")
	}
	now := m.clock.Now()
	list := infra.MachineList{AsOf: now.Add(-m.listAge)}
	for id, v := range m.vms {
		if id == m.unlisted {
			continue
		}
		list.Machines = append(list.Machines, infra.Machine{VM: id, Live: !v.rebooting(now), Boots: v.listedBoots(now)})
	}
	return list, nil
}

// effect applies do once per attempt, then returns an error if the reply is to be
// lost.
func (m *machines) effect(op string, id model.VMID, a model.AttemptID, do func(*machine)) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.unavailable() {
		return infra.Errorf(op, infra.KindUnavailable, "down")
	}
	v, ok := m.vms[id]
	if !ok {
		return infra.Errorf(op, infra.KindNotFound, "%s", id)
	}
	if !m.applied[a] {
		m.applied[a] = true
		m.onEffect(op, id, a)
		do(v)
	}
	if m.repliesToLose > 0 {
		m.repliesToLose--
		return infra.Errorf(op, infra.KindUnknown, "reply lost")
	}
	return nil
}

func (m *machines) Drain(_ context.Context, id model.VMID, a model.AttemptID) error {
	return m.effect("drain", id, a, func(v *machine) {
		v.drained = true
		v.idleAt = m.clock.Now().Add(v.drainTime)
	})
}

func (m *machines) Undrain(_ context.Context, id model.VMID, a model.AttemptID) error {
	return m.effect("undrain", id, a, func(v *machine) { v.drained = false })
}

func (m *machines) Reboot(_ context.Context, id model.VMID, a model.AttemptID) error {
	return m.effect("reboot", id, a, func(v *machine) {
		if m.inFlight(v) > 0 || m.mayReceive(id) {
			m.rebootedWithWork = append(m.rebootedWithWork, id)
		}
		v.boots++
		m.reboots[id]++
		v.downAt = m.clock.Now().Add(v.bootDelay)
		v.upAt = v.downAt.Add(v.bootTime)
	})
}

func (m *machines) inFlight(v *machine) int {
	if !v.drained || m.clock.Now().Before(v.idleAt) {
		return 1
	}
	return 0
}

func (m *machines) InFlight(_ context.Context, id model.VMID) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	v, ok := m.vms[id]
	if m.unavailable() || !ok {
		return 0, infra.Errorf("in-flight", infra.KindUnavailable, "down")
	}
	return m.inFlight(v), nil
}
