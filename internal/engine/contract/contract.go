// Package contract holds adapters to what the engine's ports promise: tables of cases
// that run against any implementation over a platform of its own.
package contract

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Workers is an implementation of engine.Workers with one worker of two slots.
type Workers struct {
	Client engine.Workers
	Worker engine.WorkerInfo
	// Silence leaves all further calls without an answer.
	Silence func()
	// Crash ends the worker's life with all that runs and waits there.
	Crash func()
	// Unreachable is an address that refuses connections.
	Unreachable string
	// Advised is the specification of tasks that need a ticket.
	Advised string
}

// Times of the cases. Specifications are durations: how long a task works.
const (
	quick    = "10ms"
	long     = "1h"
	ahead    = time.Hour // a deadline that does not come
	patience = 10 * time.Second
	giveUp   = 150 * time.Millisecond // on a worker that is silent
	lease    = 2 * time.Second        // longer than a start is under way on a busy machine
)

func task(index int) work.TaskRef {
	return work.TaskRef{StepRef: work.StepRef{Job: "00000000000000aa", Occurrence: 1, Step: 2}, Index: index}
}

func start(index, run int, token int64, spec string) engine.Start {
	return engine.Start{Task: task(index), Run: run, Spec: spec, Deadline: ahead, Token: token}
}

func (w *Workers) start(t *testing.T, s engine.Start) engine.Outcome {
	t.Helper()
	out, clock := w.Client.Start(t.Context(), &w.Worker, s)
	if out == engine.OutcomeOK {
		assert.Assert(t, clock > 0, "the worker tells its clock")
	}
	return out
}

func (w *Workers) list(t *testing.T, h engine.Hold) engine.Listing {
	t.Helper()
	l, out := w.Client.Hold(t.Context(), &w.Worker, h)
	assert.Equal(t, out, engine.OutcomeOK)
	return l
}

// ends polls until the worker lists so many ends.
func (w *Workers) ends(t *testing.T, n int) engine.Listing {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		l := w.list(t, engine.Hold{Token: 5, Wait: 100 * time.Millisecond})
		if len(l.Ended) >= n {
			return l
		}
	}
	t.Fatalf("fewer than %d ends after %s", n, patience)
	return engine.Listing{}
}

var workerCases = []struct {
	name string
	run  func(t *testing.T, w *Workers)
}{
	{"a run is listed until it ends, and its end until it is acknowledged", func(t *testing.T, w *Workers) {
		assert.Equal(t, w.start(t, start(0, 3, 5, long)), engine.OutcomeOK)
		l := w.list(t, engine.Hold{Token: 5})
		assert.Equal(t, len(l.Running), 1)
		assert.Equal(t, l.Running[0].Task, task(0))
		assert.Equal(t, l.Running[0].Run, 3)
		assert.Equal(t, w.start(t, start(1, 1, 5, quick)), engine.OutcomeOK)
		e := w.ends(t, 1).Ended[0]
		assert.Equal(t, e.Task, task(1))
		assert.Equal(t, e.How, work.Done)
		assert.Equal(t, len(w.list(t, engine.Hold{Token: 5}).Ended), 1, "listed again")
		assert.Equal(t, len(w.list(t, engine.Hold{Token: 5, AckedThrough: e.Seq}).Ended), 0)
	}},
	{"a start that is repeated is the same run", func(t *testing.T, w *Workers) {
		for range 2 {
			assert.Equal(t, w.start(t, start(0, 1, 5, long)), engine.OutcomeOK)
		}
		assert.Equal(t, len(w.list(t, engine.Hold{Token: 5}).Running), 1)
	}},
	{"a run that is not higher than one that was stopped is old", func(t *testing.T, w *Workers) {
		assert.Equal(t, w.Client.Stop(t.Context(), &w.Worker, task(0), 4, 5), engine.OutcomeOK)
		assert.Equal(t, w.start(t, start(0, 4, 5, long)), engine.OutcomeOldRun)
		assert.Equal(t, w.start(t, start(0, 5, 5, long)), engine.OutcomeOK)
	}},
	{"a stopped run is listed as stopped", func(t *testing.T, w *Workers) {
		assert.Equal(t, w.start(t, start(0, 1, 5, long)), engine.OutcomeOK)
		assert.Equal(t, w.Client.Stop(t.Context(), &w.Worker, task(0), 1, 5), engine.OutcomeOK)
		assert.Equal(t, w.ends(t, 1).Ended[0].How, work.Stopped)
	}},
	{"an earlier owner is fenced", func(t *testing.T, w *Workers) {
		w.list(t, engine.Hold{Token: 5})
		assert.Equal(t, w.start(t, start(0, 1, 4, long)), engine.OutcomeFenced)
		assert.Equal(t, w.Client.Stop(t.Context(), &w.Worker, task(0), 1, 4), engine.OutcomeFenced)
		_, out := w.Client.Hold(t.Context(), &w.Worker, engine.Hold{Token: 4})
		assert.Equal(t, out, engine.OutcomeFenced)
	}},
	{"a start after its deadline is late", func(t *testing.T, w *Workers) {
		s := start(0, 1, 5, long)
		s.Deadline = time.Millisecond
		assert.Equal(t, w.start(t, s), engine.OutcomeLate)
	}},
	{"a start without room is refused", func(t *testing.T, w *Workers) {
		assert.Equal(t, w.start(t, start(0, 1, 5, long)), engine.OutcomeOK)
		assert.Equal(t, w.start(t, start(1, 1, 5, long)), engine.OutcomeOK)
		assert.Equal(t, w.start(t, start(2, 1, 5, long)), engine.OutcomeNoCapacity)
	}},
	{"a start without its ticket is refused", func(t *testing.T, w *Workers) {
		assert.Equal(t, w.start(t, start(0, 1, 5, w.Advised)), engine.OutcomeNoTicket)
	}},
	{"what runs lapses with its lease", func(t *testing.T, w *Workers) {
		now := w.list(t, engine.Hold{Token: 5}).Clock
		s := start(0, 1, 5, long)
		s.Deadline = now + lease
		assert.Equal(t, w.start(t, s), engine.OutcomeOK)
		assert.Equal(t, w.ends(t, 1).Ended[0].How, work.LeaseExpired)
	}},
	{"a brief poll tells ends alone, and says so", func(t *testing.T, w *Workers) {
		assert.Equal(t, w.start(t, start(0, 1, 5, long)), engine.OutcomeOK)
		assert.Equal(t, w.start(t, start(1, 1, 5, quick)), engine.OutcomeOK)
		w.ends(t, 1)
		l := w.list(t, engine.Hold{Token: 5, Brief: true})
		assert.Assert(t, l.Brief)
		assert.Equal(t, len(l.Running), 0)
		assert.Equal(t, len(l.Ended), 1)
	}},
	{"another life answers for itself alone", func(t *testing.T, w *Workers) {
		w.Worker.ID = "another"
		assert.Equal(t, w.start(t, start(0, 1, 5, long)), engine.OutcomeOtherIncarnation)
		assert.Equal(t, w.Client.Stop(t.Context(), &w.Worker, task(0), 1, 5), engine.OutcomeOtherIncarnation)
		_, out := w.Client.Hold(t.Context(), &w.Worker, engine.Hold{Token: 5})
		assert.Equal(t, out, engine.OutcomeOtherIncarnation)
	}},
	{"a call without an answer is of unknown outcome", func(t *testing.T, w *Workers) {
		w.Silence()
		ctx, cancel := context.WithTimeout(t.Context(), giveUp)
		defer cancel()
		out, _ := w.Client.Start(ctx, &w.Worker, start(0, 1, 5, long))
		assert.Equal(t, out, engine.OutcomeUnknown)
	}},
	{"a life that ends answers no call that waits", func(t *testing.T, w *Workers) {
		assert.Equal(t, w.start(t, start(0, 1, 5, long)), engine.OutcomeOK)
		crashed := time.AfterFunc(giveUp, w.Crash)
		defer crashed.Stop()
		_, out := w.Client.Hold(t.Context(), &w.Worker, engine.Hold{Token: 5, Wait: 4 * giveUp})
		assert.Equal(t, out, engine.OutcomeUnknown)
	}},
	{"a call without a connection was not sent", func(t *testing.T, w *Workers) {
		w.Worker.Address = w.Unreachable
		assert.Equal(t, w.start(t, start(0, 1, 5, long)), engine.OutcomeNotSent)
	}},
}

// RunWorkers holds an implementation to engine.Workers; fresh makes one for a case.
func RunWorkers(t *testing.T, fresh func(t *testing.T) *Workers) {
	for _, c := range workerCases {
		t.Run(c.name, func(t *testing.T) { c.run(t, fresh(t)) })
	}
}

// Machines is an implementation of engine.Machines with a VM in the first pool.
type Machines struct {
	Client engine.Machines
	// Away is an implementation whose service refuses connections.
	Away   engine.Machines
	VM     string
	Pools  [2]string
	Worker work.WorkerID // the VM's present life
}

func (m *Machines) vm(t *testing.T) work.VM {
	t.Helper()
	list, err := m.Client.List(t.Context())
	assert.NilError(t, err)
	for _, vm := range list {
		if vm.ID == m.VM {
			return vm
		}
	}
	t.Fatalf("VM %s is not listed", m.VM)
	return work.VM{}
}

// back waits for the VM's next life.
func (m *Machines) back(t *testing.T) work.VM {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if vm := m.vm(t); vm.State == work.VMUp && vm.Worker != m.Worker {
			return vm
		}
	}
	t.Fatalf("VM %s is not back after %s", m.VM, patience)
	return work.VM{}
}

// RunMachines holds an implementation to engine.Machines.
func RunMachines(t *testing.T, fresh func(t *testing.T) *Machines) {
	const token = 5
	t.Run("a VM is listed with its pool, size and life", func(t *testing.T) {
		m := fresh(t)
		vm := m.vm(t)
		assert.Equal(t, vm.Pool, m.Pools[0])
		assert.Equal(t, vm.Worker, m.Worker)
		assert.Equal(t, vm.State, work.VMUp)
		assert.Assert(t, vm.Size.MilliCPU > 0 && vm.Size.MemoryMB > 0)
	})
	t.Run("a moved VM is busy, and back in its new pool with another life", func(t *testing.T) {
		m := fresh(t)
		assert.Equal(t, m.Client.Move(t.Context(), m.VM, m.Pools[1], token), engine.VMDone)
		assert.Equal(t, m.Client.Move(t.Context(), m.VM, m.Pools[0], token), engine.VMBusy)
		assert.Equal(t, m.vm(t).State, work.VMMoving)
		assert.Equal(t, m.back(t).Pool, m.Pools[1])
	})
	t.Run("a maintained VM is back in its pool with another life", func(t *testing.T) {
		m := fresh(t)
		assert.Equal(t, m.Client.Maintain(t.Context(), m.VM, "1", token), engine.VMDone)
		assert.Equal(t, m.vm(t).State, work.VMMaintenance)
		assert.Equal(t, m.back(t).Pool, m.Pools[0])
	})
	t.Run("an order for no VM is invalid", func(t *testing.T) {
		assert.Equal(t, fresh(t).Client.Move(t.Context(), "nobody", "nowhere", token), engine.VMInvalid)
	})
	t.Run("a service without a connection did nothing", func(t *testing.T) {
		m := fresh(t)
		assert.Equal(t, m.Away.Move(t.Context(), m.VM, m.Pools[1], token), engine.VMRefused)
		_, err := m.Away.List(t.Context())
		assert.Assert(t, err != nil)
	})
}

// Advisor is an implementation of engine.Advisor.
type Advisor struct {
	Client   engine.Advisor
	Away     engine.Advisor // its service refuses connections
	Workers  []work.WorkerID
	Approves func(step work.StepRef, worker work.WorkerID) bool
}

// RunAdvisor holds an implementation to engine.Advisor.
func RunAdvisor(t *testing.T, a Advisor) {
	step := task(0).StepRef
	t.Run("tickets come for the workers that may run the step alone", func(t *testing.T) {
		tickets, validity, err := a.Client.Advise(t.Context(), step, a.Workers)
		assert.NilError(t, err)
		assert.Assert(t, validity > 0)
		got := make(map[work.WorkerID]bool)
		for _, tk := range tickets {
			assert.Assert(t, tk.Ticket != "")
			got[tk.Worker] = true
		}
		for _, w := range a.Workers {
			assert.Equal(t, got[w], a.Approves(step, w), "%s", w)
		}
	})
	t.Run("an advisor that is away gives no advice", func(t *testing.T) {
		_, _, err := a.Away.Advise(t.Context(), step, a.Workers)
		assert.Assert(t, err != nil)
	})
}
