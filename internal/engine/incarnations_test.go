package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/crashes"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Incarnations of one worker.
const (
	firstIncarnation  = work.Incarnation(1_784_160_000_000)
	secondIncarnation = work.Incarnation(1_784_160_009_000)
	thirdIncarnation  = work.Incarnation(1_784_160_018_000)
)

func infoWithIncarnation(id work.WorkerID, incarnation work.Incarnation) WorkerInfo {
	i := info(id)
	i.Incarnation = incarnation
	return i
}

// newIncarnationRig returns a rig whose worker w1 has reported its first incarnation.
func newIncarnationRig(t *testing.T) *rig {
	b := newRig(t)
	b.core.WorkerRegistered(infoWithIncarnation("w1", firstIncarnation))
	b.poll("w1", Listing{Life: firstIncarnation})
	return b
}

// startJob accepts a job of one task and answers its start with the outcome.
func (b *rig) startJob(id work.JobID, out Outcome) StartOrder {
	b.t.Helper()
	b.accept(id, short(1))
	o := b.plan()
	assert.Equal(b.t, len(o.Starts), 1)
	b.answer(o, out)
	return o.Starts[0]
}

// Guards against a job that waits until its lease would have run out, or for ever: its worker
// restarted under the same ID, and the run is thought to go on there.
func TestRunsOfARestartedWorkerStartElsewhere(t *testing.T) {
	for name, tell := range map[string]func(b *rig){
		"its list comes before its registration": func(*rig) {},
		"its registration comes first": func(b *rig) {
			assert.Equal(t, b.core.WorkerRegistered(infoWithIncarnation("w1", secondIncarnation)), true, "it is polled")
			assert.Equal(t, b.core.WorkerRegistered(infoWithIncarnation("w1", secondIncarnation)), false, "only once")
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newIncarnationRig(t)
			ref := b.startJob("j1", OutcomeOK).Start.Task
			b.worker("w2")

			tell(b)
			b.now += time.Second
			b.poll("w1", Listing{Life: secondIncarnation})
			assert.Equal(t, b.core.find(ref).state, taskPending)
			b.now += time.Second
			o := b.plan()
			assert.Equal(t, len(o.Starts), 1)
		})
	}
}

// A restarted worker numbers its ends from one again. Guards against taking them for ends that
// were received before, which would keep their jobs open for ever.
func TestEndsOfANewIncarnationAreNumberedFromOne(t *testing.T) {
	b := newIncarnationRig(t)
	first := b.startJob("j1", OutcomeOK)
	b.poll("w1", Listing{Life: firstIncarnation, Ended: []RunEnd{ended(9, first, work.Done)}})
	b.core.Flushed(b.core.TakeFlush(100), nil)
	b.core.WorkerRegistered(infoWithIncarnation("w1", secondIncarnation))
	h := b.poll("w1", Listing{Life: secondIncarnation})
	assert.Equal(t, h.AckedThrough, int64(9), "as counted by the previous incarnation")
	second := b.startJob("j2", OutcomeOK)
	b.poll("w1", Listing{Life: secondIncarnation, Ended: []RunEnd{ended(1, second, work.Done)}})
	assert.Equal(t, b.core.jobs["j2"].final, work.Completed)
	_, h, due := b.core.NextPoll("w1", b.now)
	assert.Equal(t, due, true)
	assert.Equal(t, h.AckedThrough, int64(0), "the end is not stored yet")
}

// Guards against a task that runs twice: its start was meant for one incarnation and reaches
// the next, after that one listed nothing.
func TestAStartThatMayReachTheNextIncarnationIsStoppedThere(t *testing.T) {
	b := newIncarnationRig(t)
	b.worker("w2")
	b.core.workers["w2"].closedUntil = b.now + time.Hour
	start := b.startJob("j1", OutcomeUnknown)
	b.core.workers["w2"].closedUntil = 0
	b.core.WorkerRegistered(infoWithIncarnation("w1", secondIncarnation))
	b.now += time.Second
	b.poll("w1", Listing{Life: secondIncarnation})
	o := b.plan()
	assert.Equal(t, len(o.Starts), 0, "not before the first run is certain not to go on")
	assert.Equal(t, len(o.Stops), 1)
	assert.Equal(t, o.Stops[0].Run, start.Start.Run)
	b.core.StopAnswered(o.Stops[0], OutcomeOK, b.now)
	b.now += time.Second
	b.poll("w1", Listing{Life: secondIncarnation})
	b.plan()
	b.flush()
	assert.Equal(t, len(b.plan().Starts), 1)
}

// Guards against stopping a run that works: its start reached the next incarnation, which
// lists it.
func TestAStartThatReachedTheNextIncarnationContinues(t *testing.T) {
	b := newIncarnationRig(t)
	start := b.startJob("j1", OutcomeUnknown)
	b.core.WorkerRegistered(infoWithIncarnation("w1", secondIncarnation))
	b.now += time.Second
	b.poll("w1", Listing{Life: secondIncarnation, Running: []Run{run(start)}})
	task := b.core.find(start.Start.Task)
	assert.Equal(t, task.state, taskActive)
	assert.Equal(t, len(b.plan().Stops), 0)
}

// Guards against a late answer or registration of an ended incarnation that ends the current
// one, so that all its tasks are started a second time.
func TestALateMessageOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	b := newIncarnationRig(t)
	b.core.WorkerRegistered(infoWithIncarnation("w1", secondIncarnation))
	b.poll("w1", Listing{Life: secondIncarnation})
	start := b.startJob("j1", OutcomeOK)
	b.poll("w1", Listing{Life: secondIncarnation, Running: []Run{run(start)}})
	b.poll("w1", Listing{Life: firstIncarnation})
	assert.Equal(t, b.core.WorkerRegistered(infoWithIncarnation("w1", firstIncarnation)), false)
	assert.Equal(t, b.core.find(start.Start.Task).state, taskActive)
	assert.Equal(t, b.core.workers["w1"].info.Incarnation, secondIncarnation)
}

// Guards against a worker that stays unknown after it restarted twice between two polls.
func TestTwoRestartsBetweenPolls(t *testing.T) {
	b := newIncarnationRig(t)
	ref := b.startJob("j1", OutcomeOK).Start.Task
	b.core.WorkerRegistered(infoWithIncarnation("w1", secondIncarnation))
	b.core.WorkerRegistered(infoWithIncarnation("w1", thirdIncarnation))
	b.now += time.Second
	b.poll("w1", Listing{Life: thirdIncarnation})
	assert.Equal(t, b.core.find(ref).state, taskPending)
	assert.Equal(t, b.core.workers["w1"].info.Incarnation, thirdIncarnation)
	b.now += time.Second
	assert.Equal(t, len(b.plan().Starts), 1, "it takes tasks as soon as it reported its incarnation")
}

// Guards against placing tasks on a new incarnation of another size by the capacity of the
// previous one.
func TestANewIncarnationTakesNothingUntilItsCapacityIsKnown(t *testing.T) {
	b := newIncarnationRig(t)
	b.poll("w1", Listing{Life: secondIncarnation})
	b.accept("j1", short(1))
	assert.Equal(t, len(b.plan().Starts), 0)
	small := infoWithIncarnation("w1", secondIncarnation)
	small.Capacity.MilliCPU = 1000
	b.core.WorkerRegistered(small)
	assert.Equal(t, len(b.plan().Starts), 0, "it has too little capacity")
	b.core.WorkerRegistered(infoWithIncarnation("w1", secondIncarnation))
	assert.Equal(t, len(b.plan().Starts), 1)
}

// Guards against a VM due for maintenance that takes new tasks after its worker restarted,
// which would hold up the wave.
func TestANewIncarnationStaysCordoned(t *testing.T) {
	b := newIncarnationRig(t)
	b.core.applyOrder(CellOrder{Kind: OrderVacate, Worker: "w1"}, 1, b.now)
	b.core.WorkerRegistered(infoWithIncarnation("w1", secondIncarnation))
	b.poll("w1", Listing{Life: secondIncarnation})
	b.accept("j1", short(1))
	assert.Equal(t, len(b.plan().Starts), 0)
}

// Guards against taking a worker that returns under its ID for the incarnation that ended.
func TestAWorkerReturnsUnderItsID(t *testing.T) {
	b := newIncarnationRig(t)
	b.core.WorkerGone("w1", "test", b.now)
	b.core.WorkerRegistered(infoWithIncarnation("w1", firstIncarnation))
	assert.Equal(t, len(b.core.workers), 0)
	b.core.WorkerRegistered(infoWithIncarnation("w1", secondIncarnation))
	b.poll("w1", Listing{Life: secondIncarnation})
	b.accept("j1", short(1))
	assert.Equal(t, len(b.plan().Starts), 1)
}

// Guards against a late registration, of an incarnation between two others, that closes the
// worker for good.
func TestAnOvertakenRegistrationDoesNotCloseTheWorker(t *testing.T) {
	b := newIncarnationRig(t)
	b.poll("w1", Listing{Life: thirdIncarnation})
	b.core.WorkerRegistered(infoWithIncarnation("w1", secondIncarnation))
	b.poll("w1", Listing{Life: thirdIncarnation})
	b.core.WorkerRegistered(infoWithIncarnation("w1", thirdIncarnation))
	b.accept("j1", short(1))
	assert.Equal(t, len(b.plan().Starts), 1)
	assert.Equal(t, b.core.WorkerRegistered(infoWithIncarnation("w1", secondIncarnation)), false)
}

// Guards against losing a worker whose next incarnation had registered before the previous one
// ended.
func TestARegisteredIncarnationReplacesOneThatEnded(t *testing.T) {
	b := newIncarnationRig(t)
	b.core.WorkerRegistered(infoWithIncarnation("w1", secondIncarnation))
	b.core.WorkerGone("w1", "test", b.now)
	b.poll("w1", Listing{Life: secondIncarnation})
	b.accept("j1", short(1))
	assert.Equal(t, len(b.plan().Starts), 1)
}

// Guards against a task that runs twice: its start waited for a connection while its worker
// restarted and the task was started elsewhere.
func TestAStartForAnEndedIncarnationIsNotSent(t *testing.T) {
	b := newIncarnationRig(t)
	b.accept("j1", short(1))
	start := b.plan().Starts[0]
	b.core.WorkerRegistered(infoWithIncarnation("w1", secondIncarnation))
	b.poll("w1", Listing{Life: secondIncarnation})
	assert.Equal(t, b.core.StartSending(start, b.now), false)
	b.worker("w2")
	next := b.startJob("j2", OutcomeOK)
	assert.Equal(t, b.core.StartSending(next, b.now), true)
}

// Guards against a completed task that runs again: its start had reached the next incarnation
// and ended there, and a poll that counted the ends of the previous incarnation acknowledged
// that end unseen.
func TestNothingIsAcknowledgedWhileAStartMayHaveReachedTheNextIncarnation(t *testing.T) {
	b := newIncarnationRig(t)
	first := b.startJob("j1", OutcomeOK)
	b.poll("w1", Listing{Life: firstIncarnation, Ended: []RunEnd{ended(1, first, work.Done)}})
	b.flush()
	b.accept("j2", short(1))
	start := b.plan().Starts[0]
	acked := func() int64 {
		_, h, due := b.core.NextPoll("w1", b.now)
		assert.Assert(t, due)
		return h.AckedThrough
	}
	assert.Equal(t, acked(), int64(0), "the start is under way")
	b.core.StartAnswered(start, OutcomeOK, maxInitialClock/2, b.now)
	assert.Equal(t, acked(), int64(0), "the answer came from a clock that had started again")
	b.poll("w1", Listing{Life: firstIncarnation, Running: []Run{run(start)}})
	assert.Equal(t, acked(), int64(1), "it runs in this incarnation")
}

// Guards against a task that runs twice: the new incarnation grants its longest lease for a
// poll's deadline that was set by the previous incarnation's clock, and can't be reached
// afterwards.
func TestALeaseMeantForAnEarlierIncarnationIsWaitedFor(t *testing.T) {
	b := newIncarnationRig(t)
	b.core.WorkerRegistered(infoWithIncarnation("w1", secondIncarnation))
	b.poll("w1", Listing{Life: secondIncarnation})
	b.startJob("j1", OutcomeOK)
	b.core.PollFailed("w1", OutcomeUnknown, b.now)
	b.now += rigBounds.MaxLease
	b.core.PollFailed("w1", OutcomeUnknown, b.now)
	assert.Equal(t, len(b.core.workers["w1"].tasks), 1)
	b.now += b.core.maxLateRunDuration()
	b.core.PollFailed("w1", OutcomeUnknown, b.now)
	assert.Equal(t, len(b.core.workers["w1"].tasks), 0)
}

// Guards against a task that runs twice after two restarts: a start meant for the first
// incarnation begins in the third, beside the run that replaced it, as it is stopped in the
// second only.
func TestALateStartIsStoppedInEachLaterIncarnation(t *testing.T) {
	b := newIncarnationRig(t)
	start := b.startJob("j1", OutcomeUnknown)
	b.poll("w1", Listing{Life: secondIncarnation})
	b.poll("w1", Listing{Life: thirdIncarnation})
	o := b.plan()
	assert.Equal(t, len(o.Starts), 0)
	assert.Equal(t, len(o.Stops), 1)
	assert.Equal(t, o.Stops[0].Run, start.Start.Run)
}

// Guards against giving a job up for a crash under a task that goes on in the next
// incarnation, which its start had reached.
func TestARunThatContinuesInTheNextIncarnationIsNotBlamed(t *testing.T) {
	b := newIncarnationRig(t)
	start := b.startJob("j1", OutcomeUnknown)
	b.poll("w1", Listing{Life: secondIncarnation, Running: []Run{run(start)}})
	b.now += crashes.CorrelationWindow
	b.core.attributeDueCrashes(b.now)
	assert.Equal(t, len(b.core.find(start.Start.Task).crashes), 0)
}
