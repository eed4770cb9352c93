package engine

import (
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
)

// vacate stops long-running tasks on workers that are to be emptied, so that they start elsewhere.
// On draining workers it stops all of them, on others only as many as each step's limit on
// unavailable tasks allows.
func (c *Core) vacate(now time.Duration, out *Orders) {
	for _, w := range c.workers {
		if w.gone || w.missedPolls > 0 || w.cordon.Kind != CordonVacate && !w.info.Draining {
			continue
		}
		for _, t := range w.tasks {
			if t.state != taskActive || !t.step.spec.LongRunning {
				continue
			}
			if !w.info.Draining && !c.stopAllowed(t) {
				continue
			}
			place := c.possiblePlace(t, now)
			if !w.info.Draining && place == nil {
				c.askAdviceForMove(t, now, out)
				continue
			}
			c.stopForMove(t, place)
		}
		c.stopBound(w, now)
	}
}

// stopForMove marks the task to be stopped; place is a worker that could take it, or nil.
func (c *Core) stopForMove(t *task, place *worker) {
	id, labels := work.WorkerID(""), []string(nil)
	if place != nil {
		id, labels = place.info.ID, place.info.Labels
	}
	c.log.Info("moving long-running task", "task", t.ref.String(), "from", t.worker.info.ID, "draining", t.worker.info.Draining,
		"possible worker", id, "labels", labels, "requires", t.step.spec.Requires)
	t.step.set(t, taskStopping)
}

// labelledVMPatience is how long a VM with a label that long-running tasks require is waited for when
// their worker is to be emptied. It is requested meanwhile, see missingVMs.
const labelledVMPatience = 4 * time.Second

// stopBound stops all tasks of a worker that is to be emptied if no other worker could take any of them,
// and their steps' limits allow them to be unavailable together. They start again on the worker's
// next incarnation.
func (c *Core) stopBound(w *worker, now time.Duration) {
	if w.cordon.Kind != CordonVacate || len(w.tasks) == 0 || len(w.orphanedRuns) > 0 || c.capacityUncertain(now) {
		return
	}
	for _, t := range w.tasks {
		if t.state != taskActive || !t.step.spec.LongRunning || !c.bound(t, now) || !t.step.mayLose(w) {
			return
		}
	}
	for _, t := range w.tasks {
		c.stopForMove(t, nil)
	}
}

// bound reports whether the task requires a label and no other worker of the cell could take it if it
// were open, and none has come although the task's worker is to be emptied for labelledVMPatience.
func (c *Core) bound(t *task, now time.Duration) bool {
	if t.step.spec.Requires == "" || t.worker.vacateSince == 0 || now < t.worker.vacateSince+labelledVMPatience {
		return false
	}
	on := t.step.tasksOnWorkers()
	for _, w := range c.workers {
		if t.couldMoveTo(w, on) {
			return false
		}
	}
	return true
}

func (w *worker) hasLabel(label string) bool { return slices.Contains(w.info.Labels, label) }

// maxUnavailable returns how many tasks of the step may be unavailable at a time.
func (s *step) maxUnavailable() int { return max(1, s.spec.MaxUnavailable) }

// mayLose reports whether all tasks of the step on the worker may be unavailable together, beside
// those that are unavailable now.
func (s *step) mayLose(w *worker) bool {
	n := 0
	for _, t := range s.tasks {
		if t.worker == w || !t.serving() {
			n++
		}
	}
	return n <= s.maxUnavailable()
}

// pinned reports whether the worker can't be emptied: more tasks of a step can run only on it than
// may be unavailable at a time.
func (c *Core) pinned(w *worker, now time.Duration) bool {
	var counts map[*step]int
	for _, t := range w.tasks {
		if !t.step.spec.LongRunning || t.step.spec.Requires == "" || !c.bound(t, now) {
			continue
		}
		if counts == nil {
			counts = make(map[*step]int)
		}
		counts[t.step]++
		if counts[t.step] > t.step.maxUnavailable() {
			return true
		}
	}
	return false
}

// wantedPatience is how long tasks wait that only a cordoned worker could take until the cordon has
// to be removed. A VM that is moved to the pool arrives within this time.
const wantedPatience = 2500 * time.Millisecond

// observeWanted records which workers that are to be emptied could take a task that no other worker
// takes: a waiting one, or one that is to leave its worker. It is called after the plan has placed what
// it could.
func (c *Core) observeWanted(ws []waitingStep, workers []*taskplan.Worker, now time.Duration) {
	for _, w := range c.workers {
		if w.cordon.Kind != CordonVacate || c.startsDeferred || c.capacityUncertain(now) {
			w.wantedSince = 0
			continue
		}
		waiting := func(v waitingStep) bool { return c.wants(v.step, w, workers, now) }
		switch {
		case !slices.ContainsFunc(ws, waiting) && !c.wantedForMove(w, now):
			w.wantedSince = 0
		case w.wantedSince == 0:
			w.wantedSince = now
		}
	}
}

// wantedForMove reports whether a task that requires a label can leave its worker, which is to be
// emptied, only for w, which is to be emptied as well. Of such workers the first by ID is emptied
// first.
func (c *Core) wantedForMove(w *worker, now time.Duration) bool {
	for _, o := range c.workers {
		if o.cordon.Kind != CordonVacate || o.info.ID >= w.info.ID {
			continue
		}
		for _, t := range o.tasks {
			if t.state == taskActive && t.step.spec.LongRunning && t.step.spec.Requires != "" && t.couldMoveTo(w, t.step.tasksOnWorkers()) && !c.canBePlaced(t, now) {
				return true
			}
		}
	}
	return false
}

// wants reports whether a due task of the step could start on the cordoned worker, and nowhere else:
// a long-running one that has not been placed, or another one that requires a label which only
// cordoned workers have.
func (c *Core) wants(s *step, w *worker, workers []*taskplan.Worker, now time.Duration) bool {
	label := s.spec.Requires
	if s.pending == 0 || !s.spec.LongRunning && label == "" || c.waitsForLimit(s) {
		return false
	}
	if label != "" && !w.hasLabel(label) || !s.approvedOn(w) {
		return false
	}
	if !s.spec.LongRunning {
		for _, o := range c.workers {
			if o.hasLabel(label) && !o.cordon.Closes() && !o.info.Draining {
				return false
			}
		}
	}
	if !s.reserved().Fits(w.info.Capacity.Minus(w.load.reserved)) {
		return false
	}
	ps := c.planStep(s, workers, now)
	if ps == nil || slices.ContainsFunc(ps.Tasks, func(t taskplan.Task) bool { return t.Suspect }) {
		return false
	}
	return s.spec.AntiAffinity == 0 || ps.OnWorker[w.info.ID] < s.spec.AntiAffinity
}

// cordonBlocked reports whether a cordon of the worker does not lead to its maintenance, or keeps
// tasks from running that could run nowhere else.
func (c *Core) cordonBlocked(w *worker, now time.Duration) bool {
	return w.wantedSince != 0 && now >= w.wantedSince+wantedPatience || c.pinned(w, now)
}

// stopAllowed reports whether the task may be stopped to move it. Every other task of its step that
// is not certain to be serving counts as unavailable, whatever the cause: if only the stops of this
// owner counted, a failure and a move together could exceed the step's limit.
func (c *Core) stopAllowed(t *task) bool {
	away := 0
	for _, o := range t.step.tasks {
		if o != t && !o.serving() {
			away++
		}
	}
	return away < t.step.maxUnavailable()
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
	on := t.step.tasksOnWorkers()
	for _, w := range c.workers {
		if w.closed(now) && !w.full || w.mayStart() == 0 {
			continue
		}
		if t.couldMoveTo(w, on) {
			return w
		}
	}
	return nil
}

// tasksOnWorkers returns the number of the step's tasks on each worker.
func (s *step) tasksOnWorkers() map[*worker]int {
	on := make(map[*worker]int)
	for _, t := range s.tasks {
		if t.worker != nil {
			on[t.worker]++
		}
	}
	return on
}

// couldMoveTo reports whether the worker could take the running task if it took any new ones; on is
// that of tasksOnWorkers.
func (t *task) couldMoveTo(w *worker, on map[*worker]int) bool {
	return t.fitsOn(w, on) && t.step.approvedOn(w)
}

// fitsOn is couldMoveTo without the advisor's approval.
func (t *task) fitsOn(w *worker, on map[*worker]int) bool {
	s := t.step.spec
	switch {
	case w == t.worker || w.info.Draining:
		return false
	case s.Requires != "" && !w.hasLabel(s.Requires):
		return false
	case s.AntiAffinity > 0 && on[w] >= s.AntiAffinity:
		return false
	}
	return t.reserved().Fits(w.info.Capacity.Minus(w.load.longRunningReserved))
}
