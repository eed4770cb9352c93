package dev

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra/standin"
)

// A wave runs under load through severe faults. Steps may be delayed or retried,
// but every planned stop must keep the budgets and cut nothing, no request may
// run twice, none answered with not-run may have run, no entry VM may go back to
// an older configuration, and the wave must end once the fault is over.
func TestWaveUnderTheWorstFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// injectFault injects the fault for a while, then ends it.
		injectFault func(c *cluster, w *observer)
	}{
		// Both zones reach the platform and see the same work, but no digest,
		// relay or acknowledgement passes between them.
		{"zones cut off from each other", func(c *cluster, _ *observer) {
			c.platform.Network.Cut("za", "zb")
			time.Sleep(4 * time.Second)
			c.platform.Network.Heal("za", "zb")
		}},
		// No connection breaks and nothing arrives until the fault ends; what was
		// sent then arrives late.
		{"a zone drops all traffic", func(c *cluster, _ *observer) {
			c.platform.Network.DropAll("zb", true)
			time.Sleep(4 * time.Second)
			c.platform.Network.DropAll("zb", false)
		}},
		{"platform slow, then paused", func(c *cluster, _ *observer) {
			c.platform.Faults.Set(standin.AnyZone, standin.Fault{Slow: 700 * time.Millisecond, LoseReplies: 10, Garble: 5})
			time.Sleep(3 * time.Second)
			c.platform.Faults.Set(standin.AnyZone, standin.Fault{Paused: true})
			time.Sleep(3 * time.Second)
			c.platform.Faults.Clear()
		}},
		// The list shows a failed VM as live; its service's budget allows one
		// stop less.
		{"stale list over a failed VM", func(c *cluster, w *observer) {
			c.platform.Faults.Set(standin.AnyZone, standin.Fault{StaleList: true})
			recover := w.fail("once-3")
			time.Sleep(maxDetectionDelay + 2*time.Second)
			c.platform.Faults.Clear()
			recover()
		}},
		// The entry VM that started the wave is paused until its leases have
		// expired and others have taken over; then all its held-back writes are
		// sent.
		{"an entry VM paused beyond its leases", func(c *cluster, _ *observer) {
			resume := c.entries[0].dialer.stall()
			time.Sleep(12 * time.Second)
			resume()
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := startSmall(t)
			w := c.startObserver(t)
			l, stopLoad := c.startLoad(context.Background(), c.decl.Services)
			c.startWave(t, 0)
			c.await(t, "a first stop", func() bool { return c.platform.Machines.Tally().Reboots > 0 })
			tc.injectFault(c, w)
			c.resumeUntilEnd(t)
			w.settle(t)
			stopLoad()
			assert.Check(t, w.verdict(l.tally))
		})
	}
}
