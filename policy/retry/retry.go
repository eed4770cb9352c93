// Package retry decides whether a request that its target certainly hasn't run is
// sent to another target.
//
// A budget limits the share of retries in the load. Without it, in a partial
// outage each failing request would be attempted several times; the attempts
// would occupy the slots of the targets that still work, overload these as well,
// and keep up the load after the original fault is gone.
package retry

import "time"

const (
	// RetriesPerRequest is the amount by which each request that isn't a retry
	// raises the balance. Together with InitialBalance it keeps retries within a
	// tenth of the load from 500 requests on.
	RetriesPerRequest = 0.09
	// InitialBalance is the number of retries allowed at the start, so that the
	// first request of a newly started entry VM doesn't fail because one target
	// refuses it.
	InitialBalance = 5
	// MaxBalance is the maximum number of retries that can accumulate, so that an
	// outage after a long time without failures doesn't begin with a retry storm.
	MaxBalance = 50
	// MaxAttempts is the maximum number of targets that one request is sent to.
	// Two refusals in a row show that the service is short of slots and not that
	// an unsuitable target was selected.
	MaxAttempts = 3
)

// Budget limits the retries of one service. The zero value has no initial
// balance; use NewBudget. It is not safe for concurrent use.
type Budget struct {
	balance float64 // number of retries allowed now
}

// NewBudget returns a Budget with InitialBalance retries.
func NewBudget() *Budget { return &Budget{balance: InitialBalance} }

// RecordRequest counts a request that is not a retry.
func (b *Budget) RecordRequest() { b.balance = min(b.balance+RetriesPerRequest, MaxBalance) }

// Attempt describes a request whose last attempt certainly wasn't run by its
// target.
type Attempt struct {
	Number          int  // attempts made so far, 1 after the first
	Replayable      bool // the request's body can be sent again from the start
	Deadline        time.Time
	TypicalDuration time.Duration // from sending a request to its response; 0 if unknown
}

// Verdict tells whether a retry is made, and if not, why.
type Verdict int8

// The verdicts of Decide.
const (
	Retry             Verdict = iota + 1
	TooManyAttempts           // MaxAttempts were made
	BodyNotReplayable         // the body was consumed by an attempt
	TooLate                   // no response can be expected before the deadline
	OverBudget                // the balance allows no retry
)

// String returns the name of the verdict in metrics.
func (v Verdict) String() string {
	switch v {
	case Retry:
		return "retry"
	case TooManyAttempts:
		return "too-many-attempts"
	case BodyNotReplayable:
		return "body-gone"
	case TooLate:
		return "too-late"
	}
	return "over-budget"
}

// Decide decides whether the request is retried now. If it returns Retry, it has
// taken one retry from the balance.
func (b *Budget) Decide(a Attempt, now time.Time) Verdict {
	switch {
	case a.Number >= MaxAttempts:
		return TooManyAttempts
	case !a.Replayable:
		return BodyNotReplayable
	case !now.Add(a.TypicalDuration).Before(a.Deadline):
		return TooLate
	case b.balance < 1:
		return OverBudget
	}
	b.balance--
	return Retry
}
