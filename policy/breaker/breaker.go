// Package breaker implements a circuit breaker for calls to the store or to the
// owner of a cell.
//
// It is meant for a VM that can't reach the store or an owner (the entry VM that
// manages a cell) while requests keep arriving. Without a breaker every request
// waits for the full timeout before it is refused: hundreds wait at the same time,
// and their callers learn of the failure late and retry late. After a failure the
// breaker therefore refuses calls at once, and allows a single one from time to
// time to find out whether the callee answers again.
package breaker

import "time"

// RetryInterval is how long calls are refused after a failure before a trial call
// is allowed. Network partitions and outages last for seconds, and a refused
// caller retries after one second.
const RetryInterval = 250 * time.Millisecond

// Breaker is the circuit breaker for one callee. The zero value allows all calls.
// It is not safe for concurrent use. Times are measured by the user's clock, from
// any fixed point.
type Breaker struct {
	open        bool          // no call has succeeded since the last failure
	nextAttempt time.Duration // when the next trial call is allowed, if open
}

// Allow reports whether a call may be made now. While the breaker is open, it
// allows one trial call per RetryInterval, until a call succeeds.
func (b *Breaker) Allow(now time.Duration) bool {
	if !b.open {
		return true
	}
	if now < b.nextAttempt {
		return false
	}
	b.nextAttempt = now + RetryInterval
	return true
}

// RecordFailure records a call without an answer. Calls are refused for
// RetryInterval from now on.
func (b *Breaker) RecordFailure(now time.Duration) {
	b.open = true
	b.nextAttempt = now + RetryInterval
}

// RecordSuccess records an answered call. All calls are allowed again.
func (b *Breaker) RecordSuccess() { *b = Breaker{} }
