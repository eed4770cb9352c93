package command

import (
	"fmt"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Code classifies a Refusal.
type Code string

// The codes of a Refusal.
const (
	CodeNotFound    Code = "not-found"   // no such VM, pool, wave, service or job
	CodeConflict    Code = "conflict"    // another wave or order holds it; Winner names it
	CodeRevision    Code = "revision"    // the revision is not the one given as IfRevision
	CodeBudget      Code = "budget"      // an availability budget would be violated
	CodeState       Code = "state"       // nothing to pause, resume, undrain, ...
	CodeUnavailable Code = "unavailable" // the platform, or a fresh view, cannot be reached
	CodeInvalid     Code = "invalid"     // the order is malformed or incomplete
)

// Refusal reports that an order, or one of its effects, was rejected. It is
// certain that nothing was changed.
type Refusal struct {
	Code     Code
	Winner   string         // what holds the VM or setting: "wave spring", "order c-17"; empty if nothing does
	Revision infra.Revision // of the key that led to the refusal
	Detail   string         // a sentence for the operator
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Winner == "" {
		return fmt.Sprintf("refused (%s): %s", r.Code, r.Detail)
	}
	return fmt.Sprintf("refused (%s): %s; held by %s at revision %d", r.Code, r.Detail, r.Winner, r.Revision)
}

// UncertainError reports an order whose outcome is unknown: it may have taken
// effect, or may still do so. Repeating it under the same change ID is safe and
// returns its outcome.
type UncertainError struct {
	Change model.ChangeID
	Err    error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("outcome unknown: repeat under change %s: %v", e.Change, e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }
