package dev

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Every entry VM is replaced, one after the other, while callers go on over
// kept connections. A leaving one must finish what it has and tell kept
// connections to close before it closes them, or a request on its way is cut.
func TestEntryVMsAreReplacedUnderLoad(t *testing.T) {
	t.Parallel()
	c := startSmall(t)
	l, stopLoad := c.startLoad(context.Background(), c.decl.Services)
	for n := range c.entries {
		old := c.entries[n]
		rest := c.without(n)
		old.stop()
		c.await(t, "not ready", func() bool { return !old.Ready() })
		l.balancer.set(rest)
		<-old.done
		next, err := c.startEntry(context.Background(), n, old.Self().Zone, []string{c.entries[(n+1)%len(c.entries)].Self().Peer})
		assert.NilError(t, err)
		c.entries[n] = next
		c.await(t, "ready", next.Ready)
		l.balancer.set(c.callerBases())
		time.Sleep(200 * time.Millisecond)
	}
	stopLoad()

	assert.Equal(t, l.tally.Broken.Load(), int64(0))
	assert.Equal(t, l.tally.Unknown.Load(), int64(0))
	assert.Equal(t, l.tally.Wrong.Load(), int64(0))
	assert.Equal(t, c.falseNotRuns(l.tally), 0)
	assert.Equal(t, c.doubleRuns(), 0)
	assert.Assert(t, l.tally.Ran.Load() > 0)
}

// without returns the caller ports of all other entry VMs.
func (c *cluster) without(n int) []string {
	var bases []string
	for i, e := range c.entries {
		if i != n && e.Ready() {
			bases = append(bases, "http://"+e.Self().Caller)
		}
	}
	return bases
}
