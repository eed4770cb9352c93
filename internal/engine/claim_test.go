package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Guards against a VM being moved to another pool under a running task: the VM was empty
// when the move was decided, and a task was started on it before the order. The cell's owner
// handles the claim of a VM and starts one after the other, so that one of them fails.
func TestAWorkerInUseIsNotClaimedAndAClaimedOneGetsNothing(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(1))
	o := b.plan()
	claim := CellOrder{Kind: OrderClaim, Worker: "w1"}
	assert.Assert(t, !b.core.applyOrder(claim, token, b.now))
	b.answer(o, OutcomeOK)
	b.poll("w1", Listing{Ended: []RunEnd{ended(1, o.Starts[0], work.Done)}})
	b.flush()
	assert.Assert(t, b.core.applyOrder(claim, token, b.now))
	b.accept("j2", short(1))
	assert.Equal(t, len(b.plan().Starts), 0)
	b.core.applyOrder(CellOrder{Kind: OrderUncordon, Worker: "w1"}, token, b.now)
	assert.Equal(t, len(b.plan().Starts), 1)
}

// Guards against a late wave: a long-running task can't leave its VM, because every other VM
// runs a task of the same step. The cell must report that it is short of a VM.
func TestACellThatCannotEmptyAVMReportsThatItIsShortOfOne(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.worker("w2")
	b.accept("j1", longRunning(2))
	o := b.plan()
	b.answer(o, OutcomeOK)
	for _, s := range o.Starts {
		r := run(s)
		r.Percent = fullPercent
		b.poll(s.Worker.ID, Listing{Running: []Run{r}})
	}
	assert.Equal(t, b.core.report(b.now).MissingVMs, 0)
	b.core.applyOrder(CellOrder{Kind: OrderVacate, Worker: o.Starts[0].Worker.ID}, token, b.now)
	assert.Equal(t, len(b.plan().Stops), 0)
	assert.Equal(t, b.core.report(b.now).MissingVMs, 1)
	b.worker("w3")
	assert.Equal(t, len(b.plan().Stops), 1)
}

// Guards against a job whose second half waits for 20 s beside idle VMs: its caller estimated
// 20 ms for each task, so the waiting tasks hardly counted as backlog. They must count with the
// time that the job's running tasks have taken so far.
func TestBacklogUsesTheObservedRunTimeOfAStep(t *testing.T) {
	b := newRig(t)
	b.worker("w1") // has capacity for four tasks
	step := short(8)
	step.Estimate = 20 * time.Millisecond
	b.accept("j1", step)
	o := b.plan()
	b.answer(o, OutcomeOK)
	assert.Assert(t, b.core.report(b.now).Backlog < 1)
	b.now += 10 * time.Second
	backlog := b.core.report(b.now).Backlog
	assert.Assert(t, backlog >= 4*10*step.Size.Cores(), "%f core-seconds", backlog)
}

// Guards against a job that fits on no VM, and so waits forever, being counted as backlog: its
// pool would request VMs from all other pools, whose callers would wait as well.
func TestAJobThatFitsOnNoVMIsNoBacklog(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	step := short(8)
	step.Size.MilliCPU = 1 << 30
	b.accept("j1", step)
	b.plan()
	assert.Equal(t, b.core.report(b.now).Backlog, 0.0)
}

// Guards against a late wave over a large pool: each VM's task needs another VM to move to, and
// the pool requested these one after the other. The cell must report a shortage of as many VMs as
// tasks of the step may move at the same time.
func TestACellIsShortOfAsManyVMsAsTasksMayMoveAtATime(t *testing.T) {
	b := newRig(t)
	for _, id := range []work.WorkerID{"w1", "w2", "w3", "w4"} {
		b.worker(id)
	}
	step := longRunning(4)
	step.MaxUnavailable = 2
	b.accept("j1", step)
	o := b.plan()
	b.answer(o, OutcomeOK)
	for i, s := range o.Starts {
		r := run(s)
		r.Percent = fullPercent
		b.poll(s.Worker.ID, Listing{Running: []Run{r}})
		if i < 3 {
			b.core.applyOrder(CellOrder{Kind: OrderVacate, Worker: s.Worker.ID}, token, b.now)
		}
	}
	assert.Equal(t, b.core.report(b.now).MissingVMs, 2)
}

// The time that a wave needs for long-running tasks depends on the step with the most tasks on VMs
// that are due, divided by the number of its tasks that may be unavailable at a time.
func TestReportCountsTheLongestSequenceOfMoves(t *testing.T) {
	b := newRig(t)
	ids := []work.WorkerID{"w1", "w2", "w3", "w4", "w5"}
	for _, id := range ids {
		b.worker(id)
	}
	step := longRunning(5)
	step.MaxUnavailable = 2
	b.accept("j1", step)
	b.answer(b.plan(), OutcomeOK)
	assert.Equal(t, b.core.report(b.now).SerialMoves, 0)
	for _, id := range ids[:3] {
		b.core.applyOrder(CellOrder{Kind: OrderMaintenanceDue, Worker: id}, token, b.now)
	}
	assert.Equal(t, b.core.report(b.now).SerialMoves, 2)
}

// Guards against a task that runs again although it was done: while the store didn't take the end,
// the worker's VM was moved, and then the owner was lost; only the owner and the worker knew of the
// end. A VM may be claimed only once all ends of its worker are stored.
func TestAWorkerIsNotClaimedWhileItsEndsAreNotStored(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(1))
	o := b.plan()
	b.answer(o, OutcomeOK)
	b.poll("w1", Listing{Ended: []RunEnd{ended(1, o.Starts[0], work.Done)}})
	claim := CellOrder{Kind: OrderClaim, Worker: "w1"}
	assert.Assert(t, !b.core.applyOrder(claim, token, b.now), "the end is not stored yet")
	under := b.core.TakeFlush(100)
	assert.Assert(t, !b.core.applyOrder(claim, token, b.now), "the end's transaction is in flight")
	b.core.Flushed(under, nil)
	assert.Assert(t, b.core.applyOrder(claim, token, b.now))
}

// Guards against maintenance of a VM under running tasks that a new owner of the cell does not know
// yet. An owner must refuse to claim a worker that it does not know, has no answer from or can't reach.
func TestOnlyAReachableWorkerKnownToBeEmptyIsClaimed(t *testing.T) {
	b := newRig(t)
	claim := CellOrder{Kind: OrderClaim, Worker: "w1"}
	assert.Assert(t, !b.core.applyOrder(claim, token, b.now), "not registered here")
	b.core.WorkerRegistered(info("w1"))
	assert.Assert(t, !b.core.applyOrder(claim, token, b.now), "has not answered yet")
	b.poll("w1", Listing{})
	b.core.PollFailed("w1", OutcomeUnknown, b.now)
	assert.Assert(t, !b.core.applyOrder(claim, token, b.now), "does not answer")
	b.poll("w1", Listing{})
	assert.Assert(t, b.core.applyOrder(claim, token, b.now))
}

// Guards against VMs being given back too early: a worker that never had a task counted as empty
// since the entry VM's start. The whole fleet was parked (switched off) before the first caller came, and
// VMs just obtained for a burst were given away again.
func TestEmptyTimeOfAWorkerStartsWithItsFirstAnswer(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.now += time.Second
	r := b.core.report(b.now)
	assert.Equal(t, len(r.Workers), 1)
	assert.Assert(t, r.Workers[0].EmptyFor <= time.Second, "%s", r.Workers[0].EmptyFor)
}

// Guards against needless reads of the store for workers that are known or whose incarnation has
// ended.
func TestOnlyUnknownWorkersAreReadFromTheStore(t *testing.T) {
	b := newRig(t)
	b.worker("known")
	b.worker("over")
	b.core.WorkerGone("over", "test", b.now)
	assert.DeepEqual(t, b.core.unknownWorkers([]work.WorkerID{"known", "over", "new"}), []work.WorkerID{"new"})
}
