package fleet

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// passAll lets every node poll for work once after d, and returns the nodes that
// had some.
func (w *simulation) passAll(t *testing.T, d time.Duration) []*node {
	t.Helper()
	w.clock.Advance(d)
	var busy []*node
	for _, n := range w.nodes {
		w.sync()
		had, err := n.passOverShards(ctx, false)
		assert.NilError(t, err)
		if had {
			busy = append(busy, n)
		}
	}
	w.sync()
	return busy
}

// The entry VM that runs a wave crashes without releasing its shards. Another one
// must take them over once their lease has expired, and finish the wave.
func TestShardsPassOnWhenTheirHolderDies(t *testing.T) {
	w := newSimulation(declare(2, 1, 4, 3), 3)
	w.start(t)
	_, err := w.nodes[0].StartWave(ctx, "spring", nil, order("c1"))
	assert.NilError(t, err)
	busy := w.passAll(t, time.Second)
	assert.Equal(t, len(busy), 1)
	dead := busy[0]
	w.removeNode(dead)

	idle := len(w.passAll(t, time.Second))

	assert.Equal(t, idle, 0)
	took := time.Duration(0)
	for len(w.passAll(t, time.Second)) == 0 && took < time.Minute {
		took += time.Second
	}
	assert.Assert(t, took <= shardTTL+shardRenewInterval, "taken over after %s", took)
	for range 1200 {
		w.passAll(t, time.Second)
	}
	assert.Equal(t, w.waveState(t, "spring"), WaveFinished)
	w.checkFinalState(t, 1)
}

func (w *simulation) removeNode(dead *node) {
	var alive []*node
	for _, n := range w.nodes {
		if n != dead {
			alive = append(alive, n)
		}
	}
	w.nodes = alive
}

// A daemon that stops must release its shards, so that another entry VM takes them
// over at once and not when their lease expires.
func TestStoppingEntryVMHandsItsShardsOver(t *testing.T) {
	w := newSimulation(declare(2, 1, 4, 3), 3)
	w.start(t)
	_, err := w.nodes[0].StartWave(ctx, "spring", nil, order("c1"))
	assert.NilError(t, err)
	busy := w.passAll(t, time.Second)
	stopped, cancel := context.WithCancel(ctx)
	cancel()

	assert.NilError(t, busy[0].Run(stopped))

	w.removeNode(busy[0])
	assert.Equal(t, len(w.passAll(t, time.Second)), 1)
}

// The claim of a shard takes effect but its reply is lost. The entry VM must
// recognize the shard as its own, or nobody does its work until the lease expires.
func TestShardClaimedWithLostReplyIsHeld(t *testing.T) {
	w := newSimulation(declare(2, 1, 4, 3), 1)
	w.start(t)
	n := w.nodes[0]
	need := map[int]bool{3: true}
	assert.NilError(t, n.renewShards(ctx))
	n.store.LoseReplies(1)

	assert.Assert(t, n.claimShards(ctx, need) != nil)
	assert.NilError(t, n.claimShards(ctx, need))

	assert.Assert(t, n.shards.held[3])
}

// While there is no work, two of eight entry VMs poll for started waves, and there
// are no other calls to the store or the platform.
func TestCallsAtRest(t *testing.T) {
	w := newSimulation(declare(4, 5, 10, 8), 8)
	w.start(t)
	before := w.calls()
	const passes = 360 // an hour at idlePassInterval
	for range passes {
		assert.Equal(t, len(w.passAll(t, idlePassInterval)), 0)
	}
	assert.Equal(t, w.calls()-before, maxIdlePollers*passes)
}

// calls returns the number of calls of all nodes to the store and the platform so
// far.
func (w *simulation) calls() int {
	n := w.machines.calls
	for _, node := range w.nodes {
		c := node.store.Calls()
		n += c.Reads + c.Writes + c.KeepAlives + c.Watches
	}
	return n
}
