package infra

import (
	"errors"
	"fmt"
)

// Kind classifies a failed call to the platform by its cause and by whether a
// write may have taken effect.
type Kind int8

// The kinds of Error. After KindUnknown a write may or may not have taken
// effect; after every other kind it certainly did not.
const (
	// KindUnavailable: the call was not sent, or was rejected unprocessed.
	KindUnavailable Kind = iota + 1
	// KindUnknown: the call was sent and no reply arrived; a write may have
	// taken effect already or may do so later.
	KindUnknown
	// KindRateLimited: rejected unprocessed because of the service's rate limits.
	KindRateLimited
	// KindTooLarge: a value is larger than the service accepts.
	KindTooLarge
	// KindLeaseNotFound: the lease has expired or was revoked.
	KindLeaseNotFound
	// KindCompacted: the history from the requested revision on is no longer
	// complete.
	KindCompacted
	// KindConflict: a condition did not hold (returned by helpers such as
	// Commit, not by Store.Txn).
	KindConflict
	// KindInvalid: the service rejected the call as malformed, or its reply
	// could not be parsed.
	KindInvalid
	// KindNotFound: the machine or task does not exist.
	KindNotFound
)

var kindNames = map[Kind]string{
	KindUnavailable: "unavailable", KindUnknown: "outcome unknown", KindRateLimited: "rate limited",
	KindTooLarge: "value too large", KindLeaseNotFound: "lease not found", KindCompacted: "revision compacted",
	KindConflict: "conflict", KindInvalid: "invalid", KindNotFound: "not found",
}

// String returns the kind as printed for operators.
func (k Kind) String() string { return kindNames[k] }

// Error is the only error type that implementations of Store and Machines
// return.
type Error struct {
	Op   string // the call that failed: "txn", "get", "reboot", ...
	Kind Kind
	Err  error // the cause; may be nil
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("platform: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("platform: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Errorf returns an *Error whose cause is formatted as by fmt.Errorf.
func Errorf(op string, kind Kind, format string, args ...any) *Error {
	return &Error{Op: op, Kind: kind, Err: fmt.Errorf(format, args...)}
}

// KindOf returns the Kind of the *Error in err's chain, or 0 if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// IsKind reports whether err's chain has an *Error of the given kind.
func IsKind(err error, kind Kind) bool { return KindOf(err) == kind }
