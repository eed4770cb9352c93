package query

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Planner counts budgets and forecasts the effect of orders. It is the planner
// that executes orders, called on a snapshot and without side effects.
type Planner interface {
	// Budgets counts the budget of every service: first for the whole service,
	// then for each zone in which it has VMs.
	Budgets(ctx context.Context, s *view.Snapshot) ([]Headroom, error)
	// Forecast returns the effect that the hypothesis would have.
	Forecast(ctx context.Context, s *view.Snapshot, h Hypothesis) (Forecast, error)
}

// Headroom is the state of a service's availability budget, for the whole
// service or in one zone. All counts are in VMs.
type Headroom struct {
	Service   model.ServiceName `json:"service"`
	Zone      model.ZoneName    `json:"zone,omitempty"` // empty for the whole service
	VMs       int               `json:"vms"`
	Available int               `json:"available"` // certainly in service; unknown counts as down
	Required  int               `json:"need"`
}

// Spare returns how many more VMs may be taken out of service; it is negative
// if the budget is violated.
func (h Headroom) Spare() int { return h.Available - h.Required }

// Hypothesis is the change that a what-if question evaluates. Exactly one of its
// fields is set.
type Hypothesis struct {
	Drain       []model.VMID
	Move        *MoveOrder
	Wave        *WaveOrder
	Lose        []model.VMID
	Declaration *model.Declaration
}

// MoveOrder is a hypothetical move of a VM to another pool.
type MoveOrder struct {
	VM model.VMID
	To model.PoolName
}

// WaveOrder is a hypothetical start of a wave. If Pools is empty, the wave covers
// its declared pools.
type WaveOrder struct {
	Wave  model.WaveName
	Pools []model.PoolName
}

// Forecast is the predicted effect of a Hypothesis.
type Forecast struct {
	Description string         `json:"what"`
	Allowed     bool           `json:"allowed"` // the order as a whole would be accepted
	BudgetsHold bool           `json:"holds"`   // every budget met before is still met after
	Refusal     string         `json:"refusal,omitempty"`
	Steps       []Step         `json:"steps,omitempty"`
	Budgets     []BudgetChange `json:"budgets,omitempty"`
	Moves       int            `json:"moves"` // VMs that change pool
	Jobs        int            `json:"jobs"`  // jobs that would have to move to other VMs
	// Duration is the estimated time until all steps are done; 0 if unknown.
	Duration time.Duration `json:"takesNanoseconds,omitempty"`
	Notes    []string      `json:"notes,omitempty"`
}

// Step is the predicted effect on one VM.
type Step struct {
	VM     model.VMID `json:"vm"`
	Action string     `json:"action"` // "drain", "move to weighting", "lost"
	Batch  int        `json:"batch,omitempty"`
	Done   bool       `json:"done"` // false if it would be refused or have to wait
	Reason string     `json:"reason,omitempty"`
}

// BudgetChange is a budget before and after the hypothetical change.
type BudgetChange struct {
	Before Headroom `json:"before"`
	After  Headroom `json:"after"`
}

// Waves lists the waves that have been started, including those that ended.
type Waves interface {
	Waves(ctx context.Context) ([]WaveStatus, error)
}

// WaveStatus is the progress of a wave.
type WaveStatus struct {
	Name         model.WaveName
	State        string // "running", "paused", "finished", "cancelled"; "declared" before its first start
	Pools        []model.PoolName
	Total        int
	Done         int
	OutOfService int // VMs out of service for it now
	Failed       int
	Reason       string // why it is delayed or paused
	Started      time.Time
	Ended        time.Time
	Forecast     time.Duration  // estimated time to its end; 0 if unknown
	StartedBy    string         // who started this run; empty if unknown
	Run          model.ChangeID // the change that started this run
	Actor        string         // who requested State: an operator or an entry VM
	Change       model.ChangeID // the change that wrote State
}

// Jobs lists submitted jobs.
type Jobs interface {
	Jobs(ctx context.Context) ([]JobStatus, error)
}

// JobStatus is the state of a job.
type JobStatus struct {
	model.Job
	State   string // "waiting", "running", "unplaceable", "succeeded", ...
	VM      model.VMID
	Since   time.Time
	Reason  string   // the limiting constraint, or what it waits for
	History []Reason // past events, oldest first
}

// Peers reports the entry VMs that this one receives messages from.
type Peers interface {
	// Self returns the ID of this entry VM.
	Self() model.EntryID
	// Statuses returns every entry VM that a message was ever received from,
	// and this one, whose LastHeard is the current time.
	Statuses() []PeerStatus
}

// PeerStatus is the time of the last message from an entry VM, and the
// declaration generation and store revision that it then reported.
type PeerStatus struct {
	Entry      model.EntryID
	Zone       model.ZoneName
	LastHeard  time.Time
	Generation uint64
	Revision   infra.Revision
}

// History returns the audit trail's entries on a subject, oldest first.
type History interface {
	Reasons(ctx context.Context, subject string) ([]Reason, error)
}
