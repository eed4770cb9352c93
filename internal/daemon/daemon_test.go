package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An entry VM is lost and replaced under its ID. Peers and the store go by the
// higher incarnation, so the successor's has to be higher each time.
func TestIncarnationsGrow(t *testing.T) {
	last := incarnation()
	for range 20 {
		time.Sleep(time.Microsecond)
		next := incarnation()
		assert.Assert(t, next > last)
		last = next
	}
}
