package sleep

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A process that is told to stop hangs until its longest pause is over.
func TestForEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !For(ctx, time.Hour))
	assert.Assert(t, For(t.Context(), time.Microsecond))
}
