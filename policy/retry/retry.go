// Package retry decides whether a request that certainly was not run is sent
// to another target.
//
// It answers a partial outage: without a budget each failing request costs
// several attempts, the attempts take the slots of the targets that still
// work, these fail in turn, and the load stays after its cause has gone.
package retry

import "time"

const (
	// RetriesPerRequest is how many retries one fresh request earns. With Reserve the
	// retries stay within a tenth of the load from 500 requests on.
	RetriesPerRequest = 0.09
	// InitialBalance is the balance at the start, so that the first request of a
	// fresh entry VM that meets a refusing target need not fail.
	InitialBalance = 5
	// MaxBalance bounds what a quiet hour saves up: an outage after it must not
	// begin with a storm.
	MaxBalance = 50
	// MaxAttempts is the most targets one request is sent to. Two refusals in
	// a row tell that the service is short of slots, not that the pick was bad.
	MaxAttempts = 3
)

// Budget is one service's allowance of retries. The zero value is not ready;
// use NewBudget.
type Budget struct {
	balance float64
}

// NewBudget returns a Budget that holds its reserve.
func NewBudget() *Budget { return &Budget{balance: InitialBalance} }

// RecordRequest counts a request that is not a retry.
func (b *Budget) RecordRequest() { b.balance = min(b.balance+RetriesPerRequest, MaxBalance) }

// Attempt describes a request whose latest attempt was certainly not run.
type Attempt struct {
	Number          int  // attempts made, 1 after the first
	Replayable      bool // its body can be sent again from the start
	Deadline        time.Time
	TypicalDuration time.Duration // of an answer; 0 where unknown
}

// Verdict says why a retry is or is not made.
type Verdict int8

// The verdicts of Decide.
const (
	Retry Verdict = iota + 1
	TooManyAttempts
	BodyNotReplayable
	TooLate
	OverBudget
)

// String returns the word for metrics.
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

// Decide takes one retry from the budget where one is worth making.
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
