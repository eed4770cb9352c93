package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Summary is how a cell stands, as its owner sees it.
type Summary struct {
	Cell  string `json:"cell"`
	Token int64  `json:"token"`
	// Jobs counts the jobs that have not ended, by state.
	Jobs map[work.State]int `json:"jobs"`
	// Oldest is how long the oldest of those that have not begun has waited.
	Oldest   time.Duration `json:"oldest_ns"`
	Workers  int           `json:"workers"`
	Busy     int           `json:"busy"`   // of them, with tasks
	Silent   int           `json:"silent"` // of them, did not answer the last poll
	Used     float64       `json:"used_cores"`
	Backlog  float64       `json:"backlog_core_seconds"`
	Arriving float64       `json:"arriving_core_seconds_a_second"`
	// Short is how many VMs lasting tasks lack.
	Short int `json:"short_of_vms"`
	// Level is by how much less the owner does as it is behind its work; 1 is nothing less.
	Level float64 `json:"level"`
	// Unstored counts the jobs with changes that are not on their way to the store.
	Unstored int `json:"unstored"`
	// Workspaces are those with something running or waiting here, by name.
	Workspaces []WorkspaceUse `json:"workspaces,omitempty"`
}

// WorkspaceUse is what a workspace uses of its limit in a cell.
type WorkspaceUse struct {
	Workspace work.WorkspaceName `json:"workspace"`
	Used      work.Resources     `json:"used_here"`
	May       work.Resources     `json:"may_use_here"`
	Limit     work.Resources     `json:"limit"` // in all cells together; none: without limit
	Waits     bool               `json:"waits"` // tasks would start if the cell had more of the limit
}

func (c *Core) workspaceUse(now time.Duration) []WorkspaceUse {
	var out []WorkspaceUse
	for name, a := range c.limits.accounts {
		if a.used == (work.Resources{}) && a.wanted == (work.Resources{}) {
			continue
		}
		out = append(out, WorkspaceUse{
			Workspace: name, Used: a.used, May: c.share(a, now).Of(a.limit), Limit: a.limit, Waits: a.wanted != work.Resources{},
		})
	}
	slices.SortFunc(out, func(a, b WorkspaceUse) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}

// Summary says how the cell stands.
func (e *Engine) Summary() (Summary, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.restored {
		return Summary{}, ErrNotReady
	}
	return e.core.Summary(e.Clock.Now()), nil
}

// Summary says how the cell stands.
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
	s.Workspaces = c.workspaceUse(now)
	return s
}
