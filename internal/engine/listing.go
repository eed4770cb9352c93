package engine

import (
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/crashes"
	"github.com/pumicestage/pumicestage/policy/polling"
	"github.com/pumicestage/pumicestage/policy/work"
)

// WorkerSeen takes a worker's registration over. The entry of a life that is
// over may stay for some seconds, beside that of another life at the same address:
// which of them is over only the worker itself and the platform's list can say. ask reports
// that the worker is to be polled to tell.
func (c *Core) WorkerSeen(info WorkerInfo) (ask bool) {
	if c.isOver(info.ID, info.Incarnation) {
		return false
	}
	w := c.workers[info.ID]
	switch {
	case w == nil:
		c.join(info)
	case info.Incarnation == 0 || w.info.Incarnation == 0 || info.Incarnation == w.info.Incarnation:
		if info.Incarnation == 0 {
			info.Incarnation = w.info.Incarnation
		}
		w.info, w.unregistered, w.next = info, false, nil
	default:
		ask = w.next == nil
		w.next = &info
	}
	return ask
}

// Inherit says until when, on our clock, an earlier owner may have extended the
// leases of workers. It also holds for workers that register later: the entry of
// one that lives may have lapsed while the store was away.
func (c *Core) Inherit(until time.Duration) {
	c.inherited = until
	for _, w := range c.workers {
		w.inherited = until
	}
}

// ranOut handles the end of a run that did no work to its end.
func (c *Core) ranOut(t *task, now time.Duration) {
	c.clearCrashes(t)
	t.trial = 0
	if t.step.job.final != "" {
		c.release(t)
		t.step.set(t, taskPending)
		return
	}
	c.requeue(t)
}

// HoldFor returns the next poll of the worker, or false where none is needed.
func (c *Core) HoldFor(id work.WorkerID, now time.Duration) (WorkerInfo, Hold, bool) {
	w := c.workers[id]
	if w == nil || w.gone || now > c.ordersUntil {
		return WorkerInfo{}, Hold{}, false
	}
	if w.heard && len(w.tasks) == 0 && len(w.strays) == 0 && w.acked >= w.seen && w.missed == 0 && !w.unlisted && w.next == nil {
		return WorkerInfo{}, Hold{}, false
	}
	h := Hold{Token: c.token}
	if !w.mayReachNext() {
		h.AckedThrough = w.stored
	}
	if w.next != nil {
		h.next = w.next.Incarnation
	}
	if !w.heard {
		return w.info, h, true
	}
	if len(w.tasks) > 0 {
		h.Wait = w.wait()
	}
	// After a lost answer the next is to tell at once whether the worker lives: until then
	// nothing starts there.
	if w.missed > 0 {
		h.Wait = min(h.Wait, pollSoon)
	}
	// A worker that did not answer gets no further extension: what it runs
	// must be certain to end, so that it can start elsewhere.
	if len(w.tasks) > 0 && w.missed == 0 {
		h.Deadline = w.clockNow(now) + min(LeaseAhead, c.bounds.MaxLease)
		w.deadline = max(w.deadline, h.Deadline)
	}
	// These waits mean that the list is to settle or to pace something.
	h.Brief = polling.Brief(now-w.listedAt, h.Wait == pollSoon || h.Wait == serveWait || w.missed > 0)
	return w.info, h, true
}

func (w *worker) wait() time.Duration {
	serving, filling, short := false, false, false
	if len(w.strays) > 0 {
		return pollSoon
	}
	for _, t := range w.tasks {
		if t.state == taskUncertain || t.state == taskStopping {
			return pollSoon
		}
		serving = serving || t.step.spec.Serving()
		filling = filling || t.step.spec.BestEffort
		short = short || !t.step.spec.LongRunning
	}
	switch {
	case w.tries((*task).suspect):
		return pollSoon
	case serving && filling:
		return serveWait
	case short:
		return pollWaitShort
	}
	return pollWait
}

// HoldUnread notes a poll whose answer did not come while this owner was behind its work:
// it may lie here unread, and says nothing of the worker. Taken for silent, the worker
// would not have its lease extended, and its work would end.
func (c *Core) HoldUnread() { c.unreadPolls++ }

// HoldFailed notes a poll that was not answered.
func (c *Core) HoldFailed(id work.WorkerID, o Outcome, now time.Duration) {
	w := c.workers[id]
	if w == nil {
		return
	}
	switch o {
	case OutcomeFenced:
		c.deposed = true
		return
	case OutcomeOtherIncarnation:
		c.WorkerGone(id, "another life answers", now)
		return
	}
	w.missed++
	c.fellSilent(w, now)
	if w.missed == 1 && len(w.tasks) > 0 {
		c.log.Info("worker does not answer", "worker", id, "tasks", len(w.tasks), "outcome", o.String())
	}
	c.Expire(now)
}

// Expire restarts what unreachable workers ran, once it is certain to be over.
func (c *Core) Expire(now time.Duration) {
	if !c.certain {
		return
	}
	for _, w := range c.workers {
		if w.missed > 0 && len(w.tasks)+len(w.strays) > 0 && w.expired(now) {
			c.log.Info("leases of an unreachable worker have run out", "worker", w.info.ID, "tasks", len(w.tasks))
			c.dropTasks(w, lossLease, now)
		}
	}
}

// HoldAnswered takes a worker's answer over. sent is when the poll was sent and
// h what it carried.
func (c *Core) HoldAnswered(id work.WorkerID, h Hold, l Listing, sent, now time.Duration) {
	w := c.workers[id]
	if w == nil {
		return
	}
	c.now = now
	if l.Life != 0 && l.Life != w.info.Incarnation {
		switch {
		case c.isOver(id, l.Life):
			return
		case w.info.Incarnation == 0:
			w.info.Incarnation = l.Life
		default:
			w = c.startedAgain(w, l.Life, now)
			h.AckedThrough = 0 // counts the ends of the life before
		}
	}
	// The registration was there before this answer was asked for: its life was an earlier one.
	if w.next != nil && l.Life == w.info.Incarnation && h.next == w.next.Incarnation {
		c.endedIncarnations[id] = append(c.endedIncarnations[id], w.next.Incarnation)
		w.next = nil
	}
	w.clockSaid(l.Clock, now)
	w.acked = max(w.acked, h.AckedThrough)
	if !w.heard {
		c.log.Info("worker heard", "worker", id, "service", w.info.Service, "running", len(l.Running), "ended", len(l.Ended))
	} else if w.missed > 0 {
		c.log.Info("worker answers again", "worker", id, "missed", w.missed)
	}
	if !w.heard {
		w.emptySince = now
	}
	w.lapsed = nil
	w.unsure = (w.unsure || !w.heard) && !c.certain
	w.heard, w.unlisted = true, false
	w.missed, w.silentSince = 0, 0
	for i := range l.Ended {
		if e := &l.Ended[i]; e.Seq > w.seen {
			w.seen = e.Seq
			c.ended(w, e, now)
		}
	}
	if !l.Brief {
		w.listedAt = sent
		c.listed(w, l.Running, sent, now)
	}
}

// listed compares what runs with what should.
func (c *Core) listed(w *worker, running []Run, sent, now time.Duration) {
	present := make(map[work.TaskRef]int, len(running))
	for i := range running {
		present[running[i].Task] = running[i].Run
		c.runs(w, &running[i], now)
	}
	for ref, t := range w.tasks {
		if present[ref] != t.run {
			c.notListed(t, sent, now)
		}
	}
	for ref, s := range w.strays {
		if _, runs := present[ref]; !runs && s.stopOK != 0 && s.stopOK < sent {
			delete(w.strays, ref)
		}
	}
}

// runs takes one listed run over.
func (c *Core) runs(w *worker, r *Run, now time.Duration) {
	t := c.find(r.Task)
	if t == nil || t.state == taskDone {
		w.strayed(r.Task, r.Run)
		return
	}
	if t.worker == nil && t.run <= r.Run || t.worker != nil && t.worker != w && t.run < r.Run {
		if t.step.job.final != "" {
			w.strayed(r.Task, r.Run)
			return
		}
		// An earlier owner's run, or one that was thought lost. Of two, the
		// higher: it was ordered after the other had been settled.
		if t.worker != nil {
			t.worker.strayed(t.ref, t.run)
		}
		c.clearPresumed(t, r.Run)
		if t.suspect() {
			c.askTrial(t) // it goes on, and may crash the worker yet
		}
		c.log.Info("run adopted", "task", r.Task.String(), "run", r.Run, "worker", w.info.ID)
		delete(w.strays, r.Task)
		c.attach(t, w, r.Run, taskActive, now)
		t.stopsListedFrom = now + c.bounds.StopGrace + expirySlack
		if t.step.spec.LongRunning && r.Percent >= fullPercent {
			t.ranBefore = crashes.ClearedAfter
		}
	}
	if t.worker != w || t.run != r.Run {
		w.strayed(r.Task, r.Run)
		return
	}
	if t.state == taskStarting || t.state == taskUncertain {
		c.attach(t, w, r.Run, taskActive, now)
	}
	t.confirmed = true
	if r.Checkpoint != "" {
		t.checkpoint, t.checkpointRun = r.Checkpoint, r.Run
	}
	c.clearCrashes(t)
	t.listedAt = now
	if r.Percent != t.percent {
		t.percent, t.progressedAt = r.Percent, now
	}
	t.gauge = r.Gauge
}

// notListed handles a task that should be there by our books and is neither
// listed as running nor as ended. A poll that left before the worker answered
// the start proves nothing: answers overtake each other.
func (c *Core) notListed(t *task, sent, now time.Duration) {
	switch t.state {
	case taskActive:
		if t.answeredAt < sent {
			c.log.Info("run vanished", "task", t.ref.String(), "run", t.run)
			c.ranOut(t, now)
		}
	case taskUncertain:
		// It may yet start: the stop makes the worker reject it.
		if t.answeredAt < sent {
			t.step.set(t, taskStopping)
		}
	case taskStopping:
		// Not at the stop's answer: a run goes on for a while after it.
		if t.stopAnsweredAt != 0 && t.stopAnsweredAt < sent {
			c.ranOut(t, now)
		}
	}
}

// ended takes one end over. Its effect must be stored before it is acknowledged.
func (c *Core) ended(w *worker, e *RunEnd, now time.Duration) {
	if s := w.strays[e.Task]; s != nil && s.run <= e.Run {
		delete(w.strays, e.Task)
	}
	c.endsSeen++
	w.unstored = append(w.unstored, endMark{seq: e.Seq, at: c.endsSeen})
	t := c.find(e.Task)
	if t == nil {
		return
	}
	if e.Checkpoint != "" && e.Run >= t.checkpointRun {
		t.checkpoint, t.checkpointRun = e.Checkpoint, e.Run
		c.markDirty(t.step.job)
	}
	c.clearPresumed(t, e.Run)
	current := t.worker == w && t.run == e.Run
	t.run = max(t.run, e.Run)
	switch e.How {
	case work.Done:
		c.taskDone(w, t, e, current, now)
	case work.Faulted:
		c.taskFailed(w, t, e, current, now)
	default:
		if current {
			c.log.V(1).Info("run ended", "task", t.ref.String(), "run", e.Run, "how", e.How, "worker", w.info.ID)
			c.ranOut(t, now)
		}
	}
}

func (c *Core) taskDone(w *worker, t *task, e *RunEnd, current bool, now time.Duration) {
	w.strikes.success()
	if t.state == taskDone {
		return
	}
	if t.step.spec.LongRunning {
		if current {
			c.ranOut(t, now)
		}
		return
	}
	if current {
		w.slowness = w.slowness.Observe(now-t.answeredAt, c.durationRatios.estimate(t.step))
		c.durationRatios.learn(t.step, now-t.answeredAt)
	}
	if t.step.spec.Gang {
		// One member's end stands for all of its run.
		for _, member := range t.step.tasks {
			c.markDone(member, e.Run)
		}
	} else {
		c.markDone(t, e.Run)
	}
	c.log.V(1).Info("task done", "task", t.ref.String(), "run", e.Run, "worker", w.info.ID)
	c.advance(t.step.job)
}

// markDone ends the task. Where a run other than the one that ended goes on, it
// becomes a stray, which is stopped.
func (c *Core) markDone(t *task, endedRun int) {
	if t.state == taskDone {
		return
	}
	if t.worker != nil && t.run != endedRun {
		t.worker.strayed(t.ref, t.run)
	}
	c.release(t)
	t.step.set(t, taskDone)
	c.markDirty(t.step.job)
}

// advance ends occurrences and the job where all is done.
func (c *Core) advance(j *job) {
	if j.final != "" {
		return
	}
	live := j.liveOccurrences[:0]
	for _, o := range j.liveOccurrences {
		if !o.finished() {
			live = append(live, o)
		}
	}
	j.liveOccurrences = live
	if len(j.liveOccurrences) == 0 && j.nextOccurrence >= j.Occurrences() {
		c.finish(j, work.Completed)
	}
}

// Pauses between starts of a lasting task that fails again and again.
const (
	firstPause = 50 * time.Millisecond
	mostPause  = 800 * time.Millisecond
)

func (c *Core) taskFailed(w *worker, t *task, e *RunEnd, current bool, now time.Duration) {
	if slices.Contains(t.failedRuns, e.Run) {
		return
	}
	c.log.Info("run failed", "task", t.ref.String(), "run", e.Run, "worker", w.info.ID, "failures", len(t.failedRuns)+1)
	w.strikes.failure(t.ref.Job, now)
	t.failedRuns = append(t.failedRuns, e.Run)
	t.avoid = append(t.avoid, w.info.ID)
	if current {
		c.ranOut(t, now)
	}
	j := t.step.job
	if j.final != "" || t.state == taskDone {
		return
	}
	c.markDirty(j)
	if t.step.spec.LongRunning {
		t.notBefore = now + min(mostPause, firstPause<<min(len(t.failedRuns), 4))
		return
	}
	if j.queue.MaxAttempts > 0 && len(t.failedRuns) >= j.queue.MaxAttempts {
		c.finish(j, work.Failed)
	}
}
