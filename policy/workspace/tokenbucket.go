package workspace

import "time"

// TokenBucket tells which jobs of a workspace are within its weight: the number of jobs a second
// that the workspace is entitled to when there is not enough capacity for all jobs.
//
// Load pattern: one workspace submits hundreds of jobs within a second, and others a few each.
// Ordered by value for their cost alone, the jobs of the others are spread among its many and most
// are late. A job beyond the weight of its workspace is therefore ordered after those that are
// within theirs. While there is capacity for all jobs nothing waits, and the order does not matter.
type TokenBucket struct {
	tokens    float64       // jobs that may still come now
	updatedAt time.Duration // when tokens was computed
	filled    bool          // false until the first job, which finds the bucket full
}

// burstDuration bounds the tokens to what a workspace is entitled to in this time: jobs come by
// hundreds when a caller's timer fires, and not evenly over the second.
const burstDuration = 1 * time.Second

// Take counts a job that comes now and reports whether it is within the weight, in jobs a second.
// With a weight of 0 or less every job is.
func (b *TokenBucket) Take(weight int, now time.Duration) bool {
	if weight <= 0 {
		return true
	}
	capacity := max(1, float64(weight)*burstDuration.Seconds())
	if !b.filled {
		b.tokens, b.filled = capacity, true
	}
	b.tokens = min(capacity, b.tokens+float64(weight)*max(0, now-b.updatedAt).Seconds())
	b.updatedAt = max(b.updatedAt, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
