package jobs

import (
	"errors"
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Code is the reason for which a request on jobs was refused.
type Code string

// The codes of a Refusal. In every case nothing was changed for the refused job or
// group.
const (
	CodeNotFound Code = "not-found"
	CodeState    Code = "state"    // the job has ended, or there is nothing to decide
	CodeInvalid  Code = "invalid"  // the request has an invalid field
	CodeConflict Code = "conflict" // the change ID was used for other jobs
	CodeRevision Code = "revision" // the if-revision condition doesn't hold
)

// Refusal is the error of a request that was certainly not carried out.
type Refusal struct {
	Code     Code
	Field    string // the invalid field, such as "jobs[3].team"; may be empty
	Revision infra.Revision
	Detail   string
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Field != "" {
		return fmt.Sprintf("refused (%s): %s: %s", r.Code, r.Field, r.Detail)
	}
	return fmt.Sprintf("refused (%s): %s", r.Code, r.Detail)
}

// Error is the error of a failed call to the store or the platform.
type Error struct {
	Op        string
	Change    model.ChangeID // if Uncertain, a repeat under this ID finds out the outcome
	Uncertain bool           // the change may have taken effect or may still do so
	Err       error
}

// Error implements error.
func (e *Error) Error() string { return "jobs: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// wrapError returns err as an *Error, with Uncertain set if the outcome of the call
// is unknown. It returns nil if err is nil.
func wrapError(op string, change model.ChangeID, err error) error {
	if err == nil {
		return nil
	}
	return trace.Wrap(&Error{Op: op, Change: change, Uncertain: infra.IsKind(err, infra.KindUnknown), Err: err})
}

// anyUncertain reports whether err, or any of the errors joined in it, is an *Error
// that is Uncertain.
func anyUncertain(err error) bool {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return slices.ContainsFunc(joined.Unwrap(), anyUncertain)
	}
	var e *Error
	return errors.As(err, &e) && e.Uncertain
}
