package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// labelledWorker registers a worker with the labels and has it answer a poll.
func (b *rig) labelledWorker(id work.WorkerID, labels ...string) {
	i := info(id)
	i.Labels = labels
	b.core.WorkerRegistered(i)
	b.poll(id, Listing{})
}

// serve has each worker list its runs as being at work.
func (b *rig) serve(starts ...StartOrder) {
	byWorker := make(map[work.WorkerID][]Run)
	for _, s := range starts {
		r := run(s)
		r.Percent = fullPercent
		byWorker[s.Worker.ID] = append(byWorker[s.Worker.ID], r)
	}
	for id, runs := range byWorker {
		b.poll(id, Listing{Running: runs})
	}
}

// newLabelRig returns a rig whose worker w1 alone has label b and runs the tasks of a long-running
// step that requires it, and is to be emptied. w2 has room and another label.
func newLabelRig(t *testing.T, count, maxUnavailable int) (*rig, []StartOrder) {
	b := newRig(t)
	b.labelledWorker("w1", "b", "r1")
	b.labelledWorker("w2", "a", "r1")
	b.accept("j1", labelled(count, maxUnavailable))
	o := b.plan()
	assert.Equal(t, len(o.Starts), count)
	b.answer(o, OutcomeOK)
	b.serve(o.Starts...)
	b.core.applyOrder(CellOrder{Kind: OrderVacate, Worker: "w1"}, token, b.now)
	return b, o.Starts
}

// labelled returns a long-running step that requires label b.
func labelled(count, maxUnavailable int) work.Step {
	s := longRunning(count)
	s.Requires, s.AntiAffinity, s.MaxUnavailable = "b", 0, maxUnavailable
	return s
}

// reportOn returns the cell's report on the worker.
func (b *rig) reportOn(id work.WorkerID) WorkerReport {
	for _, w := range b.core.report(b.now).Workers {
		if w.ID == id {
			return w
		}
	}
	b.t.Fatalf("no report on %s", id)
	return WorkerReport{}
}

// Guards against a long-running task that is stopped for maintenance and never starts again, as no
// other worker has the label that it requires; the cordon must go, since the wave can't go on either.
func TestATaskIsNotStoppedForAPlaceWithoutItsLabel(t *testing.T) {
	b, starts := newLabelRig(t, 2, 1)
	assert.Equal(t, len(b.plan().Stops), 0)
	assert.Assert(t, !b.reportOn("w1").CordonBlocked, "a VM with the label may come")
	b.now += labelledVMPatience
	assert.Equal(t, len(b.plan().Stops), 0)
	assert.Assert(t, b.reportOn("w1").CordonBlocked)
	assert.Assert(t, !b.reportOn("w2").CordonBlocked)
	assert.Equal(t, b.core.report(b.now).MissingVMs, 0, "a VM without the label is of no use")
	b.labelledWorker("w3", "b", "r2")
	b.serve(starts...)
	assert.Assert(t, !b.reportOn("w1").CordonBlocked)
	assert.Equal(t, len(b.plan().Stops), 1, "there is a place now")
}

// Guards against a wave that is never done: tasks that have no other place may leave together if their
// step's limit allows it. They start again after the maintenance.
func TestTasksWithoutAnotherPlaceLeaveTogetherWithinTheirLimit(t *testing.T) {
	b, starts := newLabelRig(t, 2, 2)
	assert.Equal(t, len(b.plan().Stops), 0, "a VM with the label may come")
	b.now += labelledVMPatience
	assert.Assert(t, !b.reportOn("w1").CordonBlocked)
	assert.Equal(t, len(b.plan().Stops), 2)
	b.poll("w1", Listing{Ended: []RunEnd{ended(1, starts[0], work.Stopped), ended(2, starts[1], work.Stopped)}})
	b.flush()
	assert.Equal(t, len(b.plan().Starts), 0)
	assert.Assert(t, b.core.applyOrder(CellOrder{Kind: OrderClaim, Worker: "w1"}, token, b.now))
	b.core.applyOrder(CellOrder{Kind: OrderWorkerRemoved, Worker: "w1"}, token, b.now)
	b.labelledWorker("w3", "b", "r1")
	assert.Equal(t, len(b.plan().Starts), 2)
}

// Guards against tasks that are stopped together although another one stays on the worker, so that it
// can't be maintained.
func TestTasksWithoutAnotherPlaceWaitForTheOthersOnTheirWorker(t *testing.T) {
	b, _ := newLabelRig(t, 2, 2)
	b.core.applyOrder(CellOrder{Kind: OrderUncordon, Worker: "w1"}, token, b.now)
	b.core.applyOrder(CellOrder{Kind: OrderVacate, Worker: "w2"}, token, b.now)
	b.accept("j2", short(1))
	o := b.plan()
	assert.Equal(t, len(o.Starts), 1)
	assert.Equal(t, o.Starts[0].Worker.ID, work.WorkerID("w1"))
	b.core.applyOrder(CellOrder{Kind: OrderVacate, Worker: "w1"}, token, b.now)
	b.now += labelledVMPatience
	assert.Equal(t, len(b.plan().Stops), 0)
}

// Guards against more tasks of a step away than it allows: one has failed and can't start while the
// other would be stopped for the maintenance.
func TestATaskWithoutAnotherPlaceStaysWhileAnotherOfItsStepIsAway(t *testing.T) {
	b, starts := newLabelRig(t, 2, 1)
	b.poll("w1", Listing{Ended: []RunEnd{ended(1, starts[0], work.Faulted)}, Running: []Run{{Task: starts[1].Start.Task, Run: starts[1].Start.Run, Percent: fullPercent}}})
	b.flush()
	b.now += labelledVMPatience
	assert.Equal(t, len(b.plan().Stops), 0)
}

// Guards against a wave that is never done, and against VMs that are moved to the pool for nothing: a
// VM with the label can be moved to the pool, and is requested by its label.
func TestAVMWithTheLabelIsRequestedForAMove(t *testing.T) {
	b, starts := newLabelRig(t, 1, 1)
	assert.Equal(t, len(b.plan().Stops), 0)
	r := b.core.report(b.now)
	assert.Equal(t, r.MissingVMs, 0)
	assert.Equal(t, r.ByLabel["b"].MissingVMs, 1)
	b.labelledWorker("w3", "b", "r2")
	b.serve(starts...)
	assert.Equal(t, len(b.plan().Stops), 1)
}

// Guards against tasks that wait for good, as the only worker that could take them is cordoned.
func TestACordonYieldsToTasksThatOnlyItsWorkerCanTake(t *testing.T) {
	for name, step := range map[string]work.Step{"long-running": labelled(1, 1), "short": {Count: 1, Size: short(1).Size, Requires: "b"}} {
		t.Run(name, func(t *testing.T) {
			b, starts := newLabelRig(t, 1, 1)
			b.accept("j2", step)
			for until := b.now + wantedPatience; b.now < until; b.now += 100 * time.Millisecond {
				assert.Equal(t, len(b.plan().Starts), 0)
				b.serve(starts...)
				assert.Assert(t, !b.reportOn("w1").CordonBlocked)
			}
			b.plan()
			assert.Assert(t, b.reportOn("w1").CordonBlocked)
			b.core.applyOrder(CellOrder{Kind: OrderUncordon, Worker: "w1"}, token, b.now)
			assert.Equal(t, len(b.plan().Starts), 1)
			assert.Assert(t, !b.reportOn("w1").CordonBlocked)
		})
	}
}

// Guards against a wave that is late, as a burst of tasks that run anywhere removes its cordons.
func TestACordonDoesNotYieldToTasksThatRunAnywhere(t *testing.T) {
	b, starts := newLabelRig(t, 1, 1)
	b.accept("j2", short(100))
	b.answer(b.plan(), OutcomeOK)
	b.now += 2 * wantedPatience
	b.serve(starts...)
	b.plan()
	assert.Assert(t, !b.reportOn("w1").CordonBlocked)
}

// Guards against a slow run that is stopped although no other worker may run its task.
func TestASlowRunIsNotStoppedForAPlaceWithoutItsLabel(t *testing.T) {
	b, starts := newLabelRig(t, 1, 1)
	c := b.core
	assert.Assert(t, !c.canBePlaced(c.find(starts[0].Start.Task), b.now))
	b.labelledWorker("w3", "b", "r2")
	assert.Assert(t, c.canBePlaced(c.find(starts[0].Start.Task), b.now))
}

// Guards against a long-running task of an advised queue that is stopped for maintenance and never
// starts again, as the advisor allows it nowhere else. The advisor is asked before the stop.
func TestATaskIsNotStoppedForAPlaceThatTheAdvisorDoesNotAllow(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.core.Accept(&work.Job{ID: "j1", Queue: queue, Steps: []work.Step{longRunning(1)}}, Queue{Name: queue, Service: service, Advised: true}, b.now)
	answer := func(_ AdviceOrder, tickets ...Ticket) {
		b.core.AdviceAnswered(AdviceAnswer{Tickets: tickets, Validity: time.Second}, b.now)
	}
	answer(b.plan().Advice[0], Ticket{Worker: "w1", Ticket: "t"})
	o := b.plan()
	assert.Equal(t, len(o.Starts), 1)
	b.answer(o, OutcomeOK)
	b.serve(o.Starts...)
	b.worker("w2")
	b.core.applyOrder(CellOrder{Kind: OrderVacate, Worker: "w1"}, token, b.now)
	b.now += adviceRetryInterval
	asked := b.plan()
	assert.Equal(t, len(asked.Stops), 0)
	assert.Equal(t, len(asked.Advice), 1)
	assert.DeepEqual(t, asked.Advice[0].Workers, []work.WorkerID{"w2"})
	answer(asked.Advice[0])
	assert.Equal(t, len(b.plan().Stops), 0, "not allowed")
	b.now += adviceRetryInterval
	assert.Equal(t, len(b.plan().Advice), 0, "what the advisor does not allow doesn't change")
	b.worker("w3")
	asked = b.plan()
	assert.DeepEqual(t, asked.Advice[0].Workers, []work.WorkerID{"w3"})
	answer(asked.Advice[0], Ticket{Worker: "w3", Ticket: "t"})
	assert.Equal(t, len(b.plan().Stops), 1)
}

// Guards against a wave that is never done: the only other worker with the label has a task of the step,
// and may have no second one. Each task leaves in its turn.
func TestATaskThatAntiAffinityKeepsFromMovingLeavesForTheMaintenance(t *testing.T) {
	b := newRig(t)
	b.labelledWorker("w1", "b", "r1")
	b.labelledWorker("w2", "b", "r1")
	step := labelled(2, 1)
	step.AntiAffinity = 1
	b.accept("j1", step)
	o := b.plan()
	assert.Equal(t, len(o.Starts), 2)
	b.answer(o, OutcomeOK)
	b.serve(o.Starts...)
	b.core.applyOrder(CellOrder{Kind: OrderVacate, Worker: "w1"}, token, b.now)
	b.core.applyOrder(CellOrder{Kind: OrderVacate, Worker: "w2"}, token, b.now)
	assert.Equal(t, len(b.plan().Stops), 0)
	b.now += labelledVMPatience
	assert.Equal(t, len(b.plan().Stops), 1, "one at a time")
}

// Guards against a wave that stands still, as all workers with a label are to be emptied at a time and
// each waits for a place on another.
func TestOfAllWorkersWithALabelOneIsEmptiedFirst(t *testing.T) {
	b := newRig(t)
	b.labelledWorker("w1", "b", "r1")
	b.accept("j1", labelled(1, 1))
	o := b.plan()
	b.answer(o, OutcomeOK)
	b.labelledWorker("w2", "b", "r1")
	b.serve(o.Starts...)
	b.core.applyOrder(CellOrder{Kind: OrderVacate, Worker: "w1"}, token, b.now)
	b.core.applyOrder(CellOrder{Kind: OrderVacate, Worker: "w2"}, token, b.now)
	b.plan()
	b.now += wantedPatience
	b.serve(o.Starts...)
	assert.Equal(t, len(b.plan().Stops), 0)
	assert.Assert(t, !b.reportOn("w1").CordonBlocked)
	assert.Assert(t, b.reportOn("w2").CordonBlocked)
	b.core.applyOrder(CellOrder{Kind: OrderMaintenanceDue, Worker: "w2"}, token, b.now)
	assert.Equal(t, len(b.plan().Stops), 1)
}
