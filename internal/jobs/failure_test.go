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
	// The platform starts a task and the reply is lost, once or at every repeat.
	// The job must run once: repeats have the same attempt ID, so the platform
	// starts no second task, and the entry VM finds the task in the list.
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
	// Every copy of a start is lost on the way and its task is never listed, but a
	// copy could still arrive. A job that is not repeatable must become Unknown
	// until an operator decides; a repeatable one is started again.
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
	// The first copy of a start gets no reply, and the second is refused because
	// the worker has just failed. The first may still arrive once the worker is
	// back, so the job must become Unknown rather than be started again.
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
	// The write of an intent gets no reply and may or may not have taken effect. A
	// start must not be sent for it, because another entry VM that reads the old
	// state could start the job as well.
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
	// An entry VM is paused before it sends a start. Another sets the job to
	// Unknown and an operator cancels it. When the late start arrives, the job must
	// stay cancelled and the task be stopped.
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
	// As above, but the operator decides that the job has not run. The late start
	// arrives before the next pass, which must adopt its task instead of starting
	// the job again.
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
	// A worker fails. One entry VM observes that the task is lost and is delayed
	// before it writes the transition, while another starts the job on another
	// worker. The stale transition must not abandon the new attempt.
	w := newTestCluster(t, 3, 2)
	slow, other := w.entries[0], w.entries[1]
	id := w.submit(smallJob())[0]
	w.step()
	w.platform.Machines.Fail(w.get(id).VM)
	slow.store.BeforeWrite(func(string, infra.Txn) {
		slow.store.BeforeWrite(nil)
		assert.NilError(t, other.Step(w.ctx()))
		assert.Equal(t, w.state(id), Running)
	})
	assert.NilError(t, slow.Step(w.ctx()))
	w.run(2 * time.Second)
	assert.Equal(t, w.state(id), Running)
	assert.Equal(t, w.platform.Machines.Tally().Starts[id], 2)
}

func TestUrgentJobWhileTheHolderIsDead(t *testing.T) {
	// The lease holder has crashed and its lease is valid for some seconds more. An
	// urgent job must be placed by the entry VM that accepted it, after
	// urgentTakeoverDelay; a normal job waits for the next lease holder.
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
	assert.Equal(t, w.state(ids[0]), Waiting, "the lease holder is given urgentTakeoverDelay")
	passAfter(passInterval)
	assert.Equal(t, w.state(ids[0]), Running)
}

func TestOneHolderAtATime(t *testing.T) {
	// Of three entry VMs only one may hold the lease at a time. Another acquires it
	// within seconds after it was released or has expired.
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
	assert.DeepEqual(t, holders(), []int(nil)) // all have just checked
	w.clock.Advance(leaseCheckInterval)
	w.entries[0].lease.checked = w.clock.Now()
	assert.DeepEqual(t, holders(), []int{1})
	w.clock.Advance(leaseTTL + time.Second)
	assert.DeepEqual(t, holders(), []int{0})
}

func TestHolderPausedBetweenIntentAndStart(t *testing.T) {
	// An entry VM writes an intent and is paused, for example by its hypervisor.
	// Another takes over, finds no task and sets the job to Unknown. When the first
	// resumes and its start arrives, the job must run under its only attempt and
	// never be started twice.
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
	// The store delays the reply to the write of an intent by more than
	// maxIntentAge. The entry VM must not send the start any more, because others
	// may be about to act on the intent; the job is started later, once.
	w := newTestCluster(t, 4, 1)
	n := w.entries[0]
	id := w.submit(nonRepeatableJob())[0]
	sent := 0
	n.machines.before = func(infra.Task) { sent++ }
	n.Jobs.store = &slowStore{Store: n.store, cluster: w}
	assert.NilError(t, n.Step(w.ctx()))
	assert.Equal(t, sent, 0, "no start is sent")
	assert.Equal(t, w.state(id), Waiting)
	w.run(time.Second)
	assert.Equal(t, w.state(id), Running)
	assert.Equal(t, w.platform.Machines.Tally().Starts[id], 1)
}

func TestLostWorker(t *testing.T) {
	// A worker fails with a repeatable job and one that is not. The first must run
	// again on another worker; the second becomes Unknown, since it may have done
	// its work.
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

// A job that crashes every worker it starts on must fail after maxEarlyLosses
// workers instead of being started on the next one without limit.
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
	// No entry VM renews the tasks' leases for longer than taskTTL, and the platform
	// ends the tasks as lost. A repeatable job must run again; the other becomes
	// Unknown.
	w := newTestCluster(t, 2, 2)
	ids := w.submit(nonRepeatableJob(), smallJob())
	w.run(10 * time.Minute)
	assert.Equal(t, w.state(ids[0]), Running, "the lease is renewed while entry VMs do passes")
	w.clock.Advance(taskTTL + time.Second)
	w.run(2 * time.Second)
	assert.Equal(t, w.state(ids[0]), Unknown)
	assert.Equal(t, w.state(ids[1]), Running)
	assert.Equal(t, w.platform.Machines.Tally().Starts[ids[0]], 1)
}

func TestCancelRacesStart(t *testing.T) {
	// An operator cancels a job while its start is being sent. Whether the task
	// starts, the start is refused, or its reply is lost, the job must end as
	// cancelled and no task of it may keep running.
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
	// An operator cancels 2,000 waiting and running jobs in one command, and the
	// reply to one write is lost. All must be cancelled, with at most 8 writes by
	// the command.
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
	// The reply of the store to a submit is lost, and the caller repeats the submit
	// with the same change ID on another entry VM. The jobs must be stored once.
	// Other jobs with the same change ID are refused.
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

func TestRefusedSubmitStoresNothing(t *testing.T) {
	// A change ID that was used before is used for other jobs, which fill several
	// groups. The submit is refused, and none of its jobs may run.
	const first, other = 3, 3 * groupSize
	w := newTestCluster(t, 2, 2)
	_, err := w.entries[0].Submit(w.ctx(), "c-1", copiesOf(first, nonRepeatableJob()))
	assert.NilError(t, err)
	_, err = w.entries[1].Submit(w.ctx(), "c-1", copiesOf(other, nonRepeatableJob()))
	assert.ErrorContains(t, err, "used for other jobs")
	all, err := w.entries[0].List(w.ctx())
	assert.NilError(t, err)
	assert.Equal(t, len(all), first)
}

func TestSubmitUnderTheIDOfALongerOrShorterOneIsRefused(t *testing.T) {
	// The jobs of the two submits agree as far as the shorter one goes, and it fills
	// its groups.
	for _, c := range []struct{ first, other int }{{groupSize, 2 * groupSize}, {2 * groupSize, groupSize}} {
		w := newTestCluster(t, 2, 2)
		_, err := w.entries[0].Submit(w.ctx(), "c-1", copiesOf(c.first, nonRepeatableJob()))
		assert.NilError(t, err)
		_, err = w.entries[1].Submit(w.ctx(), "c-1", copiesOf(c.other, nonRepeatableJob()))
		assert.ErrorContains(t, err, "used for other jobs")
		again, err := w.entries[1].Submit(w.ctx(), "c-1", copiesOf(c.first, nonRepeatableJob()))
		assert.NilError(t, err)
		assert.Equal(t, len(again), c.first)
		all, err := w.entries[0].List(w.ctx())
		assert.NilError(t, err)
		assert.Equal(t, len(all), c.first)
	}
}

func TestSubmitThatFailsBehindAnotherStoresAPrefix(t *testing.T) {
	// The store is away while the first of two transactions of a submit is made, and
	// back for the second. The second must not be made: a submit of other jobs under
	// the same change ID could then neither be refused nor stored as a whole.
	const jobs = (maxTxnGroups + 1) * groupSize
	w := newTestCluster(t, 2, 1)
	store, writes := w.entries[0].store, 0
	store.BeforeWrite(func(string, infra.Txn) { writes++; store.SetDown(writes == 1) })
	_, err := w.entries[0].Submit(w.ctx(), "c-1", copiesOf(jobs, nonRepeatableJob()))
	assert.ErrorContains(t, err, "service down")
	store.BeforeWrite(nil)
	store.SetDown(false)
	all, err := w.entries[0].List(w.ctx())
	assert.NilError(t, err)
	assert.Equal(t, len(all), 0)
	_, err = w.entries[0].Submit(w.ctx(), "c-1", copiesOf(jobs, nonRepeatableJob()))
	assert.NilError(t, err)
}

func TestLeavingWorker(t *testing.T) {
	// A worker is drained. New jobs must be placed on other workers, and a task that
	// checkpoints is moved; a task that can't is left to finish.
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
