// Package straggler detects stalled tasks and slow workers from the progress that workers
// list. Health reports don't show either.
//
// Load pattern: a worker becomes slow, or its tasks stall, while it still reports good
// health. Its tasks never end, or take many times as long as usual. Their steps, their jobs
// and the maintenance of the VM wait for them, and since the worker looks no busier than
// others it is given more.
package straggler

import "time"

const (
	// minStall is how long a task must be without progress to count as stalled. Workers are
	// polled at least every second, so at least two polls have shown the same percentage.
	minStall = 1600 * time.Millisecond
	// stallShare is the part of a task's estimate for which it may be without progress. It is
	// for long tasks, whose percentage rises slowly: one percent takes a hundredth of the
	// estimate, and estimates are off by a factor of two or three.
	stallShare = 0.05
	// newestWeight is the weight of the newest task in a worker's slowness.
	newestWeight = 0.3
	// slowFrom is the slowness from which on a worker counts as slow. The durations of tasks of
	// one step differ by half even on healthy workers.
	slowFrom = 2.0
	// minSlowTime is how long a task must have run, and must still have to run at its present
	// speed, before it is started elsewhere. It isn't relative to the estimate because
	// estimates of single tasks are off by any factor; the longest sound tasks take five seconds
	// in all.
	minSlowTime = 3 * time.Second
	// minSlowRatio is how many times its estimate a task must still have to run before it is
	// started elsewhere.
	minSlowRatio = 2.0
)

// Task is the progress of a running task.
type Task struct {
	Estimate      time.Duration // expected duration, as learned from earlier tasks
	Running       time.Duration // time since its start
	SinceProgress time.Duration // time since its percentage last rose
	Percent       int
}

// Stalled reports whether the task makes no progress. A task at 100 percent is never stalled.
func Stalled(t Task) bool {
	limit := max(minStall, time.Duration(stallShare*float64(t.Estimate)))
	return t.Percent < 100 && t.SinceProgress >= limit
}

// Slowness is a moving average of how many times their estimate a worker's tasks take. 0 means
// unknown.
type Slowness float64

// Observe returns the slowness updated with the duration of one more task. A task without an
// estimate changes nothing.
func (s Slowness) Observe(took, estimate time.Duration) Slowness {
	if estimate <= 0 {
		return s
	}
	ratio := Slowness(float64(took) / float64(estimate))
	if s == 0 {
		return ratio
	}
	return s + newestWeight*(ratio-s)
}

// Factor returns how many times slower than its peers a worker is assumed to be when tasks are
// placed. It is 1 below slowFrom.
func (s Slowness) Factor() float64 {
	if s < slowFrom {
		return 1
	}
	return float64(s)
}

// RunsSlowly reports whether the task would be completed sooner by a new run on a worker of
// usual speed.
func RunsSlowly(t Task) bool {
	if t.Running < minSlowTime || t.Percent >= 100 {
		return false
	}
	left := time.Duration(float64(t.Running) * float64(100-t.Percent) / float64(max(1, t.Percent)))
	return left >= minSlowTime && float64(left) > minSlowRatio*float64(t.Estimate)
}
