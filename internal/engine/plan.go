package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/joborder"
	"github.com/pumicestage/pumicestage/policy/pacing"
	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
)

// StartOrder is a start for one worker.
type StartOrder struct {
	Worker WorkerInfo
	Start  Start
}

// StopOrder is a stop of one run.
type StopOrder struct {
	Worker WorkerInfo
	Task   work.TaskRef
	Run    int
}

// PaceOrder sets how much of its share a fill task uses.
type PaceOrder struct {
	Worker  WorkerInfo
	Task    work.TaskRef
	Run     int
	Percent int
}

// AdviceOrder asks the advisor about a step.
type AdviceOrder struct {
	Step    work.StepRef
	Workers []work.WorkerID
}

// Orders are what a plan asks to be done.
type Orders struct {
	Starts []StartOrder
	Stops  []StopOrder
	Paces  []PaceOrder
	Advice []AdviceOrder
}

// stopAgain is after how long a stop without an answer is sent again.
const stopAgain = 400 * time.Millisecond

// Plan decides what to order now. wall is the time of day, by which repeated
// jobs are due.
func (c *Core) Plan(now time.Duration, wall time.Time) Orders {
	var out Orders
	c.now = now
	if c.deposed || now > c.startsUntil {
		return out
	}
	c.openOccurrences(now, wall)
	c.Expire(now)
	c.stragglers(now)
	c.vacate(now)
	c.planStops(now, &out)
	c.planPaces(now, &out)
	c.planWaiting(c.waitingSteps(now), now, &out)
	return out
}

// openOccurrences adds what is due.
func (c *Core) openOccurrences(now time.Duration, wall time.Time) {
	for _, j := range c.open {
		for j.next < j.Occurrences() {
			due := now
			if j.Timed() {
				if at := j.Schedule.Due(j.next); wall.Before(at) {
					break
				}
			} else {
				due = j.accepted
			}
			j.addOccurrence(due)
		}
	}
}

// planStops sends the stops that are due: of tasks that must end, and of runs
// that nobody wants.
func (c *Core) planStops(now time.Duration, out *Orders) {
	for _, w := range c.workers {
		if w.gone || !w.heard {
			continue
		}
		for _, t := range w.tasks {
			if t.state != taskStopping || t.stopOK != 0 || t.stopSent != 0 && now < t.stopSent+stopAgain {
				continue
			}
			t.stopSent = now
			out.Stops = append(out.Stops, StopOrder{Worker: w.info, Task: t.ref, Run: t.run})
		}
		for ref, run := range w.strays {
			out.Stops = append(out.Stops, StopOrder{Worker: w.info, Task: ref, Run: run})
		}
		// A stray that runs on is listed again by the next look.
		clear(w.strays)
	}
}

// planPaces slows fill tasks where serving ones beside them are over target.
func (c *Core) planPaces(now time.Duration, out *Orders) {
	for _, w := range c.workers {
		if w.gone || w.missed > 0 {
			continue
		}
		load, filling := pacingLoad(w)
		if len(filling) == 0 {
			continue
		}
		for _, t := range filling {
			want := pacing.Next(t.pace, load)
			if want == t.pace || t.paceSent != 0 && now < t.paceSent+c.paceEvery(want < t.pace) {
				continue
			}
			t.pace, t.paceSent = want, now
			out.Paces = append(out.Paces, PaceOrder{Worker: w.info, Task: t.ref, Run: t.run, Percent: want})
		}
	}
}

// paceEvery is the least time between changes of one task's pace: a worker's
// gauge covers half a second, and a change shows after the deployment's delay.
func (c *Core) paceEvery(down bool) time.Duration {
	if down {
		return gaugeSpan + c.bounds.PaceDelay
	}
	return 2 * (gaugeSpan + c.bounds.PaceDelay)
}

// gaugeSpan is what a worker's gauge is taken over.
const gaugeSpan = 500 * time.Millisecond

func pacingLoad(w *worker) (pacing.Load, []*task) {
	var load pacing.Load
	var filling []*task
	for _, t := range w.tasks {
		if t.state != taskActive {
			continue
		}
		if t.step.spec.Fill {
			filling = append(filling, t)
		} else if t.step.spec.Serving() && t.atWork() {
			tail := time.Duration(t.gauge) * time.Millisecond
			load.Worst = max(load.Worst, float64(tail)/float64(t.step.spec.TargetTail))
		}
	}
	return load, filling
}

type waiting struct {
	step *step
	rank joborder.Rank
}

// waitingSteps returns the steps with tasks that may start now.
func (c *Core) waitingSteps(now time.Duration) []waiting {
	var out []waiting
	settled := c.settled(now)
	for _, j := range c.open {
		if j.restored && !settled {
			continue
		}
		var rank *joborder.Rank
		for _, o := range j.live {
			for _, s := range o.steps {
				if s.pending == 0 || !s.ready() {
					continue
				}
				if rank == nil {
					r := joborder.Of(c.orderOf(j, o, now))
					rank = &r
				}
				out = append(out, waiting{step: s, rank: *rank})
			}
		}
	}
	return out
}

// settled reports whether nothing that an earlier owner started can be running
// unknown to us: every worker was heard, or the leases it may have
// are certain to be over. Registrations alone don't tell which workers there are:
// they lapse while the store is away, and the workers run on.
func (c *Core) settled(now time.Duration) bool {
	if now >= c.inherited {
		return true
	}
	if !c.fleetKnown {
		return false
	}
	for id, pool := range c.alive {
		if pool != c.cell || c.over[id] {
			continue
		}
		if w := c.workers[id]; w == nil || !w.heard {
			return false
		}
	}
	for _, w := range c.workers {
		if !w.heard {
			return false
		}
	}
	return true
}

// SetFleet says which workers are alive by the platform's list of VMs.
func (c *Core) SetFleet(vms []work.VM) {
	c.fleetKnown = true
	c.alive = make(map[work.WorkerID]string, len(vms))
	for _, vm := range vms {
		if vm.State == work.VMUp && vm.Worker != "" {
			c.alive[vm.Worker] = vm.Pool
		}
	}
}

// orderOf describes a job to the order.
func (c *Core) orderOf(j *job, o *occurrence, now time.Duration) joborder.Job {
	out := joborder.Job{
		Priority: j.queue.Priority,
		Lasting:  j.Lasting(),
		Begun:    j.begun,
		Waited:   now - o.due,
		Size:     j.size,
		MeanSize: c.size(j.Queue).mean(),
	}
	chains := make([]time.Duration, len(o.steps))
	whole := make([]time.Duration, len(o.steps))
	for i, s := range o.steps {
		est := c.learned.estimate(s)
		left := len(s.tasks) - s.done
		if left > 0 {
			chains[i] = est
			out.Work += est.Seconds() * cores(s.spec.Size) * float64(left)
		}
		whole[i] = est
		var before, beforeWhole time.Duration
		for _, a := range s.spec.After {
			before = max(before, chains[a])
			beforeWhole = max(beforeWhole, whole[a])
		}
		chains[i] += before
		whole[i] += beforeWhole
		out.Chain = max(out.Chain, chains[i])
		out.Objective = max(out.Objective, whole[i])
	}
	out.Objective = time.Duration(float64(out.Objective)*max(1, j.queue.Stretch)) + j.queue.Slack
	return out
}

// planWaiting places the waiting steps.
func (c *Core) planWaiting(ws []waiting, now time.Duration, out *Orders) {
	slices.SortStableFunc(ws, func(a, b waiting) int {
		if a.rank.Before(b.rank) {
			return -1
		}
		if b.rank.Before(a.rank) {
			return 1
		}
		return 0
	})
	workers := c.snapshots(now)
	if len(workers) == 0 {
		return
	}
	most := taskplan.MostFree(taskplan.Open(workers))
	var steps []*taskplan.Step
	for _, v := range ws {
		if !taskplan.Reserved(v.step.spec).Fits(most) {
			continue
		}
		if s := c.planStep(v.step, workers, now, out); s != nil {
			steps = append(steps, s)
		}
	}
	for _, p := range taskplan.Plan(workers, steps) {
		c.order(p, now, out)
	}
	c.explain(ws, workers, now)
}

// explainEvery bounds the log lines about work that waits.
const explainEvery = 1 * time.Second

// explain logs what keeps the first waiting step from running.
func (c *Core) explain(ws []waiting, workers []*taskplan.Worker, now time.Duration) {
	i := slices.IndexFunc(ws, func(w waiting) bool { return w.step.pending > 0 })
	if i < 0 || now < c.explained+explainEvery {
		return
	}
	st := ws[i].step
	s := c.planStep(st, workers, now, &Orders{})
	if s == nil {
		return
	}
	c.explained = now
	c.log.Info("work waits", "step", s.Ref.String(), "tasks", st.pending, "lasting", s.Step.Lasting, "steps", len(ws),
		"milli cpu", s.Step.Size.MilliCPU, "memory mb", s.Step.Size.MemoryMB, "workers", taskplan.Binding(workers, s))
}

func (c *Core) snapshots(now time.Duration) []*taskplan.Worker {
	out := make([]*taskplan.Worker, 0, len(c.workers))
	for _, w := range c.workers {
		out = append(out, w.snapshot(now))
	}
	slices.SortFunc(out, func(a, b *taskplan.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// planStep describes a step to the plan; nil where none of it may start yet.
func (c *Core) planStep(s *step, workers []*taskplan.Worker, now time.Duration, out *Orders) *taskplan.Step {
	ps := &taskplan.Step{Ref: s.ref(), Step: s.spec, OnWorker: make(map[work.WorkerID]int)}
	for _, t := range s.tasks {
		if t.state == taskPending && now >= t.notBefore {
			ps.Tasks = append(ps.Tasks, taskplan.Task{Index: t.ref.Index, Avoid: t.avoid})
		}
		if t.where != nil {
			ps.OnWorker[t.where.info.ID]++
		}
	}
	if len(ps.Tasks) == 0 || s.spec.Gang && len(ps.Tasks) < len(s.tasks)-s.done {
		return nil
	}
	if s.job.queue.Advised {
		ps.Permitted = c.permitted(s, workers, now, out)
	}
	return ps
}

// Advice is asked for in small batches: each worker asked about takes the
// advisor's time, and the deployments' objectives count one call on 30.
const (
	adviceBatch = 30
	adviceAgain = 1500 * time.Millisecond
	// ticketMargin keeps a start from arriving with a ticket that just ran out.
	ticketMargin = 150 * time.Millisecond
)

// permitted returns the workers with valid tickets, and asks for more.
func (c *Core) permitted(s *step, workers []*taskplan.Worker, now time.Duration, out *Orders) map[work.WorkerID]bool {
	ok := make(map[work.WorkerID]bool)
	var ask []work.WorkerID
	for _, w := range workers {
		if t, has := s.tickets[w.ID]; has && now+ticketMargin < t.expires {
			ok[w.ID] = true
			continue
		}
		if taskplan.Reserved(s.spec).Fits(w.Free) && len(ask) < adviceBatch {
			ask = append(ask, w.ID)
		}
	}
	due := s.asked == 0 || now >= s.asked+adviceAgain
	if !s.asking && len(ask) > 0 && due && len(ok) < s.pending {
		s.asking, s.asked = true, now
		out.Advice = append(out.Advice, AdviceOrder{Step: s.ref(), Workers: ask})
	}
	return ok
}

// Advised takes the advisor's answer over.
func (c *Core) Advised(ref work.StepRef, tickets []Ticket, validity time.Duration, now time.Duration) {
	t := c.find(work.TaskRef{StepRef: ref})
	if t == nil {
		return
	}
	s := t.step
	s.asking = false
	if s.tickets == nil {
		s.tickets = make(map[work.WorkerID]ticket)
	}
	for _, tk := range tickets {
		s.tickets[tk.Worker] = ticket{text: tk.Ticket, expires: now + validity}
	}
}

// order books the placement and makes its start.
func (c *Core) order(p taskplan.Placement, now time.Duration, out *Orders) {
	w := c.workers[p.Worker]
	t := c.find(work.TaskRef{StepRef: p.Step.Ref, Index: p.Index})
	run := c.nextRun(t, out)
	c.attach(t, w, run, taskStarting, now)
	t.sent = now
	t.deadline = w.clockNow(now) + min(startAhead, c.bounds.MaxHold)
	w.deadline = max(w.deadline, t.deadline)
	j := t.step.job
	c.log.V(1).Info("start", "task", t.ref.String(), "run", run, "worker", w.info.ID, "waited", (now - j.accepted).String(),
		"config", c.declared.Version, "clock age", (now - w.clockAt).String(), "free milli cpu", w.info.Capacity.MilliCPU-w.used().MilliCPU)
	out.Starts = append(out.Starts, StartOrder{Worker: w.info, Start: Start{
		Task: t.ref, Run: run, Spec: t.step.job.Spec, Deadline: t.deadline, Token: c.token,
		Checkpoint: t.checkpoint, Ticket: t.step.tickets[w.info.ID].text,
	}})
}

// nextRun numbers a start; the members of a gang share theirs.
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

// gangRun returns the run that members of the gang were given in this plan.
func (c *Core) gangRun(t *task, out *Orders) int {
	for i := range out.Starts {
		if out.Starts[i].Start.Task.StepRef == t.ref.StepRef {
			return out.Starts[i].Start.Run
		}
	}
	return 0
}

// StartAnswered takes over what became of a start.
func (c *Core) StartAnswered(o StartOrder, out Outcome, clock, now time.Duration) {
	w := c.workers[o.Worker.ID]
	if w != nil {
		w.clockSaid(clock, now)
	}
	if out == OutcomeFenced {
		c.deposed = true
	}
	if out == OutcomeOtherLife {
		c.WorkerGone(o.Worker.ID, "another life answers", now)
	}
	t := c.find(o.Start.Task)
	if t == nil || w == nil || t.where != w || t.run != o.Start.Run {
		return
	}
	switch out {
	case OutcomeOK:
		c.started(t, w, now)
	case OutcomeUnknown:
		if t.state == taskStarting {
			t.step.set(t, taskDoubtful)
			t.answered = now
		}
	default:
		c.notStarted(t, w, out, now)
	}
}

func (c *Core) started(t *task, w *worker, now time.Duration) {
	switch t.state {
	case taskStarting, taskDoubtful:
		c.attach(t, w, t.run, taskActive, now)
	case taskStopping:
		t.answered = now
	}
	t.step.job.begun = true
}

// Pauses of a worker after it refused a start.
const (
	refusedPause = 500 * time.Millisecond // unhealthy: others first
	latePause    = 20 * time.Millisecond  // its clock was misjudged; a look corrects that
)

// notStarted handles a start that certainly did not happen.
func (c *Core) notStarted(t *task, w *worker, out Outcome, now time.Duration) {
	c.log.Info("start refused", "task", t.ref.String(), "run", t.run, "worker", w.info.ID, "outcome", out.String())
	switch out {
	case OutcomeNoRoom:
		w.full = true
		w.closedUntil = now + lookPause
	case OutcomeRefused, OutcomeNotSent:
		w.closedUntil = now + refusedPause
	case OutcomeLate:
		w.closedUntil = now + latePause
	case OutcomeNoTicket:
		delete(t.step.tickets, w.info.ID)
	}
	c.ranOut(t, now)
}

// StopAnswered takes over what became of a stop.
func (c *Core) StopAnswered(o StopOrder, out Outcome, now time.Duration) {
	switch out {
	case OutcomeFenced:
		c.deposed = true
		return
	case OutcomeOtherLife:
		c.WorkerGone(o.Worker.ID, "another life answers", now)
		return
	}
	t := c.find(o.Task)
	if t == nil || t.run != o.Run || t.where == nil || t.where.info.ID != o.Worker.ID {
		return
	}
	if out == OutcomeOK || out == OutcomeOld {
		t.stopOK = now
	}
}
