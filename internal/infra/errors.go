package infra

import (
	"errors"
	"fmt"
)

// Kind says what a failed call to the platform may have done.
type Kind int8

// The kinds of Error. Only KindUnknown leaves it open whether a write took
// effect; all others are certain that it did not.
const (
	// KindUnavailable: the call was not sent or was refused unread.
	KindUnavailable Kind = iota + 1
	// KindUnknown: the call was sent and no reply came; a write may have
	// taken effect and may still take effect later.
	KindUnknown
	// KindRateLimited: refused unread because of the service's limits.
	KindRateLimited
	// KindTooLarge: a value is over the service's limit.
	KindTooLarge
	// KindLeaseNotFound: the lease has lapsed or was revoked.
	KindLeaseNotFound
	// KindCompacted: the watched revision is no longer held.
	KindCompacted
	// KindConflict: a condition did not hold (returned by helpers, not by Txn).
	KindConflict
	// KindInvalid: the service could not make sense of the call or we not of
	// its reply.
	KindInvalid
	// KindNotFound: the machine or task does not exist.
	KindNotFound
)

var kindNames = map[Kind]string{
	KindUnavailable: "unavailable", KindUnknown: "outcome unknown", KindRateLimited: "rate limited",
	KindTooLarge: "value too large", KindLeaseNotFound: "lease not found", KindCompacted: "revision compacted",
	KindConflict: "conflict", KindInvalid: "invalid", KindNotFound: "not found",
}

// String returns the kind as operators read it.
func (k Kind) String() string { return kindNames[k] }

// Error is the only error type that leaves this package's implementations.
type Error struct {
	Op   string // "txn", "get", "reboot", ...
	Kind Kind
	Err  error // the cause, may be nil
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

// Errorf makes an *Error.
func Errorf(op string, kind Kind, format string, args ...any) *Error {
	return &Error{Op: op, Kind: kind, Err: fmt.Errorf(format, args...)}
}

// KindOf returns the Kind of err, or 0 if it is not a platform error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// IsKind reports whether err is a platform error of the kind.
func IsKind(err error, kind Kind) bool { return KindOf(err) == kind }
