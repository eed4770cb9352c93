package engine

import (
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Thresholds on failed runs. A worker that fails what it starts looks idle and would get every
// waiting task of the pool, and each failure costs a job one of its few attempts.
const (
	minFailuresToPause   = 3 // failed runs, without proof that the worker is sound in between
	minFailedJobsToPause = 2 // jobs that they must come from: one job that always fails proves nothing
	workerFailurePause   = 3 * time.Second
)

// A worker on probation takes one trial at a time. A run ceases to be a trial once it has lasted
// trialTimeFactor times as long as the longest failed run, within these limits.
const (
	trialTimeFactor = 2
	minTrialTime    = 1 * time.Second
	// maxTrialTime bounds how long a task waits behind the trial of another one.
	maxTrialTime = 5 * time.Second
)

// workerFailures describes a worker's failed runs since it last proved to be sound. Runs of
// long-running tasks don't end as done: one that stays at work proves the worker sound for such
// tasks only, as they may work on a worker that fails all short ones.
type workerFailures struct {
	short, longRunning failedRuns
	until              time.Duration // the worker takes no new tasks before
	probation          bool
	probationFrom      time.Duration // when probation began
}

// failedRuns summarizes failed runs of one kind.
type failedRuns struct {
	count   int
	jobs    []work.JobID
	longest time.Duration // run time of the one that lasted longest
	last    time.Duration // when the last one failed
}

func (r *failedRuns) add(id work.JobID, lasted, now time.Duration) {
	r.count++
	if !slices.Contains(r.jobs, id) {
		r.jobs = append(r.jobs, id)
	}
	r.longest, r.last = max(r.longest, lasted), now
}

// record counts a run of the task that failed after it had lasted so long. It reports whether the
// worker is paused: the thresholds are reached, or the worker is on probation.
func (f *workerFailures) record(t *task, lasted, now time.Duration) (paused bool) {
	if t.step.spec.LongRunning {
		f.longRunning.add(t.ref.Job, lasted, now)
	} else {
		f.short.add(t.ref.Job, lasted, now)
	}
	if !f.probation && !f.suffice() {
		return false
	}
	if !f.probation {
		f.probation, f.probationFrom = true, now
	}
	f.until = now + workerFailurePause
	return true
}

// suffice reports whether the thresholds on failed runs are reached.
func (f *workerFailures) suffice() bool {
	jobs := len(f.short.jobs)
	for _, id := range f.longRunning.jobs {
		if !slices.Contains(f.short.jobs, id) {
			jobs++
		}
	}
	return f.short.count+f.longRunning.count >= minFailuresToPause && jobs >= minFailedJobsToPause
}

// trialTime returns how long a run must last after failed runs the longest of which lasted so long.
func trialTime(longestFailed time.Duration) time.Duration {
	return min(max(trialTimeFactor*longestFailed, minTrialTime), maxTrialTime)
}

// mayStart returns how many tasks may start on the worker now as trials; negative: any number.
func (w *worker) mayStart() int {
	f := &w.failures
	if !f.probation {
		return -1
	}
	needed := trialTime(max(f.short.longest, f.longRunning.longest))
	for _, t := range w.tasks {
		if t.orderedAt >= f.probationFrom && w.observedRunTime(t) < needed {
			return 0
		}
	}
	return 1
}

// recordFailure counts a failed run of the task, which had lasted so long, against the worker.
func (c *Core) recordFailure(w *worker, t *task, lasted, now time.Duration) {
	f := &w.failures
	if f.record(t, lasted, now) {
		c.log.Info("worker paused after failed runs", "worker", w.info.ID, "task", t.ref.String(), "lasted", lasted.String(),
			"failures", f.short.count, "of long-running tasks", f.longRunning.count, "tasks", len(w.tasks), "pause", workerFailurePause.String())
	}
}

// recordSuccess records that the worker has completed a task, which ends its probation.
func (c *Core) recordSuccess(w *worker) {
	if w.failures.probation {
		c.log.Info("probation of worker ends", "worker", w.info.ID, "proof", "task done")
	}
	w.failures = workerFailures{}
}

// observeLongRunning forgets failures of long-running tasks on the worker once one that started
// after them has stayed at work. That ends probation unless short tasks alone have failed often
// enough.
func (c *Core) observeLongRunning(w *worker) {
	f := &w.failures
	if f.longRunning.count == 0 {
		return
	}
	for _, t := range w.tasks {
		if !t.step.spec.LongRunning || t.state != taskActive || t.percent < fullPercent || t.orderedAt <= f.longRunning.last ||
			w.observedRunTime(t) < trialTime(f.longRunning.longest) {
			continue
		}
		f.longRunning = failedRuns{}
		if f.probation && !f.suffice() {
			c.log.Info("probation of worker ends", "worker", w.info.ID, "proof", t.ref.String())
			f.probation, f.until = false, 0
		}
		return
	}
}

// runTime returns how long the task's present run has lasted; 0 if it is not known to have begun.
func (t *task) runTime(now time.Duration) time.Duration {
	if t.answeredAt == 0 {
		return 0
	}
	return max(0, now-t.answeredAt) + t.ranBefore
}
