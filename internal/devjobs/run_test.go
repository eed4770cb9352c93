package devjobs

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// What a newcomer runs first keeps its promises: every job completes and nothing runs
// twice, through a wave over all VMs and the shutdown of two entry VMs.
func TestTheExampleKeepsItsPromises(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, Once(context.Background(), &out, io.Discard))
	for _, line := range []string{"jobs completed        120 of 120", "tasks done            600", "tasks run twice       0"} {
		assert.Assert(t, strings.Contains(out.String(), line), out.String())
	}
}
