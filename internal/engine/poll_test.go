package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Workers leave one order in twenty unanswered. A poll that waits for an end was missed
// only after two seconds, and the next one waited as long again: two fifths of a busy cell
// took no tasks, and jobs were late with workers free. The next poll is answered at once.
func TestALostAnswerIsAskedForAgainAtOnce(t *testing.T) {
	b := newRig(t)
	b.running(short(1), "w1")
	_, h, due := b.core.HoldFor("w1", b.now)
	assert.Assert(t, due)
	assert.Equal(t, h.Wait, pollWaitShort)
	b.core.HoldFailed("w1", OutcomeUnknown, b.now)
	assert.Equal(t, pauseAfter(b.core.workers["w1"].missed, pollSoon), time.Duration(0))
	_, h, due = b.core.HoldFor("w1", b.now)
	assert.Assert(t, due)
	assert.Assert(t, h.Wait <= pollSoon)
	assert.Equal(t, h.Deadline, time.Duration(0), "a worker that may be silent gets no more time")
	b.poll("w1", Listing{Running: []Run{{Task: work.TaskRef{StepRef: work.StepRef{Job: "j1"}}, Run: 1}}})
	assert.Assert(t, !b.core.workers["w1"].closed(b.now), "one that lives takes tasks again")
}

// What runs on for hours is looked at once a second, and a worker that stays silent less and
// less often: each look has a price, each try of a silent worker a connection.
func TestPollsOfLastingWorkAndOfSilentWorkersAreFew(t *testing.T) {
	b := newRig(t)
	b.running(longRunning(1), "w1")
	_, h, _ := b.core.HoldFor("w1", b.now)
	assert.Equal(t, h.Wait, pollWait)
	assert.Equal(t, pauseAfter(2, 0), failedPause)
	assert.Equal(t, pauseAfter(100, 0), mostFailedPause)
}

// A worker says that it leaves and is given a task, which dies with it.
func TestALeavingWorkerTakesNothingNew(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	leaving := info("w1")
	leaving.Draining = true
	b.core.WorkerSeen(leaving)
	b.accept("j1", short(1))
	assert.Equal(t, len(b.plan().Starts), 0)
	b.worker("w2")
	o := b.plan()
	assert.Equal(t, len(o.Starts), 1)
	assert.Equal(t, o.Starts[0].Worker.ID, work.WorkerID("w2"))
}
