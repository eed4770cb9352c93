// Package contract tests that implementations of the engine's ports behave as the ports require. Its
// tables of cases run against any implementation, each on a platform that the implementation's test sets
// up.
package contract

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Workers is an implementation of engine.Workers under test, with one worker of two slots.
type Workers struct {
	Client engine.Workers
	Worker engine.WorkerInfo
	// Silence makes the worker leave all further calls unanswered.
	Silence func()
	// Crash ends the worker's incarnation, with all its runs and pending calls.
	Crash func()
	// Unreachable is an address that refuses connections.
	Unreachable string
	// AdvisedSpec is a task specification that needs a ticket.
	AdvisedSpec string
}

// Times of the cases. The specification of a task is its run time.
const (
	shortRun       = "10ms"
	longRun        = "1h"
	farDeadline    = time.Hour // a start deadline that is not reached
	waitTimeout    = 10 * time.Second
	silenceTimeout = 150 * time.Millisecond // of a call to a silent worker
	leaseTime      = 2 * time.Second        // longer than a start takes on a busy machine
)

func task(index int) work.TaskRef {
	return work.TaskRef{StepRef: work.StepRef{Job: "00000000000000aa", Occurrence: 1, Step: 2}, Index: index}
}

func start(index, run int, token int64, spec string) engine.Start {
	return engine.Start{Task: task(index), Run: run, Spec: spec, Deadline: farDeadline, Token: token}
}

func (w *Workers) start(t *testing.T, s engine.Start) engine.Outcome {
	t.Helper()
	out, clock := w.Client.Start(t.Context(), &w.Worker, s)
	if out == engine.OutcomeOK {
		assert.Assert(t, clock > 0, "the answer to a start has the worker's clock")
	}
	return out
}

func (w *Workers) list(t *testing.T, h engine.Hold) engine.Listing {
	t.Helper()
	l, out := w.Client.Hold(t.Context(), &w.Worker, h)
	assert.Equal(t, out, engine.OutcomeOK)
	return l
}

// awaitEnds polls until the worker lists at least n ended runs.
func (w *Workers) awaitEnds(t *testing.T, n int) engine.Listing {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		l := w.list(t, engine.Hold{Token: 5, Wait: 100 * time.Millisecond})
		if len(l.Ended) >= n {
			return l
		}
	}
	t.Fatalf("the worker lists fewer than %d ended runs after %s", n, waitTimeout)
	return engine.Listing{}
}

var workerCases = []struct {
	name string
	run  func(t *testing.T, w *Workers)
}{
	{"a run is listed until it ends, and its end until it is acknowledged", func(t *testing.T, w *Workers) {
		assert.Equal(t, w.start(t, start(0, 3, 5, longRun)), engine.OutcomeOK)
		l := w.list(t, engine.Hold{Token: 5})
		assert.Equal(t, len(l.Running), 1)
		assert.Equal(t, l.Running[0].Task, task(0))
		assert.Equal(t, l.Running[0].Run, 3)
		assert.Equal(t, w.start(t, start(1, 1, 5, shortRun)), engine.OutcomeOK)
		e := w.awaitEnds(t, 1).Ended[0]
		assert.Equal(t, e.Task, task(1))
		assert.Equal(t, e.How, work.Done)
		assert.Equal(t, len(w.list(t, engine.Hold{Token: 5}).Ended), 1, "listed again")
		assert.Equal(t, len(w.list(t, engine.Hold{Token: 5, AckedThrough: e.Seq}).Ended), 0)
	}},
	{"a start that is repeated is the same run", func(t *testing.T, w *Workers) {
		for range 2 {
			assert.Equal(t, w.start(t, start(0, 1, 5, longRun)), engine.OutcomeOK)
		}
		assert.Equal(t, len(w.list(t, engine.Hold{Token: 5}).Running), 1)
	}},
	{"a start whose run number is not above a stopped one's is outdated", func(t *testing.T, w *Workers) {
		assert.Equal(t, w.Client.Stop(t.Context(), &w.Worker, task(0), 4, 5), engine.OutcomeOK)
		assert.Equal(t, w.start(t, start(0, 4, 5, longRun)), engine.OutcomeOldRun)
		assert.Equal(t, w.start(t, start(0, 5, 5, longRun)), engine.OutcomeOK)
	}},
	{"a stopped run is listed as stopped", func(t *testing.T, w *Workers) {
		assert.Equal(t, w.start(t, start(0, 1, 5, longRun)), engine.OutcomeOK)
		assert.Equal(t, w.Client.Stop(t.Context(), &w.Worker, task(0), 1, 5), engine.OutcomeOK)
		assert.Equal(t, w.awaitEnds(t, 1).Ended[0].How, work.Stopped)
	}},
	{"an earlier owner is fenced", func(t *testing.T, w *Workers) {
		w.list(t, engine.Hold{Token: 5})
		assert.Equal(t, w.start(t, start(0, 1, 4, longRun)), engine.OutcomeFenced)
		assert.Equal(t, w.Client.Stop(t.Context(), &w.Worker, task(0), 1, 4), engine.OutcomeFenced)
		_, out := w.Client.Hold(t.Context(), &w.Worker, engine.Hold{Token: 4})
		assert.Equal(t, out, engine.OutcomeFenced)
	}},
	{"a start after its deadline is late", func(t *testing.T, w *Workers) {
		s := start(0, 1, 5, longRun)
		s.Deadline = time.Millisecond
		assert.Equal(t, w.start(t, s), engine.OutcomeLate)
	}},
	{"a start without free capacity is refused", func(t *testing.T, w *Workers) {
		assert.Equal(t, w.start(t, start(0, 1, 5, longRun)), engine.OutcomeOK)
		assert.Equal(t, w.start(t, start(1, 1, 5, longRun)), engine.OutcomeOK)
		assert.Equal(t, w.start(t, start(2, 1, 5, longRun)), engine.OutcomeNoCapacity)
	}},
	{"a start without its ticket is refused", func(t *testing.T, w *Workers) {
		assert.Equal(t, w.start(t, start(0, 1, 5, w.AdvisedSpec)), engine.OutcomeNoTicket)
	}},
	{"a run ends when its lease expires", func(t *testing.T, w *Workers) {
		now := w.list(t, engine.Hold{Token: 5}).Clock
		s := start(0, 1, 5, longRun)
		s.Deadline = now + leaseTime
		assert.Equal(t, w.start(t, s), engine.OutcomeOK)
		assert.Equal(t, w.awaitEnds(t, 1).Ended[0].How, work.LeaseExpired)
	}},
	{"a brief poll lists ended runs only, and is marked as brief", func(t *testing.T, w *Workers) {
		assert.Equal(t, w.start(t, start(0, 1, 5, longRun)), engine.OutcomeOK)
		assert.Equal(t, w.start(t, start(1, 1, 5, shortRun)), engine.OutcomeOK)
		w.awaitEnds(t, 1)
		l := w.list(t, engine.Hold{Token: 5, Brief: true})
		assert.Assert(t, l.Brief)
		assert.Equal(t, len(l.Running), 0)
		assert.Equal(t, len(l.Ended), 1)
	}},
	{"a call for another incarnation is rejected", func(t *testing.T, w *Workers) {
		w.Worker.ID = "another"
		assert.Equal(t, w.start(t, start(0, 1, 5, longRun)), engine.OutcomeOtherIncarnation)
		assert.Equal(t, w.Client.Stop(t.Context(), &w.Worker, task(0), 1, 5), engine.OutcomeOtherIncarnation)
		_, out := w.Client.Hold(t.Context(), &w.Worker, engine.Hold{Token: 5})
		assert.Equal(t, out, engine.OutcomeOtherIncarnation)
	}},
	{"a call without an answer is of unknown outcome", func(t *testing.T, w *Workers) {
		w.Silence()
		ctx, cancel := context.WithTimeout(t.Context(), silenceTimeout)
		defer cancel()
		out, _ := w.Client.Start(ctx, &w.Worker, start(0, 1, 5, longRun))
		assert.Equal(t, out, engine.OutcomeUnknown)
	}},
	{"a call that waits is not answered when the incarnation ends", func(t *testing.T, w *Workers) {
		assert.Equal(t, w.start(t, start(0, 1, 5, longRun)), engine.OutcomeOK)
		crashed := time.AfterFunc(silenceTimeout, w.Crash)
		defer crashed.Stop()
		_, out := w.Client.Hold(t.Context(), &w.Worker, engine.Hold{Token: 5, Wait: 4 * silenceTimeout})
		assert.Equal(t, out, engine.OutcomeUnknown)
	}},
	{"a call without a connection was not sent", func(t *testing.T, w *Workers) {
		w.Worker.Address = w.Unreachable
		assert.Equal(t, w.start(t, start(0, 1, 5, longRun)), engine.OutcomeNotSent)
	}},
}

// RunWorkers tests an implementation of engine.Workers. It calls fresh for a new one for each case.
func RunWorkers(t *testing.T, fresh func(t *testing.T) *Workers) {
	for _, c := range workerCases {
		t.Run(c.name, func(t *testing.T) { c.run(t, fresh(t)) })
	}
}

// Machines is an implementation of engine.Machines under test, with a VM in the first pool.
type Machines struct {
	Client engine.Machines
	// Unreachable is the implementation with a service that refuses connections.
	Unreachable engine.Machines
	VM          string
	Pools       [2]string
	Worker      work.WorkerID // the VM's current incarnation
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

// awaitNextIncarnation waits until the VM is up with another incarnation than Worker.
func (m *Machines) awaitNextIncarnation(t *testing.T) work.VM {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if vm := m.vm(t); vm.State == work.VMUp && vm.Worker != m.Worker {
			return vm
		}
	}
	t.Fatalf("VM %s is not up with a new incarnation after %s", m.VM, waitTimeout)
	return work.VM{}
}

// RunMachines tests an implementation of engine.Machines. It calls fresh for a new one for each case.
func RunMachines(t *testing.T, fresh func(t *testing.T) *Machines) {
	const token = 5
	t.Run("a VM is listed with its pool, size and incarnation", func(t *testing.T) {
		m := fresh(t)
		vm := m.vm(t)
		assert.Equal(t, vm.Pool, m.Pools[0])
		assert.Equal(t, vm.Worker, m.Worker)
		assert.Equal(t, vm.State, work.VMUp)
		assert.Assert(t, vm.Size.MilliCPU > 0 && vm.Size.MemoryMB > 0)
	})
	t.Run("a VM that moves is busy, and then up in its new pool with a new incarnation", func(t *testing.T) {
		m := fresh(t)
		assert.Equal(t, m.Client.Move(t.Context(), m.VM, m.Pools[1], token), engine.VMDone)
		assert.Equal(t, m.Client.Move(t.Context(), m.VM, m.Pools[0], token), engine.VMBusy)
		assert.Equal(t, m.vm(t).State, work.VMMoving)
		assert.Equal(t, m.awaitNextIncarnation(t).Pool, m.Pools[1])
	})
	t.Run("a VM is up in its pool with a new incarnation after maintenance", func(t *testing.T) {
		m := fresh(t)
		assert.Equal(t, m.Client.Maintain(t.Context(), m.VM, "1", token), engine.VMDone)
		assert.Equal(t, m.vm(t).State, work.VMMaintenance)
		assert.Equal(t, m.awaitNextIncarnation(t).Pool, m.Pools[0])
	})
	t.Run("an order for an unknown VM is invalid", func(t *testing.T) {
		assert.Equal(t, fresh(t).Client.Move(t.Context(), "nobody", "nowhere", token), engine.VMInvalid)
	})
	t.Run("an order to an unreachable service has no effect", func(t *testing.T) {
		m := fresh(t)
		assert.Equal(t, m.Unreachable.Move(t.Context(), m.VM, m.Pools[1], token), engine.VMRefused)
		_, err := m.Unreachable.List(t.Context())
		assert.Assert(t, err != nil)
	})
}

// Advisor is an implementation of engine.Advisor under test.
type Advisor struct {
	Client      engine.Advisor
	Unreachable engine.Advisor  // the implementation with a service that refuses connections
	Workers     []work.WorkerID // candidates that Client is asked about
	// Approves reports whether the service behind Client issues a ticket for the step on the
	// worker.
	Approves func(step work.StepRef, worker work.WorkerID) bool
}

// RunAdvisor tests an implementation of engine.Advisor.
func RunAdvisor(t *testing.T, a Advisor) {
	step := task(0).StepRef
	t.Run("tickets are issued only for the workers that may run the step", func(t *testing.T) {
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
	t.Run("an unreachable advisor returns an error", func(t *testing.T) {
		_, _, err := a.Unreachable.Advise(t.Context(), step, a.Workers)
		assert.Assert(t, err != nil)
	})
}
