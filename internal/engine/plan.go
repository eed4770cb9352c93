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

// judgeEvery separates looks at what every running task does. They go by what polls
// tell, which is up to a second old; a busy cell plans a hundred times a second.
const judgeEvery = 50 * time.Millisecond

// Plan decides what to order now. wall is the time of day, by which repeated
// jobs are due.
func (c *Core) Plan(now time.Duration, wall time.Time) Orders {
	var out Orders
	c.now = now
	if c.deposed || now > c.startsUntil {
		return out
	}
	c.forgetEnded(now)
	c.attributeDueCrashes(now)
	c.openOccurrences(now, wall)
	c.Expire(now)
	if now >= c.judged+judgeEvery {
		c.judged = now
		c.stragglers(now)
		c.planPacing(now, &out)
	}
	c.vacate(now)
	c.planStops(now, &out)
	c.findStrays()
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

type waiting struct {
	step *step
	rank joborder.Rank
}

// waitingSteps returns the steps with tasks that may start now.
func (c *Core) waitingSteps(now time.Duration) []waiting {
	var out []waiting
	settled := c.settled(now)
	if settled {
		c.resolvePresumed(now)
	}
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
				if s.spec.Requires != "" {
					c.sought[s.spec.Requires] = now
				}
				if rank == nil {
					r := joborder.RankOf(c.orderOf(j, o, now))
					rank = &r
					o.tier = r.Tier
				}
				out = append(out, waiting{step: s, rank: *rank})
			}
		}
	}
	return out
}

// orderOf describes a job to the order.
func (c *Core) orderOf(j *job, o *occurrence, now time.Duration) joborder.Job {
	out := joborder.Job{
		Priority:    j.queue.Priority,
		LongRunning: j.LongRunning(),
		Started:     j.begun,
		Age:         now - o.due,
		TotalWork:   j.size,
		MeanWork:    c.size(j.Queue).mean(),
		OverShare:   j.beyond,
	}
	chains := make([]time.Duration, len(o.steps))
	whole := make([]time.Duration, len(o.steps))
	for i, s := range o.steps {
		est := c.learned.estimate(s)
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
	c.held = false
	c.beginPlanAccounting(now)
	defer c.endPlanAccounting()
	workers := c.snapshots(now)
	if len(workers) == 0 {
		return
	}
	planner := taskplan.NewPlanner(workers)
	if slices.ContainsFunc(ws, func(w waiting) bool { return w.step.suspects() > 0 }) {
		planner.TrialWorkersLeft = c.trialCapacity(now)
	}
	for _, v := range ws {
		if len(out.Starts) >= c.mayStart {
			c.held = true
			break
		}
		// Steps that find no room, or none within their workspace's limit, are passed over
		// without a look at their tasks: hundreds of them wait.
		if !planner.MayFit(v.step.spec) || v.step.shareExhausted(planner) {
			continue
		}
		c.requestTrials(v.step, now)
		s := c.planStep(v.step, workers, now)
		if s == nil {
			continue
		}
		s.Tasks = s.Tasks[:v.step.startableWithinLimit(len(s.Tasks), planner)]
		if len(s.Tasks) == 0 {
			continue
		}
		if v.step.job.queue.Advised {
			v.step.askAdvice(workers, s.Permitted, now, out)
		}
		for _, p := range planner.Place(s) {
			c.issueStart(p, now, out)
			v.step.chargeStart()
		}
	}
	c.recordOtherWaiting(ws, now)
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
	s := c.planStep(st, workers, now)
	if s == nil {
		return
	}
	c.explained = now
	c.log.Info("work waits", "step", s.Ref.String(), "tasks", st.pending, "lasting", s.Step.LongRunning, "steps", len(ws),
		"milli cpu", s.Step.Size.MilliCPU, "memory mb", s.Step.Size.MemoryMB, "workers", taskplan.CountRejections(workers, s))
}

func (c *Core) snapshots(now time.Duration) []*taskplan.Worker {
	ordered := c.ordered()
	snaps := make([]taskplan.Worker, len(ordered))
	out := make([]*taskplan.Worker, len(ordered))
	c.busy = 0
	doubt, hazards := c.roomInDoubt(now), c.anyHazardousKind(now)
	for i, w := range ordered {
		if len(w.tasks) > 0 {
			c.busy++
		}
		w.snapshot(&snaps[i], now)
		snap := &snaps[i]
		snap.Closed = snap.Closed || doubt
		snap.LabelInDemand = c.seeks(w.info.Labels, now)
		if hazards {
			snap.HazardousJob = c.recentHazardousJob(w, now)
		}
		out[i] = snap
	}
	return out
}

// ordered returns the workers by ID. They are sorted as they come and go, not for each plan.
func (c *Core) ordered() []*worker {
	if c.sorted == nil {
		c.sorted = slices.SortedFunc(maps.Values(c.workers), func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return c.sorted
}

// soughtFor is how long room is kept for work that asks for a label after the last
// of it waited: steps of a job follow each other within seconds.
const soughtFor = 10 * time.Second

// seeks reports whether work asked for one of the labels of late.
func (c *Core) seeks(labels []string, now time.Duration) bool {
	return len(c.sought) > 0 && slices.ContainsFunc(labels, func(label string) bool {
		at, known := c.sought[label]
		return known && now < at+soughtFor
	})
}

// mayBegin reports whether the task may start at all now. While a later owner can
// exist, a task that was started before is its business: it may have adopted the
// run, or acknowledged its end. One that was never started it leaves alone until
// it has fenced every worker.
func (c *Core) mayBegin(t *task) bool {
	if !c.certain && (t.run > 0 || t.step.job.restored) {
		return false
	}
	return !c.astray[t.ref]
}

// findStrays notes of which tasks a run is still to be stopped somewhere.
func (c *Core) findStrays() {
	clear(c.astray)
	for _, w := range c.workers {
		for ref := range w.orphanedRuns {
			c.astray[ref] = true
		}
	}
}

// isDue reports whether the task waits for a worker now.
func (c *Core) isDue(t *task, now time.Duration) bool {
	return t.state == taskPending && now >= t.notBefore && c.mayBegin(t)
}

// planStep describes a step to the plan; nil where none of it may start yet.
func (c *Core) planStep(s *step, workers []*taskplan.Worker, now time.Duration) *taskplan.Step {
	ps := &taskplan.Step{
		Ref: s.ref(), Step: s.spec, OnWorker: make(map[work.WorkerID]int),
		Hazardous: !s.spec.LongRunning && c.kindOf(s.job).Hazardous(now),
	}
	for _, t := range s.tasks {
		if c.isDue(t, now) && t.mayBeTried() {
			ps.Tasks = append(ps.Tasks, taskplan.Task{Index: t.ref.Index, Avoid: t.avoided(c.workers), Suspect: t.suspect()})
		}
		if t.where != nil {
			ps.OnWorker[t.where.info.ID]++
		}
	}
	if len(ps.Tasks) == 0 || s.spec.Gang && len(ps.Tasks) < len(s.tasks)-s.done {
		return nil
	}
	if s.job.queue.Advised {
		ps.Permitted = s.permitted(workers, now)
	}
	return ps
}
