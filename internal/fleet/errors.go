package fleet

import (
	"fmt"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// Code is the reason why an order was refused.
type Code string

// The codes of a Refusal. A refused order changed nothing.
const (
	CodeNotFound    Code = "not-found"   // no such VM, pool or wave
	CodeConflict    Code = "conflict"    // something else holds the VM or wave; Winner names it
	CodeRevision    Code = "revision"    // the key is not at the revision that the order requires
	CodeBudget      Code = "budget"      // an availability budget would be violated
	CodeState       Code = "state"       // there is nothing to pause, resume, undrain, ...
	CodeUnavailable Code = "unavailable" // the platform can't be reached, or the view is too old
)

// Refusal is the error for an order that certainly had no effect.
type Refusal struct {
	Code     Code
	Winner   string         // what holds the VM or wave, such as "wave spring" or "order c-17"
	Revision infra.Revision // of the key that the refusal is based on; 0 if none
	Detail   string         // explanation for operators
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (%s): %s", r.Code, r.Detail)
}

// Error is a failed call to the platform or the store.
type Error struct {
	Op string
	// Uncertain is true if the change may have taken effect or may still do
	// so. Repeating the order under its change ID finds out.
	Uncertain bool
	Err       error
}

// Error implements error.
func (e *Error) Error() string { return "fleet: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// wrapError wraps an error of the platform or store as an Error; nil if err is
// nil.
func wrapError(op string, err error) error {
	if err == nil {
		return nil
	}
	uncertain := infra.IsKind(err, infra.KindUnknown)
	return trace.Wrap(&Error{Op: op, Uncertain: uncertain, Err: err})
}
