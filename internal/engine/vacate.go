package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/work"
)

// vacate stops long-running tasks on workers that are to be emptied, so that they start elsewhere.
// On draining workers it stops all of them, on others only as many as each step's limit on
// unavailable tasks allows.
func (c *Core) vacate(now time.Duration) {
	for _, w := range c.workers {
		if w.gone || w.missedPolls > 0 || w.cordon.Kind != CordonVacate && !w.info.Draining {
			continue
		}
		for _, t := range w.tasks {
			if t.state != taskActive || !t.step.spec.LongRunning {
				continue
			}
			if !w.info.Draining && !c.stopAllowed(t, now) {
				continue
			}
			place, labels := work.WorkerID(""), []string(nil)
			if to := c.possiblePlace(t, now); to != nil {
				place, labels = to.info.ID, to.info.Labels
			}
			c.log.Info("moving long-running task", "task", t.ref.String(), "from", w.info.ID, "draining", w.info.Draining,
				"possible worker", place, "labels", labels, "requires", t.step.spec.Requires)
			t.step.set(t, taskStopping)
		}
	}
}

// stopAllowed reports whether the task may be stopped to move it. Every other task of its step that
// is not certain to be serving counts as unavailable, whatever the cause: if only the stops of this
// owner counted, a failure and a move together could exceed the step's limit. The task must also
// have a place to go to.
func (c *Core) stopAllowed(t *task, now time.Duration) bool {
	away := 0
	for _, o := range t.step.tasks {
		if o != t && !o.serving() {
			away++
		}
	}
	if away >= max(1, t.step.spec.MaxUnavailable) {
		return false
	}
	return c.canBePlaced(t, now)
}

// canBePlaced reports whether another worker can take the task soon.
func (c *Core) canBePlaced(t *task, now time.Duration) bool { return c.possiblePlace(t, now) != nil }

// possiblePlace returns a worker that can take the task soon in place of its own; nil if there is
// none. Capacity that short tasks use counts as free for long-running ones, which are placed first
// and get the capacity of the first short task that ends. Otherwise a burst of short tasks that
// fills the pool would delay a maintenance wave until it is late.
func (c *Core) possiblePlace(t *task, now time.Duration) *worker {
	if c.capacityUncertain(now) {
		return nil
	}
	s := t.step
	on := make(map[*worker]int)
	for _, o := range s.tasks {
		if o.worker != nil {
			on[o.worker]++
		}
	}
	for _, w := range c.workers {
		if w == t.worker || w.closed(now) && !w.full {
			continue
		}
		if s.spec.AntiAffinity > 0 && on[w] >= s.spec.AntiAffinity {
			continue
		}
		if t.reserved().Fits(w.info.Capacity.Minus(w.load.longRunningReserved)) {
			return w
		}
	}
	return nil
}
