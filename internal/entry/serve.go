package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pumicestage/pumicestage/policy/dispatch"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/retry"
)

// serve takes one request through: contract, body, claim, slot, answer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if p := s.enter(); p != nil {
		s.answer(w, r, p, true)
		return
	}
	defer s.gate.leave()
	// Lift the deadline of an earlier answer, lest "100 Continue" fails.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	c, p := s.parseCall(r, s.clock.Now())
	if p != nil {
		s.answer(w, r, p, r.ContentLength != 0)
		return
	}
	body := newRequestBody(w, r, s.limits)
	once := !c.service.Repeatable
	ahead := body.ahead(once)
	defer s.buffered.Add(-ahead)
	if s.buffered.Add(ahead) > s.limits.BufferedBytes {
		s.answer(w, r, problemOverload("the entry VM holds as much of bodies as it may", time.Second), true)
		return
	}
	if p := body.prefetch(once); p != nil {
		s.answer(w, r, p, true)
		return
	}
	if once {
		s.serveOnce(w, r, c, body)
		return
	}
	ctx, cancel := s.withDeadline(r.Context(), c)
	defer cancel()
	e := &exchange{call: c, in: r, out: w, body: body, waitCtx: ctx, sendCtx: ctx}
	s.finish(e, s.run(e))
}

// exchange is one request with its answer under way.
type exchange struct {
	call *call
	in   *http.Request
	out  http.ResponseWriter
	body *requestBody
	// waitCtx ends at the deadline or when the caller goes away: the place in
	// the queue is freed. sendCtx ends what was sent: with waitCtx where the
	// request is repeatable.
	waitCtx  context.Context
	sendCtx  context.Context
	attempts int

	// Of a request that runs at most once:
	maySend func() bool // whether the claim is young enough to send by
	keep    *keptAnswer // records the answer
	late    func()      // tells the caller that its deadline has passed
	told    bool        // the caller has its answer, or is gone; nothing more is given
}

// finish tells the caller how the exchange ended where no answer was given.
func (s *Server) finish(e *exchange, res result) {
	if e.told {
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

func (s *Server) answer(w http.ResponseWriter, r *http.Request, p *Problem, closeConn bool) {
	s.metrics.problem(p)
	// The write deadline left by an earlier answer on the connection is over.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
	p.write(w, closeConn || s.gate.isShut())
}

// errDeadline is the cause of a context that ended at the request's deadline.
var errDeadline = errors.New("request deadline")

// withDeadline bounds ctx by the call's deadline on the server's clock.
func (s *Server) withDeadline(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := s.clock.AfterFunc(c.deadline.Sub(s.clock.Now()), func() { cancel(errDeadline) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// run gets the exchange a slot and sends it, again where it was certainly not
// run and the retry policy agrees.
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

// send makes one attempt; the slot is freed whatever happens.
func (s *Server) send(e *exchange, w *waiter, address string) result {
	res := result{use: dispatch.Outcome{Kind: dispatch.Failed}}
	defer func() { s.dispatch.done(w, res.use) }()
	if e.maySend != nil && !e.maySend() {
		// This VM stood still, or the wait for a slot was long: the claim may be
		// forgotten soon and a repeat of the key run. Half of the time that it is
		// remembered is left for the connection that would be opened now.
		res = result{use: dispatch.Outcome{Kind: dispatch.Abandoned}, problem: problemTimeout("no slot came free while the claim of the key was young enough", NotRun)}
		return res
	}
	res = s.forward.send(e, address)
	s.metrics.attempt(res.use.Kind)
	return res
}

// await waits for the waiter's slot, its deadline or its caller's leaving.
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

// mayRetry asks the retry policy.
func (s *Server) mayRetry(e *exchange, w *waiter) bool {
	if e.waitCtx.Err() != nil {
		return false
	}
	verdict := s.dispatch.retry(w, e.attempts, e.body.replayable())
	s.metrics.retry(verdict)
	return verdict == retry.Retry
}

// remaining is what is left of the call's timeout.
func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }
