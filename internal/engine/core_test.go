package engine

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// bench is a core with a clock of its own and workers that do as the test says.
type bench struct {
	t    *testing.T
	core *Core
	now  time.Duration
	wall time.Time
}

const (
	service = "weighting"
	queue   = "weights"
	token   = 7
)

var epoch = time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC)

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: time.Hour, wall: epoch}
	b.core = b.successor(token)
	return b
}

// successor returns a core of another owner under the token.
func (b *bench) successor(token int64) *Core {
	c := NewCore(service, token, Bounds{MaxHold: 10 * time.Second, PaceDelay: 100 * time.Millisecond}, logr.Discard())
	c.Declare(Declared{
		Queues:   map[string]Queue{queue: {Name: queue, Service: service, MaxAttempts: 3, Stretch: 1.6, Slack: 600 * time.Millisecond}},
		Services: map[string]Service{service: {Name: service}},
	})
	c.AllowUntil(b.now + time.Hour)
	c.SetCertain(true)
	return c
}

func (b *bench) worker(id work.WorkerID) {
	b.core.WorkerSeen(info(id))
	b.look(id, Listing{})
}

func info(id work.WorkerID) WorkerInfo {
	return WorkerInfo{ID: id, Service: service, Address: string(id) + ":80", Capacity: work.Resources{MilliCPU: 8000, MemoryMB: 16000}, Labels: []string{"a", "r1"}}
}

// look has the worker answer a poll that is sent and answered now.
func (b *bench) look(id work.WorkerID, l Listing) Hold {
	b.t.Helper()
	b.now += time.Millisecond
	_, h, _ := b.core.HoldFor(id, b.now)
	l.Clock = b.now
	b.core.HoldAnswered(id, h, l, b.now, b.now)
	return h
}

func (b *bench) accept(id work.JobID, steps ...work.Step) {
	b.core.Accept(&work.Job{ID: id, Queue: queue, Spec: "spec", Steps: steps, Accepted: b.wall}, b.core.declared.Queues[queue], b.now)
}

func (b *bench) plan() Orders {
	b.now += time.Millisecond
	return b.core.Plan(b.now, b.wall)
}

// answer gives every start the outcome.
func (b *bench) answer(o Orders, out Outcome) {
	for _, s := range o.Starts {
		b.now += time.Millisecond
		b.core.StartAnswered(s, out, b.now, b.now)
	}
}

func (b *bench) flush() {
	f := b.core.TakeFlush(100)
	b.core.Flushed(f, nil)
}

func short(count int) work.Step {
	return work.Step{Count: count, Size: work.Resources{MilliCPU: 2000, MemoryMB: 1000}, Estimate: time.Second}
}

func lasting(count int) work.Step {
	s := short(count)
	s.Lasting, s.AntiAffinity, s.MaxUnavailable = true, 1, 1
	return s
}

func run(s StartOrder) Run { return Run{Task: s.Start.Task, Run: s.Start.Run} }

func ended(seq int64, s StartOrder, how work.End) RunEnd {
	return RunEnd{Seq: seq, Task: s.Start.Task, Run: s.Start.Run, How: how}
}

func TestAJobRunsItsStepsInOrderAndIsShownCompletedOnceStored(t *testing.T) {
	b := newBench(t)
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
	b := newBench(t)
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
	b := newBench(t)
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
	b := newBench(t)
	b.worker("w1")
	b.accept("j1", short(1))
	o := b.plan()
	b.answer(o, OutcomeUnknown)
	b.look("w1", Listing{Running: []Run{run(o.Starts[0])}})
	next := b.plan()
	assert.Equal(t, len(next.Stops)+len(next.Starts), 0)
}

// A caller's job is shown as failed with attempts left. A run failed, its end
// was stored but not yet acknowledged, and the owner died: the worker listed the
// end to the successor again, which must not count it as a second failure.
func TestAFailureListedAgainToASuccessorCountsOnce(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.accept("j1", short(1))
	var ends []RunEnd
	for seq := int64(1); seq <= 2; seq++ {
		o := b.plan()
		assert.Equal(t, len(o.Starts), 1)
		b.answer(o, OutcomeOK)
		ends = append(ends, ended(seq, o.Starts[0], work.Faulted))
		b.look("w1", Listing{Ended: ends})
	}
	b.takeOver(8, "w1")
	b.core.SetFleet([]work.VM{vm("v1", "w1")})
	b.look("w1", Listing{Ended: ends})
	assert.Equal(t, len(b.plan().Starts), 1, "one attempt is left")
	state, _ := b.core.State("j1")
	assert.Assert(t, state != work.Failed)
}

// takeOver replaces the core by a successor's, restored from what is stored, and
// registers the workers.
func (b *bench) takeOver(token int64, workers ...work.WorkerID) {
	b.t.Helper()
	records := make(map[work.JobID]*JobRecord)
	for id, j := range b.core.jobs {
		if !j.stored {
			kept := j.Job
			records[id] = &JobRecord{Job: &kept, Queue: j.queue}
		}
	}
	flush := b.core.TakeFlush(100)
	progress := make(map[work.JobID]*Progress)
	for _, ch := range flush.Changes {
		progress[ch.Job] = decodeProgress(b.t, ch)
	}
	next := b.successor(token)
	for id, r := range records {
		next.Restore(r, progress[id], b.now, b.wall)
	}
	next.Reaffirm(b.now, b.wall)
	for _, id := range workers {
		next.WorkerSeen(info(id))
	}
	next.Inherit(b.now + inheritedFor())
	b.core = next
}

// The caller's work is thrown away, or runs twice, at every change of owner: the
// successor takes what runs for strays, or starts it anew elsewhere, before the
// workers have said what they run.
func TestASuccessorAdoptsWhatRunsAndStartsNothingBefore(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.worker("w2")
	b.accept("j1", short(1))
	b.accept("j2", short(1))
	o := b.plan()
	b.answer(o, OutcomeOK)
	byWorker := make(map[work.WorkerID][]Run)
	for _, s := range o.Starts {
		byWorker[s.Worker.ID] = append(byWorker[s.Worker.ID], run(s))
	}
	b.takeOver(8, "w1", "w2")
	b.core.SetFleet([]work.VM{vm("v1", "w1"), vm("v2", "w2")})
	assert.Equal(t, len(b.plan().Starts), 0, "no worker was heard yet")
	b.look("w1", Listing{Running: byWorker["w1"]})
	assert.Equal(t, len(b.plan().Starts), 0, "w2 may run the rest")
	b.look("w2", Listing{Running: byWorker["w2"]})
	next := b.plan()
	assert.Equal(t, len(next.Starts)+len(next.Stops), 0, "all of it runs")
}

func vm(id string, w work.WorkerID) work.VM {
	return work.VM{ID: id, Pool: service, State: work.VMUp, Worker: w}
}

// Everything runs twice after an outage of the store. Registrations lapsed in
// it while the workers ran on; the new owner saw none, so none was unheard, and it
// started all jobs anew as the registrations came back.
func TestASuccessorDoesNotTrustAnEmptyListOfWorkers(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.accept("j1", short(1))
	b.answer(b.plan(), OutcomeOK)
	b.takeOver(8)
	b.core.WorkerSeen(info("w3"))
	b.look("w3", Listing{})
	assert.Equal(t, len(b.plan().Starts), 0, "the VM list was not read")
	b.core.SetFleet([]work.VM{vm("v1", "w1"), vm("v3", "w3")})
	assert.Equal(t, len(b.plan().Starts), 0, "w1 lives by the VM list and was not heard")
	b.core.SetFleet([]work.VM{{ID: "v1", Pool: service, State: work.VMDown}, vm("v3", "w3")})
	assert.Equal(t, len(b.plan().Starts), 1, "w1 is over")
}

// A task runs on both sides of a cut. The owner inside it can't reach the workers
// outside, whose leases its successor extends; by its own books they have run
// out. Without certainty of its lease it must not restart what ran there.
func TestAnOwnerCutOffRestartsNothingOfUnreachableWorkers(t *testing.T) {
	b := newBench(t)
	b.worker("near")
	b.worker("far")
	b.accept("j1", short(8))
	o := b.plan()
	b.answer(o, OutcomeOK)
	b.core.SetCertain(false)
	b.core.HoldFailed("far", OutcomeUnknown, b.now)
	b.now += 20 * time.Second
	assert.Equal(t, len(b.plan().Starts), 0)
	b.core.SetCertain(true)
	b.core.HoldFailed("far", OutcomeUnknown, b.now)
	assert.Assert(t, len(b.core.workers["far"].tasks) == 0, "with certainty it is restarted")
}

// A pool's work is lost and started anew several times a second. The entry of a
// worker that ended stays for seconds beside that of the next at its address, and
// each in turn was taken for proof that the other is over.
func TestTwoRegistrationsAtOneAddressEndNeither(t *testing.T) {
	b := newBench(t)
	next := info("next")
	next.Address = info("old").Address
	b.core.WorkerSeen(info("old"))
	b.core.WorkerSeen(next)
	b.look("next", Listing{})
	b.accept("j1", short(1))
	b.answer(b.plan(), OutcomeOK)
	for range 3 {
		b.core.WorkerSeen(info("old"))
		b.core.WorkerSeen(next)
	}
	assert.Equal(t, len(b.core.workers["next"].tasks), 1)

	b.core.HoldFailed("old", OutcomeOtherLife, b.now)
	b.core.WorkerSeen(info("old"))
	assert.Assert(t, b.core.workers["old"] == nil, "an ID that is over does not come back")
}

// An unreachable worker's tasks must not start elsewhere while its lease may
// last, on its clock, which may be slow; after that they must.
func TestTasksOfAnUnreachableWorkerStartElsewhereOnceItsLeaseIsOver(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.accept("j1", short(1))
	b.answer(b.plan(), OutcomeOK)
	h := b.look("w1", Listing{Running: []Run{{Task: work.TaskRef{StepRef: work.StepRef{Job: "j1"}}, Run: 1}}})
	assert.Assert(t, h.Deadline > 0)
	b.worker("w2")
	b.core.HoldFailed("w1", OutcomeUnknown, b.now)
	until := b.now + LeaseAhead + time.Duration(float64(LeaseAhead)*clockError)
	for b.now < until {
		assert.Equal(t, len(b.plan().Starts), 0, "at %s", until-b.now)
		if _, h, due := b.core.HoldFor("w1", b.now); due {
			assert.Equal(t, h.Deadline, time.Duration(0), "no extension without an answer")
		}
		b.now += 50 * time.Millisecond
	}
	b.now += expirySlack
	assert.Equal(t, len(b.plan().Starts), 1)
}

// An upkeep takes two tasks of a step away that may miss one: one failed a
// moment before, and only our own stops were counted.
func TestALastingTaskMovesOnlyWhileAllOthersOfItsStepAreAtWork(t *testing.T) {
	b := newBench(t)
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
	b := newBench(t)
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
	b := newBench(t)
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
	b := newBench(t)
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

// A task is cut by a move. The decision saw the VM empty, and a task was started
// before the order: the claim of the VM and the start are one after the other at
// the cell's owner, so one of them loses.
func TestAWorkerInUseIsNotClaimedAndAClaimedOneGetsNothing(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.accept("j1", short(1))
	o := b.plan()
	claim := CellOrder{Kind: OrderClaim, Worker: "w1"}
	assert.Assert(t, !b.core.obey(claim, token, b.now))
	b.answer(o, OutcomeOK)
	b.look("w1", Listing{Ended: []RunEnd{ended(1, o.Starts[0], work.Done)}})
	assert.Assert(t, b.core.obey(claim, token, b.now))
	b.accept("j2", short(1))
	assert.Equal(t, len(b.plan().Starts), 0)
	b.core.obey(CellOrder{Kind: OrderOpen, Worker: "w1"}, token, b.now)
	assert.Equal(t, len(b.plan().Starts), 1)
}

// A busy cell acknowledges nothing for seconds, and its workers' lists grow. A
// transaction holds some changes, more came meanwhile, and ends were acknowledged
// only after a moment in which nothing at all was left to store.
func TestEndsAreAcknowledgedUnderConstantLoad(t *testing.T) {
	b := newBench(t)
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

// The operator sees a wave that is late: a lasting task can't leave its VM, as
// every other VM has one of its step. The cell tells that it is short of a VM.
func TestACellThatCannotEmptyAVMIsShortOfOne(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.worker("w2")
	b.accept("j1", lasting(2))
	o := b.plan()
	b.answer(o, OutcomeOK)
	for _, s := range o.Starts {
		r := run(s)
		r.Percent = fullPercent
		b.look(s.Worker.ID, Listing{Running: []Run{r}})
	}
	assert.Equal(t, b.core.report(b.now).Short, 0)
	b.core.obey(CellOrder{Kind: OrderVacate, Worker: o.Starts[0].Worker.ID}, token, b.now)
	assert.Equal(t, len(b.plan().Stops), 0)
	assert.Equal(t, b.core.report(b.now).Short, 1)
	b.worker("w3")
	assert.Equal(t, len(b.plan().Stops), 1)
}

// A rack goes dark. For a second its workers look idle, and all that waits is
// sent to them and waits for a timeout there: starts without an answer close them.
func TestAWorkerThatAnswersNoStartsGetsNoMore(t *testing.T) {
	b := newBench(t)
	b.worker("dark")
	b.accept("j1", short(2))
	b.answer(b.plan(), OutcomeUnknown)
	b.accept("j2", short(1))
	assert.Equal(t, len(b.plan().Starts), 0)
	b.look("dark", Listing{})
	assert.Equal(t, len(b.plan().Starts), 1, "a poll was answered")
}

// A task runs beside itself after a take-over: two runs of it are listed, the
// older one first. The newer was ordered after the older had been settled; it is
// kept, and the task starts nowhere until the other is certain to be over.
func TestOfTwoListedRunsTheHigherIsKept(t *testing.T) {
	b := newBench(t)
	b.accept("j1", short(1))
	b.takeOver(8, "w1", "w2", "w3")
	b.core.SetFleet([]work.VM{vm("v1", "w1"), vm("v2", "w2"), vm("v3", "w3")})
	ref := work.TaskRef{StepRef: work.StepRef{Job: "j1"}}
	b.look("w3", Listing{})
	b.look("w1", Listing{Running: []Run{{Task: ref, Run: 1}}})
	b.look("w2", Listing{Running: []Run{{Task: ref, Run: 2}}})
	stops := b.plan().Stops
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Worker.ID, work.WorkerID("w1"))
	b.look("w2", Listing{Ended: []RunEnd{{Seq: 1, Task: ref, Run: 2, How: work.Faulted}}})
	assert.Equal(t, len(b.plan().Starts), 0, "run 1 is still being stopped")
	b.core.StopAnswered(stops[0], OutcomeOK, b.now)
	b.look("w1", Listing{Ended: []RunEnd{{Seq: 1, Task: ref, Run: 1, How: work.Stopped}}})
	assert.Equal(t, len(b.plan().Starts), 1)
}

// A task that was done runs again. An owner that can't reach the store, in its
// grace, saw the worker go; its successor had acknowledged the end before.
func TestAnOwnerThatIsNotCertainBeginsOnlyWhatWasNeverStarted(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.worker("w2")
	b.accept("j1", short(1))
	o := b.plan()
	b.answer(o, OutcomeOK)
	b.core.SetCertain(false)
	b.core.WorkerGone(o.Starts[0].Worker.ID, "test", b.now)
	b.accept("j2", short(1))
	starts := b.plan().Starts
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Start.Task.Job, work.JobID("j2"))

	b.core.WorkerSeen(info("late"))
	b.look("late", Listing{})
	b.accept("j3", short(4))
	b.accept("j4", short(4))
	for _, s := range b.plan().Starts {
		assert.Assert(t, s.Worker.ID != "late", "its successor does not wait for this one")
	}
	b.core.SetCertain(true)
	b.look("late", Listing{})
	assert.Assert(t, len(b.plan().Starts) > 0)
}

// A daemon's memory grows for as long as it owns a cell, until it is killed.
func TestEndedJobsAreForgottenAfterAWhile(t *testing.T) {
	b := newBench(t)
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

// Maintenance ends tasks that a new owner of the cell had not heard of yet. It
// claims nothing of what it does not know, or can't reach.
func TestOnlyWhatIsKnownToBeEmptyIsClaimed(t *testing.T) {
	b := newBench(t)
	claim := CellOrder{Kind: OrderClaim, Worker: "w1"}
	assert.Assert(t, !b.core.obey(claim, token, b.now), "not registered here")
	b.core.WorkerSeen(info("w1"))
	assert.Assert(t, !b.core.obey(claim, token, b.now), "not heard yet")
	b.look("w1", Listing{})
	b.core.HoldFailed("w1", OutcomeUnknown, b.now)
	assert.Assert(t, !b.core.obey(claim, token, b.now), "does not answer")
	b.look("w1", Listing{})
	assert.Assert(t, b.core.obey(claim, token, b.now))
}
