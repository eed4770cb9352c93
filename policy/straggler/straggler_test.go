package straggler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The jobs of tasks that stall on a worker with good health reports would never end.
func TestStalledTasksAreDetected(t *testing.T) {
	for _, c := range []struct {
		name string
		task Task
		want bool
	}{
		{"progress a moment ago", Task{Estimate: time.Second, SinceProgress: time.Second, Percent: 40}, false},
		{"none over two polls", Task{Estimate: time.Second, SinceProgress: 2 * time.Second, Percent: 40}, true},
		{"a long task's percent rises slowly", Task{Estimate: time.Minute, SinceProgress: 2 * time.Second, Percent: 40}, false},
		{"at its end", Task{Estimate: time.Second, SinceProgress: time.Minute, Percent: 100}, false},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, Stalled(c.task), c.want) })
	}
}

// Estimates of single tasks are off by any factor. A sound task that takes ten times its
// estimate must not be restarted elsewhere, but one that needs several more seconds must.
func TestSlowRunsAreJudgedBySecondsNotByEstimates(t *testing.T) {
	off := Task{Estimate: 100 * time.Millisecond, Running: time.Second, Percent: 30}
	assert.Assert(t, !RunsSlowly(off))
	slow := Task{Estimate: time.Second, Running: 4 * time.Second, Percent: 30}
	assert.Assert(t, RunsSlowly(slow))
	nearlyDone := Task{Estimate: time.Second, Running: 4 * time.Second, Percent: 80}
	assert.Assert(t, !RunsSlowly(nearlyDone))
}

func TestAWorkerIsCalledSlowAfterSeveralSlowEnds(t *testing.T) {
	var s Slowness
	for range 10 {
		s = s.Observe(time.Second, time.Second)
	}
	s = s.Observe(4*time.Second, time.Second)
	assert.Equal(t, s.Factor(), 1.0, "a single slow task does not make the worker slow")
	for range 5 {
		s = s.Observe(6*time.Second, time.Second)
	}
	assert.Assert(t, s.Factor() > 3)
}
