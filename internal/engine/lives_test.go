package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/crashes"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Lives of one worker.
const (
	firstLife  = work.Incarnation(1_784_160_000_000)
	secondLife = work.Incarnation(1_784_160_009_000)
	thirdLife  = work.Incarnation(1_784_160_018_000)
)

func infoOf(id work.WorkerID, life work.Incarnation) WorkerInfo {
	i := info(id)
	i.Incarnation = life
	return i
}

// lifeRig has a worker that told its first life.
func lifeRig(t *testing.T) *rig {
	b := newRig(t)
	b.core.WorkerSeen(infoOf("w1", firstLife))
	b.poll("w1", Listing{Life: firstLife})
	return b
}

// startOn accepts a job of one task and has its start answered.
func (b *rig) startOn(id work.JobID, out Outcome) StartOrder {
	b.t.Helper()
	b.accept(id, short(1))
	o := b.plan()
	assert.Equal(b.t, len(o.Starts), 1)
	b.answer(o, out)
	return o.Starts[0]
}

// A job waits until its lease would have run out, or for ever: its worker started again under
// its ID, and the run is thought to go on there.
func TestRunsOfAWorkerThatStartedAgainStartElsewhere(t *testing.T) {
	for name, tell := range map[string]func(b *rig){
		"its list comes before its registration": func(*rig) {},
		"its registration comes first": func(b *rig) {
			assert.Equal(t, b.core.WorkerSeen(infoOf("w1", secondLife)), true, "it is asked")
			assert.Equal(t, b.core.WorkerSeen(infoOf("w1", secondLife)), false, "once")
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := lifeRig(t)
			ref := b.startOn("j1", OutcomeOK).Start.Task
			b.worker("w2")

			tell(b)
			b.now += time.Second
			b.poll("w1", Listing{Life: secondLife})
			assert.Equal(t, b.core.find(ref).state, taskPending)
			b.now += time.Second
			o := b.plan()
			assert.Equal(t, len(o.Starts), 1)
		})
	}
}

// The ends of a worker that started again are numbered anew, and are taken for ones that
// were taken in before: their jobs never end.
func TestEndsOfANewLifeAreNumberedAnew(t *testing.T) {
	b := lifeRig(t)
	first := b.startOn("j1", OutcomeOK)
	b.poll("w1", Listing{Life: firstLife, Ended: []RunEnd{ended(9, first, work.Done)}})
	b.core.Flushed(b.core.TakeFlush(100), nil)
	b.core.WorkerSeen(infoOf("w1", secondLife))
	h := b.poll("w1", Listing{Life: secondLife})
	assert.Equal(t, h.AckedThrough, int64(9), "as of the life before")
	second := b.startOn("j2", OutcomeOK)
	b.poll("w1", Listing{Life: secondLife, Ended: []RunEnd{ended(1, second, work.Done)}})
	assert.Equal(t, b.core.jobs["j2"].final, work.Completed)
	_, h, due := b.core.HoldFor("w1", b.now)
	assert.Equal(t, due, true)
	assert.Equal(t, h.AckedThrough, int64(0), "the end is not stored yet")
}

// A task runs twice: its start reaches the life that followed the one it was meant for, after
// that one listed nothing.
func TestAStartThatMayReachTheNextLifeIsStoppedThere(t *testing.T) {
	b := lifeRig(t)
	b.worker("w2")
	b.core.workers["w2"].closedUntil = b.now + time.Hour
	start := b.startOn("j1", OutcomeUnknown)
	b.core.workers["w2"].closedUntil = 0
	b.core.WorkerSeen(infoOf("w1", secondLife))
	b.now += time.Second
	b.poll("w1", Listing{Life: secondLife})
	o := b.plan()
	assert.Equal(t, len(o.Starts), 0, "not before it is certain not to run there")
	assert.Equal(t, len(o.Stops), 1)
	assert.Equal(t, o.Stops[0].Run, start.Start.Run)
	b.core.StopAnswered(o.Stops[0], OutcomeOK, b.now)
	b.now += time.Second
	b.poll("w1", Listing{Life: secondLife})
	b.plan()
	b.flush()
	assert.Equal(t, len(b.plan().Starts), 1)
}

// The same start is listed by the next life, and is stopped although it does its work.
func TestAStartThatReachedTheNextLifeGoesOnThere(t *testing.T) {
	b := lifeRig(t)
	start := b.startOn("j1", OutcomeUnknown)
	b.core.WorkerSeen(infoOf("w1", secondLife))
	b.now += time.Second
	b.poll("w1", Listing{Life: secondLife, Running: []Run{run(start)}})
	task := b.core.find(start.Start.Task)
	assert.Equal(t, task.state, taskActive)
	assert.Equal(t, len(b.plan().Stops), 0)
}

// A late answer or registration of a life that is over ends the one that runs, and all its work
// is started again beside itself.
func TestALateWordOfAnEarlierLifeChangesNothing(t *testing.T) {
	b := lifeRig(t)
	b.core.WorkerSeen(infoOf("w1", secondLife))
	b.poll("w1", Listing{Life: secondLife})
	start := b.startOn("j1", OutcomeOK)
	b.poll("w1", Listing{Life: secondLife, Running: []Run{run(start)}})
	b.poll("w1", Listing{Life: firstLife})
	assert.Equal(t, b.core.WorkerSeen(infoOf("w1", firstLife)), false)
	assert.Equal(t, b.core.find(start.Start.Task).state, taskActive)
	assert.Equal(t, b.core.workers["w1"].info.Incarnation, secondLife)
}

// A worker that starts again twice between two polls is known by neither.
func TestTwoLivesBetweenTwoPolls(t *testing.T) {
	b := lifeRig(t)
	ref := b.startOn("j1", OutcomeOK).Start.Task
	b.core.WorkerSeen(infoOf("w1", secondLife))
	b.core.WorkerSeen(infoOf("w1", thirdLife))
	b.now += time.Second
	b.poll("w1", Listing{Life: thirdLife})
	assert.Equal(t, b.core.find(ref).state, taskPending)
	assert.Equal(t, b.core.workers["w1"].info.Incarnation, thirdLife)
	b.now += time.Second
	assert.Equal(t, len(b.plan().Starts), 1, "it takes tasks as soon as it told which life it is")
}

// A life of another kind is given work by the room that the one before had.
func TestANewLifeTakesNothingUntilItsRoomIsKnown(t *testing.T) {
	b := lifeRig(t)
	b.poll("w1", Listing{Life: secondLife})
	b.accept("j1", short(1))
	assert.Equal(t, len(b.plan().Starts), 0)
	small := infoOf("w1", secondLife)
	small.Capacity.MilliCPU = 1000
	b.core.WorkerSeen(small)
	assert.Equal(t, len(b.plan().Starts), 0, "it has no room")
	b.core.WorkerSeen(infoOf("w1", secondLife))
	assert.Equal(t, len(b.plan().Starts), 1)
}

// A VM that is to be maintained takes new work as its worker starts again, and the wave waits.
func TestANewLifeStaysCordoned(t *testing.T) {
	b := lifeRig(t)
	b.core.applyOrder(CellOrder{Kind: OrderVacate, Worker: "w1"}, 1, b.now)
	b.core.WorkerSeen(infoOf("w1", secondLife))
	b.poll("w1", Listing{Life: secondLife})
	b.accept("j1", short(1))
	assert.Equal(t, len(b.plan().Starts), 0)
}

// A worker that is over comes back under its ID and is taken for the life that ended.
func TestAWorkerThatWasOverComesBackUnderItsID(t *testing.T) {
	b := lifeRig(t)
	b.core.WorkerGone("w1", "test", b.now)
	b.core.WorkerSeen(infoOf("w1", firstLife))
	assert.Equal(t, len(b.core.workers), 0)
	b.core.WorkerSeen(infoOf("w1", secondLife))
	b.poll("w1", Listing{Life: secondLife})
	b.accept("j1", short(1))
	assert.Equal(t, len(b.plan().Starts), 1)
}

// A registration that was overtaken, of a life between two others, closes the worker for good.
func TestARegistrationOfALifeThatWasNeverHeardIsOver(t *testing.T) {
	b := lifeRig(t)
	b.poll("w1", Listing{Life: thirdLife})
	b.core.WorkerSeen(infoOf("w1", secondLife))
	b.poll("w1", Listing{Life: thirdLife})
	b.core.WorkerSeen(infoOf("w1", thirdLife))
	b.accept("j1", short(1))
	assert.Equal(t, len(b.plan().Starts), 1)
	assert.Equal(t, b.core.WorkerSeen(infoOf("w1", secondLife)), false)
}

// A worker whose next life has registered already is lost to its cell as the one before ends.
func TestARegisteredLifeFollowsOneThatIsOver(t *testing.T) {
	b := lifeRig(t)
	b.core.WorkerSeen(infoOf("w1", secondLife))
	b.core.WorkerGone("w1", "test", b.now)
	b.poll("w1", Listing{Life: secondLife})
	b.accept("j1", short(1))
	assert.Equal(t, len(b.plan().Starts), 1)
}

// A task runs twice: its start waited for a connection while its worker started again and the
// task was started elsewhere.
func TestAStartOfALifeThatIsOverDoesNotLeave(t *testing.T) {
	b := lifeRig(t)
	b.accept("j1", short(1))
	start := b.plan().Starts[0]
	b.core.WorkerSeen(infoOf("w1", secondLife))
	b.poll("w1", Listing{Life: secondLife})
	assert.Equal(t, b.core.StartLeaves(start, b.now), false)
	b.worker("w2")
	next := b.startOn("j2", OutcomeOK)
	assert.Equal(t, b.core.StartLeaves(next, b.now), true)
}

// A task that was done runs again: its start had reached the next life and ended there, and a
// poll acknowledged that end unseen, as it counted those of the life before.
func TestNothingIsAcknowledgedWhileAStartMayHaveReachedTheNextLife(t *testing.T) {
	b := lifeRig(t)
	first := b.startOn("j1", OutcomeOK)
	b.poll("w1", Listing{Life: firstLife, Ended: []RunEnd{ended(1, first, work.Done)}})
	b.flush()
	b.accept("j2", short(1))
	start := b.plan().Starts[0]
	acked := func() int64 {
		_, h, due := b.core.HoldFor("w1", b.now)
		assert.Assert(t, due)
		return h.AckedThrough
	}
	assert.Equal(t, acked(), int64(0), "it is under way")
	b.core.StartAnswered(start, OutcomeOK, clockAnew/2, b.now)
	assert.Equal(t, acked(), int64(0), "a clock that began anew answered")
	b.poll("w1", Listing{Life: firstLife, Running: []Run{run(start)}})
	assert.Equal(t, acked(), int64(1), "it runs in this life")
}

// A task runs twice: the next life took a poll's deadline, which the clock of the life before
// had set, for the longest lease that it grants, and was not reached any more.
func TestALeaseThatWasMeantForTheLifeBeforeIsWaitedFor(t *testing.T) {
	b := lifeRig(t)
	b.core.WorkerSeen(infoOf("w1", secondLife))
	b.poll("w1", Listing{Life: secondLife})
	b.startOn("j1", OutcomeOK)
	b.core.HoldFailed("w1", OutcomeUnknown, b.now)
	b.now += rigBounds.MaxLease
	b.core.HoldFailed("w1", OutcomeUnknown, b.now)
	assert.Equal(t, len(b.core.workers["w1"].tasks), 1)
	b.now += b.core.strayLease()
	b.core.HoldFailed("w1", OutcomeUnknown, b.now)
	assert.Equal(t, len(b.core.workers["w1"].tasks), 0)
}

// A worker starts again twice: what its second life was to be kept from starting, as it was
// meant for the first, begins in the third beside the run that replaced it.
func TestWhatMayComeLateIsStoppedInEachLifeThatFollows(t *testing.T) {
	b := lifeRig(t)
	start := b.startOn("j1", OutcomeUnknown)
	b.poll("w1", Listing{Life: secondLife})
	b.poll("w1", Listing{Life: thirdLife})
	o := b.plan()
	assert.Equal(t, len(o.Starts), 0)
	assert.Equal(t, len(o.Stops), 1)
	assert.Equal(t, o.Stops[0].Run, start.Start.Run)
}

// A job is given up for a crash under a task that goes on in the next life, which its start had
// reached.
func TestARunThatGoesOnInTheNextLifeIsNotBlamed(t *testing.T) {
	b := lifeRig(t)
	start := b.startOn("j1", OutcomeUnknown)
	b.poll("w1", Listing{Life: secondLife, Running: []Run{run(start)}})
	b.now += crashes.CorrelationWindow
	b.core.judgeCrashes(b.now)
	assert.Equal(t, len(b.core.find(start.Start.Task).crashes), 0)
}
