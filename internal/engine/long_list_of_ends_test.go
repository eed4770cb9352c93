package engine

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// endsPerAnswer is how many ends of runs the platform's workers list in one answer; the others are listed
// once these are acknowledged.
const endsPerAnswer = 500

// Guards against a task that starts again although it was done: while the store is away no ends are
// acknowledged, and a worker with more ends than it lists in one answer lists the run neither as running nor
// as ended.
func TestARunMissingFromAFullListOfEndsIsNotStartedAgain(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.worker("w2")
	b.accept("j1", short(1))
	o := b.plan()
	assert.Equal(t, len(o.Starts), 1)
	b.answer(o, OutcomeOK)
	var ends []RunEnd
	for seq := range int64(endsPerAnswer) {
		old := work.TaskRef{StepRef: work.StepRef{Job: work.JobID(fmt.Sprintf("before%d", seq))}}
		ends = append(ends, RunEnd{Seq: seq + 1, Task: old, Run: 1, How: work.Done})
	}
	// The end of the run of j1 has the next number, and is listed once the others are acknowledged.
	b.poll(o.Starts[0].Worker.ID, Listing{Ended: ends, MoreEnds: true})
	assert.Equal(t, len(b.plan().Starts), 0, "the run may have ended as done")
}

// Guards against a task that starts again although it was done: a worker lists a new owner as many ends as fit
// into one answer, and the end of the task is not among them.
func TestASuccessorStartsNothingWhileAListOfEndsIsFull(t *testing.T) {
	b := newRig(t)
	b.accept("j1", short(1))
	b.takeOver(token+1, "w1")
	b.core.SetFleet([]work.VM{vm("v1", "w1")})
	var ends []RunEnd
	for seq := range int64(endsPerAnswer) {
		old := work.TaskRef{StepRef: work.StepRef{Job: work.JobID(fmt.Sprintf("before%d", seq))}}
		ends = append(ends, RunEnd{Seq: seq + 1, Task: old, Run: 1, How: work.Done})
	}
	b.poll("w1", Listing{Ended: ends, MoreEnds: true})
	assert.Equal(t, len(b.plan().Starts), 0, "its run may have ended as done")
	b.flush()
	b.poll("w1", Listing{Ended: []RunEnd{{Seq: endsPerAnswer + 1, Task: work.TaskRef{StepRef: work.StepRef{Job: "j1"}}, Run: 1, How: work.Done}}})
	assert.Equal(t, len(b.plan().Starts), 0)
}

// Guards against a task that starts again although it was done: the stop of an orphaned run is answered, and the
// run's end as done is not among the ends that fit into one answer.
func TestAnOrphanedRunIsKeptWhileAListOfEndsIsFull(t *testing.T) {
	b := newRig(t)
	b.accept("j1", short(1))
	b.takeOver(token+1, "w1", "w2")
	b.core.SetFleet([]work.VM{vm("v1", "w1"), vm("v2", "w2")})
	ref := work.TaskRef{StepRef: work.StepRef{Job: "j1"}}
	b.poll("w1", Listing{Running: []Run{{Task: ref, Run: 1}}})
	b.poll("w2", Listing{Running: []Run{{Task: ref, Run: 2}}})
	stops := b.plan().Stops
	assert.Equal(t, len(stops), 1)
	b.poll("w2", Listing{Ended: []RunEnd{{Seq: 1, Task: ref, Run: 2, How: work.Faulted}}})
	b.core.StopAnswered(stops[0], OutcomeOK, b.now)
	b.poll("w1", Listing{MoreEnds: true})
	assert.Equal(t, len(b.plan().Starts), 0, "run 1 may have ended as done")
}
