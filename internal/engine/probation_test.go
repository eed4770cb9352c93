package engine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// soleWorker is the only worker of a rig. It runs what it is told to, until the test ends runs.
type soleWorker struct {
	*rig
	running []StartOrder
	ends    int64
}

// newSoleWorker returns a worker that runs a long-running task of job "lasting".
func newSoleWorker(t *testing.T) *soleWorker {
	w := &soleWorker{rig: newRig(t)}
	w.worker("w1")
	w.accept("lasting", longRunning(1))
	w.start()
	assert.Equal(t, len(w.running), 1)
	w.answerPoll()
	return w
}

// start makes a plan and has its starts carried out, which it returns.
func (w *soleWorker) start() []StartOrder {
	o := w.plan()
	w.answer(o, OutcomeOK)
	w.running = append(w.running, o.Starts...)
	return o.Starts
}

// answerPoll has the worker list what runs and the given ends.
func (w *soleWorker) answerPoll(ends ...RunEnd) {
	var l Listing
	for _, s := range w.running {
		r := run(s)
		r.Percent = fullPercent
		l.Running = append(l.Running, r)
	}
	l.Ended = ends
	w.poll("w1", l)
	w.flush()
}

// end ends the runs of the job's tasks and returns how many.
func (w *soleWorker) end(id work.JobID, how work.End) int {
	var left []StartOrder
	var ends []RunEnd
	for _, s := range w.running {
		if s.Start.Task.Job != id {
			left = append(left, s)
			continue
		}
		w.ends++
		ends = append(ends, ended(w.ends, s, how))
	}
	w.running = left
	w.answerPoll(ends...)
	return len(ends)
}

// pass lets the time pass, with a plan and a poll every 100 ms, and returns the starts.
func (w *soleWorker) pass(d time.Duration) (starts []StartOrder) {
	for until := w.now + d; w.now < until; {
		w.now += 100 * time.Millisecond
		starts = append(starts, w.start()...)
		w.answerPoll()
	}
	return starts
}

// failTwoJobs has three runs of two jobs fail, which puts the worker on probation.
func (w *soleWorker) failTwoJobs() {
	w.accept("bad1", short(2))
	w.accept("bad2", short(1))
	assert.Equal(w.t, len(w.start()), 3)
	w.now += 100 * time.Millisecond
	w.end("bad1", work.Faulted)
	w.end("bad2", work.Faulted)
	assert.Equal(w.t, len(w.start()), 0, "paused")
}

// Guards against work that waits for good: a long-running task took the only place for a trial on a
// worker on which runs had failed, and it never ends as done.
func TestALongRunningTaskLeavesRoomForATrial(t *testing.T) {
	w := newSoleWorker(t)
	w.failTwoJobs()
	w.accept("sound", short(2))
	trial := w.pass(workerFailurePause + 200*time.Millisecond)
	assert.Equal(t, len(trial), 1)
	assert.Equal(t, trial[0].Start.Task.Job, work.JobID("sound"), "a failure of a task that failed before would say little")
	w.end("sound", work.Done)
	assert.Equal(t, len(w.start()), 3, "the probation is over")
}

// Guards against long-running tasks that aren't restarted: failures that lay hours apart counted as
// consecutive, as no long-running task ends as done.
func TestFailuresOfLongRunningTasksFarApartDoNotAddUp(t *testing.T) {
	w := newSoleWorker(t)
	w.accept("other", longRunning(1))
	w.start()
	for _, id := range []work.JobID{"lasting", "other", "lasting", "other"} {
		w.pass(time.Minute)
		assert.Equal(t, w.end(id, work.Faulted), 1)
		assert.Equal(t, len(w.pass(2*time.Second)), 1, "no pause, as the other one has stayed at work")
	}
}

// Guards against long-running tasks that wait for good after several of them failed at once.
func TestLongRunningTasksAreRestartedAfterTheyFailedTogether(t *testing.T) {
	w := newSoleWorker(t)
	ids := []work.JobID{"lasting", "l2", "l3", "l4"}
	for _, id := range ids[1:] {
		w.accept(id, longRunning(1))
	}
	w.pass(time.Minute)
	for _, id := range ids {
		assert.Equal(t, w.end(id, work.Faulted), 1)
	}
	w.pass(workerFailurePause + maxTrialTime + time.Second)
	assert.Equal(t, len(w.running), len(ids))
}

// Guards against a worker that fails every short task and gets them again and again, since a
// long-running task works there: that proves nothing for short ones.
func TestAWorkerThatFailsAllShortTasksGetsOneInEachPause(t *testing.T) {
	w := newSoleWorker(t)
	w.failTwoJobs()
	w.accept("later", longRunning(1))
	for i := range 60 {
		w.accept(work.JobID(fmt.Sprintf("s%02d", i)), short(1))
	}
	const duration = time.Minute
	failed := 0
	for until := w.now + duration; w.now < until; {
		atOnce := 0
		for _, s := range w.pass(100 * time.Millisecond) {
			if id := s.Start.Task.Job; id != "later" {
				atOnce++
				failed += w.end(id, work.Faulted)
			}
		}
		assert.Assert(t, atOnce <= 1, "%d at a time", atOnce)
	}
	assert.Assert(t, failed > 0)
	assert.Assert(t, failed <= int(duration/workerFailurePause), "%d failed", failed)
}

// Guards against work that waits for the end of a trial that takes very long.
func TestATrialThatOutlastsTheFailedRunsMakesRoomForTheNext(t *testing.T) {
	w := newSoleWorker(t)
	w.failTwoJobs()
	w.accept("slow1", short(1))
	w.accept("slow2", short(1))
	assert.Equal(t, len(w.pass(workerFailurePause+200*time.Millisecond)), 1)
	assert.Equal(t, len(w.pass(minTrialTime-200*time.Millisecond)), 0)
	assert.Equal(t, len(w.pass(500*time.Millisecond)), 1)
}

// Guards against gangs that wait for good: each member counted as a trial of its own.
func TestAGangIsOneTrial(t *testing.T) {
	w := newSoleWorker(t)
	w.failTwoJobs()
	gang := short(3)
	gang.Gang = true
	w.accept("gang", gang)
	assert.Equal(t, len(w.pass(workerFailurePause+200*time.Millisecond)), 3)
	w.accept("next", short(1))
	assert.Equal(t, len(w.pass(minTrialTime/2)), 0)
}
