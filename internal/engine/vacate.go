package engine

import (
	"time"
)

// vacate stops lasting tasks on workers that are to be emptied, so that they
// start elsewhere, as far as each step's limit on unavailable tasks allows.
func (c *Core) vacate(now time.Duration) {
	for _, w := range c.workers {
		if w.gone || w.missedPolls > 0 || w.cordon.Kind != Vacated && !w.info.Draining {
			continue
		}
		for _, t := range w.tasks {
			if t.state != taskActive || !t.step.spec.LongRunning {
				continue
			}
			if w.info.Draining || c.mayStop(t, now) {
				c.log.Info("lasting task moves", "task", t.ref.String(), "from", w.info.ID, "draining", w.info.Draining)
				t.step.set(t, taskStopping)
			}
		}
	}
}

// mayStop reports whether an order may take the task away. Every other task of
// its step that is not at work for certain counts as away, whatever the cause:
// counting only our own stops would let a failure and an order add up to more
// than the step can bear. There must also be a place to go.
func (c *Core) mayStop(t *task, now time.Duration) bool {
	away := 0
	for _, o := range t.step.tasks {
		if o != t && !o.atWork() {
			away++
		}
	}
	if away >= max(1, t.step.spec.MaxUnavailable) {
		return false
	}
	return c.hasPlace(t, now)
}

// hasPlace reports whether another worker can take the task soon. Short tasks
// are not counted: lasting ones go before them, and get the room of the first
// that ends. Were they counted, a burst that fills the pool would hold up a
// maintenance wave until it is late.
func (c *Core) hasPlace(t *task, now time.Duration) bool {
	if c.roomInDoubt(now) {
		return false
	}
	s := t.step
	on := make(map[*worker]int)
	for _, o := range s.tasks {
		if o.where != nil {
			on[o.where]++
		}
	}
	for _, w := range c.workers {
		if w == t.where || w.closed(now) && !w.full {
			continue
		}
		if s.spec.AntiAffinity > 0 && on[w] >= s.spec.AntiAffinity {
			continue
		}
		if t.reserved().Fits(w.info.Capacity.Minus(w.load.longRunningReserved)) {
			return true
		}
	}
	return false
}
