// Package straggler tells tasks that stand still and workers that are slow from
// what workers list, while their health reports stay good.
//
// Load pattern: a worker turns slow, or what it runs stands still, and it goes on
// reporting good health. Its tasks never end, or end many times late: with them
// their steps, jobs and the maintenance of the VM wait, and as the worker looks
// no busier than others it is given more.
package straggler

import "time"

const (
	// stillFor is how long a task's progress may stand still. Workers are looked
	// at every second at least, so two looks must have shown the same.
	stillFor = 1600 * time.Millisecond
	// stillShare covers long tasks, whose percentage rises slowly: a hundredth
	// of the estimate shows as one percent, estimates are off by a factor of
	// two or three.
	stillShare = 0.05
	// learnShare is the weight of the newest end in a worker's slowness.
	learnShare = 0.3
	// slowFrom is the slowness from which a worker is called slow: tasks of one
	// step differ by half as it is.
	slowFrom = 2.0
	// crawlFrom is how long a task must have run, and at its present speed still
	// has to run, before it is started elsewhere. Estimates of single tasks are
	// off by any factor, so they prove nothing; the longest sound tasks take five
	// seconds in all.
	crawlFrom = 3 * time.Second
	// crawlGain is how many times its estimate a task must have left.
	crawlGain = 2.0
)

// Task is a running task.
type Task struct {
	Estimate      time.Duration // as learned
	Running       time.Duration // since its start
	SinceProgress time.Duration // since its percentage last rose
	Percent       int
}

// Stalled reports whether the task makes no progress.
func Stalled(t Task) bool {
	limit := max(stillFor, time.Duration(stillShare*float64(t.Estimate)))
	return t.Percent < 100 && t.SinceProgress >= limit
}

// Slowness is how much longer than estimated a worker's tasks take; 0 is unknown.
type Slowness float64

// Observe takes the end of a task over.
func (s Slowness) Observe(took, estimate time.Duration) Slowness {
	if estimate <= 0 {
		return s
	}
	ratio := Slowness(float64(took) / float64(estimate))
	if s == 0 {
		return ratio
	}
	return s + learnShare*(ratio-s)
}

// Factor is by how much a plan should think the worker slower than its peers.
func (s Slowness) Factor() float64 {
	if s < slowFrom {
		return 1
	}
	return float64(s)
}

// RunsSlowly reports whether a task is done sooner by a fresh run on a worker of
// usual speed.
func RunsSlowly(t Task) bool {
	if t.Running < crawlFrom || t.Percent >= 100 {
		return false
	}
	left := time.Duration(float64(t.Running) * float64(100-t.Percent) / float64(max(1, t.Percent)))
	return left >= crawlFrom && float64(left) > crawlGain*float64(t.Estimate)
}
