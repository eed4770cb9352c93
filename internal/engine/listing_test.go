package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Hundreds of workers list all that runs at every end of a task, and their owner
// has no time left to start what could run. A busy worker tells of ends alone in
// between; what is in doubt is asked for in full at once.
func TestABusyWorkerTellsOfEndsAloneInBetween(t *testing.T) {
	b := newRig(t)
	o := b.running(short(3), "w1")
	b.now += time.Second
	full := b.poll("w1", Listing{Running: []Run{run(o.Starts[0]), run(o.Starts[1]), run(o.Starts[2])}})
	assert.Assert(t, !full.Brief, "the last list is a second old")
	brief := b.poll("w1", Listing{Brief: true, Ended: []RunEnd{ended(1, o.Starts[0], work.Done)}})
	assert.Assert(t, brief.Brief)
	assert.Equal(t, len(b.core.workers["w1"].tasks), 2, "a list that was left out says nothing of what runs")
	b.now += time.Second
	assert.Assert(t, !b.poll("w1", Listing{Running: []Run{run(o.Starts[1]), run(o.Starts[2])}}).Brief)
	b.core.Cancel("j1", func(error) {})
	assert.Assert(t, !b.poll("w1", Listing{Running: []Run{run(o.Starts[1]), run(o.Starts[2])}}).Brief, "only the list settles a stop")
}
