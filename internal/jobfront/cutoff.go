package jobfront

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/cutoff"
)

// queryGrace is how long a query waits for the owner while this entry VM is cut off. An owner in
// the same zone may still be reachable and answers in milliseconds; no other can answer.
const queryGrace = 50 * time.Millisecond

// Causes of uncertain answers, as counted in Options.Uncertain.
const (
	causeCutOff   = "cut off"
	causeTimeOver = "time over"
)

// errCutOff is the cause of a context that ended because this entry VM was cut off, and of calls
// to the store that were not made for that reason.
var errCutOff = errors.New("this entry VM is cut off from the store and all other zones")

// CutOff tells a Front whether its entry VM is cut off from the store and all other zones. The
// zero value is not cut off; a nil *CutOff never is. It is safe for concurrent use.
type CutOff struct {
	mu        sync.Mutex
	connected context.Context // done while cut off; nil: not used yet
	end       context.CancelFunc
	since     time.Duration // when it was cut off, while it is
}

// Set records at the time now that the entry VM is cut off, or no longer is. Requests that wait
// are ended when it becomes cut off.
func (c *CutOff) Set(cutOff bool, now time.Duration) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch was := c.connectedLocked().Err() != nil; {
	case cutOff && !was:
		c.since = now
		c.end()
	case !cutOff && was:
		c.connected = nil
	}
}

// connectedLocked returns the context that is done while this entry VM is cut off. The caller
// holds c.mu.
func (c *CutOff) connectedLocked() context.Context {
	if c.connected == nil {
		c.connected, c.end = context.WithCancel(context.Background())
	}
	return c.connected
}

// active reports whether this entry VM is cut off, and since when.
func (c *CutOff) active() (since time.Duration, cutOff bool) {
	if c == nil {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.connectedLocked().Err() != nil
}

// limit returns a context that ends with ctx, or grace after this entry VM is cut off; grace after
// now if it already is. The function it returns releases what it holds.
func (c *CutOff) limit(ctx context.Context, grace time.Duration) (context.Context, context.CancelFunc) {
	if c == nil {
		return ctx, func() {}
	}
	c.mu.Lock()
	connected := c.connectedLocked()
	c.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(connected, func() {
		sleep.For(ctx, grace)
		cancel(errCutOff)
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// endedByCutOff reports whether ctx ended because this entry VM was cut off.
func endedByCutOff(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errCutOff) }

// begin returns the context of a request, which ends grace after this entry VM is cut off. The
// function it returns is called with the result.
func (f *Front) begin(ctx context.Context, grace time.Duration) (context.Context, func(err error)) {
	ctx, release := f.CutOff.limit(ctx, grace)
	return ctx, func(err error) {
		release()
		var refusal *Refusal
		if f.CutOffRefusals != nil && errors.As(err, &refusal) && refusal.cutOff {
			f.CutOffRefusals.Add(1)
		}
	}
}

// refuse returns the refusal of a request that had no effect because the store or the owner could
// not be reached.
func (f *Front) refuse(reason string) *Refusal {
	since, cutOff := f.CutOff.active()
	if !cutOff {
		return &Refusal{Reason: reason, RetryAfter: storeRetryAfter}
	}
	return &Refusal{Reason: reason, RetryAfter: cutoff.RetryAfter(f.Clock.Now() - since), cutOff: true}
}

// refuseChange refuses a submission or cancellation of which nothing was sent because this entry
// VM is cut off.
func (f *Front) refuseChange() *Refusal {
	return f.refuse("nothing was stored: " + errCutOff.Error())
}

// uncertain returns ErrUncertain for a request whose context has ended, and counts it by cause.
func (f *Front) uncertain(ctx context.Context) error {
	err, cause := ErrUncertain, causeTimeOver
	if endedByCutOff(ctx) {
		err, cause = fmt.Errorf("%w: %w", ErrUncertain, errCutOff), causeCutOff
	}
	if f.Uncertain != nil {
		f.Uncertain.Add(cause, 1)
	}
	return err
}
