package engine

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/policy/overload"
	"github.com/pumicestage/pumicestage/policy/polling"
)

// maxSchedulingDelay returns the longest scheduling delay of this process in the last second (see
// DelayMeter); 0 if it is not measured.
func (e *Engine) maxSchedulingDelay() time.Duration {
	if e.SchedulingDelay == nil {
		return 0
	}
	return e.SchedulingDelay.MaxDelay()
}

// minSchedulingDelay returns the shortest recent scheduling delay of this process (see DelayMeter);
// 0 if it is not measured.
func (e *Engine) minSchedulingDelay() time.Duration {
	if e.SchedulingDelay == nil {
		return 0
	}
	return e.SchedulingDelay.MinDelay()
}

// withExtraTimeout returns a context with the timeout d, extended while this owner's scheduling
// delay is high.
func (e *Engine) withExtraTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d+overload.ExtraTimeout(e.maxSchedulingDelay()))
}

// observeResponse tells the start window how a start or stop ended that was sent at that time. e.mu
// must be held.
func (e *Engine) observeResponse(out Outcome, sent time.Duration) {
	now, narrow := e.Clock.Now(), e.startWindow.Narrow()
	switch out {
	case OutcomeUnknown, OutcomeNotSent:
		e.startWindow.Unanswered(now-sent, now)
	default:
		e.startWindow.Answered(now-sent, e.core.StartsDeferred(), now)
	}
	if e.startWindow.Narrow() != narrow {
		e.Log.Info("slow answers of all workers limit the starts", "limited", !narrow, "starts", e.startWindow.Size(), "took", (now - sent).String())
	}
}

// handOverDue reports whether the cell is to be handed over to another VM: because this owner stays
// overloaded, or because it has no open jobs and a larger VM is free.
func (e *Engine) handOverDue() bool {
	if e.Successor == nil {
		return false
	}
	now := e.Clock.Now()
	e.mu.Lock()
	level, idle := e.core.OverloadLevel(), len(e.core.open) == 0
	e.mu.Unlock()
	held := now - e.startedAt
	return e.handover.Due(level, e.Successor, held, now) || idle && e.handover.DueWhenIdle(e.Successor, held, now)
}

// AdjustLoad adjusts the overload level to the minimum scheduling delay.
func (c *Core) AdjustLoad(minDelay, now time.Duration) {
	before := c.governor.Level()
	c.governor.Adjust(minDelay, now)
	after := c.governor.Level()
	if (before == 1) != (after == 1) {
		c.log.Info("owner overload changed", "behind", after > 1, "waits", minDelay.String(), "unread", c.unreadPolls, "workers", len(c.workers), "open", len(c.open))
	}
}

// OverloadLevel returns the factor by which this owner reduces its polls and starts because it is
// overloaded; 1 means that it reduces nothing.
func (c *Core) OverloadLevel() float64 { return c.governor.Level() }

// LimitStarts bounds the starts of the next plan. unanswered is the number of starts that are not
// answered yet.
func (c *Core) LimitStarts(unanswered int) { c.startsLeft = c.governor.StartsLeft(unanswered) }

// CapStarts lowers the bound on the starts of the next plan to n, if it is higher.
func (c *Core) CapStarts(n int) { c.startsLeft = min(c.startsLeft, n) }

// pollPause returns the pause between two polls of a worker.
func (c *Core) pollPause() time.Duration {
	return c.governor.PollPause(polling.MinInterval(c.busyWorkers))
}

// StartsDeferred reports whether the last plan deferred starts until others are answered.
func (c *Core) StartsDeferred() bool { return c.startsDeferred }
