package engine

import (
	"context"
	"errors"
	"time"
)

// send gives a plan's orders, each in a goroutine of its own and a slot of its worker's.
func (e *Engine) send(ctx context.Context, o *Orders) {
	for i := range o.Starts {
		if s := e.session(o.Starts[i].Worker.ID); s != nil {
			e.starts.Add(1)
			s.do(ctx, func() {
				e.start(ctx, o.Starts[i])
				e.starts.Add(-1)
			})
		}
	}
	for i := range o.Stops {
		if s := e.session(o.Stops[i].Worker.ID); s != nil {
			s.do(ctx, func() { e.stop(ctx, o.Stops[i]) })
		}
	}
	for i := range o.Paces {
		if s := e.session(o.Paces[i].Worker.ID); s != nil {
			s.do(ctx, func() { e.pace(ctx, o.Paces[i]) })
		}
	}
	for i := range o.Advice {
		a := o.Advice[i]
		e.wg.Go(func() { e.advise(ctx, a) })
	}
}

// orderTimeout ends a start or stop without an answer. Workers answer in a few
// milliseconds, and what is later is settled by a list and a stop: a short task whose
// start was lost is begun again within half a second and can still be in time.
const orderTimeout = 300 * time.Millisecond

// allowed is asked right before an order leaves: a VM that was suspended
// between planning and sending may have a successor.
func (e *Engine) allowed() bool { return e.Clock.Now() <= e.Term.AllowedUntil() }

func (e *Engine) start(ctx context.Context, o StartOrder) {
	out, clock := OutcomeNotSent, time.Duration(0)
	if e.allowed() && e.startLeaves(o) {
		call, cancel := e.within(ctx, orderTimeout)
		out, clock = e.Workers.Start(call, &o.Worker, o.Start)
		cancel()
	}
	e.Metrics.countStart(out)
	e.mu.Lock()
	e.core.StartAnswered(o, out, clock, e.Clock.Now())
	held := e.core.Held()
	e.mu.Unlock()
	e.wake(o.Worker.ID)
	if out != OutcomeOK || held {
		kick(e.planKick)
	}
}

func (e *Engine) startLeaves(o StartOrder) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.StartLeaves(o, e.Clock.Now())
}

func (e *Engine) stop(ctx context.Context, o StopOrder) {
	if !e.allowed() {
		return
	}
	call, cancel := e.within(ctx, orderTimeout)
	defer cancel()
	out := e.Workers.Stop(call, &o.Worker, o.Task, o.Run, e.Term.Token())
	e.Metrics.countStop(out)
	e.mu.Lock()
	e.core.StopAnswered(o, out, e.Clock.Now())
	e.mu.Unlock()
	e.wake(o.Worker.ID)
	kick(e.planKick)
}

func (e *Engine) pace(ctx context.Context, o PaceOrder) {
	if !e.allowed() {
		return
	}
	call, cancel := e.within(ctx, orderTimeout)
	defer cancel()
	out := e.Workers.Pace(call, &o.Worker, o.Task, o.Run, o.Percent, e.Term.Token())
	e.Log.Info("pace", "task", o.Task.String(), "worker", o.Worker.ID, "percent", o.Percent, "outcome", out.String())
	if out != OutcomeOK {
		e.mu.Lock()
		if t := e.core.find(o.Task); t != nil && t.run == o.Run {
			t.pace, t.paceSent = -1, e.Clock.Now() // unknown: set again
		}
		e.mu.Unlock()
	}
}

// adviceTimeout ends a call to the advisor: decisions take tens of
// milliseconds and calls of one VM wait for each other.
const adviceTimeout = 1500 * time.Millisecond

func (e *Engine) advise(ctx context.Context, o AdviceOrder) {
	call, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	sent := e.Clock.Now()
	tickets, validity, err := e.askAdvisor(call, o)
	if err != nil {
		e.Log.Info("no advice", "step", o.Step.String(), "workers", len(o.Workers), "error", err.Error())
	}
	e.mu.Lock()
	e.core.Advised(o.Step, tickets, validity, sent)
	e.mu.Unlock()
	kick(e.planKick)
}

// errNoAdvisor: the operator's queue needs advice and the deployment has nobody
// to give it. The queue's jobs wait; the log says why at every try.
var errNoAdvisor = errors.New("engine: the queue is advised and no advisor is set")

func (e *Engine) askAdvisor(ctx context.Context, o AdviceOrder) ([]Ticket, time.Duration, error) {
	if e.Advisor == nil {
		return nil, 0, errNoAdvisor
	}
	return e.Advisor.Advise(ctx, o.Step, o.Workers)
}
