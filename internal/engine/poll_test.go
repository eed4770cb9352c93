package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Workers leave one order in twenty unanswered. When a lost answer was noticed only after two
// seconds, and the next poll waited as long again, two fifths of a busy cell took no tasks,
// and jobs were late although workers were free. The next poll is answered at once.
func TestAPollIsRepeatedAtOnceAfterALostAnswer(t *testing.T) {
	b := newRig(t)
	b.running(short(1), "w1")
	_, h, due := b.core.NextPoll("w1", b.now)
	assert.Assert(t, due)
	assert.Equal(t, h.Wait, pollWaitShortTasks)
	b.core.PollFailed("w1", OutcomeUnknown, b.now)
	assert.Equal(t, pauseAfterMissed(b.core.workers["w1"].missedPolls, pollWaitMin), time.Duration(0))
	_, h, due = b.core.NextPoll("w1", b.now)
	assert.Assert(t, due)
	assert.Assert(t, h.Wait <= pollWaitMin)
	assert.Equal(t, h.Deadline, time.Duration(0), "a worker that may be silent gets no lease extension")
	b.poll("w1", Listing{Running: []Run{{Task: work.TaskRef{StepRef: work.StepRef{Job: "j1"}}, Run: 1}}})
	assert.Assert(t, !b.core.workers["w1"].closed(b.now), "a worker that answers takes tasks again")
}

// A worker with long-running tasks only is polled once a second, and a silent worker less and
// less often: each poll has a price, and each attempt to reach a silent worker costs a
// connection.
func TestLongRunningWorkAndSilentWorkersArePolledRarely(t *testing.T) {
	b := newRig(t)
	b.running(longRunning(1), "w1")
	_, h, _ := b.core.NextPoll("w1", b.now)
	assert.Equal(t, h.Wait, pollWait)
	assert.Equal(t, pauseAfterMissed(2, 0), initialMissedPause)
	assert.Equal(t, pauseAfterMissed(100, 0), maxMissedPause)
}

// Guards against giving a task to a worker that announced its departure: it would be lost with
// the worker.
func TestALeavingWorkerTakesNothingNew(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	leaving := info("w1")
	leaving.Draining = true
	b.core.WorkerRegistered(leaving)
	b.accept("j1", short(1))
	assert.Equal(t, len(b.plan().Starts), 0)
	b.worker("w2")
	o := b.plan()
	assert.Equal(t, len(o.Starts), 1)
	assert.Equal(t, o.Starts[0].Worker.ID, work.WorkerID("w2"))
}
