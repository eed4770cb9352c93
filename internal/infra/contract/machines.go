package contract

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Machines is an empty set of machines under test and the controls of the
// service behind it. A control of a fault that cannot be injected is nil; the
// cases that need it are omitted. Fields named as in Store have the same meaning.
type Machines struct {
	Client  infra.Machines    // under test
	Control *standin.Machines // the machines that Client operates on

	Advance      func(d time.Duration)
	Down         func(on bool)
	Pause        func(on bool)
	Held         func() int
	LoseReplies  func(n int)
	LoseRequests func(n int)
	Garble       func(n int)
	RateLimit    func()
	StaleList    func(on bool)
}

// MachinesFactory returns new Machines for one case.
type MachinesFactory func(t *testing.T) Machines

type machinesCase struct {
	name  string
	needs func(m Machines) bool
	run   func(t *testing.T, m Machines)
}

// RunMachines runs the suite of infra.Machines, each case on new machines.
func RunMachines(t *testing.T, fresh MachinesFactory) {
	probe := fresh(t)
	for _, cases := range [][]machinesCase{vmCases, taskCases, machineFaultCases} {
		for _, c := range cases {
			if c.needs != nil && !c.needs(probe) {
				continue
			}
			t.Run(c.name, func(t *testing.T) { c.run(t, fresh(t)) })
		}
	}
}

// vmSize is the capacity of each VM in the suite.
var vmSize = model.Resources{MilliCPU: 4000, MemoryMB: 8192}

// fakeRunner records the hooks called on it, in order.
type fakeRunner struct {
	calls    []string
	requests int
}

func (r *fakeRunner) hooks() standin.Hooks {
	record := func(what string) func() { return func() { r.calls = append(r.calls, what) } }
	return standin.Hooks{
		OnDrain: record("drain"), OnUndrain: record("undrain"), OnStart: record("start"),
		OnStop:   func() int { record("stop")(); return r.requests },
		Requests: func() int { return r.requests },
	}
}

func (r *fakeRunner) wantCalls(t *testing.T, want string) {
	t.Helper()
	assert.Equal(t, strings.Join(r.calls, " "), want)
}

func addVM(m Machines, id model.VMID) *fakeRunner {
	r := &fakeRunner{}
	m.Control.Add(id, vmSize, r.hooks())
	return r
}

func listed(t *testing.T, m Machines) infra.MachineList {
	t.Helper()
	list, err := m.Client.List(ctxOf(t))
	assert.NilError(t, err)
	return list
}

var vmCases = []machinesCase{
	{name: "the list shows every VM in order", run: func(t *testing.T, m Machines) {
		addVM(m, "v2")
		addVM(m, "v1")
		m.Control.SetLeaving("v1", true)
		m.Control.Fail("v2")
		assert.DeepEqual(t, listed(t, m).Machines, []infra.Machine{{VM: "v1", Live: true, Leaving: true}, {VM: "v2"}})
	}},
	{name: "the list lags and reports its age", run: func(t *testing.T, m Machines) {
		addVM(m, "v1")
		m.Control.SetListLag(5 * time.Second)
		m.Advance(time.Minute)
		before := listed(t, m).AsOf
		m.Control.Fail("v1")
		m.Advance(4 * time.Second)
		assert.Assert(t, listed(t, m).Machines[0].Live)
		m.Advance(time.Second)
		list := listed(t, m)
		assert.Assert(t, !list.Machines[0].Live)
		assert.Equal(t, list.AsOf.Sub(before), 5*time.Second)
	}},
	{name: "drain and undrain reach the runner once for each attempt", run: func(t *testing.T, m Machines) {
		r := addVM(m, "v1")
		for range 2 {
			assert.NilError(t, m.Client.Drain(ctxOf(t), "v1", "a1"))
		}
		for range 2 {
			assert.NilError(t, m.Client.Undrain(ctxOf(t), "v1", "a1"))
		}
		assert.NilError(t, m.Client.Drain(ctxOf(t), "v1", "a2"))
		r.wantCalls(t, "drain undrain drain")
	}},
	{name: "a reboot happens once for each attempt and counts the requests it cut off", run: func(t *testing.T, m Machines) {
		r := addVM(m, "v1")
		r.requests = 3
		for _, attempt := range []model.AttemptID{"a1", "a1", "a2"} {
			assert.NilError(t, m.Client.Reboot(ctxOf(t), "v1", attempt))
		}
		r.wantCalls(t, "stop start stop start")
		assert.Equal(t, listed(t, m).Machines[0].Boots, 2)
		assert.Equal(t, m.Control.Tally().CutByReboot, 6)
	}},
	{name: "a VM is down for the time of its reboot, which ends a drain", run: func(t *testing.T, m Machines) {
		r := addVM(m, "v1")
		m.Control.SetRebootTime(time.Minute)
		assert.NilError(t, m.Client.Drain(ctxOf(t), "v1", "a1"))
		assert.NilError(t, m.Client.Reboot(ctxOf(t), "v1", "a1"))
		assert.DeepEqual(t, listed(t, m).Machines, []infra.Machine{{VM: "v1"}})
		m.Advance(time.Minute)
		eventually(t, "the VM stays down", func() bool { return listed(t, m).Machines[0].Live })
		assert.NilError(t, m.Client.StartTask(ctxOf(t), endlessTask("t1")))
		assert.Equal(t, len(r.calls), 3)
	}},
	{name: "the in-flight count includes the runner's requests and the VM's tasks", run: func(t *testing.T, m Machines) {
		r := addVM(m, "v1")
		r.requests = 2
		assert.NilError(t, m.Client.StartTask(ctxOf(t), endlessTask("t1")))
		n, err := m.Client.InFlight(ctxOf(t), "v1")
		assert.NilError(t, err)
		assert.Equal(t, n, 3)
	}},
	{name: "a VM or task that does not exist is not found", run: func(t *testing.T, m Machines) {
		_, err := m.Client.InFlight(ctxOf(t), "none")
		wantKind(t, err, infra.KindNotFound)
		for _, do := range commands {
			err := do.run(ctxOf(t), m.Client, "a1")
			assert.Assert(t, infra.IsKind(err, infra.KindNotFound), "%s: %v", do.name, err)
		}
	}},
}

// commands has every call that changes something, each on VM v1 or on the task
// of its attempt.
var commands = []struct {
	name string
	run  func(ctx context.Context, m infra.Machines, attempt model.AttemptID) error
}{
	{"drain", func(ctx context.Context, m infra.Machines, a model.AttemptID) error { return m.Drain(ctx, "v1", a) }},
	{"undrain", func(ctx context.Context, m infra.Machines, a model.AttemptID) error {
		return m.Undrain(ctx, "v1", a)
	}},
	{"reboot", func(ctx context.Context, m infra.Machines, a model.AttemptID) error { return m.Reboot(ctx, "v1", a) }},
	{"start task", func(ctx context.Context, m infra.Machines, a model.AttemptID) error {
		return m.StartTask(ctx, endlessTask(a))
	}},
	{"renew task", func(ctx context.Context, m infra.Machines, a model.AttemptID) error { return m.RenewTask(ctx, a) }},
	{"stop task", func(ctx context.Context, m infra.Machines, a model.AttemptID) error {
		return m.StopTask(ctx, a, true)
	}},
	{"throttle task", func(ctx context.Context, m infra.Machines, a model.AttemptID) error {
		return m.ThrottleTask(ctx, a, 100)
	}},
}

var machineFaultCases = []machinesCase{
	{
		name:  "a stale list keeps its content and its timestamp",
		needs: func(m Machines) bool { return m.StaleList != nil },
		run: func(t *testing.T, m Machines) {
			addVM(m, "v1")
			m.Advance(time.Second)
			m.StaleList(true)
			frozen := listed(t, m)
			m.Advance(time.Hour)
			m.Control.Fail("v1")
			assert.DeepEqual(t, listed(t, m), frozen)
			m.StaleList(false)
			assert.Assert(t, !listed(t, m).Machines[0].Live)
		},
	},
	{
		name:  "while the service is down every command fails as certainly not sent",
		needs: func(m Machines) bool { return m.Down != nil },
		run: func(t *testing.T, m Machines) {
			r := addVM(m, "v1")
			listed(t, m) // leaves an open connection, which going down closes
			m.Down(true)
			for _, do := range commands {
				err := do.run(ctxOf(t), m.Client, "a1")
				assert.Assert(t, infra.IsKind(err, infra.KindUnavailable), "%s: %v", do.name, err)
			}
			_, err := m.Client.List(ctxOf(t))
			wantKind(t, err, infra.KindUnavailable)
			m.Down(false)
			r.wantCalls(t, "")
		},
	},
	{
		name:  "a command whose reply or request is lost is unknown, and its retry executes it once",
		needs: func(m Machines) bool { return m.LoseReplies != nil },
		run: func(t *testing.T, m Machines) {
			for attempt, lose := range map[model.AttemptID]func(int){"a1": m.LoseReplies, "a2": m.LoseRequests} {
				r := addVM(m, "v1") // replaces the previous VM
				for _, do := range commands[:3] {
					lose(1)
					err := do.run(ctxOf(t), m.Client, attempt)
					assert.Assert(t, infra.IsKind(err, infra.KindUnknown), "%s: %v", do.name, err)
					assert.NilError(t, do.run(ctxOf(t), m.Client, attempt))
				}
				r.wantCalls(t, "drain undrain stop start")
			}
		},
	},
	{name: "a delayed copy of a repeated command has no effect", needs: func(m Machines) bool { return m.Pause != nil }, run: delayedCommand},
	{
		name:  "a command over the rate limits is rejected and has no effect",
		needs: func(m Machines) bool { return m.RateLimit != nil },
		run: func(t *testing.T, m Machines) {
			r := addVM(m, "v1")
			m.RateLimit()
			assert.NilError(t, m.Client.Drain(ctxOf(t), "v1", "a1"))
			wantKind(t, m.Client.Undrain(ctxOf(t), "v1", "a1"), infra.KindRateLimited)
			r.wantCalls(t, "drain")
		},
	},
	{
		name:  "a malformed reply makes a read invalid and a command unknown",
		needs: func(m Machines) bool { return m.Garble != nil },
		run: func(t *testing.T, m Machines) {
			addVM(m, "v1")
			m.Garble(2)
			_, err := m.Client.List(ctxOf(t))
			wantKind(t, err, infra.KindInvalid)
			wantKind(t, m.Client.Drain(ctxOf(t), "v1", "a1"), infra.KindUnknown)
		},
	},
}

// delayedCommand has the service read a drain and pause. The reconciler cancels
// the call, repeats it under the same attempt, and later undrains the VM. Once
// the service resumes, the first copy must not drain the VM again, because
// nothing would ever undrain it.
func delayedCommand(t *testing.T, m Machines) {
	r := addVM(m, "v1")
	m.Pause(true)
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() { failed <- m.Client.Drain(ctx, "v1", "a1") }()
	eventually(t, "the drain did not reach the service", func() bool { return m.Held() == 1 })
	cancel()
	wantKind(t, <-failed, infra.KindUnknown)

	assert.NilError(t, m.Control.Drain(ctxOf(t), "v1", "a1"))
	assert.NilError(t, m.Control.Undrain(ctxOf(t), "v1", "a2"))
	m.Pause(false)
	eventually(t, "the first copy is still held", func() bool { return m.Held() == 0 })

	assert.NilError(t, m.Client.Undrain(ctxOf(t), "v1", "a3")) // runs after the delayed copy: a VM's calls run in order
	r.wantCalls(t, "drain undrain undrain")
}
