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
	b.look("w1", Listing{Running: []Run{run(first.Starts[1])}, Ended: []RunEnd{ended(1, first.Starts[0], work.Done)}})
	assert.Equal(t, len(b.plan().Starts), 0, "the second step waits for all of the first")
	b.look("w1", Listing{Ended: []RunEnd{ended(2, first.Starts[1], work.Done)}})
	last := b.plan()
	assert.Equal(t, len(last.Starts), 1)
	assert.Equal(t, last.Starts[0].Start.Task.Step, 1)
	b.answer(last, OutcomeOK)
	b.look("w1", Listing{Ended: []RunEnd{ended(3, last.Starts[0], work.Done)}})

	state, _ := b.core.State("j1")
	assert.Equal(t, state, work.Running)
	b.flush()
	state, _ = b.core.State("j1")
	assert.Equal(t, state, work.Completed)
}

// The caller sees its task run twice. The worker ended it and the end was
// acknowledged, the store had not taken it yet, the owner died, and its
// successor knew nothing of the end. Ends are acknowledged only once stored.
func TestEndsAreAcknowledgedOnlyOnceTheyAreStored(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(2))
	o := b.plan()
	b.answer(o, OutcomeOK)
	end := Listing{Running: []Run{run(o.Starts[1])}, Ended: []RunEnd{ended(1, o.Starts[0], work.Done)}}
	b.look("w1", end)
	assert.Equal(t, b.look("w1", end).AckedThrough, int64(0))

	f := b.core.TakeFlush(100)
	b.core.Flushed(f, ErrUncertain)
	assert.Equal(t, b.look("w1", end).AckedThrough, int64(0), "not stored: not acknowledged")
	b.flush()
	assert.Equal(t, b.look("w1", end).AckedThrough, int64(1))
}

// The caller sees one task run twice at the same time. A start got no answer, so
// a stop was sent; the worker had begun the task late, answered the stop, and the
// task took a while to end. Starting it elsewhere at the stop's answer overlaps.
func TestAStartWithoutAnswerIsRepeatedOnlyWhenTheWorkerNoLongerListsIt(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(1))
	o := b.plan()
	b.answer(o, OutcomeUnknown)
	assert.Equal(t, len(b.plan().Stops), 0, "a poll tells first whether it runs")
	b.look("w1", Listing{})
	stop := b.plan()
	assert.Equal(t, len(stop.Stops), 1)
	assert.Equal(t, len(stop.Starts), 0)
	b.core.StopAnswered(stop.Stops[0], OutcomeOK, b.now)

	b.look("w1", Listing{Running: []Run{run(o.Starts[0])}})
	assert.Equal(t, len(b.plan().Starts), 0, "it is still being stopped")
	b.look("w1", Listing{Ended: []RunEnd{ended(1, o.Starts[0], work.Stopped)}})
	again := b.plan()
	assert.Equal(t, len(again.Starts), 1)
	assert.Assert(t, again.Starts[0].Start.Run > o.Starts[0].Start.Run)
}

// The same lost answer, but the worker has begun the task: a poll shows it, and
// the work is kept.
func TestAStartWithoutAnswerThatIsListedGoesOn(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(1))
	o := b.plan()
	b.answer(o, OutcomeUnknown)
	b.look("w1", Listing{Running: []Run{run(o.Starts[0])}})
	next := b.plan()
	assert.Equal(t, len(next.Stops)+len(next.Starts), 0)
}

// An unreachable worker's tasks must not start elsewhere while its lease may
// last, on its clock, which may be slow; after that they must.
func TestTasksOfAnUnreachableWorkerStartElsewhereOnceItsLeaseIsOver(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(1))
	b.answer(b.plan(), OutcomeOK)
	h := b.look("w1", Listing{Running: []Run{{Task: work.TaskRef{StepRef: work.StepRef{Job: "j1"}}, Run: 1}}})
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

// An upkeep takes two tasks of a step away that may miss one: one failed a
// moment before, and only our own stops were counted.
func TestALastingTaskMovesOnlyWhileAllOthersOfItsStepAreAtWork(t *testing.T) {
	b := newRig(t)
	for _, id := range []work.WorkerID{"w1", "w2", "w3", "w4"} {
		b.worker(id)
	}
	b.accept("j1", lasting(3))
	o := b.plan()
	assert.Equal(t, len(o.Starts), 3)
	b.answer(o, OutcomeOK)
	list := func(s StartOrder, percent int) {
		r := run(s)
		r.Percent = percent
		b.look(s.Worker.ID, Listing{Running: []Run{r}})
	}
	list(o.Starts[0], 100)
	list(o.Starts[1], 100)
	list(o.Starts[2], 40)
	b.core.obey(CellOrder{Kind: OrderVacate, Worker: o.Starts[0].Worker.ID}, token, b.now)
	assert.Equal(t, len(b.plan().Stops), 0, "the third is not at work yet")
	list(o.Starts[2], 100)
	moved := b.plan()
	assert.Equal(t, len(moved.Stops), 1)
	b.core.obey(CellOrder{Kind: OrderVacate, Worker: o.Starts[1].Worker.ID}, token, b.now)
	assert.Equal(t, len(b.plan().Stops), 0, "one is away already")
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

// One worker fails whatever it starts, with good reports. It looks idle, so all
// that waits goes there, and good jobs lose their few attempts.
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
	b.look("bad", Listing{Ended: ends})
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

// A busy cell acknowledges nothing for seconds, and its workers' lists grow. A
// transaction holds some changes, more came meanwhile, and ends were acknowledged
// only after a moment in which nothing at all was left to store.
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
		b.look(id, Listing{Ended: ends[id]})
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

// A rack goes dark. For a second its workers look idle, and all that waits is
// sent to them and waits for a timeout there: starts without an answer close them.
func TestAWorkerThatAnswersNoStartsGetsNoMore(t *testing.T) {
	b := newRig(t)
	b.worker("dark")
	b.accept("j1", short(2))
	b.answer(b.plan(), OutcomeUnknown)
	b.accept("j2", short(1))
	assert.Equal(t, len(b.plan().Starts), 0)
	b.look("dark", Listing{})
	assert.Equal(t, len(b.plan().Starts), 1, "a poll was answered")
}

// A daemon's memory grows for as long as it owns a cell, until it is killed.
func TestEndedJobsAreForgottenAfterAWhile(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(1))
	o := b.plan()
	b.answer(o, OutcomeOK)
	b.look("w1", Listing{Ended: []RunEnd{ended(1, o.Starts[0], work.Done)}})
	b.flush()
	b.now += keepEnded / 2
	b.plan()
	assert.Assert(t, b.core.Known("j1"))
	b.now += keepEnded
	b.plan()
	assert.Assert(t, !b.core.Known("j1"))
}

// A task is started on a worker of which nobody knows whether it takes tasks: another
// writer has overwritten its registration. What it runs goes on; new tasks go elsewhere.
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
