// Package command carries out operators' orders. An order is checked, entered
// in the audit trail, carried out by the part that owns what it changes, and
// its outcome is entered as well.
package command

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Actor is who gives an order, and from where.
type Actor struct {
	Name string
	From string
}

// Request is one order.
type Request struct {
	Change     model.ChangeID // a repeat with the same ID is the same order
	By         Actor
	IfRevision infra.Revision // refuse unless the key that decides has it; 0 for any
	Text       string         // as the operator gave it
	Order      lang.Order
}

// OrderMeta go with every call to a part that carries out orders.
type OrderMeta struct {
	Change     model.ChangeID
	Actor      string
	Reason     string
	IfRevision infra.Revision
}

// Effect is what an order did to one thing.
type Effect struct {
	Subject  string         // "vm v17", "wave spring"
	Before   string         // its state before, as the audit trail gives it
	After    string         // its state after
	Revision infra.Revision // of its key now
	Refused  *Refusal       // nil where it was done
}

// Result is what became of an order.
type Result struct {
	Change  model.ChangeID
	Effects []Effect
	// Warning tells of what went wrong beside the order: its outcome could
	// not be entered in the audit trail.
	Warning string
}

// Refused returns how many effects were refused.
func (r *Result) Refused() int {
	n := 0
	for _, e := range r.Effects {
		if e.Refused != nil {
			n++
		}
	}
	return n
}

// Fleet carries out orders on VMs and waves. Errors are *Refusal where
// certainly nothing was changed, and *UncertainError.
type Fleet interface {
	Drain(ctx context.Context, vm model.VMID, cut bool, t OrderMeta) (Effect, error)
	Undrain(ctx context.Context, vm model.VMID, t OrderMeta) (Effect, error)
	Move(ctx context.Context, vm model.VMID, to model.PoolName, t OrderMeta) (Effect, error)
	StartWave(ctx context.Context, wave model.WaveName, pools []model.PoolName, t OrderMeta) (Effect, error)
	PauseWave(ctx context.Context, wave model.WaveName, t OrderMeta) (Effect, error)
	ResumeWave(ctx context.Context, wave model.WaveName, t OrderMeta) (Effect, error)
	CancelWave(ctx context.Context, wave model.WaveName, t OrderMeta) (Effect, error)
}

// Jobs carries out orders on jobs. Errors are as Fleet's.
type Jobs interface {
	// Submit takes a job in; one of the ID that is there already is refused
	// unless it is the same order.
	Submit(ctx context.Context, job model.Job, t OrderMeta) (Effect, error)
	Cancel(ctx context.Context, job model.JobID, t OrderMeta) (Effect, error)
	// Select returns the jobs that fulfil all conditions.
	Select(ctx context.Context, where []lang.Condition) ([]model.JobID, error)
}

// Settings carries out orders on the declaration in force.
type Settings interface {
	SetLimit(ctx context.Context, service model.ServiceName, limit int, by Actor, t OrderMeta) (Effect, error)
}

// ScopeResolver tells which VMs a scope means.
type ScopeResolver interface {
	// Resolve returns the VMs of a VM, rack or zone by name, sorted; none where
	// nothing of the name exists.
	Resolve(scope lang.Scope) []model.VMID
}

// Event is what an order's entries in the audit trail tell.
type Event struct {
	Change model.ChangeID
	By     Actor
	Action string
	Before string
	After  string
	Detail string
	Stage  Stage
	At     time.Time
}

// Stage is how far an order has come.
type Stage string

// The stages of an Event.
const (
	StageAsked   Stage = "asked"
	StageDone    Stage = "done"
	StageRefused Stage = "refused"
	StageUnknown Stage = "unknown"
)

// Trail is the audit trail as orders need it.
type Trail interface {
	// Record returns nil once the event is certain to be in the trail.
	Record(ctx context.Context, e Event) error
	// RecordAsync enters the event in the background.
	RecordAsync(e Event)
}
