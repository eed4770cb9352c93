package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/joborder"
	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

// Explanation says where a job stands and why, as its cell's owner sees it.
type Explanation struct {
	Job     work.JobID `json:"job"`
	Queue   string     `json:"queue"`
	Service string     `json:"service"`
	State   work.State `json:"state"`

	Workspace work.WorkspaceName `json:"workspace,omitempty"`
	// Token is of the owner that explains; Config the configuration it goes by.
	Token  int64 `json:"token"`
	Config int64 `json:"config"`

	Age       time.Duration `json:"age_ns"`       // since its acceptance
	Objective time.Duration `json:"objective_ns"` // from its acceptance
	Left      time.Duration `json:"left_ns"`      // longest chain of work still to do, as learned
	Tier      string        `json:"tier"`         // its place among jobs that wait
	// Restored: an earlier owner accepted it. Settled: what that one may have
	// started is known; until then nothing of the job begins.
	Restored bool `json:"restored"`
	Settled  bool `json:"settled"`

	Steps []StepExplanation `json:"steps"`
}

// StepExplanation is of one step of an occurrence that has begun.
type StepExplanation struct {
	Step  string         `json:"step"`
	Tasks map[string]int `json:"tasks"` // by state
	// After names the steps that must be done before.
	After []int `json:"after,omitempty"`
	// Waits counts the workers by what keeps the step's waiting tasks from them.
	Waits map[taskplan.Reason]int `json:"waits,omitempty"`
	// Limit says how the step stands with its workspace's limit, where tasks of it wait.
	Limit *LimitExplanation `json:"limit,omitempty"`
	Runs  []RunExplanation  `json:"runs,omitempty"`
	// Crashed are the tasks under which workers crashed.
	Crashed []CrashExplanation `json:"crashed,omitempty"`
}

// CrashExplanation is one task under which workers crashed.
type CrashExplanation struct {
	Task    string `json:"task"`
	Crashes int    `json:"crashes"`
	// Addresses are of the workers that this owner saw crash.
	Addresses []string `json:"addresses,omitempty"`
	// Suspect: it is tried apart from other work.
	Suspect bool `json:"suspect"`
}

// LimitExplanation is how much of its limit a workspace uses and may use in the cell.
type LimitExplanation struct {
	Workspace work.WorkspaceName `json:"workspace"`
	Limit     work.Resources     `json:"limit"` // in all cells together
	Used      work.Resources     `json:"used_here"`
	May       work.Resources     `json:"may_use_here"`
	// Holds says that tasks of the step would start if the cell had more of the limit.
	Holds bool `json:"holds_tasks_back"`
	// Others is what other cells have, in ten thousandths of the limit, where it is not an
	// even share.
	Others map[string]workspace.Parts `json:"others,omitempty"`
	// Never: a task, or the gang, is larger than the whole limit.
	Never bool `json:"can_never_start"`
	// ConfigAge is how long ago the limit was known to be the newest; beyond the time within
	// which configurations are in force little may start.
	ConfigAge time.Duration `json:"config_age_ns"`
}

// RunExplanation is one run under way.
type RunExplanation struct {
	Task     string        `json:"task"`
	Run      int           `json:"run"`
	Worker   work.WorkerID `json:"worker"`
	State    string        `json:"state"`
	Percent  int           `json:"percent"`
	For      time.Duration `json:"for_ns"`
	Failures int           `json:"failures,omitempty"`
	// Silent: polls of the worker without an answer since the last.
	Silent int `json:"silent,omitempty"`
}

var taskStateNames = map[taskState]string{
	taskPending: "waiting", taskStarting: "starting", taskUncertain: "in doubt", taskActive: "running", taskStopping: "stopping", taskDone: "done",
}

// Explain says where the job stands; false where it is not known here.
func (c *Core) Explain(id work.JobID, now time.Duration) (Explanation, bool) {
	j := c.jobs[id]
	if j == nil {
		return Explanation{}, false
	}
	e := Explanation{
		Job: id, Queue: j.Queue, Workspace: j.Workspace, Service: c.cell, State: j.state(), Token: c.token, Config: c.declared.Version,
		Age: now - j.accepted, Restored: j.restored, Settled: c.settled(now),
	}
	workers := c.snapshots(now)
	for _, o := range j.liveOccurrences {
		described := c.rankInput(j, o, now)
		e.Objective, e.Left = described.Objective, described.CriticalPath
		e.Tier = joborder.RankOf(described).Tier.String()
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
	return out
}

func (c *Core) explainLimit(s *step, waiting int, now time.Duration) *LimitExplanation {
	a := s.job.account
	if a == nil || !a.limited() {
		return nil
	}
	out := &LimitExplanation{
		Workspace: a.name, Limit: a.limit, Used: a.used, May: c.share(a, now).Of(a.limit), ConfigAge: now - c.limits.confirmed,
		Holds: workspace.Fitting(s.spec.Size, a.left, a.limit, waiting) < waiting,
		Never: workspace.Fitting(s.spec.Size, a.limit, a.limit, waiting) < 1,
	}
	if s.spec.Gang {
		out.Never = workspace.Fitting(s.spec.Size, a.limit, a.limit, len(s.tasks)) < len(s.tasks)
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

// Explain says where the job stands.
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
