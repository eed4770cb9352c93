package fleet

import (
	"fmt"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// Code says why an order was refused.
type Code string

// The codes of a Refusal. In every case the order changed nothing.
const (
	CodeNotFound    Code = "not-found"   // no such VM, pool or wave
	CodeConflict    Code = "conflict"    // something else holds it; Winner names it
	CodeRevision    Code = "revision"    // if-revision does not hold
	CodeBudget      Code = "budget"      // an availability budget would break
	CodeState       Code = "state"       // there is nothing to pause, resume, undrain, ...
	CodeUnavailable Code = "unavailable" // the platform or a fresh view is out of reach
)

// Refusal says that an order was certainly not carried out, and why.
type Refusal struct {
	Code     Code
	Winner   string         // what holds the VM or wave, "wave spring" or "order c-17"
	Revision infra.Revision // of the key that decided
	Detail   string         // a sentence a person reads
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (%s): %s", r.Code, r.Detail)
}

// Error is a call to the platform that failed.
type Error struct {
	Op string
	// Uncertain is true where the change may be in effect or come into
	// effect; repeating the order under its change ID tells.
	Uncertain bool
	Err       error
}

// Error implements error.
func (e *Error) Error() string { return "fleet: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// fault turns an error of the platform into this package's.
func fault(op string, err error) error {
	if err == nil {
		return nil
	}
	uncertain := infra.IsKind(err, infra.KindUnknown)
	return trace.Wrap(&Error{Op: op, Uncertain: uncertain, Err: err})
}
