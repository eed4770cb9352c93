package engine

import (
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/crashes"
	"github.com/pumicestage/pumicestage/policy/polling"
	"github.com/pumicestage/pumicestage/policy/work"
)

// WorkerRegistered records a worker's registration. The registration of an incarnation that
// has ended may remain for some seconds, beside that of another one at the same address; only
// the worker itself and the platform's list of VMs can tell which of them has ended. ask
// reports that the worker is to be polled to find out.
func (c *Core) WorkerRegistered(info WorkerInfo) (ask bool) {
	if c.hasEnded(info.ID, info.Incarnation) {
		return false
	}
	w := c.workers[info.ID]
	switch {
	case w == nil:
		c.addWorker(info)
	case info.Incarnation == 0 || w.info.Incarnation == 0 || info.Incarnation == w.info.Incarnation:
		if info.Incarnation == 0 {
			info.Incarnation = w.info.Incarnation
		}
		w.info, w.unregistered, w.nextIncarnation = info, false, nil
	default:
		ask = w.nextIncarnation == nil
		w.nextIncarnation = &info
	}
	return ask
}

// InheritLeases sets the time, on the owner's clock, until which an earlier owner may have
// extended the leases of workers. It also applies to workers that register later: the
// registration of a running worker may have expired while the store was unavailable.
func (c *Core) InheritLeases(until time.Duration) {
	c.inherited = until
	for _, w := range c.workers {
		w.inheritedUntil = until
	}
}

// handleIncompleteRun handles the end of a run that did not complete its task. The task is
// queued again, or held, unless its job has ended.
func (c *Core) handleIncompleteRun(t *task, now time.Duration) {
	c.clearDisprovenCrashes(t)
	t.trial = 0
	if t.step.job.final != "" {
		c.release(t)
		t.step.set(t, t.step.stateWithoutRun())
		return
	}
	c.requeue(t)
}

// NextPoll returns the next poll of the worker; false if none is needed.
func (c *Core) NextPoll(id work.WorkerID, now time.Duration) (WorkerInfo, Hold, bool) {
	w := c.workers[id]
	if w == nil || w.gone || now > c.ordersUntil {
		return WorkerInfo{}, Hold{}, false
	}
	if w.idle() && !(w.ownershipUncertain && c.certain) {
		return WorkerInfo{}, Hold{}, false
	}
	h := Hold{Token: c.token}
	if !w.mayReachNextIncarnation() {
		h.AckedThrough = w.stored
	}
	if w.nextIncarnation != nil {
		h.next = w.nextIncarnation.Incarnation
	}
	if !w.contacted {
		return w.info, h, true
	}
	if len(w.tasks) > 0 || len(w.pendingEnds) > 0 {
		h.Wait = w.wait()
	}
	// After a missed poll, the next one is to tell at once whether the worker is alive: until
	// then nothing starts there.
	if w.missedPolls > 0 {
		h.Wait = min(h.Wait, pollWaitMin)
	}
	// A worker that missed a poll gets no further extension: its runs must be certain to end,
	// so that their tasks can start elsewhere.
	if len(w.tasks) > 0 && w.missedPolls == 0 {
		h.Deadline = w.clockNow(now) + min(LeaseExtension, c.bounds.MaxLease)
		w.deadline = max(w.deadline, h.Deadline)
	}
	// With these waits the full listing is needed, to resolve the state of a run or for
	// pacing.
	h.Brief = polling.Brief(now-w.listedAt, h.Wait == pollWaitMin || h.Wait == pollWaitServing || w.missedPolls > 0)
	return w.info, h, true
}

// idle reports whether a poll of the worker would tell nothing new.
func (w *worker) idle() bool {
	return w.contacted && len(w.tasks) == 0 && len(w.orphanedRuns) == 0 && len(w.pendingEnds) == 0 && !w.pollRequested &&
		w.acked >= w.seen && w.missedPolls == 0 && !w.unlisted && w.nextIncarnation == nil
}

// wait returns how long the answer to the next poll may wait for the end of a run.
func (w *worker) wait() time.Duration {
	serving, bestEffort, short := false, false, false
	if len(w.orphanedRuns) > 0 || len(w.pendingEnds) > 0 {
		return pollWaitMin
	}
	for _, t := range w.tasks {
		if t.state == taskUncertain || t.state == taskStopping {
			return pollWaitMin
		}
		serving = serving || t.step.spec.Serving()
		bestEffort = bestEffort || t.step.spec.BestEffort
		short = short || !t.step.spec.LongRunning
	}
	switch {
	case w.runsTrial((*task).suspect):
		return pollWaitMin
	case serving && bestEffort:
		return pollWaitServing
	case short:
		return pollWaitShortTasks
	}
	return pollWait
}

// PollUnread counts a poll that was not answered in time while this owner was overloaded. The
// answer may have arrived and not been read, so nothing follows about the worker. Taken for
// silent, the worker would not have its lease extended, and its runs would end.
func (c *Core) PollUnread() { c.unreadPolls++ }

// PollFailed records a poll that brought no listing, with its outcome o.
func (c *Core) PollFailed(id work.WorkerID, o Outcome, now time.Duration) {
	w := c.workers[id]
	if w == nil {
		return
	}
	switch o {
	case OutcomeFenced:
		c.deposed = true
		return
	case OutcomeOtherIncarnation:
		c.WorkerGone(id, "another incarnation answers", now)
		return
	}
	if w.missedPolls == 0 {
		w.missedSince = now
	}
	w.missedPolls++
	c.markSilent(w, now)
	if w.missedPolls == 1 && len(w.tasks) > 0 {
		c.log.Info("worker does not answer", "worker", id, "tasks", len(w.tasks), "outcome", o.String())
	}
	c.Expire(now)
}

// Expire queues the tasks of unreachable workers again, once their leases are certain to have
// ended.
func (c *Core) Expire(now time.Duration) {
	if !c.certain {
		return
	}
	for _, w := range c.workers {
		if w.missedPolls > 0 && len(w.tasks)+len(w.orphanedRuns) > 0 && w.expired(now) {
			c.log.Info("leases of an unreachable worker have run out", "worker", w.info.ID, "tasks", len(w.tasks))
			c.dropTasks(w, lossLease, now)
		}
	}
}

// PollAnswered records a worker's answer l to the poll h, which was sent at sent.
func (c *Core) PollAnswered(id work.WorkerID, h Hold, l Listing, sent, now time.Duration) {
	w := c.workers[id]
	if w == nil {
		return
	}
	c.now = now
	if l.Life != 0 && l.Life != w.info.Incarnation {
		switch {
		case c.hasEnded(id, l.Life):
			return
		case w.info.Incarnation == 0:
			w.info.Incarnation = l.Life
		default:
			w = c.workerRestarted(w, l.Life, now)
			h.AckedThrough = 0 // it counts the ends of the previous incarnation
		}
	}
	// That registration was known before this poll was sent, so it is of an earlier
	// incarnation.
	if w.nextIncarnation != nil && l.Life == w.info.Incarnation && h.next == w.nextIncarnation.Incarnation {
		c.endedIncarnations[id] = append(c.endedIncarnations[id], w.nextIncarnation.Incarnation)
		w.nextIncarnation = nil
	}
	w.observeClock(l.Clock, now)
	w.acked = max(w.acked, h.AckedThrough)
	if !w.contacted {
		c.log.Info("first answer from worker", "worker", id, "service", w.info.Service, "running", len(l.Running), "ended", len(l.Ended))
	} else if w.missedPolls > 0 {
		c.log.Info("worker answers again", "worker", id, "missed", w.missedPolls)
	}
	if !w.contacted {
		w.emptySince = now
	}
	w.expiredRuns = nil
	w.ownershipUncertain = (w.ownershipUncertain || !w.contacted) && !c.certain
	w.contacted, w.unlisted, w.moreEnds = true, false, l.MoreEnds
	w.missedPolls, w.silentSince, w.pollRequested = 0, 0, false
	for i := range l.Ended {
		if e := &l.Ended[i]; e.Seq > w.seen {
			w.seen = e.Seq
			c.handleEnd(w, e, now)
		}
	}
	if !l.Brief {
		w.listedAt = sent
		c.reconcileRunning(w, &l, sent, now)
	}
	c.observeLongRunning(w)
}

// reconcileRunning compares the runs that a worker listed with those that it should have.
func (c *Core) reconcileRunning(w *worker, l *Listing, sent, now time.Duration) {
	present := make(map[work.TaskRef]int, len(l.Running))
	for i := range l.Running {
		present[l.Running[i].Task] = l.Running[i].Run
		c.observeRun(w, &l.Running[i], now)
	}
	for ref, t := range w.tasks {
		if present[ref] != t.run && !l.MoreEnds {
			c.handleUnlistedTask(t, sent, now)
		}
	}
	for ref, run := range w.pendingEnds {
		if present[ref] != run && !l.MoreEnds {
			delete(w.pendingEnds, ref)
		}
	}
	for ref, s := range w.orphanedRuns {
		if _, runs := present[ref]; !runs && !l.MoreEnds && s.stopOK != 0 && s.stopOK < sent {
			delete(w.orphanedRuns, ref)
		}
	}
}

// observeRun takes over one run that a worker listed.
func (c *Core) observeRun(w *worker, r *Run, now time.Duration) {
	t := c.findListed(r.Task, now)
	if t == nil || t.state == taskDone {
		w.markOrphaned(r.Task, r.Run)
		return
	}
	if t.worker == nil && t.run <= r.Run || t.worker != nil && t.worker != w && t.run < r.Run {
		if t.step.job.final != "" {
			w.markOrphaned(r.Task, r.Run)
			return
		}
		// An earlier owner started the run, or it was thought lost. Of two runs, the one with
		// the higher number counts: it was started after the other had been settled.
		if t.worker != nil {
			t.worker.markOrphaned(t.ref, t.run)
		}
		c.clearPresumed(t, r.Run)
		if t.suspect() {
			c.requestTrial(t) // the run goes on, and may still crash the worker
		}
		c.log.Info("run adopted", "task", r.Task.String(), "run", r.Run, "worker", w.info.ID)
		delete(w.orphanedRuns, r.Task)
		c.attach(t, w, r.Run, taskActive, now)
		t.stopsListedFrom = now + c.bounds.StopGrace + expiryMargin
		if t.step.spec.LongRunning && r.Percent >= fullPercent {
			t.ranBefore = crashes.ClearedAfter
		}
	}
	if t.worker != w || t.run != r.Run {
		w.markOrphaned(r.Task, r.Run)
		return
	}
	if t.state == taskStarting || t.state == taskUncertain {
		c.attach(t, w, r.Run, taskActive, now)
	}
	t.confirmed = true
	if r.Checkpoint != "" {
		t.checkpoint, t.checkpointRun = r.Checkpoint, r.Run
	}
	c.clearDisprovenCrashes(t)
	t.listedAt = now
	if r.Percent != t.percent {
		t.percent, t.progressedAt = r.Percent, now
	}
	t.gauge = r.Gauge
}

// handleUnlistedTask handles a task that is recorded on the worker, but is listed neither as
// running nor as ended. A poll that was sent before the worker answered the start proves
// nothing: answers may overtake each other.
func (c *Core) handleUnlistedTask(t *task, sent, now time.Duration) {
	switch t.state {
	case taskActive:
		if t.answeredAt < sent {
			c.log.Info("run missing from its worker's listing", "task", t.ref.String(), "run", t.run)
			c.handleIncompleteRun(t, now)
		}
	case taskUncertain:
		// It may still start: the stop makes the worker reject it.
		if t.answeredAt < sent {
			t.step.set(t, taskStopping)
		}
	case taskStopping:
		// The answer to the stop is not enough: a run goes on for a while after it.
		if t.stopAnsweredAt != 0 && t.stopAnsweredAt < sent {
			c.handleIncompleteRun(t, now)
		}
	}
}

// handleEnd processes the end of a run. Its effect must be stored before it is acknowledged.
func (c *Core) handleEnd(w *worker, e *RunEnd, now time.Duration) {
	if s := w.orphanedRuns[e.Task]; s != nil && s.run <= e.Run {
		delete(w.orphanedRuns, e.Task)
	}
	if run, pending := w.pendingEnds[e.Task]; pending && run <= e.Run {
		delete(w.pendingEnds, e.Task)
	}
	c.endsSeen++
	w.unstored = append(w.unstored, endMark{seq: e.Seq, at: c.endsSeen})
	t := c.findListed(e.Task, now)
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
			c.handleIncompleteRun(t, now)
		}
	}
}

// taskDone processes the end of a run that did its work. current reports that it is the run
// recorded for the task.
func (c *Core) taskDone(w *worker, t *task, e *RunEnd, current bool, now time.Duration) {
	c.recordSuccess(w)
	if t.state == taskDone {
		return
	}
	if t.step.spec.LongRunning {
		if current {
			c.handleIncompleteRun(t, now)
		}
		return
	}
	if current {
		w.slowness = w.slowness.Observe(now-t.answeredAt, c.durationRatios.estimate(t.step))
		c.durationRatios.learn(t.step, now-t.answeredAt)
	}
	if t.step.spec.Gang {
		// The end of one member stands for the same run of all members.
		for _, member := range t.step.tasks {
			if member != t && member.worker != nil && member.run == e.Run {
				member.worker.pendingEnds[member.ref] = e.Run
			}
			c.markDone(member, e.Run)
		}
	} else {
		c.markDone(t, e.Run)
	}
	c.log.V(1).Info("task done", "task", t.ref.String(), "run", e.Run, "worker", w.info.ID)
	c.advance(t.step.job)
}

// markDone marks the task as done. If a run other than the one that ended goes on, it becomes
// an orphaned run, which is stopped.
func (c *Core) markDone(t *task, endedRun int) {
	if t.state == taskDone {
		return
	}
	if t.worker != nil && t.run != endedRun {
		t.worker.markOrphaned(t.ref, t.run)
	}
	c.release(t)
	t.step.set(t, taskDone)
	c.markDirty(t.step.job)
}

// advance removes finished occurrences, and completes the job when none is left.
func (c *Core) advance(j *job) {
	if j.final != "" {
		return
	}
	j.liveOccurrences = slices.DeleteFunc(j.liveOccurrences, (*occurrence).finished)
	c.countMemory(j)
	if len(j.liveOccurrences) == 0 && j.nextOccurrence >= j.Occurrences() {
		c.finish(j, work.Completed)
	}
}

// Pauses between starts of a long-running task that fails repeatedly.
const (
	initialRestartPause = 50 * time.Millisecond
	maxRestartPause     = 800 * time.Millisecond
)

// taskFailed processes the end of a run that failed. Each run counts once. current reports
// that it is the run recorded for the task.
func (c *Core) taskFailed(w *worker, t *task, e *RunEnd, current bool, now time.Duration) {
	if slices.Contains(t.failedRuns, e.Run) {
		return
	}
	c.log.Info("run failed", "task", t.ref.String(), "run", e.Run, "worker", w.info.ID, "failures", len(t.failedRuns)+1)
	lasted := time.Duration(0)
	if current {
		lasted = t.runTime(now)
	}
	c.recordFailure(w, t, lasted, now)
	t.failedRuns = append(t.failedRuns, e.Run)
	t.avoid = append(t.avoid, w.info.ID)
	if current {
		c.handleIncompleteRun(t, now)
	}
	j := t.step.job
	if j.final != "" || t.state == taskDone {
		return
	}
	c.markDirty(j)
	if t.step.spec.LongRunning {
		t.notBefore = now + min(maxRestartPause, initialRestartPause<<min(len(t.failedRuns), 4))
		return
	}
	if j.outOfAttempts(t) {
		c.finish(j, work.Failed)
	}
}
