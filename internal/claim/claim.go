// Package claim ensures that a request that is not repeatable runs at most
// once: the request is claimed in the platform's store before it is sent to a
// target, and its outcome is recorded afterwards.
package claim

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Key is an Idempotency-Key with its scope: one caller of one service.
type Key struct {
	Service model.ServiceName
	Caller  string
	Key     string
}

// Request describes a request to be claimed before it is run.
type Request struct {
	Key      Key
	Digest   [32]byte      // of method, path, query and body; a different request under the same key is refused
	Remember time.Duration // how long the claim and its outcome are kept
}

// State is the outcome of a call to Claim.
type State int8

// The states that Claim returns.
const (
	// Won means that this call, and no other, may send the request.
	Won State = iota + 1
	// Running means that another call holds the claim and may still be running
	// the request.
	Running
	// Recorded means that the request ran; Result.Answer holds its outcome.
	Recorded
	// Unknown means that it is not known whether the request ran: the holder of
	// its claim died before recording an outcome, or recorded an unknown one.
	Unknown
	// Mismatch means that the key was used for a request with another digest.
	Mismatch
)

// Answer is the recorded outcome of a request.
type Answer struct {
	Status int               // HTTP status; 0 if the outcome is unknown
	Header map[string]string // the headers of the answer that are kept
	Body   []byte
	Kept   bool // whether Body is the whole answer; false if it was too large to keep
}

// Result is the result of a call to Claim.
type Result struct {
	State  State
	Ticket Ticket // set if State is Won; identifies the claim to Record and Release
	Answer Answer // set if State is Recorded
}

// Ticket identifies a claim that was won.
type Ticket struct {
	StoreKey string
	ID       string // unique to this claim
	// SendBy is the deadline for sending the request. Without it, a holder that
	// is paused until its claim has expired could send the request while the
	// holder of a new claim of the key runs it.
	SendBy time.Time
	// Revision is the store revision at which the claim was written.
	Revision infra.Revision
}

// MaySend reports whether the request may still be sent at now. It compares
// both the monotonic and the wall clock, because the monotonic clock stops
// while a VM is suspended.
func (t Ticket) MaySend(now time.Time) bool {
	return now.Before(t.SendBy) && now.Round(0).Before(t.SendBy.Round(0))
}

// Error reports that a claim was not decided, recorded or released.
type Error struct {
	// Certain is true if no claim of this call exists or can still be written:
	// the request was not run and may be sent again. If it is false, a claim
	// may exist that no call acts on.
	Certain bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return "claim: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Claims decides which of several calls with the same key may run a request.
// Implementations are safe for concurrent use; their errors are of type *Error.
type Claims interface {
	// Claim claims the key of req, or returns the state of the claim that
	// exists already.
	Claim(ctx context.Context, req Request) (Result, error)
	// Record stores the outcome of a claim that was won. An Answer with
	// Status 0 records that the outcome is unknown.
	Record(ctx context.Context, t Ticket, a Answer) error
	// Release gives up a claim whose request was certainly not sent, so that
	// the caller may retry under the same key.
	Release(ctx context.Context, t Ticket) error
}
