package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/straggler"
)

// stragglers stops what stands still or crawls, so that it starts elsewhere.
func (c *Core) stragglers(now time.Duration) {
	for _, w := range c.workers {
		if w.gone || w.missedPolls > 0 {
			continue
		}
		for _, t := range w.tasks {
			if t.state != taskActive || t.step.spec.LongRunning || t.step.spec.Gang || t.step.spec.BestEffort {
				continue
			}
			if t.listedAt > t.answered {
				c.judge(w, t, now)
			}
		}
	}
}

func (c *Core) judge(w *worker, t *task, now time.Duration) {
	run := c.progressOf(t)
	if straggler.Stalled(run) {
		w.failures.recordFailure(t.ref.Job, now)
		c.abandon(t, w, "stands still", run)
		return
	}
	if straggler.RunsSlowly(run) && c.hasPlace(t, now) {
		w.slowness = w.slowness.Observe(run.Running*fullPercent/time.Duration(max(1, run.Percent)), run.Estimate)
		c.abandon(t, w, "crawls", run)
	}
}

// progressOf describes the task as the last poll showed it: its percentage is of
// then, and may be a second old.
func (c *Core) progressOf(t *task) straggler.Task {
	return straggler.Task{
		Estimate: c.learned.estimate(t.step), Running: t.listedAt - t.answered, SinceProgress: t.listedAt - t.movedAt, Percent: t.percent,
	}
}

func (c *Core) abandon(t *task, w *worker, why string, run straggler.Task) {
	c.log.Info("run abandoned", "task", t.ref.String(), "run", t.run, "worker", w.info.ID, "reason", why,
		"percent", run.Percent, "running", run.Running.String(), "estimate", run.Estimate.String())
	t.avoid = append(t.avoid, w.info.ID)
	t.step.set(t, taskStopping)
}
