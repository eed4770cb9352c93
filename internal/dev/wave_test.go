package dev

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra/standin"
)

// A wave reboots every VM under load while a VM fails, the entry VM that runs the
// wave is lost and the platform is down for two seconds. The ledger, the recount
// before each reboot and the drain must ensure that two VMs of each service
// always serve and no request is cut. The wave must end under another entry VM.
func TestWaveEndsWithBudgetsHeldAndNothingCut(t *testing.T) {
	t.Parallel()
	c := startSmall(t)
	l, stopLoad := c.startLoad(context.Background(), c.decl.Services)
	lowest := c.watchServing()
	c.startWave(t, 0)

	c.await(t, "a first reboot", func() bool { return c.platform.Machines.Tally().Reboots > 0 })
	c.entries[0].kill()
	l.balancer.set(c.callerBases())
	c.platform.Machines.Fail("quick-3")
	time.Sleep(time.Second)
	c.platform.Machines.Recover("quick-3")
	c.platform.Faults.Set(standin.AnyZone, standin.Fault{Down: true})
	time.Sleep(2 * time.Second)
	c.platform.Faults.Clear()
	c.awaitWaveEnd(t, 1)
	stopLoad()

	lowest.stop()
	tally := c.platform.Machines.Tally()
	assert.Equal(t, tally.CutByReboot, 0)
	assert.Assert(t, tally.Reboots >= len(c.decl.VMs))
	assert.Assert(t, lowest.of["quick"] >= 2, "quick fell to %d", lowest.of["quick"])
	assert.Assert(t, lowest.of["once"] >= 2, "once fell to %d", lowest.of["once"])
	assert.Equal(t, c.falseNotRuns(l.tally), 0)
	assert.Equal(t, l.tally.Wrong.Load(), int64(0))
	assert.Assert(t, l.tally.Ran.Load() > 0)
}

// minServing records the lowest number of targets of each service that served at
// the same time.
type minServing struct {
	of   map[string]int
	stop func()
}

func (c *cluster) watchServing() *minServing {
	w := &minServing{of: map[string]int{"quick": 4, "once": 4}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			for _, s := range c.decl.Services {
				w.of[string(s.Name)] = min(w.of[string(s.Name)], c.serving(s.Name))
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	w.stop = func() {
		cancel()
		<-ended
	}
	return w
}
