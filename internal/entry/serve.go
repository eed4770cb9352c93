package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pumicestage/pumicestage/internal/guard"
	"github.com/pumicestage/pumicestage/policy/dispatch"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/retry"
)

// serve handles one request of a caller: it parses the headers, reads the body,
// claims the key if required, waits for a slot and relays the response.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if p := s.admit(); p != nil {
		s.answer(w, r, p, true)
		return
	}
	defer s.admission.release()
	// Clear the write deadline of an earlier response on this connection, which
	// could make "100 Continue" fail.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	c, p := s.parseCall(r, s.clock.Now())
	if p != nil {
		s.answer(w, r, p, r.ContentLength != 0)
		return
	}
	body := newRequestBody(w, r, s.limits)
	atMostOnce := !c.service.Repeatable
	hold := s.bodies.NewHold(guard.Requests)
	defer hold.Release()
	if err := hold.Grow(body.prefetchSize(atMostOnce)); err != nil {
		s.answer(w, r, problemOverload("the entry VM holds as much of bodies as it may", time.Second), true)
		return
	}
	if p := body.prefetch(atMostOnce); p != nil {
		s.answer(w, r, p, true)
		return
	}
	if atMostOnce {
		s.serveOnce(w, r, c, body)
		return
	}
	ctx, cancel := s.withDeadline(r.Context(), c)
	defer cancel()
	e := &exchange{call: c, in: r, out: w, body: body, waitCtx: ctx, sendCtx: ctx}
	s.finish(e, s.run(e))
}

// exchange is the state of one request and its response.
type exchange struct {
	call *call
	in   *http.Request
	out  http.ResponseWriter
	body *requestBody
	// waitCtx ends at the deadline or when the caller disconnects, and frees the
	// place in the queue. sendCtx cancels a request that was sent to a target; for
	// a repeatable request it is the same as waitCtx.
	waitCtx  context.Context
	sendCtx  context.Context
	attempts int

	// The following are set only for a request that runs at most once.
	maySend    func() bool     // reports whether the claim is recent enough to send the request
	recorder   *answerRecorder // records the response
	onDeadline func()          // responds to the caller when its deadline passes
	answered   bool            // the caller has a response or has disconnected; nothing more is sent to it
}

// finish ends the exchange: it sends the problem if no response was relayed, and
// aborts the connection if relaying broke off.
func (s *Server) finish(e *exchange, res result) {
	if e.answered {
		return
	}
	if res.broken {
		s.metrics.broken.Add(1)
		panic(http.ErrAbortHandler)
	}
	if res.problem != nil {
		s.answer(e.out, e.in, res.problem, !e.body.complete())
		return
	}
	s.metrics.outcome(Ran)
}

// answer sends a problem document to the caller.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, p *Problem, closeConn bool) {
	s.metrics.problem(p)
	// The write deadline of an earlier response on this connection may have passed.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
	p.write(w, closeConn || s.admission.isClosed())
}

// errDeadline is the cause of a context that ended at the request's deadline.
var errDeadline = errors.New("request deadline exceeded")

// withDeadline returns a context that ends at the call's deadline by the server's
// clock, with the cause errDeadline.
func (s *Server) withDeadline(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := s.clock.AfterFunc(c.deadline.Sub(s.clock.Now()), func() { cancel(errDeadline) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// run waits for a slot and sends the request, and repeats this if the request was
// certainly not run and the retry policy allows it.
func (s *Server) run(e *exchange) result {
	var avoid model.VMID
	for {
		w, p := s.dispatch.submit(e.call, avoid)
		if p != nil {
			return result{problem: p}
		}
		g, p := s.await(e, w)
		if p != nil {
			return result{problem: p}
		}
		e.attempts++
		res := s.send(e, w, g.Address)
		if !res.certainlyNotRun() || !s.mayRetry(e, w) {
			return res
		}
		avoid = g.VM
	}
}

// send makes one attempt to send the request. It frees the slot in every case, a
// panic included.
func (s *Server) send(e *exchange, w *waiter, address string) result {
	res := result{outcome: dispatch.Outcome{Kind: dispatch.Failed}}
	defer func() { s.dispatch.done(w, res.outcome) }()
	if e.maySend != nil && !e.maySend() {
		// This VM was stalled, or the wait for a slot was long: the claim may expire
		// soon, and then a repeat of the key would run. The limit leaves half of the
		// claim's retention for the connection that would be opened now.
		res = result{outcome: dispatch.Outcome{Kind: dispatch.Abandoned}, problem: problemTimeout("no slot came free while the claim of the key was young enough", NotRun)}
		return res
	}
	res = s.forward.send(e, address)
	s.metrics.attempt(res.outcome.Kind)
	return res
}

// await waits until the waiter gets a slot or a refusal, its deadline passes or
// its caller disconnects.
func (s *Server) await(e *exchange, w *waiter) (dispatch.Grant, *Problem) {
	select {
	case g := <-w.granted:
		if g.Refusal != nil {
			return g, problemOf(g.Refusal, e.call.service.Name)
		}
		return g, nil
	case <-e.waitCtx.Done():
		s.dispatch.cancel(w)
		return dispatch.Grant{}, problemTimeout("no slot came free in time", NotRun)
	}
}

// mayRetry reports whether the retry policy allows another attempt.
func (s *Server) mayRetry(e *exchange, w *waiter) bool {
	if e.waitCtx.Err() != nil {
		return false
	}
	verdict := s.dispatch.retry(w, e.attempts, e.body.replayable())
	s.metrics.retry(verdict)
	return verdict == retry.Retry
}

// remaining returns the time until the call's deadline.
func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }
