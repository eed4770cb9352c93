// Package command executes operators' orders. An order is validated, recorded in
// the audit trail and executed by the component that owns the state it changes;
// its outcome is then recorded as well.
package command

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Actor is the operator who gives an order, and the address it came from.
type Actor struct {
	Name string
	From string
}

// Request is one order.
type Request struct {
	Change     model.ChangeID // a retry with the same ID is the same order
	By         Actor
	IfRevision infra.Revision // refuse unless the key of the VM, wave or declaration to change has this revision; 0 for any
	Text       string         // as entered by the operator
	Order      lang.Order
}

// OrderMeta is the metadata of an order that is passed to the component that
// executes it. An order that names several VMs or jobs is executed in one step
// for each of them.
type OrderMeta struct {
	Change     model.ChangeID // identifies the step; the order's own ID if it is the only one
	Actor      string         // name of the operator
	Reason     string         // as given by the operator
	IfRevision infra.Revision // as in Request
}

// Effect is the change that an order made to one VM, wave, job or service.
type Effect struct {
	Subject  string         // "vm v17", "wave spring"
	Before   string         // its state before, as recorded in the audit trail
	After    string         // its state after
	Revision infra.Revision // of its key after the change
	Refused  *Refusal       // nil if the change was made
}

// Result is the outcome of an order.
type Result struct {
	Change  model.ChangeID
	Effects []Effect
	// Warning is set if the order was executed but its outcome could not be
	// recorded in the audit trail.
	Warning string
}

// Refused returns the number of refused effects.
func (r *Result) Refused() int {
	n := 0
	for _, e := range r.Effects {
		if e.Refused != nil {
			n++
		}
	}
	return n
}

// Fleet executes orders on VMs and waves. Errors are *Refusal if it is certain
// that nothing was changed, and *UncertainError otherwise.
type Fleet interface {
	// Drain takes a VM out of service. With cut, work that is still running on
	// the VM is stopped.
	Drain(ctx context.Context, vm model.VMID, cut bool, t OrderMeta) (Effect, error)
	Undrain(ctx context.Context, vm model.VMID, t OrderMeta) (Effect, error)
	Move(ctx context.Context, vm model.VMID, to model.PoolName, t OrderMeta) (Effect, error)
	StartWave(ctx context.Context, wave model.WaveName, pools []model.PoolName, t OrderMeta) (Effect, error)
	PauseWave(ctx context.Context, wave model.WaveName, t OrderMeta) (Effect, error)
	ResumeWave(ctx context.Context, wave model.WaveName, t OrderMeta) (Effect, error)
	CancelWave(ctx context.Context, wave model.WaveName, t OrderMeta) (Effect, error)
}

// Jobs executes orders on jobs. Errors are as for Fleet.
type Jobs interface {
	// Submit accepts a job. If a job with its ID exists already, it is refused
	// unless the existing one was submitted by the same order.
	Submit(ctx context.Context, job model.Job, t OrderMeta) (Effect, error)
	Cancel(ctx context.Context, job model.JobID, t OrderMeta) (Effect, error)
	// Select returns the jobs that satisfy all conditions.
	Select(ctx context.Context, where []lang.Condition) ([]model.JobID, error)
}

// Settings executes orders that change single settings of the declaration in
// force.
type Settings interface {
	// SetLimit sets the limit of requests in flight of a service.
	SetLimit(ctx context.Context, service model.ServiceName, limit int, by Actor, t OrderMeta) (Effect, error)
}

// ScopeResolver resolves scopes to VMs.
type ScopeResolver interface {
	// Resolve returns the VMs of the named VM, rack or zone, sorted; none if
	// nothing of that name exists.
	Resolve(scope lang.Scope) []model.VMID
}

// Event is an entry of an order in the audit trail.
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

// Stage is the stage of an order's execution.
type Stage string

// The stages of an Event.
const (
	StageAsked   Stage = "asked"
	StageDone    Stage = "done"
	StageRefused Stage = "refused"
	StageUnknown Stage = "unknown"
)

// Trail records events in the audit trail.
type Trail interface {
	// Record returns nil only once the event is durably in the audit trail.
	Record(ctx context.Context, e Event) error
	// RecordLimited records the event in the background. It is used for orders
	// that were refused before execution, which one source may cause in large
	// numbers; the trail may limit their rate.
	RecordLimited(e Event)
}
