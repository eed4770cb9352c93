package engine

import (
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/straggler"
	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Lease times. A worker kills what it runs when its lease ends, and a task may
// start elsewhere only once that is certain.
const (
	// LeaseAhead is how far each poll extends a worker's lease. Polls come
	// every second at most, so at least three seconds are left when the owner
	// dies; a successor has been measured to hold all workers two seconds
	// after. Longer would delay the restart of what an unreachable worker ran.
	LeaseAhead = 4500 * time.Millisecond
	// startAhead is the deadline of a start. Long enough for a slow answer,
	// short as an order without an answer stays open until it has passed.
	startAhead = 3 * time.Second
	// clockError bounds how far a worker's clock may be slow against ours, as
	// the platform promises.
	clockError = 0.02
	// expirySlack covers the rounding of clocks to milliseconds and the end
	// of what is being killed.
	expirySlack = 100 * time.Millisecond
)

// Pace of polls.
const (
	// pollWait is how long a worker may hold an answer back for an end. It is
	// also the longest time between extensions of a lease.
	pollWait = 1 * time.Second
	// pollWaitShort replaces pollWait where short tasks run: an answer that is lost costs
	// the wait, and until it is missed no end there is known and nothing starts.
	pollWaitShort = 300 * time.Millisecond
	// pollSoon is how long an answer may wait where something is in doubt or
	// being stopped.
	pollSoon = 30 * time.Millisecond
	// serveWait replaces pollWait where fill tasks run beside serving ones, so
	// that pacing follows within a second.
	serveWait = 400 * time.Millisecond
	// pollTimeout is how long an answer may take beyond the wait asked for. Workers answer
	// in a few milliseconds; the poll after one that was lost shows that they live.
	pollTimeout = 300 * time.Millisecond
)

// worker is one worker of ours.
type worker struct {
	info  WorkerInfo
	heard bool // it answered a poll that carried our token
	// unsure: it was first heard while a later owner could exist, which does
	// not count it among the workers that may run something of ours.
	unsure bool
	// unlisted: the list of VMs does not show this life, and it has answered nothing since.
	unlisted bool
	gone     bool // certain: this life is over
	// next is the registration of another life under this one's ID: which of them lives the
	// worker is asked. nil: none.
	next *WorkerInfo
	// unregistered: this life answered before it registered, and may be of another kind than
	// the one before.
	unregistered bool

	clock    time.Duration // the worker's clock ...
	clockAt  time.Duration // ... when we got the answer that told it; 0: never
	deadline time.Duration // latest that any order of ours may have set
	// inherited bounds, on our clock, until when an earlier owner may have
	// extended the worker's lease.
	inherited time.Duration

	tasks      map[work.TaskRef]*task // changed by add and remove alone
	load       load                   // of these tasks
	emptySince time.Duration          // when its last task left, or it was first heard
	// strays are runs there that must not go on. A task does not start anywhere
	// while one of its runs is a stray somewhere.
	strays map[work.TaskRef]*stray

	listedAt            time.Duration // when it last told what runs, as of the poll's sending
	seen, stored, acked int64         // ends taken in, stored, acknowledged
	unstored            []endMark     // of the ends between seen and stored
	missed              int           // polls without an answer since the last
	silentSince         time.Duration // first call without an answer since; 0: none
	closedUntil         time.Duration
	strikes             strikes
	slowness            straggler.Slowness
	cordon              Cordon
	full                bool      // it refused for want of room since its last end
	lapsed              []lostRun // ran there until its leases ran out unreached; none once it answers
}

// stray is a run that is to be stopped and is no task's present run.
type stray struct {
	run    int
	sent   time.Duration // last stop; 0: none yet
	stopOK time.Duration // when a stop was answered; 0: not yet
}

// strayed notes a run that must not go on.
func (w *worker) strayed(ref work.TaskRef, run int) {
	if s := w.strays[ref]; s != nil && s.run >= run {
		return
	}
	w.strays[ref] = &stray{run: run}
}

// endMark places an end of the worker among those of all workers.
type endMark struct {
	seq int64 // of the worker's ends
	at  int64 // of all ends taken in
}

// storedBefore notes that all ends taken in before the mark are stored; it reports
// whether any of this worker's are that were not.
func (w *worker) storedBefore(mark int64) bool {
	before := w.stored
	for len(w.unstored) > 0 && w.unstored[0].at < mark {
		w.stored = w.unstored[0].seq
		w.unstored = w.unstored[1:]
	}
	return w.stored > before
}

// strikes counts ends that speak against a worker.
type strikes struct {
	failed int // in a row
	jobs   []work.JobID
	until  time.Duration // no new tasks before
	probe  bool          // one task at a time until one is done
}

// clockNow estimates the worker's clock from below.
func (w *worker) clockNow(now time.Duration) time.Duration {
	return w.clock + time.Duration(float64(now-w.clockAt)*(1-clockError))
}

func (w *worker) clockSaid(clock, now time.Duration) {
	if clock <= 0 {
		return
	}
	w.clock, w.clockAt = clock, now
}

// expired reports whether everything the worker may have run under leases of
// ours or an earlier owner's is certain to have been killed.
func (w *worker) expired(now time.Duration) bool {
	if now < w.inherited {
		return false
	}
	if w.deadline == 0 {
		return true
	}
	left := time.Duration(float64(w.deadline-w.clock) * (1 + clockError))
	return now >= w.clockAt+left+expirySlack
}

// load is what the tasks of a worker hold and are. It is kept as they come and go:
// added up anew for each plan it took an eighth of a large cell's planning.
type load struct {
	reserved work.Resources // by all
	forLong  work.Resources // of these, by lasting ones
	lasting  int
	serving  int
	filling  int
}

func (l *load) count(s *step, n int64) {
	held := s.reserved().Times(n)
	l.reserved = l.reserved.Plus(held)
	if s.spec.LongRunning {
		l.forLong = l.forLong.Plus(held)
		l.lasting += int(n)
	}
	if s.spec.Serving() {
		l.serving += int(n)
	}
	if s.spec.BestEffort {
		l.filling += int(n)
	}
}

func (w *worker) add(t *task) {
	if w.tasks[t.ref] != nil {
		return
	}
	w.tasks[t.ref] = t
	w.load.count(t.step, 1)
	t.addUsage(1)
}

func (w *worker) remove(t *task) {
	if w.tasks[t.ref] == nil {
		return
	}
	delete(w.tasks, t.ref)
	w.load.count(t.step, -1)
	t.addUsage(-1)
}

// snapshot describes the worker as a plan sees it.
func (w *worker) snapshot(out *taskplan.Worker, now time.Duration) {
	*out = taskplan.Worker{
		ID:     w.info.ID,
		Total:  w.info.Capacity,
		Free:   w.info.Capacity.Minus(w.load.reserved),
		Labels: w.info.Labels,
		Closed: w.closed(now),
		Limit:  -1,

		LongRunning: w.load.lasting, Serving: w.load.serving, BestEffort: w.load.filling,
		Slowness:       w.slowness.Factor(),
		MaintenanceDue: w.cordon.Kind == Due,
		Tasks:          len(w.tasks),
	}
	if n := len(w.info.Labels); n > 0 {
		out.Rack = w.info.Labels[n-1]
	}
	if w.strikes.probe {
		out.Limit = max(0, 1-len(w.tasks))
	}
}

// doubtLimit is how many starts without an answer close a worker until a poll is
// answered. One may be lost on the way; more, and the worker has stopped
// answering: what else is sent to it waits for a timeout each.
const doubtLimit = 2

func (w *worker) doubted() bool {
	n := 0
	for _, t := range w.tasks {
		if t.state == taskDoubtful {
			n++
		}
	}
	return n >= doubtLimit
}

func (w *worker) closed(now time.Duration) bool {
	return w.doubted() || w.unsure || w.next != nil || w.unregistered || !w.heard || w.unlisted || w.gone || w.info.Draining || w.info.Unreadable || w.cordon.Closes() || w.missed > 0 ||
		w.full || now < w.closedUntil || now < w.strikes.until || len(w.strays) > 0 || w.tries((*task).suspect)
}

// Strikes against a worker. A worker that fails what it starts looks idle and
// would draw every waiting task of the pool: each failure costs a job one of
// its few attempts.
const (
	strikeLimit = 3 // failures in a row, with nothing done between
	strikeJobs  = 2 // of so many jobs at least: one job that always fails proves nothing
	strikePause = 3 * time.Second
)

func (s *strikes) failure(id work.JobID, now time.Duration) {
	s.failed++
	if !slices.Contains(s.jobs, id) {
		s.jobs = append(s.jobs, id)
	}
	if s.probe || s.failed >= strikeLimit && len(s.jobs) >= strikeJobs {
		s.until = now + strikePause
		s.probe = true
	}
}

func (s *strikes) success() { *s = strikes{} }
