package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
)

// An explanation must name every reason why a job does not progress: some tasks run, some don't fit on
// any worker, and the second step waits for the first.
func TestAnExplanationNamesWhatRunsAndWhatKeepsTheRest(t *testing.T) {
	b := newRig(t)
	b.worker("w1") // holds four tasks
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
	assert.DeepEqual(t, e.Steps[0].Waits, map[taskplan.Reason]int{taskplan.ReasonCapacity: 1})
	assert.Equal(t, len(e.Steps[0].Runs), 4)
	assert.DeepEqual(t, e.Steps[1].After, []int{0})
	_, known = b.core.Explain("j2", b.now)
	assert.Assert(t, !known)
}

// A summary of a cell in trouble must tell which jobs wait, for how long, and how many workers don't
// answer.
func TestASummaryTellsWhatWaitsAndWhoAnswers(t *testing.T) {
	b := newRig(t)
	b.worker("w1") // holds four tasks
	b.worker("w2")
	b.accept("j1", short(8))
	b.answer(b.plan(), OutcomeOK)
	b.accept("j2", short(2))
	b.plan()
	b.now += time.Second - time.Millisecond
	b.core.PollFailed("w2", OutcomeUnknown, b.now)
	s := b.core.Summary(b.now)
	assert.DeepEqual(t, s.Jobs, map[work.State]int{work.Running: 1, work.Queued: 1})
	assert.Equal(t, s.Oldest, time.Second)
	assert.Equal(t, s.Workers, 2)
	assert.Equal(t, s.Busy, 2)
	assert.Equal(t, s.Silent, 1)
	assert.Equal(t, s.Used, 16.0)
	assert.Assert(t, s.Backlog > 0, "%f", s.Backlog)
}
