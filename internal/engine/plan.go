package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/joborder"
	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
)

// StartOrder is an order to a worker to start one run.
type StartOrder struct {
	Worker WorkerInfo
	Start  Start
}

// StopOrder is an order to a worker to stop one run.
type StopOrder struct {
	Worker WorkerInfo
	Task   work.TaskRef
	Run    int
}

// PaceOrder sets the percentage of its processor share that a best-effort task may use. Such a
// task runs on processor time that others leave.
type PaceOrder struct {
	Worker  WorkerInfo
	Task    work.TaskRef
	Run     int
	Percent int
}

// AdviceOrder asks the advisor which of the workers may run a step.
type AdviceOrder struct {
	Step    work.StepRef
	Workers []work.WorkerID
	Timeout time.Duration // of the call, not counting the wait for other calls of this entry VM
}

// Orders are the result of a plan, to be carried out.
type Orders struct {
	Starts []StartOrder
	Stops  []StopOrder
	Paces  []PaceOrder
	Advice []AdviceOrder
}

// progressCheckInterval is the time between two checks of the progress of all running tasks.
// Progress comes from polls and is up to a second old, while a busy cell makes a hundred plans a
// second.
const progressCheckInterval = 50 * time.Millisecond

// Plan decides which orders to give now. wall is the time of day, which decides when the
// occurrences of scheduled jobs are due. The orders are empty if the core is deposed or may
// give no orders at this time (see AllowUntil).
func (c *Core) Plan(now time.Duration, wall time.Time) Orders {
	var out Orders
	c.now = now
	if c.deposed || now > c.ordersUntil {
		return out
	}
	c.forgetEnded(now)
	maps.DeleteFunc(c.labelWantedAt, func(_ string, at time.Duration) bool { return now >= at+labelDemandWindow })
	c.attributeDueCrashes(now)
	c.openOccurrences(now, wall)
	c.Expire(now)
	if now >= c.progressCheckedAt+progressCheckInterval {
		c.progressCheckedAt = now
		c.stopStragglers(now)
		c.planPacing(now, &out)
	}
	c.vacate(now, &out)
	c.planStops(now, &out)
	c.findOrphanedRuns()
	c.planWaiting(c.waitingSteps(now), now, &out)
	return out
}

// openOccurrences adds the occurrences of open jobs that are due.
func (c *Core) openOccurrences(now time.Duration, wall time.Time) {
	c.wall = wall
	for _, j := range c.open {
		for j.nextOccurrence < j.Occurrences() && c.mayOpenOccurrence(j) {
			due := now
			if j.Timed() {
				if at := j.Schedule.Due(j.nextOccurrence); wall.Before(at) {
					break
				}
			} else {
				due = j.accepted
			}
			j.addOccurrence(due)
			c.countMemory(j)
		}
	}
}

// waitingStep is a step with pending tasks and the rank of its job.
type waitingStep struct {
	step *step
	rank joborder.Rank
}

// waitingSteps returns the steps with pending tasks whose dependencies are done. Steps of
// restored jobs are included only once it is settled what earlier owners left running.
func (c *Core) waitingSteps(now time.Duration) []waitingStep {
	var out []waitingStep
	settled := c.settled(now)
	if settled {
		c.resolvePresumed(now)
	}
	for _, j := range c.open {
		if j.restored && !settled {
			continue
		}
		var rank *joborder.Rank
		for _, o := range j.liveOccurrences {
			if now < o.due {
				continue
			}
			for _, s := range o.steps {
				if s.pending == 0 || !s.ready() {
					continue
				}
				if s.spec.Requires != "" {
					c.labelWantedAt[s.spec.Requires] = now
				}
				if rank == nil {
					r := joborder.RankOf(c.rankInput(j, o, now))
					rank = &r
					o.tier = r.Tier
				}
				out = append(out, waitingStep{step: s, rank: *rank})
			}
		}
	}
	return out
}

// maxOverlap is the number of open occurrences of a job beyond which they come faster than they can run.
// The job then goes after others, which it would keep waiting for good.
const maxOverlap = 8

// rankInput returns what the rank of a job's occurrence is computed from.
func (c *Core) rankInput(j *job, o *occurrence, now time.Duration) joborder.Job {
	out := joborder.Job{
		Priority:    j.queue.Priority,
		LongRunning: j.LongRunning(),
		Started:     j.begun,
		Age:         now - o.due,
		TotalWork:   j.size,
		MeanWork:    c.queueSize(j.Queue).mean(),
		OverShare:   j.overShare || len(j.liveOccurrences) > maxOverlap,
	}
	chains := make([]time.Duration, len(o.steps))
	whole := make([]time.Duration, len(o.steps))
	for i, s := range o.steps {
		est := c.durationRatios.estimate(s)
		left := len(s.tasks) - s.done
		if left > 0 {
			chains[i] = est
			out.RemainingWork += est.Seconds() * s.spec.Size.Cores() * float64(left)
		}
		whole[i] = est
		var before, beforeWhole time.Duration
		for _, a := range s.spec.After {
			before = max(before, chains[a])
			beforeWhole = max(beforeWhole, whole[a])
		}
		chains[i] += before
		whole[i] += beforeWhole
		out.CriticalPath = max(out.CriticalPath, chains[i])
		out.Objective = max(out.Objective, whole[i])
	}
	out.Objective = time.Duration(float64(out.Objective)*max(1, j.queue.Stretch)) + j.queue.Slack
	return out
}

// planWaiting adds start orders for the waiting steps, in the order of their rank.
func (c *Core) planWaiting(ws []waitingStep, now time.Duration, out *Orders) {
	slices.SortStableFunc(ws, func(a, b waitingStep) int {
		if a.rank.Before(b.rank) {
			return -1
		}
		if b.rank.Before(a.rank) {
			return 1
		}
		return 0
	})
	c.startsDeferred = false
	c.beginPlanAccounting(now)
	defer c.endPlanAccounting()
	workers := c.snapshots(now)
	if len(workers) == 0 {
		return
	}
	planner := taskplan.NewPlanner(workers)
	c.plans++
	if slices.ContainsFunc(ws, func(w waitingStep) bool { return w.step.suspects() > 0 }) {
		planner.TrialWorkersLeft = c.trialCapacity(now)
	}
	c.placeWaiting(ws, planner, workers, now, out)
	if planner.LimitsLeft() {
		c.placeRetries(ws, planner, workers, now, out)
	}
	c.recordOtherWaiting(ws, now)
	c.observeWanted(ws, workers, now)
	c.explain(ws, workers, now)
}

// placeWaiting adds start orders for the waiting steps.
func (c *Core) placeWaiting(ws []waitingStep, planner *taskplan.Planner, workers []*taskplan.Worker, now time.Duration, out *Orders) {
	for _, v := range ws {
		if len(out.Starts) >= c.startsLeft {
			c.startsDeferred = true
			c.keepTurns()
			break
		}
		// Steps that fit on no worker, or not within their workspace's limit, are skipped
		// before their tasks are examined: hundreds of them may wait.
		if !planner.MayFit(v.step.spec) {
			continue
		}
		if v.step.shareExhausted() {
			c.holdBack(v.step, v.step.pending, planner, workers, now)
			continue
		}
		c.requestTrials(v.step, now)
		s := c.planStep(v.step, workers, now)
		if s == nil {
			continue
		}
		if n := v.step.startableWithinLimit(len(s.Tasks)); n < len(s.Tasks) {
			c.holdBack(v.step, len(s.Tasks)-n, planner, workers, now)
			s.Tasks = s.Tasks[:n]
		}
		if len(s.Tasks) == 0 {
			continue
		}
		if v.step.job.queue.Advised {
			c.askAdvice(v.step, s, workers, now, out)
		}
		started := c.place(v.step, s, planner, now, out)
		if v.step.job.queue.Advised {
			v.step.recordAwaitingTickets(len(s.Tasks) - started)
		}
	}
}

// placeRetries adds start orders for tasks that failed before, on workers on probation that no
// other waiting task uses.
func (c *Core) placeRetries(ws []waitingStep, planner *taskplan.Planner, workers []*taskplan.Worker, now time.Duration, out *Orders) {
	for _, v := range ws {
		if len(out.Starts) >= c.startsLeft || !planner.LimitsLeft() {
			return
		}
		if v.step.pending == 0 || !planner.MayFit(v.step.spec) {
			continue
		}
		s := c.planStep(v.step, workers, now)
		if s == nil || !slices.ContainsFunc(s.Tasks, func(t taskplan.Task) bool { return len(t.Avoid) > 0 }) {
			continue
		}
		s.RetryTrials = true
		s.Tasks = s.Tasks[:v.step.startableWithinLimit(len(s.Tasks))]
		c.place(v.step, s, planner, now, out)
	}
}

// place adds start orders for those of the step's tasks that the planner places, and returns their
// number.
func (c *Core) place(st *step, s *taskplan.Step, planner *taskplan.Planner, now time.Duration, out *Orders) int {
	s.Zone = c.preferredZone(st, planner)
	placed := planner.Place(s)
	for _, p := range placed {
		c.issueStart(p, now, out)
		st.chargeStart()
	}
	return len(placed)
}

// explainInterval is the minimum time between two log lines about waiting work.
const explainInterval = 1 * time.Second

// explain logs why the workers don't take the first waiting step, at most once in
// explainInterval.
func (c *Core) explain(ws []waitingStep, workers []*taskplan.Worker, now time.Duration) {
	i := slices.IndexFunc(ws, func(w waitingStep) bool { return w.step.pending > 0 })
	if i < 0 || now < c.explainedAt+explainInterval {
		return
	}
	st := ws[i].step
	s := c.planStep(st, workers, now)
	if s == nil {
		return
	}
	c.explainedAt = now
	c.log.Info("work is waiting", "step", s.Ref.String(), "tasks", st.pending, "lasting", s.Step.LongRunning, "steps", len(ws),
		"milli cpu", s.Step.Size.MilliCPU, "memory mb", s.Step.Size.MemoryMB, "workers", taskplan.CountRejections(workers, s), "closed by", c.closedReasons(workers, now))
}

// closedReasons counts the workers that take no new tasks, by the reason.
func (c *Core) closedReasons(workers []*taskplan.Worker, now time.Duration) map[closedReason]int {
	out := make(map[closedReason]int)
	for _, snap := range workers {
		reason := c.workers[snap.ID].closedReason(now)
		switch {
		case reason != notClosed:
			out[reason]++
		case snap.Closed:
			out[closedCapacity]++
		case snap.Limit == 0:
			out[closedProbation]++
		}
	}
	return out
}

// snapshots returns the workers by ID as the planner sees them, and updates busyWorkers.
func (c *Core) snapshots(now time.Duration) []*taskplan.Worker {
	ordered := c.ordered()
	snaps := make([]taskplan.Worker, len(ordered))
	out := make([]*taskplan.Worker, len(ordered))
	c.busyWorkers = 0
	doubt, hazards := c.capacityUncertain(now), c.anyHazardousKind(now)
	for i, w := range ordered {
		if len(w.tasks) > 0 {
			c.busyWorkers++
		}
		w.snapshot(&snaps[i], now)
		snap := &snaps[i]
		snap.Closed = snap.Closed || doubt
		if c.bounds.KeepJobsInZone {
			snap.Zone = w.info.Zone
		}
		snap.LabelInDemand = c.labelInDemand(w.info.Labels, now)
		if hazards {
			snap.HazardousJob = c.recentHazardousJob(w, now)
		}
		out[i] = snap
	}
	return out
}

// ordered returns the workers sorted by ID. They are sorted again only after one came or went,
// not for each plan.
func (c *Core) ordered() []*worker {
	if c.sorted == nil {
		c.sorted = slices.SortedFunc(maps.Values(c.workers), func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return c.sorted
}

// labelDemandWindow is how long workers with a label are kept for work that requires it, after
// such work last waited: the steps of a job follow each other within seconds.
const labelDemandWindow = 10 * time.Second

// labelInDemand reports whether a step that requires one of the labels has waited within
// labelDemandWindow.
func (c *Core) labelInDemand(labels []string, now time.Duration) bool {
	return len(c.labelWantedAt) > 0 && slices.ContainsFunc(labels, func(label string) bool {
		at, known := c.labelWantedAt[label]
		return known && now < at+labelDemandWindow
	})
}

// startAllowed reports whether the task may be started at all now. While a later owner may
// exist, a task that was started before, or whose job an earlier owner accepted, is left to that
// later owner, which may have adopted the run or acknowledged its end. A task that was never
// started may start: a later owner does not start it before it has fenced every worker. No task
// starts while an orphaned run of it is to be stopped.
func (c *Core) startAllowed(t *task) bool {
	if !c.certain && (t.run > 0 || t.step.job.restored) {
		return false
	}
	return !c.orphaned[t.ref]
}

// findOrphanedRuns updates the set of tasks that have an orphaned run, which is still to be
// stopped, on some worker.
func (c *Core) findOrphanedRuns() {
	clear(c.orphaned)
	for _, w := range c.workers {
		for ref := range w.orphanedRuns {
			c.orphaned[ref] = true
		}
	}
}

// isDue reports whether the task is pending and may start now.
func (c *Core) isDue(t *task, now time.Duration) bool {
	return t.state == taskPending && now >= t.notBefore && c.startAllowed(t)
}

// planStep returns the step's tasks that may start now, as the planner takes them; nil if there
// are none, or if the step is a gang and not all of its remaining tasks may start.
func (c *Core) planStep(s *step, workers []*taskplan.Worker, now time.Duration) *taskplan.Step {
	ps := &taskplan.Step{
		Ref: s.ref(), Step: s.spec, OnWorker: make(map[work.WorkerID]int),
		Hazardous: !s.spec.LongRunning && c.kindOf(s.job).Hazardous(now),
	}
	for _, t := range s.tasks {
		if c.isDue(t, now) && t.mayBeTried() {
			ps.Tasks = append(ps.Tasks, taskplan.Task{Index: t.ref.Index, Avoid: t.avoided(c.workers), Suspect: t.suspect()})
		}
		if t.worker != nil {
			ps.OnWorker[t.worker.info.ID]++
		}
	}
	if len(ps.Tasks) == 0 || s.spec.Gang && len(ps.Tasks) < len(s.tasks)-s.done {
		return nil
	}
	if s.job.queue.Advised {
		ps.Permitted = c.permitted(s, workers, now)
	}
	return ps
}
