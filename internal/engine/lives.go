package engine

import (
	"context"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/polling"
	"github.com/pumicestage/pumicestage/policy/work"
)

// lives reads from the platform's list of VMs which workers are over: at the
// take-over, and while a worker does not answer. A list is one priced call.
type lives struct {
	engine *Engine
	listed int // VMs of the last list
}

const (
	// livesEvery separates lists while there is reason to read them.
	livesEvery = 400 * time.Millisecond
	// livesIdle is how often it is asked whether there is reason.
	livesIdle = 200 * time.Millisecond
	// listTimeout ends a call to the platform's VM service.
	listTimeout = 1 * time.Second
)

func (l *lives) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.wanted() {
			sleep.For(ctx, livesIdle)
			continue
		}
		l.read(ctx)
		sleep.For(ctx, max(livesEvery, polling.MinListInterval(l.listed, l.engine.ListRate)))
	}
}

// wanted reports whether the list could tell something: before the first, while
// a worker does not answer, and while an earlier owner's work may be unknown.
func (l *lives) wanted() bool {
	e := l.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.core.fleetKnown || e.core.anyMissed() || !e.core.settled(e.Clock.Now())
}

func (c *Core) anyMissed() bool {
	for _, w := range c.workers {
		if w.missed > 0 {
			return true
		}
	}
	return false
}

func (l *lives) read(ctx context.Context) {
	e := l.engine
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sent := e.Clock.Now()
	vms, err := e.Machines.List(call)
	if err != nil {
		e.Log.Info("VMs not listed", "error", err.Error())
		return
	}
	l.listed = len(vms)
	e.mu.Lock()
	e.core.SetFleet(vms)
	e.core.endLives(sent, e.Clock.Now())
	e.mu.Unlock()
	e.wakeUnlisted()
	kick(e.planKick)
}

// endLives ends the workers that do not answer and whose VM has another life or
// none. sent is when the list was asked for: it is older than any answer since. One that
// had nothing to answer takes nothing new until it has: nobody asks an idle worker whether
// it lives, and what waits would go from one that crashed to the next.
func (c *Core) endLives(sent, now time.Duration) {
	for id, w := range c.workers {
		_, up := c.upWorkers[id]
		w.unlisted = !up && w.clockAt < sent
		if w.unlisted && w.missed > 0 {
			c.WorkerGone(id, "its VM has another life or none", now)
		}
	}
}

// wakeUnlisted has the idle workers polled that the list of VMs does not show.
func (e *Engine) wakeUnlisted() {
	e.mu.Lock()
	var ids []work.WorkerID
	for id, w := range e.core.workers {
		if w.unlisted && len(w.tasks) == 0 {
			ids = append(ids, id)
		}
	}
	e.mu.Unlock()
	for _, id := range ids {
		e.wake(id)
	}
}

// isOver reports whether that life of the worker is known to have ended.
func (c *Core) isOver(id work.WorkerID, life work.Incarnation) bool {
	return slices.Contains(c.endedIncarnations[id], life)
}

// join adds a worker that was not known.
func (c *Core) join(info WorkerInfo) *worker {
	w := &worker{
		info: info, inherited: c.inherited,
		tasks: make(map[work.TaskRef]*task), strays: make(map[work.TaskRef]*stray),
	}
	c.workers[info.ID] = w
	c.sorted = nil
	c.trials.Returned(info.Address)
	return w
}

// clockAnew is the most that a worker's clock shows as its life begins.
const clockAnew = 2 * time.Second

// sameLife reports whether an answer with that clock is certainly of this life: that of one which
// began since this one was last heard could not have come so far.
func (w *worker) sameLife(clock, now time.Duration) bool {
	return w.clockAt != 0 && clock > now-w.clockAt+clockAnew
}

// mayReachNext reports whether a run may have begun in a life that follows this one unnoticed.
// An acknowledgement counts the ends of this life; there it would take one along that nobody
// has seen.
func (w *worker) mayReachNext() bool {
	for _, t := range w.tasks {
		if !t.confirmed {
			return true
		}
	}
	for _, s := range w.strays {
		if s.stopOK == 0 {
			return true
		}
	}
	return false
}

// lateOrders is how long after it was sent an order may still be carried out.
const lateOrders = 5 * time.Second

// strayLease is how long work may go on that an order keeps which was meant for the life
// before: that life's clock was ahead, so that the worker grants its longest lease.
func (c *Core) strayLease() time.Duration {
	return lateOrders + time.Duration(float64(c.bounds.MaxLease)*(1+clockError)) + expirySlack
}

// startedAgain ends the worker's life, as another answered a poll under its ID, and returns
// that one. Starts that were meant for the life before, and are not known to have reached it,
// may have reached the new one or do so yet: the platform tells lives apart by ID. Their runs
// are stopped there before their tasks start anywhere.
func (c *Core) startedAgain(old *worker, life work.Incarnation, now time.Duration) *worker {
	mayCome := make(map[work.TaskRef]int) // their runs
	for ref, t := range old.tasks {
		if !t.confirmed {
			mayCome[ref] = t.run
		}
	}
	for ref, s := range old.strays {
		mayCome[ref] = max(mayCome[ref], s.run)
	}
	info, registered := old.info, false
	if old.next != nil && old.next.Incarnation == life {
		info, registered = *old.next, true
	}
	old.next = nil
	c.WorkerGone(old.info.ID, "it started again", now)
	info.Incarnation = life
	w := c.join(info)
	w.cordon, w.unregistered = old.cordon, !registered
	w.inherited = max(w.inherited, now+c.strayLease())
	for ref, run := range mayCome {
		w.strayed(ref, run)
	}
	return w
}
