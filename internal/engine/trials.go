package engine

import (
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/crashes"
	"github.com/pumicestage/pumicestage/policy/work"
)

// suspects counts the step's tasks that wait for a trial.
func (s *step) suspects() int {
	n := 0
	for _, t := range s.tasks {
		if t.state == taskPending && t.suspect() {
			n++
		}
	}
	return n
}

// othersWaitedFor is for how long after other short work waited suspects get no more workers than
// they always do: bursts come with pauses of a moment.
const othersWaitedFor = 3 * time.Second

// wantedForTrials is how many VMs suspects could use. As a backlog they would draw VMs that other
// pools need; while other work waits here they wait.
func (c *Core) wantedForTrials(now time.Duration) int {
	if now < c.othersWaitedAt+othersWaitedFor {
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

// noteOthers notes whether, of the steps that waited before this plan, other short work than
// suspects still does.
func (c *Core) noteOthers(ws []waitingStep, now time.Duration) {
	if slices.ContainsFunc(ws, func(w waitingStep) bool { return !w.step.spec.LongRunning && w.step.suspects() < w.step.pending }) {
		c.othersWaitedAt = now
	}
}

// trialRoom is on how many more workers suspects may be tried.
func (c *Core) trialRoom(now time.Duration) int {
	idle := 0
	if now >= c.othersWaitedAt+othersWaitedFor {
		idle = c.idle(now)
	}
	trying := 0
	for _, w := range c.workers {
		if w.tries((*task).suspect) {
			trying++
		}
	}
	return c.trials.Available(len(c.workers), idle, trying, now)
}

// idle counts the workers that would take a task and have none.
func (c *Core) idle(now time.Duration) int {
	n := 0
	for _, w := range c.workers {
		if len(w.tasks) == 0 && !w.closed(now) {
			n++
		}
	}
	return n
}

// hazards reports whether jobs of any kind crash many workers now.
func (c *Core) hazards(now time.Duration) bool {
	for _, k := range c.kinds {
		if k.Hazardous(now) {
			return true
		}
	}
	return false
}

// freshOn is the job whose tasks have just begun on the worker, if its kind crashes many; empty
// where none have.
func (c *Core) freshOn(w *worker, now time.Duration) work.JobID {
	spacing := c.timesToCrash.JobSpacing()
	for _, t := range w.tasks {
		begun := t.state == taskActive && now >= t.answeredAt+spacing
		if !begun && !t.step.spec.LongRunning && c.kindOf(t.step.job).Hazardous(now) {
			return t.ref.Job
		}
	}
	return ""
}

// tries reports whether one of those tasks is on trial there.
func (w *worker) tries(of func(*task) bool) bool {
	for _, t := range w.tasks {
		if of(t) && w.seenRunning(t) < t.trialDuration {
			return true
		}
	}
	return false
}

func (t *task) suspect() bool { return t.suspected }

// onTrial reports whether it is on its way to the store, or stored, that the task may crash a
// worker, and no run of it has shown otherwise since.
func (t *task) onTrial() bool {
	return t.trial != 0 && (t.worker == nil || t.worker.seenRunning(t) < t.trialDuration)
}

// askTrials has it stored, of the suspects of the step that may start now, that a start of
// them may crash a worker. The owner may be lost beside that worker: were the crash known to
// that owner alone, the task would be started once more by each.
func (c *Core) askTrials(s *step, now time.Duration) {
	for _, t := range s.tasks {
		if t.suspect() && t.trial == 0 && c.isDue(t, now) {
			c.askTrial(t)
		}
	}
}

func (c *Core) askTrial(t *task) {
	j := t.step.job
	j.evidence++
	t.trial = j.evidence
	c.markDirty(j)
}

// mayBeTried reports whether what is known of the task is stored as far as its next start
// needs it.
func (t *task) mayBeTried() bool {
	return !t.suspect() || t.trial != 0 && t.step.job.evidenceStored >= t.trial
}
