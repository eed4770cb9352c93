package jobs

import (
	"fmt"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Code says why something asked of a job was refused.
type Code string

// The codes of a Refusal. In every case nothing was changed.
const (
	CodeNotFound Code = "not-found"
	CodeState    Code = "state"    // the job has ended, or there is nothing to decide
	CodeInvalid  Code = "invalid"  // the job makes no sense as given
	CodeConflict Code = "conflict" // the change ID stands for other jobs
	CodeRevision Code = "revision" // if-revision does not hold
)

// Refusal says that a request was certainly not carried out, and why.
type Refusal struct {
	Code     Code
	Field    string // "jobs[3].team" where a field is at fault
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

// Error is a call to the platform that failed.
type Error struct {
	Op        string
	Change    model.ChangeID // repeating the request under it tells, where Uncertain
	Uncertain bool           // the change may be in effect or come into effect
	Err       error
}

// Error implements error.
func (e *Error) Error() string { return "jobs: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func wrapError(op string, change model.ChangeID, err error) error {
	if err == nil {
		return nil
	}
	return trace.Wrap(&Error{Op: op, Change: change, Uncertain: infra.IsKind(err, infra.KindUnknown), Err: err})
}
