package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// A task is cut by a move. The decision saw the VM empty, and a task was started
// before the order: the claim of the VM and the start are one after the other at
// the cell's owner, so one of them loses.
func TestAWorkerInUseIsNotClaimedAndAClaimedOneGetsNothing(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(1))
	o := b.plan()
	claim := CellOrder{Kind: OrderClaim, Worker: "w1"}
	assert.Assert(t, !b.core.obey(claim, token, b.now))
	b.answer(o, OutcomeOK)
	b.look("w1", Listing{Ended: []RunEnd{ended(1, o.Starts[0], work.Done)}})
	b.flush()
	assert.Assert(t, b.core.obey(claim, token, b.now))
	b.accept("j2", short(1))
	assert.Equal(t, len(b.plan().Starts), 0)
	b.core.obey(CellOrder{Kind: OrderOpen, Worker: "w1"}, token, b.now)
	assert.Equal(t, len(b.plan().Starts), 1)
}

// The operator sees a wave that is late: a lasting task can't leave its VM, as
// every other VM has one of its step. The cell tells that it is short of a VM.
func TestACellThatCannotEmptyAVMIsShortOfOne(t *testing.T) {
	b := newRig(t)
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

// A job's second half waits for twenty seconds with VMs parked: its caller guessed
// 20 ms a task, so what waits counted as nothing. It counts as what its running half
// has shown.
func TestWhatWaitsCountsAsItsStepHasShown(t *testing.T) {
	b := newRig(t)
	b.worker("w1") // room for four tasks
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

// A job that fits on no VM waits for good. Counted as a backlog it would draw VMs from all
// other pools, and their callers would wait as well.
func TestWhatFitsOnNoVMDrawsNone(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	step := short(8)
	step.Size.MilliCPU = 1 << 30
	b.accept("j1", step)
	b.plan()
	assert.Equal(t, b.core.report(b.now).Backlog, 0.0)
}

// The operator sees a wave over a large pool that is late: each of its VMs waits
// for one more VM, and the pool drew them one after the other. It draws as many as
// the step lets move at a time.
func TestACellIsShortOfAsManyVMsAsMayMoveAtATime(t *testing.T) {
	b := newRig(t)
	for _, id := range []work.WorkerID{"w1", "w2", "w3", "w4"} {
		b.worker(id)
	}
	step := lasting(4)
	step.MaxUnavailable = 2
	b.accept("j1", step)
	o := b.plan()
	b.answer(o, OutcomeOK)
	for i, s := range o.Starts {
		r := run(s)
		r.Percent = fullPercent
		b.look(s.Worker.ID, Listing{Running: []Run{r}})
		if i < 3 {
			b.core.obey(CellOrder{Kind: OrderVacate, Worker: s.Worker.ID}, token, b.now)
		}
	}
	assert.Equal(t, b.core.report(b.now).Short, 2)
}

// How long a wave's lasting tasks take goes by the step with the most of them on VMs
// that are due, as many at a time as it bears.
func TestACellTellsTheLongestRowOfMoves(t *testing.T) {
	b := newRig(t)
	ids := []work.WorkerID{"w1", "w2", "w3", "w4", "w5"}
	for _, id := range ids {
		b.worker(id)
	}
	step := lasting(5)
	step.MaxUnavailable = 2
	b.accept("j1", step)
	b.answer(b.plan(), OutcomeOK)
	assert.Equal(t, b.core.report(b.now).Serial, 0)
	for _, id := range ids[:3] {
		b.core.obey(CellOrder{Kind: OrderDue, Worker: id}, token, b.now)
	}
	assert.Equal(t, b.core.report(b.now).Serial, 2)
}

// A caller's task runs twice: it had ended well, its worker's VM was moved while the
// store did not take the end, and then the owner was lost. The worker was the only other
// that knew. A VM is claimed once all ends of its worker are stored.
func TestAWorkerIsNotClaimedWhileItsEndsAreNotStored(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(1))
	o := b.plan()
	b.answer(o, OutcomeOK)
	b.look("w1", Listing{Ended: []RunEnd{ended(1, o.Starts[0], work.Done)}})
	claim := CellOrder{Kind: OrderClaim, Worker: "w1"}
	assert.Assert(t, !b.core.obey(claim, token, b.now), "it ended, and that is not stored")
	under := b.core.TakeFlush(100)
	assert.Assert(t, !b.core.obey(claim, token, b.now), "it is on its way")
	b.core.Flushed(under, nil)
	assert.Assert(t, b.core.obey(claim, token, b.now))
}

// Maintenance ends tasks that a new owner of the cell had not heard of yet. It
// claims nothing of what it does not know, or can't reach.
func TestOnlyWhatIsKnownToBeEmptyIsClaimed(t *testing.T) {
	b := newRig(t)
	claim := CellOrder{Kind: OrderClaim, Worker: "w1"}
	assert.Assert(t, !b.core.obey(claim, token, b.now), "not registered here")
	b.core.WorkerRegistered(info("w1"))
	assert.Assert(t, !b.core.obey(claim, token, b.now), "not heard yet")
	b.look("w1", Listing{})
	b.core.PollFailed("w1", OutcomeUnknown, b.now)
	assert.Assert(t, !b.core.obey(claim, token, b.now), "does not answer")
	b.look("w1", Listing{})
	assert.Assert(t, b.core.obey(claim, token, b.now))
}

// A whole fleet is parked before the first caller comes, and VMs that have just been drawn
// for a burst are given away again: a worker that never had a task counted as empty since
// the entry VM's start.
func TestAWorkerIsEmptySinceItWasFirstHeard(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.now += time.Second
	r := b.core.report(b.now)
	assert.Equal(t, len(r.Workers), 1)
	assert.Assert(t, r.Workers[0].EmptyFor <= time.Second, "%s", r.Workers[0].EmptyFor)
}

// Reads of the store are spent on workers that are known, or whose life is over.
func TestOnlyWorkersThatAreNewAreLookedUp(t *testing.T) {
	b := newRig(t)
	b.worker("known")
	b.worker("over")
	b.core.WorkerGone("over", "test", b.now)
	assert.DeepEqual(t, b.core.unknown([]work.WorkerID{"known", "over", "new"}), []work.WorkerID{"new"})
}
