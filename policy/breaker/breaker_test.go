package breaker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A callee is unreachable for five seconds while a hundred calls per second
// arrive. Without the breaker each of them would wait for its own timeout; only
// those before the first failure, and a few trial calls, may wait.
func TestFewCallsWaitForAnUnreachableCallee(t *testing.T) {
	const timeout = 600 * time.Millisecond
	var b Breaker
	var failures []time.Duration // when the calls in progress fail
	allowed, refused := 0, 0
	for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
		for len(failures) > 0 && failures[0] <= now {
			failures = failures[1:]
			b.RecordFailure(now)
		}
		if b.Allow(now) {
			allowed++
			failures = append(failures, now+timeout)
		} else {
			refused++
		}
	}
	t.Logf("%d calls waited for the timeout, %d were refused at once", allowed, refused)
	assert.Assert(t, allowed < 90, "60 calls begin before the first failure is known")
	assert.Assert(t, refused > 400)
	b.RecordSuccess()
	assert.Assert(t, b.Allow(6*time.Second))
	assert.Assert(t, b.Allow(6*time.Second))
}
