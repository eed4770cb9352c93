package engine

import (
	"context"
	"errors"
	"time"
)

// send sends a plan's orders, each in a goroutine of its own and one of its worker's slots,
// and its requests for advice.
func (e *Engine) send(ctx context.Context, o *Orders) {
	for i := range o.Starts {
		if s := e.session(o.Starts[i].Worker.ID); s != nil {
			e.unansweredStarts.Add(1)
			s.runOrder(ctx, func() {
				e.start(ctx, o.Starts[i])
				e.unansweredStarts.Add(-1)
			})
		}
	}
	for i := range o.Stops {
		if s := e.session(o.Stops[i].Worker.ID); s != nil {
			s.runOrder(ctx, func() { e.stop(ctx, o.Stops[i]) })
		}
	}
	for i := range o.Paces {
		if s := e.session(o.Paces[i].Worker.ID); s != nil {
			s.runOrder(ctx, func() { e.pace(ctx, o.Paces[i]) })
		}
	}
	for i := range o.Advice {
		a := o.Advice[i]
		e.wg.Go(func() { e.advise(ctx, a) })
	}
}

// orderTimeout is the timeout of an order to a worker. Workers answer in a few milliseconds,
// and what takes longer is settled by a listing and a stop: a short task whose start was lost
// starts again within half a second and can still be in time.
const orderTimeout = 300 * time.Millisecond

// ordersAllowed reports whether this owner may still send orders. It is checked right before
// each one: a VM that was suspended between planning and sending may have a successor.
func (e *Engine) ordersAllowed() bool { return e.Clock.Now() <= e.Term.AllowedUntil() }

func (e *Engine) start(ctx context.Context, o StartOrder) {
	out, clock := OutcomeNotSent, time.Duration(0)
	send := e.ordersAllowed() && e.startSending(o)
	sent := e.Clock.Now()
	if send {
		call, cancel := e.withExtraTimeout(ctx, orderTimeout)
		out, clock = e.Workers.Start(call, &o.Worker, o.Start)
		cancel()
	}
	e.Metrics.countStart(out)
	e.mu.Lock()
	if send {
		e.observeResponse(out, sent)
	}
	e.core.StartAnswered(o, out, clock, e.Clock.Now())
	held := e.core.StartsDeferred()
	e.mu.Unlock()
	e.wake(o.Worker.ID)
	if out != OutcomeOK || held {
		kick(e.planKick)
	}
}

// startSending records that the start is about to be sent; it returns false if the run was
// given up.
func (e *Engine) startSending(o StartOrder) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.StartSending(o, e.Clock.Now())
}

func (e *Engine) stop(ctx context.Context, o StopOrder) {
	if !e.ordersAllowed() {
		return
	}
	call, cancel := e.withExtraTimeout(ctx, orderTimeout)
	defer cancel()
	sent := e.Clock.Now()
	out := e.Workers.Stop(call, &o.Worker, o.Task, o.Run, e.Term.Token())
	e.Metrics.countStop(out)
	e.mu.Lock()
	e.observeResponse(out, sent)
	e.core.StopAnswered(o, out, e.Clock.Now())
	e.mu.Unlock()
	e.wake(o.Worker.ID)
	kick(e.planKick)
}

func (e *Engine) pace(ctx context.Context, o PaceOrder) {
	if !e.ordersAllowed() {
		return
	}
	call, cancel := e.withExtraTimeout(ctx, orderTimeout)
	defer cancel()
	out := e.Workers.Pace(call, &o.Worker, o.Task, o.Run, o.Percent, e.Term.Token())
	e.Log.Info("pace", "task", o.Task.String(), "worker", o.Worker.ID, "percent", o.Percent, "outcome", out.String())
	if out != OutcomeOK {
		e.mu.Lock()
		if t := e.core.find(o.Task); t != nil && t.run == o.Run {
			t.pace, t.paceSentAt = -1, e.Clock.Now() // unknown, so it is set again
		}
		e.mu.Unlock()
	}
}

// advise makes a call to the advisor and gives the core its answer.
func (e *Engine) advise(ctx context.Context, o AdviceOrder) {
	asked := e.Clock.Now()
	answer := e.askAdvisor(ctx, o)
	now := e.Clock.Now()
	e.Metrics.countAdvice(&o, &answer)
	if answer.Err != nil {
		e.Log.Info("could not get advice", "step", o.Step.String(), "workers", len(o.Workers), "after", (now - asked).String(), "timeout", o.Timeout.String(), "error", answer.Err.Error())
	} else {
		e.Log.V(1).Info("advice", "step", o.Step.String(), "workers", len(o.Workers), "allowed", len(answer.Tickets), "after", (now - asked).String(), "took", answer.Duration.String(), "validity", answer.Validity.String())
	}
	e.mu.Lock()
	e.core.AdviceAnswered(answer, now)
	e.mu.Unlock()
	kick(e.planKick)
}

// errNoAdvisor is returned if a queue requires advice and the deployment has no advisor. The
// queue's jobs wait, and the error is logged at every attempt.
var errNoAdvisor = errors.New("engine: the queue requires advice and no advisor is configured")

// askAdvisor calls the advisor once no other engine of this entry VM does.
func (e *Engine) askAdvisor(ctx context.Context, o AdviceOrder) (a AdviceAnswer) {
	if e.Advisor == nil {
		return AdviceAnswer{Err: errNoAdvisor}
	}
	if e.AdvisorCalls != nil {
		select {
		case e.AdvisorCalls <- struct{}{}:
			defer func() { <-e.AdvisorCalls }()
		case <-ctx.Done():
			return AdviceAnswer{Err: ctx.Err()}
		}
	}
	call, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	sent := e.Clock.Now()
	a.Tickets, a.Validity, a.Err = e.Advisor.Advise(call, o.Step, o.Workers)
	a.Duration = e.Clock.Now() - sent
	a.TimedOut = a.Err != nil && errors.Is(call.Err(), context.DeadlineExceeded)
	return a
}
