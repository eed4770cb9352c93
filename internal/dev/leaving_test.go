package dev

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
)

// maxLeaveDelay is the time after which a leaving target must get no new work.
const maxLeaveDelay = 3 * time.Second

// A target leaves by an order in the store, which the target itself may not
// receive, or announces that it drains while the platform is down. After
// maxLeaveDelay no entry VM of any zone may send it requests, although those of
// the other zone learn of it only by relay, digest or health answer.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		leave func(c *cluster) error
	}{
		{"order in the store", func(c *cluster) error {
			_, err := c.entries[0].Fleet().Drain(context.Background(), "quick-0", fleet.Order{Change: "leave", Actor: "test"})
			return err
		}},
		{"order in the store, ignored by the target", func(c *cluster) error {
			c.ignoreDrain.Store(true)
			_, err := c.entries[0].Fleet().Drain(context.Background(), "quick-0", fleet.Order{Change: "leave", Actor: "test"})
			return err
		}},
		{"announced by the target, platform down", func(c *cluster) error {
			c.platform.Faults.Set(standin.AnyZone, standin.Fault{Down: true})
			c.targets["quick-0"].Drain()
			return nil
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := startSmall(t)
			l, stopLoad := c.startLoad(context.Background(), c.decl.Services[:1])
			c.await(t, "work at the target", func() bool { return c.targets["quick-0"].Counts().Started > 0 })
			assert.NilError(t, tc.leave(c))
			time.Sleep(maxLeaveDelay)
			before := c.targets["quick-0"].Counts()

			time.Sleep(time.Second)

			after := c.targets["quick-0"].Counts()
			stopLoad()
			assert.Equal(t, after.Started, before.Started)
			assert.Equal(t, after.Refused, before.Refused)
			assert.Equal(t, l.tally.Broken.Load(), int64(0), l.tally.describeBroken())
			assert.Equal(t, l.tally.Unknown.Load(), int64(0))
		})
	}
}
