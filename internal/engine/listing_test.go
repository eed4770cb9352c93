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

// Guards against gangs that never complete: the end of one member freed the capacity of the others before
// their workers had listed theirs, the next gang's start was refused there, and as nothing ran on such a
// worker it was not polled, so that each further start was refused as well.
func TestCapacityOfAGangIsFreeOnceItsWorkersHaveListedTheEnds(t *testing.T) {
	b := newRig(t)
	gang := gangOf(2, 8000)
	o := b.running(gang, "w1", "w2")
	assert.Equal(t, len(o.Starts), 2)
	b.accept("j2", gang)
	first, second := o.Starts[0], o.Starts[1]
	b.poll(first.Worker.ID, Listing{Ended: []RunEnd{ended(1, first, work.Done)}})
	b.flush()
	assert.Equal(t, len(b.plan().Starts), 0, "the other worker has not listed its end")
	_, _, due := b.core.NextPoll(second.Worker.ID, b.now)
	assert.Assert(t, due)
	b.poll(second.Worker.ID, Listing{Running: []Run{run(second)}})
	assert.Equal(t, len(b.plan().Starts), 0)
	b.poll(second.Worker.ID, Listing{Ended: []RunEnd{ended(1, second, work.Done)}})
	assert.Equal(t, len(b.plan().Starts), 2)
}

// Guards against a worker that refuses start after start, as it has ends to list and is not polled.
func TestAnIdleWorkerThatRefusesAStartForCapacityIsPolled(t *testing.T) {
	b := newRig(t)
	o := b.running(short(1), "w1")
	b.poll("w1", Listing{Ended: []RunEnd{ended(1, o.Starts[0], work.Done)}})
	b.flush()
	b.poll("w1", Listing{})
	_, _, due := b.core.NextPoll("w1", b.now)
	assert.Assert(t, !due, "it is idle")
	b.accept("j2", short(1))
	b.answer(b.plan(), OutcomeNoCapacity)
	_, _, due = b.core.NextPoll("w1", b.now)
	assert.Assert(t, due)
	b.poll("w1", Listing{})
	_, _, due = b.core.NextPoll("w1", b.now)
	assert.Assert(t, !due)
}
