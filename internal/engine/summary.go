package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Summary describes the state of a cell as its owner sees it. Owners send it to other entry VMs in
// msgpack, which encodes the fields under their Go names.
type Summary struct {
	Cell  string `json:"cell"`
	Token int64  `json:"token"` // fencing token of the owner's term
	// Jobs counts the jobs that have not ended, by state.
	Jobs map[work.State]int `json:"jobs"`
	// Oldest is the age of the oldest job that has not begun; 0 if there is none.
	Oldest   time.Duration `json:"oldest_ns"`
	Workers  int           `json:"workers"`
	Busy     int           `json:"busy"`                 // workers with tasks
	Silent   int           `json:"silent"`               // workers that did not answer the last poll
	Used     float64       `json:"used_cores"`           // cores in use
	Backlog  float64       `json:"backlog_core_seconds"` // of waiting work, whether it can still be in time or not
	Arriving float64       `json:"arriving_core_seconds_a_second"`
	// Short is the number of VMs that long-running tasks lack.
	Short int `json:"short_of_vms"`
	// Level is the owner's overload level: the factor by which it reduces its own work. 1 is no
	// reduction.
	Level float64 `json:"level"`
	// Unstored counts the jobs with changes that are not being written to the store yet.
	Unstored int `json:"unstored"`
	// Workspaces are the workspaces with usage in the cell or with tasks that their share of the
	// limit holds back, by name.
	Workspaces []WorkspaceUse `json:"workspaces,omitempty"`
}

// WorkspaceUse describes how much of its limit a workspace uses and may use in a cell.
type WorkspaceUse struct {
	Workspace work.WorkspaceName `json:"workspace"`
	Used      work.Resources     `json:"used_here"`
	May       work.Resources     `json:"may_use_here"`
	Limit     work.Resources     `json:"limit"` // in all cells together; the zero value is no limit
	Waits     bool               `json:"waits"` // tasks would start if the cell had a larger share
}

// workspaceUses returns the Workspaces of a Summary.
func (c *Core) workspaceUses(now time.Duration) []WorkspaceUse {
	var out []WorkspaceUse
	for name, a := range c.limits.accounts {
		if a.used == (work.Resources{}) && a.heldBack == (work.Resources{}) {
			continue
		}
		out = append(out, WorkspaceUse{
			Workspace: name, Used: a.used, May: c.share(a, now).Of(a.limit), Limit: a.limit, Waits: a.heldBack != work.Resources{},
		})
	}
	slices.SortFunc(out, func(a, b WorkspaceUse) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}

// Summary returns the state of the cell. It returns ErrNotReady before that is restored.
func (e *Engine) Summary() (Summary, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.restored {
		return Summary{}, ErrNotReady
	}
	return e.core.Summary(e.Clock.Now()), nil
}

// Summary returns the state of the cell.
func (c *Core) Summary(now time.Duration) Summary {
	r := c.report(now)
	s := Summary{
		Cell: c.cell, Token: c.token, Jobs: make(map[work.State]int), Workers: len(c.workers),
		Used: r.Used, Backlog: r.Backlog + r.ExpiredBacklog, Arriving: r.ArrivalRate, Short: r.MissingVMs, Level: c.OverloadLevel(),
	}
	for _, j := range c.open {
		s.Jobs[j.state()]++
		if !j.begun {
			s.Oldest = max(s.Oldest, now-j.accepted)
		}
	}
	for _, w := range c.workers {
		if len(w.tasks) > 0 {
			s.Busy++
		}
		if w.missedPolls > 0 {
			s.Silent++
		}
	}
	s.Unstored, _ = c.Dirty()
	s.Workspaces = c.workspaceUses(now)
	return s
}
