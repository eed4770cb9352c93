package workspace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countWithin returns how many of the jobs are within the weight if the first comes at from and
// each further one a pause later.
func countWithin(b *TokenBucket, weight, jobs int, from, pause time.Duration) (n int) {
	for i := range jobs {
		if b.Take(weight, from+time.Duration(i)*pause) {
			n++
		}
	}
	return n
}

func TestJobsBeyondTheWeightAreReported(t *testing.T) {
	for _, c := range []struct {
		name             string
		weight, jobs     int
		pause            time.Duration
		maxJobs, minJobs int // bounds of the jobs within the weight
	}{
		{"a few", 10, 5, time.Second, 5, 5},
		{"one second's jobs at once", 10, 10, 0, 10, 10},
		{"a burst", 10, 200, time.Millisecond, 11, 11},
		{"twice the weight for ten seconds", 10, 200, 50 * time.Millisecond, 110, 108},
		{"no weight", 0, 1000, 0, 1000, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := countWithin(new(TokenBucket), c.weight, c.jobs, time.Hour, c.pause)
			assert.Assert(t, n <= c.maxJobs && n >= c.minJobs, "%d", n)
		})
	}
}

// A workspace that was idle for an hour may submit one second's jobs at once, not an hour's.
func TestAnIdleWorkspaceAccumulatesOneSecondOfTokens(t *testing.T) {
	var b TokenBucket
	assert.Assert(t, b.Take(10, 0))
	assert.Equal(t, countWithin(&b, 10, 100, time.Hour, 0), 10)
}
