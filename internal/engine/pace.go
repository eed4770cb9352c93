package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/pacing"
)

// planPaces slows fill tasks where serving ones beside them are over target.
func (c *Core) planPaces(now time.Duration, out *Orders) {
	for _, w := range c.workers {
		if w.gone || w.missed > 0 {
			continue
		}
		load, filling := pacingLoad(w)
		if len(filling) == 0 {
			continue
		}
		for _, t := range filling {
			want := pacing.Next(t.pace, load)
			if want == t.pace || t.paceSentAt != 0 && now < t.paceSentAt+c.paceEvery(want < t.pace) {
				continue
			}
			t.pace, t.paceSentAt = want, now
			out.Paces = append(out.Paces, PaceOrder{Worker: w.info, Task: t.ref, Run: t.run, Percent: want})
		}
	}
}

// paceEvery is the least time between changes of one task's pace: a worker's
// gauge covers half a second, and a change shows after the deployment's delay.
func (c *Core) paceEvery(down bool) time.Duration {
	if down {
		return gaugeSpan + c.bounds.PaceDelay
	}
	return 2 * (gaugeSpan + c.bounds.PaceDelay)
}

// gaugeSpan is what a worker's gauge is taken over.
const gaugeSpan = 500 * time.Millisecond

func pacingLoad(w *worker) (pacing.Load, []*task) {
	var load pacing.Load
	var filling []*task
	for _, t := range w.tasks {
		if t.state != taskActive {
			continue
		}
		if t.step.spec.BestEffort {
			filling = append(filling, t)
		} else if t.step.spec.Serving() && t.serving() {
			tail := time.Duration(t.gauge) * time.Millisecond
			load.WorstTailRatio = max(load.WorstTailRatio, float64(tail)/float64(t.step.spec.TargetTail))
		}
	}
	return load, filling
}
