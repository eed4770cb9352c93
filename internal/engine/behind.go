package engine

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/policy/overload"
	"github.com/pumicestage/pumicestage/policy/polling"
)

// maxSchedulingDelay is the longest that anything waited for the processor of late.
func (e *Engine) maxSchedulingDelay() time.Duration {
	if e.SchedulingDelay == nil {
		return 0
	}
	return e.SchedulingDelay.MaxDelay()
}

func (e *Engine) minSchedulingDelay() time.Duration {
	if e.SchedulingDelay == nil {
		return 0
	}
	return e.SchedulingDelay.MinDelay()
}

// withExtraTimeout gives a call so much time, and more while this owner is behind.
func (e *Engine) withExtraTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d+overload.ExtraTimeout(e.maxSchedulingDelay()))
}

// handOverDue reports whether the cell is to be handed over to a VM that can bear it.
func (e *Engine) handOverDue() bool {
	if e.Successor == nil {
		return false
	}
	now := e.Clock.Now()
	e.mu.Lock()
	level, resting := e.core.OverloadLevel(), len(e.core.open) == 0
	e.mu.Unlock()
	held := now - e.startedAt
	return e.handover.Due(level, e.Successor, held, now) || resting && e.handover.DueWhenIdle(e.Successor, held, now)
}

// AdjustLoad takes over how long what is ready to run waits for the processor at the least.
func (c *Core) AdjustLoad(standing, now time.Duration) {
	before := c.governor.Level()
	c.governor.Adjust(standing, now)
	after := c.governor.Level()
	if (before == 1) != (after == 1) {
		c.log.Info("owner behind its work", "behind", after > 1, "waits", standing.String(), "unread", c.unreadPolls, "workers", len(c.workers), "open", len(c.open))
	}
}

// OverloadLevel is by how much less this owner does as it is behind; 1 is nothing less.
func (c *Core) OverloadLevel() float64 { return c.governor.Level() }

// LimitStarts bounds the starts of the next plan; underWay have no answer yet.
func (c *Core) LimitStarts(underWay int) { c.startsLeft = c.governor.StartsLeft(underWay) }

// pollPause is the pause between two polls of a worker.
func (c *Core) pollPause() time.Duration {
	return c.governor.PollPause(polling.MinInterval(c.busyWorkers))
}

// StartsDeferred reports whether the last plan kept starts back until others are answered.
func (c *Core) StartsDeferred() bool { return c.startsDeferred }
