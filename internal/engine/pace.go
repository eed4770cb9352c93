package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/pacing"
)

// planPacing slows best-effort tasks down where serving tasks beside them miss their latency
// target.
func (c *Core) planPacing(now time.Duration, out *Orders) {
	for _, w := range c.workers {
		if w.gone || w.missedPolls > 0 {
			continue
		}
		load, bestEffort := pacingLoad(w)
		if len(bestEffort) == 0 {
			continue
		}
		for _, t := range bestEffort {
			want := pacing.Next(t.pace, load)
			if want == t.pace || t.paceSentAt != 0 && now < t.paceSentAt+c.minPaceInterval(want < t.pace) {
				continue
			}
			t.pace, t.paceSentAt = want, now
			out.Paces = append(out.Paces, PaceOrder{Worker: w.info, Task: t.ref, Run: t.run, Percent: want})
		}
	}
}

// minPaceInterval returns the minimum time between changes of one task's pace: a worker's
// gauge covers half a second, and a change shows after the deployment's delay.
func (c *Core) minPaceInterval(down bool) time.Duration {
	if down {
		return gaugeWindow + c.bounds.PaceDelay
	}
	return 2 * (gaugeWindow + c.bounds.PaceDelay)
}

// gaugeWindow is the time that a worker's gauge covers.
const gaugeWindow = 500 * time.Millisecond

// pacingLoad returns how far the serving tasks of the worker are from their latency targets,
// and its best-effort tasks.
func pacingLoad(w *worker) (pacing.Load, []*task) {
	var load pacing.Load
	var bestEffort []*task
	for _, t := range w.tasks {
		if t.state != taskActive {
			continue
		}
		if t.step.spec.BestEffort {
			bestEffort = append(bestEffort, t)
		} else if t.step.spec.Serving() && t.serving() {
			tail := time.Duration(t.gauge) * time.Millisecond
			load.WorstTailRatio = max(load.WorstTailRatio, float64(tail)/float64(t.step.spec.TargetTail))
		}
	}
	return load, bestEffort
}
