package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/joborder"
	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

// Explanation describes the state of a job and the reasons for it, as its cell's owner sees it. Owners
// send it to other entry VMs in msgpack, which encodes the fields of Explanation and of the types
// below it under their Go names.
type Explanation struct {
	Job     work.JobID `json:"job"`
	Queue   string     `json:"queue"`
	Service string     `json:"service"`
	State   work.State `json:"state"`

	Workspace work.WorkspaceName `json:"workspace,omitempty"`
	// Token is the fencing token of the explaining owner's term, Config the version of the
	// configuration that it uses.
	Token  int64 `json:"token"`
	Config int64 `json:"config"`

	Age       time.Duration `json:"age_ns"`       // since its acceptance
	Objective time.Duration `json:"objective_ns"` // time to finish in, from its acceptance
	Left      time.Duration `json:"left_ns"`      // run time of the longest chain of dependent work still to do, by the owner's estimate
	Tier      string        `json:"tier"`         // its tier in the order of waiting jobs
	// Restored says that an earlier owner accepted the job, Settled that no run of an earlier owner
	// can be unknown to this one. Until then no task of a restored job starts.
	Restored bool `json:"restored"`
	Settled  bool `json:"settled"`
	// ProgressUnreadable says that stored progress of the job can't be read, so that those of its
	// tasks are held that may be done.
	ProgressUnreadable bool `json:"progress_unreadable,omitempty"`

	// Zone is the availability zone that its short tasks prefer now; empty if there is none.
	Zone string `json:"zone,omitempty"`

	Steps []StepExplanation `json:"steps"`
}

// StepExplanation describes one step of an occurrence that has begun.
type StepExplanation struct {
	Step  string         `json:"step"`
	Tasks map[string]int `json:"tasks"` // number of tasks by state
	// After holds the indexes of the steps that must be done first, while any of them is not.
	After []int `json:"after,omitempty"`
	// Waits counts the workers by the reason why they can't take a waiting task of the step.
	Waits map[taskplan.Reason]int `json:"waits,omitempty"`
	// Limit describes the workspace's limit; nil if no task waits or the workspace has no limit
	// that can bind.
	Limit *LimitExplanation `json:"limit,omitempty"`
	// Advice describes what is known of the advisor's decisions; nil: no task waits for one.
	Advice *AdviceExplanation `json:"advice,omitempty"`
	Runs   []RunExplanation   `json:"runs,omitempty"`
	// Crashed holds the tasks during whose runs workers crashed.
	Crashed []CrashExplanation `json:"crashed,omitempty"`
}

// CrashExplanation describes a task during whose runs workers crashed.
type CrashExplanation struct {
	Task    string `json:"task"`
	Crashes int    `json:"crashes"`
	// Addresses are those of the workers whose crashes this owner itself observed.
	Addresses []string `json:"addresses,omitempty"`
	// Suspect says that the task is suspected to cause crashes. It then runs on a worker without
	// other work.
	Suspect bool `json:"suspect"`
}

// LimitExplanation describes how much of its limit a workspace uses and may use in the cell.
type LimitExplanation struct {
	Workspace work.WorkspaceName `json:"workspace"`
	Limit     work.Resources     `json:"limit"` // in all cells together
	Used      work.Resources     `json:"used_here"`
	May       work.Resources     `json:"may_use_here"`
	// Holds says that the cell's share keeps waiting tasks of the step from starting.
	Holds bool `json:"holds_tasks_back"`
	// Others holds the parts allocated to other cells, in ten-thousandths of the limit. A cell that
	// is missing has an even share.
	Others map[string]workspace.Parts `json:"others,omitempty"`
	// Turns holds the cells whose next work needs more than their fair share, in the order in which they
	// get it.
	Turns []workspace.Turn `json:"turns,omitempty"`
	// Never says that a task, or the whole gang, is larger than the limit itself.
	Never bool `json:"can_never_start"`
	// ConfigAge is the time since the configuration was last known to be the newest. Beyond
	// Bounds.MaxConfigDelay the cell may use only its provisional share of the limit.
	ConfigAge time.Duration `json:"config_age_ns"`
}

// AdviceExplanation describes what the owner knows of the advisor's decisions on a step.
type AdviceExplanation struct {
	Asked   int `json:"asked"`   // workers about which the advisor has answered
	Allowed int `json:"allowed"` // those of them on which it allows the step
	Usable  int `json:"usable"`  // those of them whose ticket is valid
	// CallPending says that a call about the step is under way, OtherCallPending that one about another
	// step is, which it waits for.
	CallPending      bool `json:"call_pending"`
	OtherCallPending bool `json:"other_call_pending"`
	// Failures is the number of calls of the cell in a row that have failed.
	Failures int `json:"failures,omitempty"`
}

// RunExplanation describes a run that is assigned to a worker.
type RunExplanation struct {
	Task     string        `json:"task"`
	Run      int           `json:"run"`
	Worker   work.WorkerID `json:"worker"`
	State    string        `json:"state"`
	Percent  int           `json:"percent"`
	For      time.Duration `json:"for_ns"`             // since the start was ordered
	Failures int           `json:"failures,omitempty"` // failed attempts of the task so far
	// Silent is the number of polls of the worker that went unanswered since its last answer.
	Silent int `json:"silent,omitempty"`
}

var taskStateNames = map[taskState]string{
	taskPending: "waiting", taskStarting: "starting", taskUncertain: "in doubt", taskActive: "running", taskStopping: "stopping", taskDone: "done", taskHeld: "held",
}

// Explain returns the explanation of the job's state; false if the job is not known.
func (c *Core) Explain(id work.JobID, now time.Duration) (Explanation, bool) {
	j := c.jobs[id]
	if j == nil {
		return Explanation{}, false
	}
	e := Explanation{
		Job: id, Queue: j.Queue, Workspace: j.Workspace, Service: c.cell, State: j.state(), Token: c.token, Config: c.declared.Version,
		Age: now - j.accepted, Restored: j.restored, Settled: c.settled(now),
		ProgressUnreadable: j.unreadable != nil,
	}
	workers := c.snapshots(now)
	e.Zone = c.explainZone(j, workers)
	for _, o := range j.liveOccurrences {
		item := c.rankInput(j, o, now)
		e.Objective, e.Left = item.Objective, item.CriticalPath
		e.Tier = joborder.RankOf(item).Tier.String()
		for _, s := range o.steps {
			e.Steps = append(e.Steps, c.explainStep(s, workers, now))
		}
	}
	return e, true
}

func (c *Core) explainStep(s *step, workers []*taskplan.Worker, now time.Duration) StepExplanation {
	out := StepExplanation{Step: s.ref().String(), Tasks: make(map[string]int)}
	for _, t := range s.tasks {
		out.Tasks[taskStateNames[t.state]]++
		if n := len(t.crashes); n > 0 {
			out.Crashed = append(out.Crashed, CrashExplanation{Task: t.ref.String(), Crashes: n, Addresses: t.crashedAt, Suspect: t.suspect()})
		}
		if t.worker == nil {
			continue
		}
		out.Runs = append(out.Runs, RunExplanation{
			Task: t.ref.String(), Run: t.run, Worker: t.worker.info.ID, State: taskStateNames[t.state], Percent: t.percent,
			For: now - t.orderedAt, Failures: len(t.failedRuns), Silent: t.worker.missedPolls,
		})
	}
	if s.pending == 0 {
		return out
	}
	if !s.ready() {
		out.After = s.spec.After
		return out
	}
	if ps := c.planStep(s, workers, now); ps != nil {
		out.Waits = taskplan.CountRejections(workers, ps)
		out.Limit = c.explainLimit(s, len(ps.Tasks), now)
	}
	if s.job.queue.Advised {
		out.Advice = c.explainAdvice(s, now)
	}
	return out
}

func (c *Core) explainAdvice(s *step, now time.Duration) *AdviceExplanation {
	pending := c.advice.pending
	out := &AdviceExplanation{
		Asked: len(s.advice.verdicts), Failures: c.advice.failures,
		CallPending: pending != nil && pending.step == s, OtherCallPending: pending != nil && pending.step != s,
	}
	for _, v := range s.advice.verdicts {
		if v.allowed {
			out.Allowed++
		}
		if v.usable(now) {
			out.Usable++
		}
	}
	return out
}

func (c *Core) explainLimit(s *step, waiting int, now time.Duration) *LimitExplanation {
	a := s.job.account
	if a == nil || !a.limited() {
		return nil
	}
	out := &LimitExplanation{
		Workspace: a.name, Limit: a.limit, Used: a.used, May: c.share(a, now).Of(a.limit), ConfigAge: now - c.limits.confirmedAt,
		Holds: workspace.Fitting(s.spec.Size, a.remaining, a.limit, waiting) < waiting,
		Never: s.exceedsLimit(), Turns: a.ledger.Turns,
	}
	for cell, has := range a.ledger.Allocated {
		if cell != c.cell {
			if out.Others == nil {
				out.Others = make(map[string]workspace.Parts)
			}
			out.Others[cell] = has
		}
	}
	return out
}

// Explain returns the explanation of the job's state. It returns ErrNotReady before the cell's state is
// restored, and ErrUnknownJob if the job is not known.
func (e *Engine) Explain(id work.JobID) (Explanation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.restored {
		return Explanation{}, ErrNotReady
	}
	out, known := e.core.Explain(id, e.Clock.Now())
	if !known {
		return Explanation{}, ErrUnknownJob
	}
	return out, nil
}
