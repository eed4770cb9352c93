package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/straggler"
)

// stopStragglers stops runs that are stalled or run slowly, so that their tasks start on another
// worker. Long-running and best-effort tasks and gangs are exempt, and so are workers that did not
// answer the last poll.
func (c *Core) stopStragglers(now time.Duration) {
	for _, w := range c.workers {
		if w.gone || w.missedPolls > 0 {
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

// checkProgress stops the run if it is stalled, or if it runs slowly and can be placed elsewhere. A
// stalled run counts as a failure of its worker, a slow one in the worker's estimated slowness.
func (c *Core) checkProgress(w *worker, t *task, now time.Duration) {
	run := c.progress(t)
	if straggler.Stalled(run) {
		c.recordFailure(w, t, run.Running, now)
		c.abandon(t, w, "stands still", run)
		return
	}
	if straggler.RunsSlowly(run) && c.canBePlaced(t, now) {
		w.slowness = w.slowness.Observe(run.Running*fullPercent/time.Duration(max(1, run.Percent)), run.Estimate)
		c.abandon(t, w, "crawls", run)
	}
}

// progress returns the run's progress as of the last poll that reported it, which may be a second
// old.
func (c *Core) progress(t *task) straggler.Task {
	return straggler.Task{
		Estimate: c.durationRatios.estimate(t.step), Running: t.listedAt - t.answeredAt, SinceProgress: t.listedAt - t.progressedAt, Percent: t.percent,
	}
}

// abandon stops the run and keeps the task off its worker from now on.
func (c *Core) abandon(t *task, w *worker, why string, run straggler.Task) {
	c.log.Info("run abandoned", "task", t.ref.String(), "run", t.run, "worker", w.info.ID, "reason", why,
		"percent", run.Percent, "running", run.Running.String(), "estimate", run.Estimate.String())
	t.avoid = append(t.avoid, w.info.ID)
	t.step.set(t, taskStopping)
}
