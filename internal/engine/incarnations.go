package engine

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/polling"
	"github.com/pumicestage/pumicestage/policy/work"
)

// incarnationWatcher reads the platform's list of VMs to find out which incarnations of
// workers have ended: at the take-over, and while a worker does not answer. Each call for the
// list has a price.
type incarnationWatcher struct {
	engine *Engine
	listed int // number of VMs in the last list
}

const (
	// vmListInterval is the shortest pause between two lists while they are needed.
	vmListInterval = 400 * time.Millisecond
	// vmListCheckInterval is how often it is checked whether a list is needed.
	vmListCheckInterval = 200 * time.Millisecond
	// vmListTimeout is the timeout of a call to the platform's VM service.
	vmListTimeout = 1 * time.Second
)

func (l *incarnationWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.needsList() {
			sleep.For(ctx, vmListCheckInterval)
			continue
		}
		l.read(ctx)
		sleep.For(ctx, max(vmListInterval, polling.MinListInterval(l.listed, l.engine.ListRate)))
	}
}

// needsList reports whether the list could tell something new: before the first one, while a
// worker does not answer, and while runs of an earlier owner may be unknown.
func (l *incarnationWatcher) needsList() bool {
	e := l.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.core.fleetKnown || e.core.anyPollMissed() || !e.core.settled(e.Clock.Now())
}

func (c *Core) anyPollMissed() bool {
	for _, w := range c.workers {
		if w.missedPolls > 0 {
			return true
		}
	}
	return false
}

func (l *incarnationWatcher) read(ctx context.Context) {
	e := l.engine
	call, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	sent := e.Clock.Now()
	vms, err := e.Machines.List(call)
	if err != nil {
		e.Log.Info("could not list VMs", "error", err.Error())
		return
	}
	l.listed = len(vms)
	e.mu.Lock()
	e.core.SetFleet(vms)
	e.core.endUnlistedWorkers(sent, e.Clock.Now())
	e.mu.Unlock()
	e.wakeUnlisted()
	kick(e.planKick)
}

// endUnlistedWorkers removes the workers that do not answer and whose VM runs another
// incarnation or none. sent is when the list was requested: any answer since is newer. A
// worker that had nothing to answer takes nothing new until it answers: idle workers are not
// polled, and waiting tasks would go from one crashed worker to the next.
func (c *Core) endUnlistedWorkers(sent, now time.Duration) {
	for id, w := range c.workers {
		_, up := c.upWorkers[id]
		w.unlisted = !up && w.clockAt < sent
		if w.unlisted && w.missedPolls > 0 {
			c.WorkerGone(id, "its VM runs another incarnation or none", now)
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

// incarnationID returns text that tells this incarnation from all others, also from those under
// the same ID.
func (w *worker) incarnationID() string {
	if w.info.Incarnation == 0 {
		return string(w.info.ID)
	}
	return fmt.Sprintf("%s/%d", w.info.ID, w.info.Incarnation)
}

// hasEnded reports whether that incarnation of the worker is known to have ended.
func (c *Core) hasEnded(id work.WorkerID, incarnation work.Incarnation) bool {
	return slices.Contains(c.endedIncarnations[id], incarnation)
}

// addWorker adds a worker that is not known yet, and returns it.
func (c *Core) addWorker(info WorkerInfo) *worker {
	w := &worker{
		info: info, inheritedUntil: c.inherited,
		tasks: make(map[work.TaskRef]*task), orphanedRuns: make(map[work.TaskRef]*orphanedRun), pendingEnds: make(map[work.TaskRef]int),
	}
	c.workers[info.ID] = w
	c.sorted = nil
	c.trials.Returned(info.Address)
	return w
}

// maxInitialClock is the most that a worker's clock shows when an incarnation begins.
const maxInitialClock = 2 * time.Second

// sameIncarnation reports whether an answer with that clock is certain to come from this
// incarnation: the clock of one that began after this one's last answer could not be as far
// yet.
func (w *worker) sameIncarnation(clock, now time.Duration) bool {
	return w.clockAt != 0 && clock > now-w.clockAt+maxInitialClock
}

// mayReachNextIncarnation reports whether a run may have begun, unnoticed, in an incarnation
// that follows this one. An acknowledgement counts the ends of this incarnation; the next one
// would take it for an acknowledgement of its own ends, which nobody has received.
func (w *worker) mayReachNextIncarnation() bool {
	for _, t := range w.tasks {
		if !t.confirmed {
			return true
		}
	}
	for _, s := range w.orphanedRuns {
		if s.stopOK == 0 {
			return true
		}
	}
	return false
}

// maxOrderDelay is how long after it was sent an order may still be carried out.
const maxOrderDelay = 5 * time.Second

// maxLateRunDuration is how long a run may go on that a late order keeps running which was
// meant for the previous incarnation: the clock of that one was ahead, so the worker grants
// its longest lease.
func (c *Core) maxLateRunDuration() time.Duration {
	return maxOrderDelay + time.Duration(float64(c.bounds.MaxLease)*(1+maxClockDrift)) + expiryMargin
}

// workerRestarted ends the worker's incarnation, as another one answered a poll under its ID,
// and returns the new one. Starts that were meant for the previous incarnation, and are not
// known to have reached it, may have reached the new one or may yet do so: the platform tells
// incarnations apart by ID only. Their runs are stopped there before their tasks start
// anywhere.
func (c *Core) workerRestarted(old *worker, incarnation work.Incarnation, now time.Duration) *worker {
	lateRuns := make(map[work.TaskRef]int) // the runs that these starts may begin
	for ref, t := range old.tasks {
		if !t.confirmed {
			lateRuns[ref] = t.run
		}
	}
	for ref, s := range old.orphanedRuns {
		lateRuns[ref] = max(lateRuns[ref], s.run)
	}
	info, registered := old.info, false
	if old.nextIncarnation != nil && old.nextIncarnation.Incarnation == incarnation {
		info, registered = *old.nextIncarnation, true
	}
	old.nextIncarnation = nil
	c.WorkerGone(old.info.ID, "it restarted", now)
	info.Incarnation = incarnation
	w := c.addWorker(info)
	w.cordon, w.unregistered = old.cordon, !registered
	w.inheritedUntil = max(w.inheritedUntil, now+c.maxLateRunDuration())
	for ref, run := range lateRuns {
		w.markOrphaned(ref, run)
	}
	return w
}
