package engine

import (
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
		Used: r.Used, Backlog: r.Backlog, Arriving: r.Arriving, Short: r.Short, Level: c.Level(),
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
		if w.missed > 0 {
			s.Silent++
		}
	}
	s.Unstored, _ = c.Dirty()
	return s
}
