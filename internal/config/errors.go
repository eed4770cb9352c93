package config

import (
	"fmt"
	"strings"

	"github.com/pumicestage/pumicestage/policy/model"
)

// ConflictError reports a change that lost against another: nothing of it was
// applied.
type ConflictError struct {
	Winner      Applied      // the change in force instead
	Differences []Difference // from the declaration in force to the one refused
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("not applied: generation %d by %s (change %s, %s) is in force instead; it differs in %d places",
		e.Winner.Generation, e.Winner.By, e.Winner.Change, e.Winner.At.UTC().Format("2006-01-02 15:04:05"), len(e.Differences))
}

// RemovalError reports a change that was not applied because what it removes
// would break budgets; it is applied where the removal is confirmed.
type RemovalError struct {
	Broken []BrokenBudget
}

// Error implements error.
func (e *RemovalError) Error() string {
	lines := make([]string, len(e.Broken))
	for i, b := range e.Broken {
		lines[i] = b.String()
	}
	return "not applied: the removal would break budgets; confirm it to go on: " + strings.Join(lines, "; ")
}

// UnknownError reports a change that may or may not have taken effect and may
// still do so. Repeating it under the same change ID is safe.
type UnknownError struct {
	Change model.ChangeID
	Err    error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: repeat change %s: %v", e.Change, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// UnavailableError reports that the platform's store could not be asked;
// nothing was changed.
type UnavailableError struct {
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string { return "nothing changed: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// CorruptError reports a stored declaration that cannot be read.
type CorruptError struct {
	Err error
}

// Error implements error.
func (e *CorruptError) Error() string { return "stored declaration cannot be read: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }
