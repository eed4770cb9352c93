package workspace

import "time"

// TokenBucket tells which jobs of a workspace are within its weight, which is how many a second it
// is owed when there is no room for all.
//
// Load pattern: one workspace hands in hundreds of jobs within a second, and others a few each.
// Ordered by what each is worth for its cost, theirs are among its many and most are late; a job
// that goes behind for being beyond its workspace's weight leaves them first. While there is room
// for all nothing waits, and order does not matter.
type TokenBucket struct {
	left float64       // jobs that may still come now
	at   time.Duration // when that was
	met  bool
}

// burstFor is how much of what a workspace is owed may come at once: jobs come by hundreds when a
// caller's timer strikes, and not evenly over the second.
const burstFor = 1 * time.Second

// Take counts a job that comes now and reports whether it is within the weight; without a weight
// all are.
func (a *TokenBucket) Take(weight int, now time.Duration) bool {
	if weight <= 0 {
		return true
	}
	most := max(1, float64(weight)*burstFor.Seconds())
	if !a.met {
		a.left, a.met = most, true
	}
	a.left = min(most, a.left+float64(weight)*max(0, now-a.at).Seconds())
	a.at = max(a.at, now)
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}
