package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/straggler"
)

// stopStragglers stops what stands still or crawls, so that it starts elsewhere.
func (c *Core) stopStragglers(now time.Duration) {
	for _, w := range c.workers {
		if w.gone || w.missed > 0 {
			continue
		}
		for _, t := range w.tasks {
			if t.state != taskActive || t.step.spec.LongRunning || t.step.spec.Gang || t.step.spec.BestEffort {
				continue
			}
			if t.listedAt > t.answeredAt {
				c.checkProgress(w, t, now)
			}
		}
	}
}

func (c *Core) checkProgress(w *worker, t *task, now time.Duration) {
	run := c.progress(t)
	if straggler.Stalled(run) {
		w.strikes.failure(t.ref.Job, now)
		c.abandon(t, w, "stands still", run)
		return
	}
	if straggler.RunsSlowly(run) && c.canBePlaced(t, now) {
		w.slowness = w.slowness.Observe(run.Running*fullPercent/time.Duration(max(1, run.Percent)), run.Estimate)
		c.abandon(t, w, "crawls", run)
	}
}

// progress describes the task as the last poll showed it: its percentage is of
// then, and may be a second old.
func (c *Core) progress(t *task) straggler.Task {
	return straggler.Task{
		Estimate: c.durationRatios.estimate(t.step), Running: t.listedAt - t.answeredAt, SinceProgress: t.listedAt - t.progressedAt, Percent: t.percent,
	}
}

func (c *Core) abandon(t *task, w *worker, why string, run straggler.Task) {
	c.log.Info("run abandoned", "task", t.ref.String(), "run", t.run, "worker", w.info.ID, "reason", why,
		"percent", run.Percent, "running", run.Running.String(), "estimate", run.Estimate.String())
	t.avoid = append(t.avoid, w.info.ID)
	t.step.set(t, taskStopping)
}
