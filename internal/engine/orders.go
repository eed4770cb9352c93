package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
)

// stopRetryInterval is how long after an unanswered stop the next one is sent.
const stopRetryInterval = 400 * time.Millisecond

// planStops adds the stops that are due: of tasks that must end, and of orphaned runs.
func (c *Core) planStops(now time.Duration, out *Orders) {
	for _, w := range c.workers {
		if w.gone || !w.contacted {
			continue
		}
		for _, t := range w.tasks {
			if t.state != taskStopping || t.stopAnsweredAt != 0 || t.stopSentAt != 0 && now < t.stopSentAt+stopRetryInterval {
				continue
			}
			t.stopSentAt = now
			out.Stops = append(out.Stops, StopOrder{Worker: w.info, Task: t.ref, Run: t.run})
		}
		for ref, s := range w.orphanedRuns {
			if s.stopOK != 0 || s.sent != 0 && now < s.sent+stopRetryInterval {
				continue
			}
			s.sent = now
			out.Stops = append(out.Stops, StopOrder{Worker: w.info, Task: ref, Run: s.run})
		}
	}
}

// issueStart reserves the placement and adds its start order.
func (c *Core) issueStart(p taskplan.Placement, now time.Duration, out *Orders) {
	w := c.workers[p.Worker]
	t := c.find(work.TaskRef{StepRef: p.Step.Ref, Index: p.Index})
	run := c.nextRun(t, out)
	c.attach(t, w, run, taskStarting, now)
	t.orderedAt, t.sentAt, t.answeredAt, t.ranBefore, t.confirmed = now, 0, 0, 0, false
	t.deadline = w.clockNow(now) + min(startValidity, c.bounds.MaxLease)
	w.deadline = max(w.deadline, t.deadline)
	t.step.advice.startIssued()
	j := t.step.job
	c.log.V(1).Info("start", "task", t.ref.String(), "run", run, "worker", w.info.ID, "waited", (now - j.accepted).String(),
		"config", c.declared.Version, "clock age", (now - w.clockAt).String(), "free milli cpu", w.info.Capacity.MilliCPU-w.load.reserved.MilliCPU)
	out.Starts = append(out.Starts, StartOrder{Worker: w.info, Start: Start{
		Task: t.ref, Run: run, Spec: t.step.job.Spec, Deadline: t.deadline, Token: c.token,
		Checkpoint: t.checkpoint, Ticket: t.step.ticketFor(w),
	}})
}

// nextRun returns the number of the task's next run; the members of a gang share one.
func (c *Core) nextRun(t *task, out *Orders) int {
	run := max(t.run, t.step.job.baseRun) + 1
	if !t.step.spec.Gang {
		return run
	}
	if given := c.gangRun(t, out); given != 0 {
		return given
	}
	for _, member := range t.step.tasks {
		run = max(run, member.run+1)
	}
	return run
}

// gangRun returns the run number that members of the gang were given in this plan; 0 if none
// was.
func (c *Core) gangRun(t *task, out *Orders) int {
	for i := range out.Starts {
		if out.Starts[i].Start.Task.StepRef == t.ref.StepRef {
			return out.Starts[i].Start.Run
		}
	}
	return 0
}

// StartSending records that the start is about to be sent; until then it waits for a
// connection to its worker. It returns false if the run was given up meanwhile: its worker may
// have restarted, and would start a task that starts elsewhere.
func (c *Core) StartSending(o StartOrder, now time.Duration) bool {
	t := c.find(o.Start.Task)
	if t == nil || t.run != o.Start.Run || t.worker == nil || t.worker.info.ID != o.Worker.ID {
		return false
	}
	t.sentAt = now
	return true
}

// StartAnswered records the outcome of a start.
func (c *Core) StartAnswered(o StartOrder, out Outcome, clock, now time.Duration) {
	w := c.workers[o.Worker.ID]
	same := w != nil && w.sameIncarnation(clock, now)
	if w != nil {
		if same {
			w.observeClock(clock, now)
		}
		switch out {
		case OutcomeUnknown, OutcomeNotSent:
			c.markSilent(w, now)
		case OutcomeOK:
			w.silentSince = 0
		}
	}
	if out == OutcomeFenced {
		c.deposed = true
	}
	t := c.find(o.Start.Task)
	if t != nil && w != nil && t.worker == w && t.run == o.Start.Run {
		t.confirmed = t.confirmed || out == OutcomeOK && same
		c.startAnswered(t, w, out, now)
	}
	// Only now: the start did not begin there, and the end of the incarnation says nothing
	// about its task.
	if out == OutcomeOtherIncarnation {
		c.WorkerGone(o.Worker.ID, "another incarnation answers", now)
	}
}

func (c *Core) startAnswered(t *task, w *worker, out Outcome, now time.Duration) {
	switch out {
	case OutcomeOK:
		c.started(t, w, now)
	case OutcomeUnknown:
		if t.state == taskStarting {
			t.step.set(t, taskUncertain)
			t.answeredAt = now
		}
	default:
		c.notStarted(t, w, out, now)
	}
}

func (c *Core) started(t *task, w *worker, now time.Duration) {
	switch t.state {
	case taskStarting, taskUncertain:
		c.attach(t, w, t.run, taskActive, now)
	case taskStopping:
		t.answeredAt = now
	}
	t.step.job.begun = true
	t.step.advice.ticketAccepted()
}

// How long a worker takes no tasks after it refused a start.
const (
	refusedPause = 500 * time.Millisecond // it is unhealthy: other workers are tried first
	latePause    = 20 * time.Millisecond  // its clock was misjudged; the next poll corrects that
)

// notStarted handles a start that is certain not to have been carried out.
func (c *Core) notStarted(t *task, w *worker, out Outcome, now time.Duration) {
	c.log.Info("start not carried out", "task", t.ref.String(), "run", t.run, "worker", w.info.ID, "outcome", out.String())
	switch out {
	case OutcomeNoCapacity:
		w.full, w.pollRequested = true, true
		w.closedUntil = now + pollWaitMin
	case OutcomeRefused, OutcomeNotSent:
		w.closedUntil = now + refusedPause
	case OutcomeLate:
		w.closedUntil = now + latePause
	case OutcomeNoTicket:
		t.step.advice.ticketRefused(w, now)
	}
	c.handleIncompleteRun(t, now)
}

// StopAnswered records the outcome of a stop.
func (c *Core) StopAnswered(o StopOrder, out Outcome, now time.Duration) {
	switch out {
	case OutcomeFenced:
		c.deposed = true
		return
	case OutcomeOtherIncarnation:
		c.WorkerGone(o.Worker.ID, "another incarnation answers", now)
		return
	}
	answered := out == OutcomeOK || out == OutcomeOldRun
	if w := c.workers[o.Worker.ID]; w != nil && answered {
		if s := w.orphanedRuns[o.Task]; s != nil && s.run <= o.Run {
			s.stopOK = now
		}
	}
	t := c.find(o.Task)
	if t == nil || t.run != o.Run || t.worker == nil || t.worker.info.ID != o.Worker.ID {
		return
	}
	if answered {
		t.stopAnsweredAt = now
	}
}
