package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// A worker that shrank is given tasks as if it had all its room, or for the room of a task
// that is still being stopped.
func TestStartsKeepToARoomThatShrank(t *testing.T) {
	b := newRig(t)
	o := b.running(short(3), "w1") // 6 of 8 cores
	less := info("w1")
	less.Capacity.MilliCPU = 4000
	b.core.WorkerRegistered(less)
	b.accept("j2", short(1))
	assert.Equal(t, len(b.plan().Starts), 0, "more runs than there is room for")

	b.look("w1", Listing{Running: []Run{run(o.Starts[1]), run(o.Starts[2])}, Ended: []RunEnd{ended(1, o.Starts[0], work.Done)}})
	assert.Equal(t, len(b.plan().Starts), 0, "it is full")
	b.core.find(o.Starts[1].Start.Task).step.set(b.core.find(o.Starts[1].Start.Task), taskStopping)
	b.look("w1", Listing{Running: []Run{run(o.Starts[1]), run(o.Starts[2])}})
	assert.Equal(t, len(b.plan().Starts), 0, "what is being stopped counts")
	b.look("w1", Listing{Running: []Run{run(o.Starts[2])}, Ended: []RunEnd{ended(2, o.Starts[1], work.Stopped)}})
	assert.Equal(t, len(b.plan().Starts), 1, "there is room for one")
}

// Work that was shrunk out of its room comes back only with the next worker that joins.
func TestARoomThatGrowsAgainIsUsed(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	with := func(milliCPU int64) {
		i := info("w1")
		i.Capacity.MilliCPU = milliCPU
		b.core.WorkerRegistered(i)
	}
	with(1000)
	b.accept("j1", short(2))
	assert.Equal(t, len(b.plan().Starts), 0)
	with(8000)
	assert.Equal(t, len(b.plan().Starts), 2)
}

// A worker that starts all that it is told to has shrunk while its owner did not hear from the
// store, and is overcommitted. Guarded workers refuse: there the owner goes on.
func TestUnguardedWorkersStartNothingWhileTheirRoomIsInDoubt(t *testing.T) {
	const within = 3 * time.Second
	for _, unguarded := range []bool{false, true} {
		b := newRig(t)
		b.core = b.successorWithin(token, Bounds{MaxHold: rigBounds.MaxHold, StopGrace: rigBounds.StopGrace, RoomWithin: within})
		d := b.core.declared
		d.Version, d.Services = 2, map[string]Service{service: {Name: service, Unguarded: unguarded}}
		b.core.Declare(d)
		b.core.RoomKnown(b.now)
		b.worker("w1")
		b.accept("j1", short(1))
		assert.Equal(t, len(b.plan().Starts), 1)

		b.now += within
		b.accept("j2", short(1))
		assert.Equal(t, len(b.plan().Starts) == 0, unguarded)
		b.core.RoomKnown(b.now)
		b.accept("j3", short(1))
		assert.Assert(t, len(b.plan().Starts) > 0)
	}
}
