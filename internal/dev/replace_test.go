package dev

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// balancerLag is the time until the platform's balancer learns that an entry VM
// shuts down, and is not ready.
const balancerLag = 500 * time.Millisecond

// Every entry VM is replaced, one after the other, while callers keep sending over
// reused connections and the balancer learns of it half a second late. An entry
// VM that shuts down must accept requests for that time and tell callers to
// close reused connections; otherwise callers get a refusal, a closed port or a
// broken connection.
func TestEntryVMsAreReplacedUnderLoad(t *testing.T) {
	t.Parallel()
	c := startSmall(t)
	l, stopLoad := c.startLoad(context.Background(), c.decl.Services)
	for n := range c.entries {
		old := c.entries[n]
		rest := c.without(n)
		l.balancer.setAt(time.Now().Add(balancerLag), rest)
		old.stop()
		c.await(t, "not ready", func() bool { return !old.Ready() })
		<-old.done
		next, err := c.startEntry(context.Background(), n, old.Self().Zone, []string{c.entries[(n+1)%len(c.entries)].Self().Peer})
		assert.NilError(t, err)
		c.entries[n] = next
		c.await(t, "ready", next.Ready)
		l.balancer.set(c.callerBases())
		time.Sleep(200 * time.Millisecond)
	}
	stopLoad()

	assert.Equal(t, l.tally.Broken.Load(), int64(0), l.tally.describeBroken())
	assert.Equal(t, l.tally.NotRun.Load(), int64(0))
	assert.Equal(t, l.tally.Refused.Load(), int64(0))
	assert.Equal(t, l.tally.Unknown.Load(), int64(0))
	assert.Equal(t, l.tally.Wrong.Load(), int64(0))
	assert.Equal(t, c.falseNotRuns(l.tally), 0)
	assert.Equal(t, c.doubleRuns(), 0)
	assert.Assert(t, l.tally.Ran.Load() > 0)
}

// without returns the caller base URLs of the ready entry VMs other than n.
func (c *cluster) without(n int) []string {
	var bases []string
	for i, e := range c.entries {
		if i != n && e.Ready() {
			bases = append(bases, "http://"+e.Self().Caller)
		}
	}
	return bases
}
