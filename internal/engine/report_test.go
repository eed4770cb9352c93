package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rigWithLateJob has a job that waits for room for so long that nobody has a use for it any more.
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

// Jobs too late to be of use are told apart from those that VMs are to be drawn for.
func TestAReportTellsWhatIsStillOfUse(t *testing.T) {
	b := rigWithLateJob(t)
	b.accept("j2", short(2))
	b.core.workers["w1"].closedUntil = b.now + time.Hour
	b.plan()
	r := b.core.report(b.now)
	assert.Assert(t, r.ExpiredBacklog > 0)
	assert.Assert(t, r.Backlog > 0)
	assert.Assert(t, r.HasBacklog())
}
