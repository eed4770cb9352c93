// Package breaker decides whether a call to something that did not answer is
// worth a try.
//
// Load pattern: a VM is cut off from the store or from an owner while callers go
// on. Each request alone waits for the same timeout before it is refused: hundreds
// wait at a time, are told late, and come back late. After a failure calls are
// refused at once; now and then one goes through to see whether it is over.
package breaker

import "time"

// RetryInterval is how long calls are refused after a failure before one tries again.
// Cuts and outages last seconds; a caller who is refused comes back after one.
const RetryInterval = 250 * time.Millisecond

// Breaker is the state for one callee. The zero value lets calls through. It is
// not safe for concurrent use.
type Breaker struct {
	failing bool
	retry   time.Duration // when a call may try again
}

// Allow reports whether a call may be made now. While the callee fails, a call
// that is allowed is the only one until its outcome or the next pause.
func (b *Breaker) Allow(now time.Duration) bool {
	if !b.failing {
		return true
	}
	if now < b.retry {
		return false
	}
	b.retry = now + RetryInterval
	return true
}

// RecordFailure notes a call without an answer.
func (b *Breaker) RecordFailure(now time.Duration) {
	b.failing = true
	b.retry = now + RetryInterval
}

// RecordSuccess notes an answer.
func (b *Breaker) RecordSuccess() { *b = Breaker{} }
