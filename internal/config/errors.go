package config

import (
	"fmt"
	"strings"

	"github.com/pumicestage/pumicestage/policy/model"
)

// ConflictError reports a change that was not applied, because another change
// was applied first or a precondition on the generation or revision failed.
type ConflictError struct {
	Winner      Applied      // the change that is in force instead
	Differences []Difference // from the declaration in force to the refused one
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("not applied: generation %d by %s (change %s, %s) is in force instead; it differs in %d places",
		e.Winner.Generation, e.Winner.By, e.Winner.Change, e.Winner.At.UTC().Format("2006-01-02 15:04:05"), len(e.Differences))
}

// RemovalError reports a change that was not applied because its removals would
// break budgets. ApplyOptions.ConfirmRemoval allows it.
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

// UnknownError reports a change that may have taken effect already or may still
// do so. Repeating it with the same change ID is safe.
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

// UnavailableError reports that the platform's store could not be reached and
// that nothing was changed.
type UnavailableError struct {
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string { return "nothing changed: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// CorruptError reports a stored declaration that cannot be decoded.
type CorruptError struct {
	Err error
}

// Error implements error.
func (e *CorruptError) Error() string { return "stored declaration cannot be read: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }
