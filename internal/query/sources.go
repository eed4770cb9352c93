package query

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Planner counts budgets and foresees what an order would do. It is the very
// planner that carries orders out, asked on a snapshot without effect.
type Planner interface {
	// Budgets counts every service's budget, the whole service first, then
	// each zone where it has VMs.
	Budgets(ctx context.Context, s *view.Snapshot) ([]Headroom, error)
	// Forecast returns what would happen.
	Forecast(ctx context.Context, s *view.Snapshot, h Hypothesis) (Forecast, error)
}

// Headroom is what a service has left of its budget.
type Headroom struct {
	Service   model.ServiceName `json:"service"`
	Zone      model.ZoneName    `json:"zone,omitempty"` // empty for the whole service
	VMs       int               `json:"vms"`
	Available int               `json:"available"` // certainly in service
	Required  int               `json:"need"`
}

// Spare returns how many more VMs may go; negative where the budget is broken.
func (h Headroom) Spare() int { return h.Available - h.Required }

// Hypothesis is what a what-if supposes. Exactly one of Drain, Move, Wave,
// Lose and Declaration is set.
type Hypothesis struct {
	Drain       []model.VMID
	Move        *MoveOrder
	Wave        *WaveOrder
	Lose        []model.VMID
	Declaration *model.Declaration
}

// MoveOrder supposes a move.
type MoveOrder struct {
	VM model.VMID
	To model.PoolName
}

// WaveOrder supposes a wave; no Pools means the declared ones.
type WaveOrder struct {
	Wave  model.WaveName
	Pools []model.PoolName
}

// Forecast is what would happen.
type Forecast struct {
	Description string         `json:"what"`
	Allowed     bool           `json:"allowed"` // the order would not be refused as a whole
	BudgetsHold bool           `json:"holds"`   // every budget that holds before holds after
	Refusal     string         `json:"refusal,omitempty"`
	Steps       []Step         `json:"steps,omitempty"`
	Budgets     []BudgetChange `json:"budgets,omitempty"`
	Moves       int            `json:"moves"` // VMs that change pool
	Jobs        int            `json:"jobs"`  // jobs that have to go elsewhere
	// Duration is how long until all of it is done; 0 where it is not known.
	Duration time.Duration `json:"takesNanoseconds,omitempty"`
	Notes    []string      `json:"notes,omitempty"`
}

// Step is what would happen to one VM.
type Step struct {
	VM     model.VMID `json:"vm"`
	Action string     `json:"action"` // "drain", "move to weighting", "lost"
	Batch  int        `json:"batch,omitempty"`
	Done   bool       `json:"done"` // false: it would be refused or wait
	Reason string     `json:"reason,omitempty"`
}

// BudgetChange is a budget before and after.
type BudgetChange struct {
	Before Headroom `json:"before"`
	After  Headroom `json:"after"`
}

// Waves tells of started waves.
type Waves interface {
	Waves(ctx context.Context) ([]WaveStatus, error)
}

// WaveStatus is where a wave stands.
type WaveStatus struct {
	Name         model.WaveName
	State        string // "running", "paused", "finished", "cancelled"; "declared" before its first start
	Pools        []model.PoolName
	Total        int
	Done         int
	OutOfService int // VMs out of service for it now
	Failed       int
	Reason       string // what holds it back or paused it
	Started      time.Time
	Ended        time.Time
	Forecast     time.Duration // until its end
	StartedBy    string
	Change       model.ChangeID
}

// Jobs tells of submitted jobs.
type Jobs interface {
	Jobs(ctx context.Context) ([]JobStatus, error)
}

// JobStatus is where a job stands.
type JobStatus struct {
	model.Job
	State   string // "waiting", "running", "unplaceable", "succeeded", ...
	VM      model.VMID
	Since   time.Time
	Reason  string   // what binds or what it waits for
	History []Reason // what happened to it, oldest first
}

// Peers tells of the entry VMs this one hears.
type Peers interface {
	Self() model.EntryID
	// Statuses returns each entry VM ever heard, this one included with the
	// present time.
	Statuses() []PeerStatus
}

// PeerStatus is when an entry VM was heard last, and what it then had.
type PeerStatus struct {
	Entry      model.EntryID
	Zone       model.ZoneName
	LastHeard  time.Time
	Generation uint64
	Revision   infra.Revision
}

// History tells what the audit trail has on a subject, oldest first.
type History interface {
	Reasons(ctx context.Context, subject string) ([]Reason, error)
}
