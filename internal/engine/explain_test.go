package engine

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
)

// An operator asks why a job does not go on: part of it runs, part has no room, and
// its second step waits for the first.
func TestAnExplanationNamesWhatRunsAndWhatKeepsTheRest(t *testing.T) {
	b := newRig(t)
	b.worker("w1") // room for four tasks
	second := short(1)
	second.After = []int{0}
	b.accept("j1", short(6), second)
	o := b.plan()
	b.answer(o, OutcomeOK)
	e, known := b.core.Explain("j1", b.now)
	assert.Assert(t, known)
	assert.Equal(t, e.State, work.Running)
	assert.Equal(t, e.Tier, "in time")
	assert.DeepEqual(t, e.Steps[0].Tasks, map[string]int{"running": 4, "waiting": 2})
	assert.DeepEqual(t, e.Steps[0].Waits, map[taskplan.Reason]int{taskplan.ReasonRoom: 1})
	assert.Equal(t, len(e.Steps[0].Runs), 4)
	assert.DeepEqual(t, e.Steps[1].After, []int{0})
	_, known = b.core.Explain("j2", b.now)
	assert.Assert(t, !known)
}
