package fleet

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// tendAll lets every node look for work once, and returns those that had some.
func (w *world) tendAll(t *testing.T, d time.Duration) []*node {
	t.Helper()
	w.clock.Advance(d)
	var busy []*node
	for _, n := range w.nodes {
		w.sync()
		had, err := n.tend(ctx, false)
		assert.NilError(t, err)
		if had {
			busy = append(busy, n)
		}
	}
	w.sync()
	return busy
}

// The entry VM that carries a wave dies without a word. Another one takes its
// shards over once their lease has lapsed, and the wave ends.
func TestShardsPassOnWhenTheirHolderDies(t *testing.T) {
	w := newWorld(declare(2, 1, 4, 3), 3)
	w.start(t)
	_, err := w.nodes[0].StartWave(ctx, "spring", nil, order("c1"))
	assert.NilError(t, err)
	busy := w.tendAll(t, time.Second)
	assert.Equal(t, len(busy), 1)
	dead := busy[0]
	w.drop(dead)

	idle := len(w.tendAll(t, time.Second))

	assert.Equal(t, idle, 0)
	took := time.Duration(0)
	for len(w.tendAll(t, time.Second)) == 0 && took < time.Minute {
		took += time.Second
	}
	assert.Assert(t, took <= shardTTL+renewEvery, "taken over after %s", took)
	for range 1200 {
		w.tendAll(t, time.Second)
	}
	assert.Equal(t, w.waveState(t, "spring"), WaveFinished)
	w.whole(t, 1)
}

func (w *world) drop(dead *node) {
	var alive []*node
	for _, n := range w.nodes {
		if n != dead {
			alive = append(alive, n)
		}
	}
	w.nodes = alive
}

// A daemon that stops hands its shards over at once, not when they lapse.
func TestStoppingEntryVMHandsItsShardsOver(t *testing.T) {
	w := newWorld(declare(2, 1, 4, 3), 3)
	w.start(t)
	_, err := w.nodes[0].StartWave(ctx, "spring", nil, order("c1"))
	assert.NilError(t, err)
	busy := w.tendAll(t, time.Second)
	stopped, cancel := context.WithCancel(ctx)
	cancel()

	assert.NilError(t, busy[0].Run(stopped))

	w.drop(busy[0])
	assert.Equal(t, len(w.tendAll(t, time.Second)), 1)
}

// The claim of a shard took effect but its reply was lost. Its holder must
// find it as its own, else nobody works until the lease lapses.
func TestShardClaimedWithLostReplyIsHeld(t *testing.T) {
	w := newWorld(declare(2, 1, 4, 3), 1)
	w.start(t)
	n := w.nodes[0]
	need := map[int]bool{3: true}
	assert.NilError(t, n.renewShards(ctx))
	n.store.LoseReplies(1)

	assert.Assert(t, n.claimShards(ctx, need) != nil)
	assert.NilError(t, n.claimShards(ctx, need))

	assert.Assert(t, n.shards.held[3])
}

// At rest two entry VMs of eight look for started waves, and nothing else goes
// to the platform.
func TestCallsAtRest(t *testing.T) {
	w := newWorld(declare(4, 5, 10, 8), 8)
	w.start(t)
	before := w.calls()
	const passes = 360 // an hour at restEvery
	for range passes {
		assert.Equal(t, len(w.tendAll(t, restEvery)), 0)
	}
	assert.Equal(t, w.calls()-before, attendants*passes)
}

// calls returns all calls of all nodes to the platform so far.
func (w *world) calls() int {
	n := w.machines.calls
	for _, node := range w.nodes {
		c := node.store.Calls()
		n += c.Reads + c.Writes + c.KeepAlives + c.Watches
	}
	return n
}
