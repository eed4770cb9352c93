package breaker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The store is cut off for five seconds while a hundred callers a second come.
// Each waits for the timeout of its own call unless those before it are heeded.
func TestFewCallersWaitForACalleeThatIsCutOff(t *testing.T) {
	const timeout = 600 * time.Millisecond
	var b Breaker
	var outcomes []time.Duration // when calls in progress fail
	waited, refused := 0, 0
	for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
		for len(outcomes) > 0 && outcomes[0] <= now {
			outcomes = outcomes[1:]
			b.RecordFailure(now)
		}
		if b.Allow(now) {
			waited++
			outcomes = append(outcomes, now+timeout)
		} else {
			refused++
		}
	}
	t.Logf("waited %d, refused at once %d", waited, refused)
	assert.Assert(t, waited < 90, "60 come before the first failure is known")
	assert.Assert(t, refused > 400)
	b.RecordSuccess()
	assert.Assert(t, b.Allow(6*time.Second))
	assert.Assert(t, b.Allow(6*time.Second))
}
