package engine

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/overload"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Connections to one worker: one for polls, which occupy theirs while they
// wait, and some for orders. New connections are dear at one deployment.
const orderSlots = 3

// session is the conversation with one worker.
type session struct {
	engine  *Engine
	id      work.WorkerID
	kick    chan struct{}
	orders  chan struct{} // slots for orders in progress
	started bool
}

func newSession(e *Engine, id work.WorkerID) *session {
	return &session{engine: e, id: id, kick: make(chan struct{}, 1), orders: make(chan struct{}, orderSlots)}
}

func (e *Engine) session(id work.WorkerID) *session {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sessions[id]
}

// startSessions starts the poll loops of new workers. The engine's context is
// the one of its term.
func (e *Engine) startSessions() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sessions {
		if !s.started {
			s.started = true
			e.wg.Go(func() { s.run(e.ctx) })
		}
	}
}

func (e *Engine) wake(id work.WorkerID) {
	if s := e.session(id); s != nil {
		kick(s.kick)
	}
}

// do runs an order in one of the worker's slots.
func (s *session) do(ctx context.Context, f func()) {
	s.engine.wg.Go(func() {
		select {
		case s.orders <- struct{}{}:
			defer func() { <-s.orders }()
			f()
		case <-ctx.Done():
		}
	})
}

// Pauses between polls of a worker that does not answer. One that stays silent costs a
// connection each time.
const (
	failedPause     = 150 * time.Millisecond
	mostFailedPause = 600 * time.Millisecond
)

// pauseAfter is the pause after so many polls that a worker did not answer. The first is
// repeated at once, as a single answer may be lost. A poll that says nothing of the worker,
// as this owner was behind or might not poll, is followed by the usual pause: without one
// the polls themselves would keep it behind.
func pauseAfter(missed int, usual time.Duration) time.Duration {
	switch missed {
	case 0:
		return usual
	case 1:
		return 0
	}
	return min(mostFailedPause, failedPause<<min(missed-2, 4))
}

// run polls the worker for as long as something is or may be there.
func (s *session) run(ctx context.Context) {
	e := s.engine
	for ctx.Err() == nil {
		e.mu.Lock()
		e.authority()
		info, h, due := e.core.HoldFor(s.id, e.Clock.Now())
		_, exists := e.core.workers[s.id]
		pause := e.core.pollPause()
		if !exists {
			delete(e.sessions, s.id)
		}
		e.mu.Unlock()
		if !exists {
			return
		}
		if !due {
			s.idle(ctx)
			continue
		}
		if !s.poll(ctx, &info, h) {
			pause = pauseAfter(e.missed(s.id), pause)
		}
		sleep.For(ctx, pause)
	}
}

// idleEvery checks again whether there is something to do, should a wake-up
// have been missed while orders were not allowed.
const idleEvery = 1 * time.Second

func (s *session) idle(ctx context.Context) {
	t := time.NewTimer(idleEvery)
	defer t.Stop()
	select {
	case <-s.kick:
	case <-t.C:
	case <-ctx.Done():
	}
}

// missed is how many polls of the worker were not answered since the last that was.
func (e *Engine) missed(id work.WorkerID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w := e.core.workers[id]; w != nil {
		return w.missed
	}
	return 0
}

func (s *session) poll(ctx context.Context, info *WorkerInfo, h Hold) bool {
	e := s.engine
	if !e.allowed() {
		return false
	}
	sent := e.Clock.Now()
	call, cancel := e.within(ctx, h.Wait+pollTimeout)
	l, out := e.Workers.Hold(call, info, h)
	cancel()
	if ctx.Err() != nil {
		return false
	}
	e.Metrics.countPoll(out)
	behind := e.behind()
	e.mu.Lock()
	switch {
	case out == OutcomeOK:
		e.core.HoldAnswered(s.id, h, l, sent, e.Clock.Now())
	case overload.AnswerMayBeUnread(behind) && (out == OutcomeUnknown || out == OutcomeNotSent):
		e.core.HoldUnread()
	default:
		e.core.HoldFailed(s.id, out, e.Clock.Now())
	}
	e.mu.Unlock()
	// An answer that came because its time was up brings nothing to plan on.
	if out != OutcomeOK || len(l.Ended) > 0 || h.Wait <= pollSoon {
		kick(e.planKick)
	}
	return out == OutcomeOK
}
