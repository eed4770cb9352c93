package engine

import (
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/crashes"
	"github.com/pumicestage/pumicestage/policy/work"
)

// suspects counts the step's pending tasks that are suspected of crashing workers.
func (s *step) suspects() int {
	n := 0
	for _, t := range s.tasks {
		if t.state == taskPending && t.suspect() {
			n++
		}
	}
	return n
}

// otherWorkHoldoff is how long after other short work waited suspects still get no extra
// workers for trials: bursts have short pauses.
const otherWorkHoldoff = 3 * time.Second

// vmsForTrials returns how many VMs waiting suspects could use for their trials. Counted as a backlog,
// they would request VMs that other pools need; while other work waits here, they wait.
func (c *Core) vmsForTrials(now time.Duration) int {
	if now < c.othersWaitedAt+otherWorkHoldoff {
		return 0
	}
	suspects := 0
	for _, j := range c.open {
		for _, o := range j.liveOccurrences {
			for _, s := range o.steps {
				if s.pending > 0 && s.ready() && s.suspects() > 0 {
					suspects++
				}
			}
		}
	}
	return crashes.WorkersForSuspects(suspects)
}

// recordOtherWaiting records whether any of the steps that waited before this plan still has
// short tasks waiting that are not suspects.
func (c *Core) recordOtherWaiting(ws []waitingStep, now time.Duration) {
	if slices.ContainsFunc(ws, func(w waitingStep) bool { return !w.step.spec.LongRunning && w.step.suspects() < w.step.pending }) {
		c.othersWaitedAt = now
	}
}

// trialCapacity returns on how many more workers tasks may be started that are suspected of
// crashing their workers; negative if such tasks are on trial on more workers than allowed.
func (c *Core) trialCapacity(now time.Duration) int {
	idle := 0
	if now >= c.othersWaitedAt+otherWorkHoldoff {
		idle = c.idle(now)
	}
	inTrial := 0
	for _, w := range c.workers {
		if w.runsTrial((*task).suspect) {
			inTrial++
		}
	}
	return c.trials.Available(len(c.workers), idle, inTrial, now)
}

// idle counts the workers that have no task and would take one.
func (c *Core) idle(now time.Duration) int {
	n := 0
	for _, w := range c.workers {
		if len(w.tasks) == 0 && !w.closed(now) {
			n++
		}
	}
	return n
}

// anyHazardousKind reports whether jobs of some kind crash many workers now.
func (c *Core) anyHazardousKind(now time.Duration) bool {
	for _, k := range c.kinds {
		if k.Hazardous(now) {
			return true
		}
	}
	return false
}

// recentHazardousJob returns the job whose tasks have just begun on the worker, if its kind
// crashes many workers; empty if there is none.
func (c *Core) recentHazardousJob(w *worker, now time.Duration) work.JobID {
	spacing := c.timesToCrash.JobSpacing()
	for _, t := range w.tasks {
		settledIn := t.state == taskActive && now >= t.answeredAt+spacing
		if !settledIn && !t.step.spec.LongRunning && c.kindOf(t.step.job).Hazardous(now) {
			return t.ref.Job
		}
	}
	return ""
}

// runsTrial reports whether a task that satisfies the condition is on trial on the worker: it has not
// been seen running there for its trialDuration yet.
func (w *worker) runsTrial(condition func(*task) bool) bool {
	for _, t := range w.tasks {
		if condition(t) && w.observedRunTime(t) < t.trialDuration {
			return true
		}
	}
	return false
}

// suspect reports whether the recorded crashes make the task a suspect. Suspects are tried:
// they start on few workers at a time, and their worker takes no other task until they have
// run long enough to be trusted.
func (t *task) suspect() bool { return t.suspected }

// onTrial reports whether the core has recorded, stored or still to be stored, that the task's next
// start may crash a worker, and no run of it has shown otherwise since.
func (t *task) onTrial() bool {
	return t.trial != 0 && (t.worker == nil || t.worker.observedRunTime(t) < t.trialDuration)
}

// requestTrials requests a trial of each suspect of the step that is due to start now, see
// requestTrial.
func (c *Core) requestTrials(s *step, now time.Duration) {
	for _, t := range s.tasks {
		if t.suspect() && t.trial == 0 && c.isDue(t, now) {
			c.requestTrial(t)
		}
	}
}

// requestTrial records that the next start of the task is a trial, which may crash the worker, and
// marks the record to be stored. The task starts only once that is stored (see mayBeTried): the owner
// may be lost together with the worker, and if that owner alone knew of the trial, each successor
// would start the task once more.
func (c *Core) requestTrial(t *task) {
	j := t.step.job
	j.evidence++
	t.trial = j.evidence
	c.markDirty(j)
}

// mayBeTried reports whether what is known of the task's crashes is stored as far as its next
// start requires.
func (t *task) mayBeTried() bool {
	return !t.suspect() || t.trial != 0 && t.step.job.evidenceStored >= t.trial
}
