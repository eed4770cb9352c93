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
	drained   bool
	quietAt   time.Time // when a drained VM has finished its work
	upAt      time.Time // when a reboot is over
	boots     int
	failed    bool          // live, but not healthy
	hiddenTo  time.Time     // a failure is not seen before
	drainTime time.Duration // how long its work takes to finish
	bootTime  time.Duration
	downAt    time.Time     // when the reboot ordered last begins
	bootDelay time.Duration // from the order to that
}

// crash lets the machine fail, which is seen from a time on.
func (v *machine) crash(seen time.Time) {
	v.failed = true
	v.hiddenTo = seen
}

// rebooting reports whether the machine is down for a reboot.
func (v *machine) rebooting(now time.Time) bool {
	return !now.Before(v.downAt) && now.Before(v.upAt)
}

// counted returns the boots that a list shows; a reboot shows once it is over.
func (v *machine) counted(now time.Time) int {
	if now.Before(v.upAt) {
		return v.boots - 1
	}
	return v.boots
}

// machines is the fake of the platform's control of VMs. It counts effects per
// attempt and what they cut.
type machines struct {
	infra.Machines // tasks are not used here
	clock          clockwork.Clock
	sending        func(model.VMID) bool // whether an entry VM may still send to the VM

	mu       sync.Mutex
	vms      map[model.VMID]*machine
	done     map[model.AttemptID]bool
	outUntil time.Time  // no call gets through before
	unlisted model.VMID // not in the list
	lag      time.Duration
	reboots  map[model.VMID]int
	cut      []model.VMID                                      // VMs rebooted with work on them
	took     func(op string, vm model.VMID, a model.AttemptID) // sees each effect once
	calls    int
	lose     int // so many next effects happen and report no reply
}

func newMachines(clock clockwork.Clock, d *model.Declaration) *machines {
	m := &machines{
		clock:   clock,
		vms:     make(map[model.VMID]*machine),
		done:    make(map[model.AttemptID]bool),
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
	m.lose = n
}

// outFor lets no call through for a time.
func (m *machines) outFor(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outUntil = m.clock.Now().Add(d)
}

func (m *machines) out() bool { return m.clock.Now().Before(m.outUntil) }

func (m *machines) health(id model.VMID) model.Health {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	v, ok := m.vms[id]
	switch {
	case !ok:
		return model.HealthUnknown
	case v.rebooting(now) || (v.failed && !now.Before(v.hiddenTo)):
		return model.HealthDown
	}
	return model.HealthHealthy
}

func (m *machines) List(context.Context) (infra.MachineList, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.out() {
		return infra.MachineList{}, infra.Errorf("list", infra.KindUnavailable, "down")
	}
	now := m.clock.Now()
	list := infra.MachineList{AsOf: now.Add(-m.lag)}
	for id, v := range m.vms {
		if id == m.unlisted {
			continue
		}
		list.Machines = append(list.Machines, infra.Machine{VM: id, Live: !v.rebooting(now), Boots: v.counted(now)})
	}
	return list, nil
}

// effect runs do once per attempt, then reports what the faults want.
func (m *machines) effect(op string, id model.VMID, a model.AttemptID, do func(*machine)) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.out() {
		return infra.Errorf(op, infra.KindUnavailable, "down")
	}
	v, ok := m.vms[id]
	if !ok {
		return infra.Errorf(op, infra.KindNotFound, "%s", id)
	}
	if !m.done[a] {
		m.done[a] = true
		m.took(op, id, a)
		do(v)
	}
	if m.lose > 0 {
		m.lose--
		return infra.Errorf(op, infra.KindUnknown, "reply lost")
	}
	return nil
}

func (m *machines) Drain(_ context.Context, id model.VMID, a model.AttemptID) error {
	return m.effect("drain", id, a, func(v *machine) {
		v.drained = true
		v.quietAt = m.clock.Now().Add(v.drainTime)
	})
}

func (m *machines) Undrain(_ context.Context, id model.VMID, a model.AttemptID) error {
	return m.effect("undrain", id, a, func(v *machine) { v.drained = false })
}

func (m *machines) Reboot(_ context.Context, id model.VMID, a model.AttemptID) error {
	return m.effect("reboot", id, a, func(v *machine) {
		if m.inFlight(v) > 0 || m.sending(id) {
			m.cut = append(m.cut, id)
		}
		v.boots++
		m.reboots[id]++
		v.downAt = m.clock.Now().Add(v.bootDelay)
		v.upAt = v.downAt.Add(v.bootTime)
	})
}

func (m *machines) inFlight(v *machine) int {
	if !v.drained || m.clock.Now().Before(v.quietAt) {
		return 1
	}
	return 0
}

func (m *machines) InFlight(_ context.Context, id model.VMID) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	v, ok := m.vms[id]
	if m.out() || !ok {
		return 0, infra.Errorf("in-flight", infra.KindUnavailable, "down")
	}
	return m.inFlight(v), nil
}
