package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Guards against overcommitting a worker whose capacity was reduced: neither the previous capacity nor
// that of a run which is still being stopped may be used.
func TestStartsFitInReducedCapacity(t *testing.T) {
	b := newRig(t)
	o := b.running(short(3), "w1") // 6 of 8 cores
	reduced := info("w1")
	reduced.Capacity.MilliCPU = 4000
	b.core.WorkerRegistered(reduced)
	b.accept("j2", short(1))
	assert.Equal(t, len(b.plan().Starts), 0, "the runs exceed the capacity")

	b.poll("w1", Listing{Running: []Run{run(o.Starts[1]), run(o.Starts[2])}, Ended: []RunEnd{ended(1, o.Starts[0], work.Done)}})
	assert.Equal(t, len(b.plan().Starts), 0, "it is full")
	b.core.find(o.Starts[1].Start.Task).step.set(b.core.find(o.Starts[1].Start.Task), taskStopping)
	b.poll("w1", Listing{Running: []Run{run(o.Starts[1]), run(o.Starts[2])}})
	assert.Equal(t, len(b.plan().Starts), 0, "what is being stopped counts")
	b.poll("w1", Listing{Running: []Run{run(o.Starts[2])}, Ended: []RunEnd{ended(2, o.Starts[1], work.Stopped)}})
	assert.Equal(t, len(b.plan().Starts), 1, "one fits")
}

// Guards against work that waits for another worker to join although the capacity of the present one
// was increased again.
func TestIncreasedCapacityIsUsed(t *testing.T) {
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

// Guards against overcommitting workers that obey every start: their capacity may have been reduced
// while the owner got no updates from the store. Guarded workers refuse such starts themselves, so
// the owner goes on sending them.
func TestUnguardedWorkersGetNoStartsWhileCapacityIsUncertain(t *testing.T) {
	const within = 3 * time.Second
	for _, unguarded := range []bool{false, true} {
		b := newRig(t)
		b.core = b.successorWithin(token, Bounds{MaxLease: rigBounds.MaxLease, StopGrace: rigBounds.StopGrace, MaxCapacityAge: within})
		d := b.core.declared
		d.Version, d.Services = 2, map[string]Service{service: {Name: service, Unguarded: unguarded}}
		b.core.Configure(d)
		b.core.CapacityKnownAt(b.now)
		b.worker("w1")
		b.accept("j1", short(1))
		assert.Equal(t, len(b.plan().Starts), 1)

		b.now += within
		b.accept("j2", short(1))
		assert.Equal(t, len(b.plan().Starts) == 0, unguarded)
		b.core.CapacityKnownAt(b.now)
		b.accept("j3", short(1))
		assert.Assert(t, len(b.plan().Starts) > 0)
	}
}
