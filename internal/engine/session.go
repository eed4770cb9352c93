package engine

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/overload"
	"github.com/pumicestage/pumicestage/policy/work"
)

// maxConcurrentOrders is the number of connections to one worker that orders may use. Polls
// use one more, which they occupy while they wait. New connections are expensive in one
// deployment.
const maxConcurrentOrders = 3

// session sends polls and orders to one worker.
type session struct {
	engine  *Engine
	id      work.WorkerID
	kick    chan struct{}
	orders  chan struct{} // semaphore of the orders in progress
	started bool
}

func newSession(e *Engine, id work.WorkerID) *session {
	return &session{engine: e, id: id, kick: make(chan struct{}, 1), orders: make(chan struct{}, maxConcurrentOrders)}
}

// session returns the session of the worker; nil if there is none.
func (e *Engine) session(id work.WorkerID) *session {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sessions[id]
}

// startSessions starts the poll loops of new workers. The engine's context lasts for this
// owner's term.
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

// wake has the session of the worker check at once whether a poll is due.
func (e *Engine) wake(id work.WorkerID) {
	if s := e.session(id); s != nil {
		kick(s.kick)
	}
}

// runOrder runs f in one of the worker's slots for orders.
func (s *session) runOrder(ctx context.Context, f func()) {
	s.engine.wg.Go(func() {
		select {
		case s.orders <- struct{}{}:
			defer func() { <-s.orders }()
			f()
		case <-ctx.Done():
		}
	})
}

// Pauses between polls of a worker that does not answer. Each poll of a silent worker costs a
// connection.
const (
	initialMissedPause = 150 * time.Millisecond
	maxMissedPause     = 600 * time.Millisecond
)

// pauseAfterMissed returns the pause after that many missed polls in a row. The first is
// repeated at once, as a single answer may be lost. With none missed, the poll failed because
// this owner was overloaded or not allowed to poll; the usual pause follows, as polls without
// one would keep the owner overloaded.
func pauseAfterMissed(missed int, usual time.Duration) time.Duration {
	switch missed {
	case 0:
		return usual
	case 1:
		return 0
	}
	return min(maxMissedPause, initialMissedPause<<min(missed-2, 4))
}

// run polls the worker whenever a poll is due, until the worker is removed or ctx ends.
func (s *session) run(ctx context.Context) {
	e := s.engine
	for ctx.Err() == nil {
		e.mu.Lock()
		e.updateAuthority()
		info, h, due := e.core.NextPoll(s.id, e.Clock.Now())
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
			pause = pauseAfterMissed(e.missedPolls(s.id), pause)
		}
		sleep.For(ctx, pause)
	}
}

// idleCheckInterval is how often an idle session checks whether a poll is due without being woken.
// A wake-up has no effect while the owner's lease doesn't allow it to give orders, and isn't
// repeated.
const idleCheckInterval = 1 * time.Second

// idle waits until the session is woken, idleCheckInterval has passed or ctx ends.
func (s *session) idle(ctx context.Context) {
	t := time.NewTimer(idleCheckInterval)
	defer t.Stop()
	select {
	case <-s.kick:
	case <-t.C:
	case <-ctx.Done():
	}
}

// missedPolls returns how many polls of the worker were not answered since its last answer.
func (e *Engine) missedPolls(id work.WorkerID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w := e.core.workers[id]; w != nil {
		return w.missedPolls
	}
	return 0
}

// poll sends one poll and records its outcome; it reports whether the worker answered.
func (s *session) poll(ctx context.Context, info *WorkerInfo, h Hold) bool {
	e := s.engine
	if !e.ordersAllowed() {
		return false
	}
	sent := e.Clock.Now()
	call, cancel := e.withExtraTimeout(ctx, h.Wait+pollTimeout)
	l, out := e.Workers.Hold(call, info, h)
	cancel()
	if ctx.Err() != nil {
		return false
	}
	e.Metrics.countPoll(out)
	behind := e.maxSchedulingDelay()
	e.mu.Lock()
	switch {
	case out == OutcomeOK:
		e.core.PollAnswered(s.id, h, l, sent, e.Clock.Now())
	case overload.AnswerMayBeUnread(behind) && (out == OutcomeUnknown || out == OutcomeNotSent):
		e.core.PollUnread()
	default:
		e.core.PollFailed(s.id, out, e.Clock.Now())
	}
	e.mu.Unlock()
	// An answer that came only because its wait was over gives no reason to plan.
	if out != OutcomeOK || len(l.Ended) > 0 || h.Wait <= pollWaitMin {
		kick(e.planKick)
	}
	return out == OutcomeOK
}
