package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rigWithLateJob returns a rig with a job that has waited for capacity until it is of no use any
// more.
func rigWithLateJob(t *testing.T) *rig {
	b := newRig(t)
	b.worker("w1")
	b.core.workers["w1"].closedUntil = b.now + time.Hour
	b.accept("j1", short(1))
	b.now += time.Minute
	assert.Equal(t, len(b.plan().Starts), 0)
	b.core.workers["w1"].closedUntil = 0
	return b
}

// Backlog that is too late to be of use must be reported separately from the backlog for which VMs
// are requested.
func TestReportSeparatesBacklogThatIsTooLate(t *testing.T) {
	b := rigWithLateJob(t)
	b.accept("j2", short(2))
	b.core.workers["w1"].closedUntil = b.now + time.Hour
	b.plan()
	r := b.core.report(b.now)
	assert.Assert(t, r.ExpiredBacklog > 0)
	assert.Assert(t, r.Backlog > 0)
	assert.Assert(t, r.HasBacklog())
}
