package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An entry VM is lost and replaced under the same ID. Peers and the store
// accept only the higher incarnation, so each run's must be higher than the
// one before.
func TestIncarnationsGrow(t *testing.T) {
	last := incarnation()
	for range 20 {
		time.Sleep(time.Microsecond)
		next := incarnation()
		assert.Assert(t, next > last)
		last = next
	}
}
