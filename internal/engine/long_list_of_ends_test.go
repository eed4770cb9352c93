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
