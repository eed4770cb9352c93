package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/straggler"
	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Lease times. A worker kills what it runs when its lease ends, and a task may start elsewhere
// only once its earlier run is certain to have ended.
const (
	// LeaseExtension is how far ahead each poll extends a worker's lease. Polls come at least
	// once a second, so at least three seconds remain when the owner fails; its successor has
	// polled all workers two seconds later. A longer lease would delay the restart of what an
	// unreachable worker ran.
	LeaseExtension = 4500 * time.Millisecond
	// startValidity is how long after planning a start order may be carried out. It allows for
	// a slow answer, and is short because an unanswered order stays open until it has passed.
	startValidity = 3 * time.Second
	// maxClockDrift bounds, as a fraction, how much slower a worker's clock may run than the
	// owner's. The platform guarantees it.
	maxClockDrift = 0.02
	// expiryMargin covers the rounding of clocks to milliseconds and the time that killing a
	// run takes.
	expiryMargin = 100 * time.Millisecond
)

// Waits and timeouts of polls.
const (
	// pollWait is how long a worker may delay its answer until a run ends. It is also the
	// longest time between two extensions of its lease.
	pollWait = 1 * time.Second
	// pollWaitShortTasks replaces pollWait where short tasks run. A lost answer is noticed
	// only after the wait; until then no end on that worker is known and nothing starts there.
	pollWaitShortTasks = 300 * time.Millisecond
	// pollWaitMin is the wait where the state of a run is in doubt or a run is being stopped.
	pollWaitMin = 30 * time.Millisecond
	// pollWaitServing replaces pollWait where best-effort tasks run beside serving ones, so
	// that pacing reacts within a second.
	pollWaitServing = 400 * time.Millisecond
	// pollTimeout is how long an answer may take beyond the requested wait. Workers answer
	// within a few milliseconds; after a lost answer, the next poll shows that the worker is
	// alive.
	pollTimeout = 300 * time.Millisecond
)

// worker is what this owner knows of one incarnation of a worker in its cell.
type worker struct {
	info      WorkerInfo
	contacted bool // it answered a poll that carried this owner's token
	// ownershipUncertain: its first answer came while a later owner could exist, so it does
	// not count among the workers that may run this owner's tasks. An answer that comes once
	// no later owner can exist clears it.
	ownershipUncertain bool
	moreEnds           bool // its last answer may have left ends out, see Listing.MoreEnds
	// unlisted: the list of VMs does not show this incarnation, and it has answered nothing
	// since.
	unlisted bool
	gone     bool // this incarnation is certain to have ended
	// nextIncarnation is the registration of another incarnation under the same ID; a poll
	// shows which of the two runs. nil: none.
	nextIncarnation *WorkerInfo
	// unregistered: this incarnation answered before it registered; its capacity and labels
	// may differ from those of the one before.
	unregistered bool

	clock    time.Duration // the worker's clock as of clockAt
	clockAt  time.Duration // when the answer that told clock arrived; 0: never
	deadline time.Duration // latest lease end that an order of this owner may have set, on the worker's clock
	// inheritedUntil is the latest time, on the owner's clock, to which an earlier owner may
	// have extended the worker's lease.
	inheritedUntil time.Duration

	tasks      map[work.TaskRef]*task // changed only by add and remove
	load       load                   // sums over tasks
	emptySince time.Duration          // when its last task was removed, or it first answered
	// orphanedRuns are runs on the worker that must be stopped. A task does not start anywhere
	// while one of its runs is orphaned on some worker.
	orphanedRuns map[work.TaskRef]*orphanedRun
	// pendingEnds holds the run numbers of gang members that have ended on the worker, as another member
	// has, until the worker lists their ends: it holds their capacity until then.
	pendingEnds map[work.TaskRef]int
	// pollRequested: it refused a start for lack of capacity, so it may have ends to list.
	pollRequested bool

	listedAt            time.Duration // when the last poll that it answered with all its runs was sent
	seen, stored, acked int64         // the last ends received, stored and acknowledged, by their sequence numbers
	unstored            []endMark     // ends received and not yet stored
	missedPolls         int           // polls without an answer since the last answer
	missedSince         time.Duration // when the first of them was given up
	silentSince         time.Duration // first call without an answer since the last answer; 0: none
	closedUntil         time.Duration
	failures            workerFailures
	slowness            straggler.Slowness
	cordon              Cordon
	vacateSince         time.Duration // when it was cordoned to be emptied; 0: it is not
	wantedSince         time.Duration // since when tasks wait that only it could take, were it not cordoned; 0: none do
	full                bool          // it refused a start for lack of capacity since its last end
	expiredRuns         []lostRun     // lost as its leases ran out while it was unreachable; cleared once it answers
}

// orphanedRun is a run that must be stopped and is not its task's current run.
type orphanedRun struct {
	run    int
	sent   time.Duration // when the last stop was sent; 0: not yet
	stopOK time.Duration // when a stop was answered; 0: not yet
}

// markOrphaned records that the run must be stopped, unless the same or a later run of its
// task is recorded already.
func (w *worker) markOrphaned(ref work.TaskRef, run int) {
	if s := w.orphanedRuns[ref]; s != nil && s.run >= run {
		return
	}
	w.orphanedRuns[ref] = &orphanedRun{run: run}
}

// endMark relates an end of one worker to the ends of all workers.
type endMark struct {
	seq int64 // its number among the worker's ends
	at  int64 // its number among all ends received
}

// advanceStored records that all ends received before the mark are stored. It reports whether
// ends of this worker are among them that were not stored before.
func (w *worker) advanceStored(mark int64) bool {
	before := w.stored
	for len(w.unstored) > 0 && w.unstored[0].at < mark {
		w.stored = w.unstored[0].seq
		w.unstored = w.unstored[1:]
	}
	return w.stored > before
}

// clockNow returns a lower bound of the worker's clock.
func (w *worker) clockNow(now time.Duration) time.Duration {
	return w.clock + time.Duration(float64(now-w.clockAt)*(1-maxClockDrift))
}

// observeClock records the clock that an answer told; one that is 0 or less was not told.
func (w *worker) observeClock(clock, now time.Duration) {
	if clock <= 0 {
		return
	}
	w.clock, w.clockAt = clock, now
}

// expired reports whether everything that the worker may have run under leases of this owner
// or an earlier one is certain to have been killed.
func (w *worker) expired(now time.Duration) bool {
	if now < w.inheritedUntil {
		return false
	}
	if w.deadline == 0 {
		return true
	}
	left := time.Duration(float64(w.deadline-w.clock) * (1 + maxClockDrift))
	return now >= w.clockAt+left+expiryMargin
}

// load sums up the tasks of a worker. It is updated as tasks come and go: computing it anew
// for each plan took an eighth of the planning time of a large cell.
type load struct {
	reserved            work.Resources // by all tasks
	longRunningReserved work.Resources // the part of reserved that long-running tasks hold
	longRunning         int
	serving             int
	bestEffort          int
}

func (l *load) count(s *step, n int64) {
	held := s.reserved().Times(n)
	l.reserved = l.reserved.Plus(held)
	if s.spec.LongRunning {
		l.longRunningReserved = l.longRunningReserved.Plus(held)
		l.longRunning += int(n)
	}
	if s.spec.Serving() {
		l.serving += int(n)
	}
	if s.spec.BestEffort {
		l.bestEffort += int(n)
	}
}

// add places the task on the worker; it does nothing if the task is there already.
func (w *worker) add(t *task) {
	if w.tasks[t.ref] != nil {
		return
	}
	w.tasks[t.ref] = t
	w.load.count(t.step, 1)
	t.addUsage(1)
}

// remove takes the task off the worker; it does nothing if the task is not there.
func (w *worker) remove(t *task) {
	if w.tasks[t.ref] == nil {
		return
	}
	delete(w.tasks, t.ref)
	w.load.count(t.step, -1)
	t.addUsage(-1)
}

// snapshot writes the planner's description of the worker to out.
func (w *worker) snapshot(out *taskplan.Worker, now time.Duration) {
	*out = taskplan.Worker{
		ID:     w.info.ID,
		Total:  w.info.Capacity,
		Free:   w.info.Capacity.Minus(w.load.reserved),
		Labels: w.info.Labels,
		Closed: w.closed(now),
		Limit:  w.mayStart(),

		LongRunning: w.load.longRunning, Serving: w.load.serving, BestEffort: w.load.bestEffort,
		Slowness:       w.slowness.Factor(),
		MaintenanceDue: w.cordon.Kind == CordonMaintenanceDue,
		Tasks:          len(w.tasks),
	}
	if n := len(w.info.Labels); n > 0 {
		out.Rack = w.info.Labels[n-1]
	}
}

// maxUnansweredStarts is the number of unanswered starts that closes a worker until it answers
// a poll. One answer may be lost on the way; with more, the worker has stopped answering, and
// every further order to it waits for a timeout.
const maxUnansweredStarts = 2

// tooManyUnansweredStarts reports whether the worker has left maxUnansweredStarts unanswered.
func (w *worker) tooManyUnansweredStarts() bool {
	n := 0
	for _, t := range w.tasks {
		if t.state == taskUncertain {
			n++
		}
	}
	return n >= maxUnansweredStarts
}

// closedReason says why a worker takes no new tasks. The values appear in logs.
type closedReason string

// The reasons, in the order in which they are checked.
const (
	notClosed                closedReason = ""
	closedUnansweredStarts   closedReason = "unanswered starts"
	closedOwnershipUncertain closedReason = "ownership uncertain"
	closedIncarnation        closedReason = "incarnation unknown"
	closedNotPolled          closedReason = "not polled yet"
	closedGone               closedReason = "gone"
	closedDraining           closedReason = "draining"
	closedUnreadable         closedReason = "registration unreadable"
	closedCordon             closedReason = "cordon"
	closedSilent             closedReason = "no answer to polls"
	closedRefused            closedReason = "refused a start"
	closedFailures           closedReason = "failed runs"
	closedOrphanedRuns       closedReason = "orphaned runs"
	closedPendingEnds        closedReason = "ends to be listed"
	closedTrial              closedReason = "trial of a suspect"
	closedProbation          closedReason = "trial after failed runs"
	closedCapacity           closedReason = "capacity uncertain"
)

// closed reports whether the worker takes no new tasks now.
func (w *worker) closed(now time.Duration) bool { return w.closedReason(now) != notClosed }

// closedReason returns why the worker takes no new tasks now, or notClosed.
func (w *worker) closedReason(now time.Duration) closedReason {
	switch {
	case w.tooManyUnansweredStarts():
		return closedUnansweredStarts
	case w.ownershipUncertain:
		return closedOwnershipUncertain
	case w.nextIncarnation != nil || w.unregistered:
		return closedIncarnation
	case !w.contacted:
		return closedNotPolled
	case w.unlisted || w.gone:
		return closedGone
	case w.info.Draining:
		return closedDraining
	case w.info.Unreadable:
		return closedUnreadable
	case w.cordon.Closes():
		return closedCordon
	case w.missedPolls > 0:
		return closedSilent
	case w.full || now < w.closedUntil:
		return closedRefused
	case now < w.failures.until:
		return closedFailures
	case len(w.orphanedRuns) > 0:
		return closedOrphanedRuns
	case len(w.pendingEnds) > 0:
		return closedPendingEnds
	case w.runsTrial((*task).suspect):
		return closedTrial
	}
	return notClosed
}
