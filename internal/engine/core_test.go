package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

func TestAJobRunsItsStepsInOrderAndIsShownCompletedOnceStored(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	second := short(1)
	second.After = []int{0}
	b.accept("j1", short(2), second)

	first := b.plan()
	assert.Equal(t, len(first.Starts), 2)
	b.answer(first, OutcomeOK)
	b.poll("w1", Listing{Running: []Run{run(first.Starts[1])}, Ended: []RunEnd{ended(1, first.Starts[0], work.Done)}})
	assert.Equal(t, len(b.plan().Starts), 0, "the second step waits for all of the first")
	b.poll("w1", Listing{Ended: []RunEnd{ended(2, first.Starts[1], work.Done)}})
	last := b.plan()
	assert.Equal(t, len(last.Starts), 1)
	assert.Equal(t, last.Starts[0].Start.Task.Step, 1)
	b.answer(last, OutcomeOK)
	b.poll("w1", Listing{Ended: []RunEnd{ended(3, last.Starts[0], work.Done)}})

	state, _ := b.core.State("j1")
	assert.Equal(t, state, work.Running)
	b.flush()
	state, _ = b.core.State("j1")
	assert.Equal(t, state, work.Completed)
}

// Guards against running a finished task again. If the end of a run is acknowledged before it is
// stored and the owner fails in between, neither the worker nor the successor knows of the end.
func TestEndsAreAcknowledgedOnlyOnceTheyAreStored(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(2))
	o := b.plan()
	b.answer(o, OutcomeOK)
	end := Listing{Running: []Run{run(o.Starts[1])}, Ended: []RunEnd{ended(1, o.Starts[0], work.Done)}}
	b.poll("w1", end)
	assert.Equal(t, b.poll("w1", end).AckedThrough, int64(0))

	f := b.core.TakeFlush(100)
	b.core.Flushed(f, ErrUncertain)
	assert.Equal(t, b.poll("w1", end).AckedThrough, int64(0), "not stored: not acknowledged")
	b.flush()
	assert.Equal(t, b.poll("w1", end).AckedThrough, int64(1))
}

// Guards against two runs of a task at the same time. A start got no answer, so the run is stopped;
// the worker may have started it late, and it goes on for a while after the stop is answered. The
// task must not start elsewhere before the worker has listed the end of the run.
func TestAStartWithoutAnswerIsRepeatedOnlyWhenTheWorkerNoLongerListsIt(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(1))
	o := b.plan()
	b.answer(o, OutcomeUnknown)
	assert.Equal(t, len(b.plan().Stops), 0, "a poll must first show whether it runs")
	b.poll("w1", Listing{})
	stop := b.plan()
	assert.Equal(t, len(stop.Stops), 1)
	assert.Equal(t, len(stop.Starts), 0)
	b.core.StopAnswered(stop.Stops[0], OutcomeOK, b.now)

	b.poll("w1", Listing{Running: []Run{run(o.Starts[0])}})
	assert.Equal(t, len(b.plan().Starts), 0, "it is still being stopped")
	b.poll("w1", Listing{Ended: []RunEnd{ended(1, o.Starts[0], work.Stopped)}})
	again := b.plan()
	assert.Equal(t, len(again.Starts), 1)
	assert.Assert(t, again.Starts[0].Start.Run > o.Starts[0].Start.Run)
}

// The answer to a start is lost, but a poll shows that the worker has started the run: it must not be
// stopped or repeated.
func TestAStartWithoutAnswerThatIsListedGoesOn(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(1))
	o := b.plan()
	b.answer(o, OutcomeUnknown)
	b.poll("w1", Listing{Running: []Run{run(o.Starts[0])}})
	next := b.plan()
	assert.Equal(t, len(next.Stops)+len(next.Starts), 0)
}

// Tasks of an unreachable worker must not start elsewhere while its lease may last by its own clock,
// which may be slow; once the lease has certainly expired, they must.
func TestTasksOfAnUnreachableWorkerStartElsewhereOnceItsLeaseIsOver(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(1))
	b.answer(b.plan(), OutcomeOK)
	h := b.poll("w1", Listing{Running: []Run{{Task: work.TaskRef{StepRef: work.StepRef{Job: "j1"}}, Run: 1}}})
	assert.Assert(t, h.Deadline > 0)
	b.worker("w2")
	b.core.PollFailed("w1", OutcomeUnknown, b.now)
	until := b.now + LeaseExtension + time.Duration(float64(LeaseExtension)*maxClockDrift)
	for b.now < until {
		assert.Equal(t, len(b.plan().Starts), 0, "at %s", until-b.now)
		if _, h, due := b.core.NextPoll("w1", b.now); due {
			assert.Equal(t, h.Deadline, time.Duration(0), "no extension without an answer")
		}
		b.now += 50 * time.Millisecond
	}
	b.now += expiryMargin
	assert.Equal(t, len(b.plan().Starts), 1)
}

// Guards against exceeding a step's limit on unavailable tasks during maintenance: if only the stops
// of this owner counted, a task could be moved right after another one of the step had failed.
func TestLongRunningTaskMovesOnlyWhileAllOthersOfItsStepServe(t *testing.T) {
	b := newRig(t)
	for _, id := range []work.WorkerID{"w1", "w2", "w3", "w4"} {
		b.worker(id)
	}
	b.accept("j1", longRunning(3))
	o := b.plan()
	assert.Equal(t, len(o.Starts), 3)
	b.answer(o, OutcomeOK)
	list := func(s StartOrder, percent int) {
		r := run(s)
		r.Percent = percent
		b.poll(s.Worker.ID, Listing{Running: []Run{r}})
	}
	list(o.Starts[0], 100)
	list(o.Starts[1], 100)
	list(o.Starts[2], 40)
	b.core.applyOrder(CellOrder{Kind: OrderVacate, Worker: o.Starts[0].Worker.ID}, token, b.now)
	assert.Equal(t, len(b.plan().Stops), 0, "the third is not serving yet")
	list(o.Starts[2], 100)
	moved := b.plan()
	assert.Equal(t, len(moved.Stops), 1)
	b.core.applyOrder(CellOrder{Kind: OrderVacate, Worker: o.Starts[1].Worker.ID}, token, b.now)
	assert.Equal(t, len(b.plan().Stops), 0, "one is unavailable already")
}

func TestCancelStopsWhatRunsAndIsAnsweredOnceStored(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(2))
	o := b.plan()
	b.answer(o, OutcomeOK)
	answered := 0
	assert.Assert(t, b.core.Cancel("j1", func(error) { answered++ }))
	stops := b.plan()
	assert.Equal(t, len(stops.Stops), 2)
	assert.Equal(t, answered, 0)
	b.flush()
	assert.Equal(t, answered, 1)
	state, _ := b.core.State("j1")
	assert.Equal(t, state, work.Cancelled)
	assert.Assert(t, !b.core.Cancel("unknown", nil))
}

// Guards against one faulty worker failing many jobs. A worker that fails every run always looks
// idle, so all waiting work would be placed there and use up its attempts.
func TestAWorkerThatFailsEverythingGetsNoMoreForAWhile(t *testing.T) {
	b := newRig(t)
	b.worker("bad")
	b.accept("j1", short(1))
	b.accept("j2", short(1))
	b.accept("j3", short(1))
	o := b.plan()
	assert.Equal(t, len(o.Starts), 3)
	b.answer(o, OutcomeOK)
	var ends []RunEnd
	for i, s := range o.Starts {
		ends = append(ends, ended(int64(i+1), s, work.Faulted))
	}
	b.poll("bad", Listing{Ended: ends})
	assert.Equal(t, len(b.plan().Starts), 0)
	b.worker("good")
	assert.Equal(t, len(b.plan().Starts), 3)
}

func TestGangMembersStartTogetherWithOneRunNumber(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	gang := short(6)
	gang.Gang = true
	b.accept("j1", gang)
	assert.Equal(t, len(b.plan().Starts), 0, "four fit, six are needed")
	b.worker("w2")
	o := b.plan()
	assert.Equal(t, len(o.Starts), 6)
	for _, s := range o.Starts {
		assert.Equal(t, s.Start.Run, 1)
	}
}

// Guards against ends that are never acknowledged in a busy cell, so that the lists of its workers
// grow. This happens if ends are acknowledged only when nothing is left to store: there are always
// new changes while others are being stored.
func TestEndsAreAcknowledgedUnderConstantLoad(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.worker("w2")
	b.worker("w3")
	for i := range 6 {
		b.accept(work.JobID(string(rune('a'+i))), short(2))
	}
	o := b.plan()
	assert.Equal(t, len(o.Starts), 12)
	b.answer(o, OutcomeOK)
	ends := make(map[work.WorkerID][]RunEnd)
	for i, s := range o.Starts {
		id := s.Worker.ID
		ends[id] = append(ends[id], ended(int64(len(ends[id])+1), s, work.Done))
		b.poll(id, Listing{Ended: ends[id]})
		if i%3 == 2 {
			b.core.Flushed(b.core.TakeFlush(endEntries), nil)
		}
	}
	all, _ := b.core.Dirty()
	assert.Assert(t, all > 0, "there was always more to store")
	sum := int64(0)
	for id := range ends {
		sum += b.core.workers[id].stored
	}
	assert.Equal(t, sum, int64(8), "four jobs of two tasks are stored")
}

// Guards against sending all waiting work to workers that have become unreachable. After the failure
// of a rack its workers look idle for a second; a start without an answer must close a worker until
// it answers a poll.
func TestAWorkerThatAnswersNoStartsGetsNoMore(t *testing.T) {
	b := newRig(t)
	b.worker("dark")
	b.accept("j1", short(2))
	b.answer(b.plan(), OutcomeUnknown)
	b.accept("j2", short(1))
	assert.Equal(t, len(b.plan().Starts), 0)
	b.poll("dark", Listing{})
	assert.Equal(t, len(b.plan().Starts), 1, "a poll was answered")
}

// Guards against memory that grows for as long as an entry VM owns a cell.
func TestEndedJobsAreForgottenAfterAWhile(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(1))
	o := b.plan()
	b.answer(o, OutcomeOK)
	b.poll("w1", Listing{Ended: []RunEnd{ended(1, o.Starts[0], work.Done)}})
	b.flush()
	b.now += keepEnded / 2
	b.plan()
	assert.Assert(t, b.core.Known("j1"))
	b.now += keepEnded
	b.plan()
	assert.Assert(t, !b.core.Known("j1"))
}

// A worker's registration was overwritten by something that can't be decoded, so it is unknown whether
// the worker accepts tasks. Its runs must go on and keep their lease; new tasks must go elsewhere.
func TestAWorkerWithAnUnreadableRegistrationTakesNothingNew(t *testing.T) {
	b := newRig(t)
	b.running(short(1), "w1")
	odd := info("w1")
	odd.Unreadable = true
	b.core.WorkerRegistered(odd)
	b.accept("j2", short(1))
	assert.Equal(t, len(b.plan().Starts), 0)
	_, _, polled := b.core.NextPoll("w1", b.now)
	assert.Assert(t, polled, "its running task keeps its lease")
	b.core.WorkerRegistered(info("w1"))
	assert.Equal(t, len(b.plan().Starts), 1)
}
