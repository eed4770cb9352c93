package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/joborder"
	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Explanation says where a job stands and why, as its cell's owner sees it.
type Explanation struct {
	Job     work.JobID `json:"job"`
	Queue   string     `json:"queue"`
	Service string     `json:"service"`
	State   work.State `json:"state"`
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
	Runs  []RunExplanation        `json:"runs,omitempty"`
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
	taskPending: "waiting", taskStarting: "starting", taskDoubtful: "in doubt", taskActive: "running", taskStopping: "stopping", taskDone: "done",
}

// Explain says where the job stands; false where it is not known here.
func (c *Core) Explain(id work.JobID, now time.Duration) (Explanation, bool) {
	j := c.jobs[id]
	if j == nil {
		return Explanation{}, false
	}
	e := Explanation{
		Job: id, Queue: j.Queue, Service: c.cell, State: j.state(), Token: c.token, Config: c.declared.Version,
		Age: now - j.accepted, Restored: j.restored, Settled: c.settled(now),
	}
	workers := c.snapshots(now)
	for _, o := range j.live {
		described := c.orderOf(j, o, now)
		e.Objective, e.Left = described.Objective, described.Chain
		e.Tier = joborder.Of(described).Tier.String()
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
		if t.where == nil {
			continue
		}
		out.Runs = append(out.Runs, RunExplanation{
			Task: t.ref.String(), Run: t.run, Worker: t.where.info.ID, State: taskStateNames[t.state], Percent: t.percent,
			For: now - t.sent, Failures: len(t.failed), Silent: t.where.missed,
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
		out.Waits = taskplan.Binding(workers, ps)
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
