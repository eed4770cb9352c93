package command

import (
	"fmt"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Code says why an order was refused.
type Code string

// The codes of a Refusal.
const (
	CodeNotFound    Code = "not-found"   // no such VM, pool, wave, service or job
	CodeConflict    Code = "conflict"    // something else holds it; Winner names it
	CodeRevision    Code = "revision"    // if-revision does not hold
	CodeBudget      Code = "budget"      // an availability budget would break
	CodeState       Code = "state"       // nothing to pause, resume, undrain, ...
	CodeUnavailable Code = "unavailable" // the platform or a fresh view is out of reach
	CodeInvalid     Code = "invalid"     // the order makes no sense as given
)

// Refusal reports an order, or one effect of it, that certainly changed
// nothing.
type Refusal struct {
	Code     Code
	Winner   string         // what holds the thing: "wave spring", "order c-17"
	Revision infra.Revision // of the key that decided
	Detail   string         // a sentence a person reads
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Winner == "" {
		return fmt.Sprintf("refused (%s): %s", r.Code, r.Detail)
	}
	return fmt.Sprintf("refused (%s): %s; held by %s at revision %d", r.Code, r.Detail, r.Winner, r.Revision)
}

// UncertainError reports an order that may be in effect or come into effect.
// Repeating it under its change ID tells.
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
