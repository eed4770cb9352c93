// Package claim makes a request that is not repeatable run at most once: it is
// claimed in the platform's store before it is sent to a target, and its
// outcome is recorded after.
package claim

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Key is the scope of an Idempotency-Key.
type Key struct {
	Service model.ServiceName
	Caller  string
	Key     string
}

// Request asks for the right to run one request.
type Request struct {
	Key      Key
	Digest   [32]byte      // of method, path and body; another request under the same key is refused
	Remember time.Duration // how long the outcome is kept
}

// State is what a claim came to.
type State int8

// The outcomes of Claim.
const (
	// Won: this call, and no other ever, may send the request.
	Won State = iota + 1
	// Running: another call holds the claim and may still be running it.
	Running
	// Recorded: the request ran; Answer holds its outcome.
	Recorded
	// Unknown: its holder died in between; whether it ran is not known.
	Unknown
	// Mismatch: the key was used for another request.
	Mismatch
)

// Answer is a recorded outcome.
type Answer struct {
	Status int               // HTTP status; 0 where the outcome is unknown
	Header map[string]string // of the answer, as far as kept
	Body   []byte
	Kept   bool // Body is the whole answer; false where it was too large to keep
}

// Result is what Claim returns.
type Result struct {
	State  State
	Ticket Ticket // for Won: names the claim to Record
	Answer Answer // for Recorded
}

// Ticket names a claim that was won.
type Ticket struct {
	StoreKey string
	ID       string // unique to this claim
	// SendBy is the last moment at which the request may be sent. A holder
	// paused until after the claim is forgotten could otherwise send while a
	// new claim of the key runs.
	SendBy time.Time
	// Revision is the claim's in the store.
	Revision infra.Revision
}

// MaySend reports whether the request may still be sent. Both clocks count: a
// VM that was suspended wakes with its monotonic clock where it stood.
func (t Ticket) MaySend(now time.Time) bool {
	return now.Before(t.SendBy) && now.Round(0).Before(t.SendBy.Round(0))
}

// Error says why a claim was not decided.
type Error struct {
	// Certain is true where no claim of this call stands nor can come to
	// stand: the request was not run and may be sent again. Where it is
	// false a claim may stand that nobody acts on.
	Certain bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return "claim: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Claims decides who may run a request. Implementations are safe for
// concurrent use; errors are *Error.
type Claims interface {
	Claim(ctx context.Context, req Request) (Result, error)
	// Record keeps the outcome of a claim that was won. An Answer with
	// Status 0 records that the outcome is unknown.
	Record(ctx context.Context, t Ticket, a Answer) error
	// Release takes back a claim whose request was certainly not sent, so
	// that the caller may try again under the same key.
	Release(ctx context.Context, t Ticket) error
}
