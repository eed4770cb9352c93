package jobs

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
	"github.com/pumicestage/pumicestage/policy/model"
)

// states counts the jobs by state.
func (w *testCluster) states(ids []model.JobID) map[State]int {
	out := make(map[State]int)
	for _, id := range ids {
		out[w.state(id)]++
	}
	return out
}

func TestJobThatFailsEverywhereIsStopped(t *testing.T) {
	// A job that fails on every worker must not be retried forever or get its
	// workers quarantined. It fails after three distinct workers, and the workers
	// continue to take other jobs.
	w := newTestCluster(t, 8, 1)
	bad := smallJob()
	bad.Kind = "poisoned"
	id := w.submit(bad)[0]
	w.behave(id, standin.Behaviour{RunTime: time.Second, Fails: true})
	w.run(20 * time.Second)
	r := w.get(id)
	assert.Equal(t, r.State, Failed)
	assert.Equal(t, len(r.FailedOn), 3)
	assert.Equal(t, w.platform.Machines.Tally().Starts[id], 3)
	ok := w.submit(copiesOf(64, smallJob())...)
	w.run(2 * time.Second)
	assert.DeepEqual(t, w.states(ok), map[State]int{Running: 64})
}

func TestWorkerThatFailsEverything(t *testing.T) {
	// A worker that fails every task immediately always has free capacity and
	// would attract all jobs. It is quarantined once jobs of several kinds fail on
	// it and run elsewhere. Later it is probed with one job at a time, and
	// reinstated after its repair.
	w := newTestCluster(t, 24, 1)
	w.platform.Machines.SetWorkerFails("v0003", true)
	var ids []model.JobID
	refill := func() {
		for kind := range 4 {
			job := smallJob()
			job.Kind, job.Class = fmt.Sprint("k", kind), model.ClassDeferrable
			ids = append(ids, w.submit(copiesOf(10, job)...)...)
		}
		for _, id := range ids[len(ids)-40:] {
			w.behave(id, standin.Behaviour{RunTime: 25 * time.Second})
		}
	}
	for range 4 {
		refill()
		w.run(15 * time.Second)
	}
	closed, _ := w.entries[0].learned.workerStatus("v0003", w.clock.Now())
	assert.Assert(t, closed != "", "quarantined")
	failures := func() (n int) {
		tasks, _ := w.platform.Machines.Tasks(w.ctx())
		for _, task := range tasks {
			if task.State == infra.TaskFailed {
				n++
			}
		}
		return n
	}
	before := failures()
	w.run(30 * time.Second)
	assert.Equal(t, failures(), before, "a quarantined worker gets no more tasks")
	w.platform.Machines.SetWorkerFails("v0003", false)
	for range 12 {
		refill()
		w.run(15 * time.Second)
	}
	closed, probe := w.entries[0].learned.workerStatus("v0003", w.clock.Now())
	assert.Assert(t, closed == "" && !probe, "probed and back: %q", closed)
	for _, id := range ids {
		assert.Assert(t, w.state(id) != Failed)
	}
}

// The quarantine of a worker must survive a change of the lease holder: the next
// one loads the learned state from the store.
func TestQuarantineOutlivesTheHolder(t *testing.T) {
	w := newTestCluster(t, 40, 1)
	w.platform.Machines.SetWorkerFails("v0000", true)
	for range 6 {
		for kind := range 3 {
			job := smallJob()
			job.Kind = fmt.Sprint("k", kind)
			w.submit(copiesOf(10, job)...)
		}
		w.run(15 * time.Second)
	}
	w.run(saveInterval + time.Second)
	closed, _ := w.entries[0].learned.workerStatus("v0000", w.clock.Now())
	assert.Assert(t, closed != "")
	next := w.addEntry("e9")
	assert.NilError(t, next.Step(w.ctx()))
	again, _ := next.learned.workerStatus("v0000", w.clock.Now())
	assert.Equal(t, again, closed)
}

func TestTooLittleMemoryIsLearned(t *testing.T) {
	// Jobs of a kind that declares a quarter of the memory it needs are stopped by
	// the workers' memory guard. Their memory is doubled at each retry, and later
	// jobs of the kind get enough at their first start. No worker is blamed.
	w := newTestCluster(t, 8, 1)
	w.platform.Machines.SetUsageInterval(5 * time.Second)
	job := smallJob()
	submit := func() []model.JobID {
		ids := w.submit(copiesOf(6, job)...)
		for _, id := range ids {
			w.behave(id, standin.Behaviour{Size: model.Resources{MilliCPU: 900, MemoryMB: 3800}, RunTime: 20 * time.Second})
		}
		w.run(3 * time.Second)
		assert.Equal(t, len(w.entries[0].learned.Blame.Workers), 0, "no worker is under suspicion")
		w.run(40 * time.Second)
		assert.DeepEqual(t, w.states(ids), map[State]int{Succeeded: 6})
		return ids
	}
	first, second := submit(), submit()
	starts := w.platform.Machines.Tally().Starts
	for i := range first {
		assert.Equal(t, starts[first[i]], 3)
		assert.Equal(t, starts[second[i]], 1)
		assert.Equal(t, len(w.get(first[i]).FailedOn), 0, "no worker is blamed for it")
	}
}

func TestUrgentDisplacesDeferrable(t *testing.T) {
	// The only worker is full with deferrable jobs, one of them not repeatable. An
	// urgent job must start within two passes by preempting repeatable jobs, which
	// run again once there is free capacity.
	w := newTestCluster(t, 1, 1)
	preemptible, protected := smallJob(), nonRepeatableJob()
	preemptible.Class, preemptible.Checkpoints, protected.Class = model.ClassDeferrable, true, model.ClassDeferrable
	ids := w.submit(append(copiesOf(7, preemptible), protected)...)
	w.run(5 * time.Second)
	assert.DeepEqual(t, w.states(ids), map[State]int{Running: 8})
	urgent := smallJob()
	urgent.Class, urgent.Kind, urgent.Declared.MilliCPU = model.ClassUrgent, "quote", 2000
	id := w.submit(urgent)[0]
	w.behave(id, standin.Behaviour{RunTime: 10 * time.Second})
	w.run(2 * time.Second)
	assert.Equal(t, w.state(id), Running)
	assert.DeepEqual(t, w.states(ids), map[State]int{Running: 6, Waiting: 2})
	assert.Equal(t, w.state(ids[7]), Running, "work that is not repeatable stays")
	w.run(15 * time.Second)
	assert.DeepEqual(t, w.states(ids), map[State]int{Running: 8})
	assert.Equal(t, w.platform.Machines.Tally().Starts[ids[7]], 1)
}

func TestBorrowedCapacityIsTakenBack(t *testing.T) {
	// Team panel borrows the whole fleet while team cleaning is idle. When cleaning
	// submits jobs, it must get its guaranteed capacity within a few passes, and
	// panel keeps its own guarantee.
	w := newTestCluster(t, 2, 1)
	share := model.Resources{MilliCPU: 8000, MemoryMB: 16384}
	w.snap.Declaration = &model.Declaration{Generation: 2, Teams: []model.Team{{Name: "panel", Guaranteed: share}, {Name: "cleaning", Guaranteed: share}}}
	w.publish()
	borrower := smallJob()
	borrower.Checkpoints = true
	borrowed := w.submit(copiesOf(16, borrower)...)
	w.run(2 * time.Second)
	assert.DeepEqual(t, w.states(borrowed), map[State]int{Running: 16})
	owner := smallJob()
	owner.Team = "cleaning"
	owned := w.submit(copiesOf(12, owner)...)
	w.run(10 * time.Second)
	assert.DeepEqual(t, w.states(owned), map[State]int{Running: 8, Waiting: 4})
	assert.DeepEqual(t, w.states(borrowed), map[State]int{Running: 8, Waiting: 8})
}
