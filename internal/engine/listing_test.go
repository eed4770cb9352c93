package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// With hundreds of workers that list all their runs at every end of a task, the owner has no
// time left to start waiting tasks. A busy worker lists only ends between full listings; where
// the state of a run is in doubt, the full listing is requested at once.
func TestABusyWorkerIsAskedForBriefListings(t *testing.T) {
	b := newRig(t)
	o := b.running(short(3), "w1")
	b.now += time.Second
	full := b.poll("w1", Listing{Running: []Run{run(o.Starts[0]), run(o.Starts[1]), run(o.Starts[2])}})
	assert.Assert(t, !full.Brief, "the last full listing is a second old")
	brief := b.poll("w1", Listing{Brief: true, Ended: []RunEnd{ended(1, o.Starts[0], work.Done)}})
	assert.Assert(t, brief.Brief)
	assert.Equal(t, len(b.core.workers["w1"].tasks), 2, "a brief listing says nothing about running tasks")
	b.now += time.Second
	assert.Assert(t, !b.poll("w1", Listing{Running: []Run{run(o.Starts[1]), run(o.Starts[2])}}).Brief)
	b.core.Cancel("j1", func(error) {})
	assert.Assert(t, !b.poll("w1", Listing{Running: []Run{run(o.Starts[1]), run(o.Starts[2])}}).Brief, "only a full listing settles a stop")
}
