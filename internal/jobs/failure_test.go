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

func TestStartWithoutReplyRunsOnce(t *testing.T) {
	// The operator sees one run. The platform starts the task and the reply is
	// lost, also of the repeats; the entry VM then finds the task in the list.
	// Repeats bear the same attempt ID, so the platform starts nothing twice.
	for _, lost := range []int{1, maxStartTries} {
		w := newTestCluster(t, 4, 2)
		w.entries[0].machines.loseReplies = lost
		id := w.submit(nonRepeatableJob())[0]
		w.behave(id, standin.Behaviour{RunTime: 20 * time.Second})
		w.run(time.Minute)
		assert.Equal(t, w.state(id), Succeeded)
		assert.Equal(t, w.platform.Machines.Tally().Starts[id], 1)
	}
}

func TestStartThatMayHaveBeenSentIsNotRepeated(t *testing.T) {
	// The operator sees "unknown" and decides. Every copy of the start is lost
	// on the way and the task never shows up, but a copy could still arrive; a
	// job that is not repeatable therefore isn't started again by itself. A
	// repeatable one is.
	w := newTestCluster(t, 4, 2)
	w.entries[0].machines.loseRequests = 2 * maxStartTries
	ids := w.submit(nonRepeatableJob(), smallJob())
	w.run(startGrace + 5*time.Second)
	assert.Equal(t, w.state(ids[0]), Unknown)
	assert.Equal(t, w.state(ids[1]), Running)
	w.run(time.Minute)
	assert.Equal(t, w.state(ids[0]), Unknown)
	assert.Equal(t, w.platform.Machines.Tally().Starts[ids[0]], 0)

	assert.NilError(t, w.entries[1].Decide(w.ctx(), ids[0], VerdictNotRun, "ana"))
	w.run(2 * time.Second)
	assert.Equal(t, w.state(ids[0]), Running)
	assert.ErrorContains(t, w.entries[1].Decide(w.ctx(), ids[0], VerdictRan, "ana"), "only an unknown outcome")
}

func TestRefusalAfterALostCopyIsNotCertain(t *testing.T) {
	// The operator sees "unknown", not a second run. The first copy of a start
	// gets no answer, the second is refused because the worker has just died;
	// the first may still arrive once the worker is back.
	w := newTestCluster(t, 2, 1)
	n := w.entries[0]
	n.machines.loseRequests = 1
	id := w.submit(nonRepeatableJob())[0]
	n.machines.before = func(infra.Task) { w.platform.Machines.Fail("v0000") }
	w.step()
	assert.Equal(t, w.state(id), Starting)
	n.machines.before = nil
	w.run(startGrace + 2*time.Second)
	assert.Equal(t, w.state(id), Unknown)
	assert.Equal(t, w.platform.Machines.Tally().Starts[id], 0)
}

func TestNoStartBeforeItsIntentIsCertain(t *testing.T) {
	// The caller sees one run. The store does not answer the write of the
	// intent, which may or may not have taken effect; a start sent now could
	// be one more beside that of whoever reads the old state.
	for _, tc := range []struct {
		name string
		lose func(w *testCluster)
	}{
		{"lost on the way there", func(w *testCluster) { w.entries[0].store.LoseRequests(3) }},
		{"lost on the way back", func(w *testCluster) { w.entries[0].store.LoseReplies(3) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newTestCluster(t, 2, 1)
			id := w.submit(nonRepeatableJob())[0]
			tc.lose(w)
			w.step()
			assert.Equal(t, w.platform.Machines.Tally().Starts[id], 0)
			w.run(3 * time.Second)
			assert.Equal(t, w.state(id), Running)
			assert.Equal(t, w.platform.Machines.Tally().Starts[id], 1)
		})
	}
}

func TestVerdictStandsAgainstALateStart(t *testing.T) {
	// An entry VM is paused before it sends a start. Others call the job
	// unknown and an operator decides that it is over. The late start arrives:
	// the verdict stands and the task is stopped.
	w := newTestCluster(t, 2, 2)
	paused, other := w.entries[0], w.entries[1]
	id := w.submit(nonRepeatableJob())[0]
	paused.machines.before = func(infra.Task) {
		paused.machines.before = nil
		w.clock.Advance(startGrace)
		assert.NilError(t, other.Step(w.ctx()))
		assert.NilError(t, other.Decide(w.ctx(), id, VerdictCancelled, "ana"))
	}
	assert.NilError(t, paused.Step(w.ctx()))
	w.run(2 * time.Second)
	assert.Equal(t, w.state(id), Cancelled)
	tasks, err := w.platform.Machines.Tasks(w.ctx())
	assert.NilError(t, err)
	assert.Equal(t, tasks[0].State, infra.TaskStopped)
}

func TestLateStartIsAdopted(t *testing.T) {
	// As above, but the operator decides that the job has not run. The late
	// start arrives before the next pass: the job runs under it and is not
	// started once more.
	w := newTestCluster(t, 2, 2)
	paused, other := w.entries[0], w.entries[1]
	id := w.submit(nonRepeatableJob())[0]
	paused.machines.before = func(infra.Task) {
		paused.machines.before = nil
		w.clock.Advance(startGrace)
		assert.NilError(t, other.Step(w.ctx()))
		assert.NilError(t, other.Decide(w.ctx(), id, VerdictNotRun, "ana"))
	}
	assert.NilError(t, paused.Step(w.ctx()))
	w.run(2 * time.Second)
	assert.Equal(t, w.state(id), Running)
	assert.Equal(t, w.platform.Machines.Tally().Starts[id], 1)
}

func TestStaleObservationDoesNotChangeNewAttempt(t *testing.T) {
	// A worker dies. One entry VM finds its task lost and is held up before it
	// writes that; another has by then started the job elsewhere. The first
	// must not give up the new attempt for what it saw of the old one.
	w := newTestCluster(t, 3, 2)
	slow, other := w.entries[0], w.entries[1]
	id := w.submit(smallJob())[0]
	w.step()
	w.platform.Machines.Fail(w.get(id).VM)
	slow.store.Before(func(string, infra.Txn) {
		slow.store.Before(nil)
		assert.NilError(t, other.Step(w.ctx()))
		assert.Equal(t, w.state(id), Running)
	})
	assert.NilError(t, slow.Step(w.ctx()))
	w.run(2 * time.Second)
	assert.Equal(t, w.state(id), Running)
	assert.Equal(t, w.platform.Machines.Tally().Starts[id], 2)
}

func TestUrgentJobWhileTheHolderIsDead(t *testing.T) {
	// The entry VM that places has died, and its lease stands for seconds more.
	// A caller's urgent job starts all the same, placed by the one that took
	// it; a normal one waits for the next holder.
	w := newTestCluster(t, 2, 2)
	dead, other := w.entries[0], w.entries[1]
	held, err := dead.ensureLease(w.ctx())
	assert.NilError(t, err)
	assert.Assert(t, held)
	urgent := smallJob()
	urgent.Class = model.ClassUrgent
	normal, err := other.Submit(w.ctx(), "n", []model.Job{smallJob()})
	assert.NilError(t, err)
	passAfter := func(d time.Duration) {
		w.clock.Advance(d)
		_, err := other.passIfHolder(w.ctx())
		assert.NilError(t, err)
	}
	passAfter(time.Second)
	assert.Equal(t, w.state(normal[0]), Waiting)
	ids, err := other.Submit(w.ctx(), "u", []model.Job{urgent})
	assert.NilError(t, err)
	passAfter(100 * time.Millisecond)
	assert.Equal(t, w.state(ids[0]), Waiting, "the holder has its chance")
	passAfter(passInterval)
	assert.Equal(t, w.state(ids[0]), Running)
}

func TestOneHolderAtATime(t *testing.T) {
	// Three entry VMs want to place. One holds the lease, and another takes it
	// within seconds after it was handed over or its holder stopped renewing.
	w := newTestCluster(t, 2, 3)
	holders := func() (held []int) {
		for i, n := range w.entries {
			ok, err := n.ensureLease(w.ctx())
			assert.NilError(t, err)
			if ok {
				held = append(held, i)
			}
		}
		return held
	}
	assert.DeepEqual(t, holders(), []int{0})
	w.clock.Advance(leaseCheckInterval)
	assert.DeepEqual(t, holders(), []int{0})
	w.entries[0].releaseLease(w.ctx())
	w.entries[0].lease.checked = w.clock.Now()
	assert.DeepEqual(t, holders(), []int(nil)) // all asked a moment ago
	w.clock.Advance(leaseCheckInterval)
	w.entries[0].lease.checked = w.clock.Now()
	assert.DeepEqual(t, holders(), []int{1})
	w.clock.Advance(leaseTTL + time.Second)
	assert.DeepEqual(t, holders(), []int{0})
}

func TestHolderPausedBetweenIntentAndStart(t *testing.T) {
	// The operator sees one run or "unknown", never two. An entry VM writes
	// the intent and is paused, as by its host; another takes over, finds no
	// task and says unknown. The first wakes and its start arrives: the job is
	// running under the one attempt it ever had.
	w := newTestCluster(t, 4, 2)
	paused, other := w.entries[0], w.entries[1]
	id := w.submit(nonRepeatableJob())[0]
	paused.machines.before = func(infra.Task) {
		paused.machines.before = nil
		w.clock.Advance(startGrace)
		assert.NilError(t, other.Step(w.ctx()))
		assert.Equal(t, w.state(id), Unknown)
	}
	assert.NilError(t, paused.Step(w.ctx()))
	w.run(2 * time.Second)
	assert.Equal(t, w.state(id), Running)
	assert.Equal(t, w.platform.Machines.Tally().Starts[id], 1)
}

func TestHolderPausedBeforeSendingDoesNotStart(t *testing.T) {
	// The caller sees a late start and one run. The store holds the intent's
	// reply back for longer than others wait before they act on it, so the
	// entry VM must not send the start any more.
	w := newTestCluster(t, 4, 1)
	n := w.entries[0]
	id := w.submit(nonRepeatableJob())[0]
	sent := 0
	n.machines.before = func(infra.Task) { sent++ }
	n.Jobs.store = &slowStore{Store: n.store, cluster: w}
	assert.NilError(t, n.Step(w.ctx()))
	assert.Equal(t, sent, 0, "nothing is sent")
	assert.Equal(t, w.state(id), Waiting)
	w.run(time.Second)
	assert.Equal(t, w.state(id), Running)
	assert.Equal(t, w.platform.Machines.Tally().Starts[id], 1)
}

func TestLostWorker(t *testing.T) {
	// A worker dies with a job that may run again and one that may not. The
	// first runs again elsewhere; of the second nobody knows how far it came.
	w := newTestCluster(t, 2, 2)
	ids := w.submit(nonRepeatableJob(), smallJob())
	w.step()
	vm := w.get(ids[0]).VM
	assert.Equal(t, w.get(ids[1]).VM, vm, "both are packed on one worker")
	w.platform.Machines.Fail(vm)
	w.run(2 * time.Second)
	assert.Equal(t, w.state(ids[0]), Unknown)
	assert.Equal(t, w.state(ids[1]), Running)
	assert.Assert(t, w.get(ids[1]).VM != vm)
}

// A job that crashes each worker that starts it is started on the next, without end.
func TestJobThatCrashesItsWorkersFails(t *testing.T) {
	w := newTestCluster(t, 10, 1)
	id := w.submit(smallJob())[0]
	for range 9 {
		w.run(3 * time.Second)
		if r := w.get(id); r.State == Running {
			w.platform.Machines.Fail(r.VM)
		}
	}
	w.run(3 * time.Second)
	assert.Equal(t, w.state(id), Failed)
	assert.Equal(t, w.platform.Machines.Tally().Starts[id], maxEarlyLosses)
}

func TestExpiredTaskLeases(t *testing.T) {
	// All entry VMs are cut off for longer than a task's lease. The platform
	// ends the tasks as lost: what may run again does, the other is unknown.
	w := newTestCluster(t, 2, 2)
	ids := w.submit(nonRepeatableJob(), smallJob())
	w.run(10 * time.Minute)
	assert.Equal(t, w.state(ids[0]), Running, "renewed while an entry VM is there")
	w.clock.Advance(taskTTL + time.Second)
	w.run(2 * time.Second)
	assert.Equal(t, w.state(ids[0]), Unknown)
	assert.Equal(t, w.state(ids[1]), Running)
	assert.Equal(t, w.platform.Machines.Tally().Starts[ids[0]], 1)
}

func TestCancelRacesStart(t *testing.T) {
	// The operator cancels while the start is on its way. Whether it is
	// refused, runs, or its reply is lost, the job ends as cancelled and
	// nothing of it runs on.
	for _, tc := range []struct {
		name   string
		arrive func(w *testCluster)
	}{
		{"started", func(*testCluster) {}},
		{"reply lost", func(w *testCluster) { w.entries[0].machines.loseReplies = maxStartTries }},
		{"refused", func(w *testCluster) { w.platform.Machines.Fail("v0000") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newTestCluster(t, 1, 2)
			id := w.submit(nonRepeatableJob())[0]
			w.entries[0].machines.before = func(infra.Task) {
				w.entries[0].machines.before = nil
				out, err := w.entries[1].Cancel(w.ctx(), "c-1", "", []model.JobID{id})
				assert.NilError(t, err)
				assert.Assert(t, out[0].Stopping)
				tc.arrive(w)
			}
			w.step()
			w.run(3 * time.Second)
			assert.Equal(t, w.state(id), Cancelled)
			out, err := w.entries[0].Cancel(w.ctx(), "c-1", "", []model.JobID{id})
			assert.NilError(t, err)
			assert.Assert(t, out[0].Refused == nil, "a repeat is the same change")
			tasks, err := w.platform.Machines.Tasks(w.ctx())
			assert.NilError(t, err)
			for _, task := range tasks {
				assert.Assert(t, task.State != infra.TaskRunning)
			}
		})
	}
}

func TestThousandsCancelledAtOnce(t *testing.T) {
	// An operator cancels 2,000 waiting and running jobs in one order, and the
	// reply to one write is lost. All end, at a few dozen writes.
	w := newTestCluster(t, 50, 2)
	var ids []model.JobID
	for range 2 {
		ids = append(ids, w.submit(copiesOf(1000, smallJob())...)...)
	}
	w.step()
	before := w.entries[1].Counts().Writes
	w.entries[1].store.LoseReplies(1)
	out, err := w.entries[1].Cancel(w.ctx(), "c-1", "no longer wanted", ids)
	assert.NilError(t, err)
	for _, c := range out {
		assert.Assert(t, c.Refused == nil)
	}
	assert.Assert(t, w.entries[1].Counts().Writes-before <= 8)
	w.run(2 * time.Second)
	all, err := w.entries[0].List(w.ctx())
	assert.NilError(t, err)
	for _, r := range all {
		assert.Equal(t, r.State, Cancelled)
	}
}

func TestLostReplyToSubmit(t *testing.T) {
	// The caller's submit takes effect and the reply is lost, and the caller
	// repeats it under its change ID at another entry VM: the jobs are there
	// once. Other jobs under the same ID are refused.
	w := newTestCluster(t, 2, 2)
	w.entries[0].store.LoseReplies(1)
	first, err := w.entries[0].Submit(w.ctx(), "c-1", copiesOf(3, nonRepeatableJob()))
	assert.NilError(t, err)
	again, err := w.entries[1].Submit(w.ctx(), "c-1", copiesOf(3, nonRepeatableJob()))
	assert.NilError(t, err)
	assert.DeepEqual(t, first, again)
	_, err = w.entries[1].Submit(w.ctx(), "c-1", copiesOf(4, nonRepeatableJob()))
	assert.ErrorContains(t, err, "used for other jobs")
	w.run(2 * time.Second)
	for _, id := range first {
		assert.Equal(t, w.platform.Machines.Tally().Starts[id], 1)
	}
}

func TestLeavingWorker(t *testing.T) {
	// A worker is drained. New jobs go elsewhere at once; a task that keeps
	// its progress moves, one that can't is waited for.
	w := newTestCluster(t, 2, 1)
	keeps := smallJob()
	keeps.Checkpoints = true
	ids := w.submit(nonRepeatableJob(), keeps)
	w.step()
	vm := w.get(ids[0]).VM
	w.setVM(vm, model.VMLeaving)
	ids = append(ids, w.submit(smallJob())...)
	w.run(3 * time.Second)
	assert.Equal(t, w.get(ids[0]).VM, vm)
	assert.Equal(t, w.state(ids[0]), Running)
	for _, id := range ids[1:] {
		assert.Equal(t, w.state(id), Running)
		assert.Assert(t, w.get(id).VM != vm, fmt.Sprint(id))
	}
}
