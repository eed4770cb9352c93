package sleep

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// For must return at once when its context is done: otherwise a process that is
// told to stop would hang until its longest pause is over.
func TestForEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !For(ctx, time.Hour))
	assert.Assert(t, For(t.Context(), time.Microsecond))
}
