package ownerlink

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/work"
)

// forwardMargin is how much earlier than the owner the forwarding entry VM times out. Its
// response that the worker did not answer must arrive before the owner times out and closes
// the connection with all other calls on it.
const forwardMargin = 80 * time.Millisecond

// workerKind is the method of the worker that a forwarded call calls.
type workerKind uint8

const (
	workerStart workerKind = iota + 1
	workerStop
	workerHold
	workerPace
)

// workerCall is a call to a worker that an owner asks another entry VM to make.
type workerCall struct {
	Kind    workerKind
	Worker  work.WorkerID
	Address string
	Budget  time.Duration // the timeout of the call to the worker
	// Start is set for workerStart, Hold for workerHold. The fields below name a run, for
	// workerStop and workerPace.
	Start   *engine.Start
	Hold    *engine.Hold
	Task    *work.TaskRef
	Run     int
	Percent int
	Token   int64
}

// workerAnswer is the outcome of a workerCall.
type workerAnswer struct {
	Outcome engine.Outcome
	Clock   time.Duration // the time on the worker's own clock
	Listing engine.Listing
}

// pack encodes a call or its answer as arrays, without field names: the listing of a busy
// worker is sent dozens of times a second. An entry VM of another version that can't decode a
// call answers that it was not made.
func pack(v any) (msgpack.RawMessage, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	err := enc.Encode(v)
	return buf.Bytes(), err
}

// ForwardingClient calls workers through the entry VM at Address.
type ForwardingClient struct {
	Link    *Client
	Address string
}

// ForwardResult tells whether the forwarding entry VM answered. The outcome of the call at
// the worker is a separate value.
type ForwardResult uint8

// Results of a forwarded call.
const (
	ForwardNotSent    ForwardResult = iota // the worker was certainly not called
	ForwardUnanswered                      // sent, and the entry VM did not answer
	ForwardAnswered                        // the entry VM answered with the outcome
)

// Start forwards a start.
func (f ForwardingClient) Start(ctx context.Context, w *engine.WorkerInfo, s engine.Start) (engine.Outcome, time.Duration, ForwardResult) {
	a, reached := f.call(ctx, w, workerCall{Kind: workerStart, Start: &s})
	return a.Outcome, a.Clock, reached
}

// Stop forwards a stop.
func (f ForwardingClient) Stop(ctx context.Context, w *engine.WorkerInfo, task work.TaskRef, run int, token int64) (engine.Outcome, ForwardResult) {
	a, reached := f.call(ctx, w, workerCall{Kind: workerStop, Task: &task, Run: run, Token: token})
	return a.Outcome, reached
}

// Hold forwards a poll.
func (f ForwardingClient) Hold(ctx context.Context, w *engine.WorkerInfo, h engine.Hold) (engine.Listing, engine.Outcome, ForwardResult) {
	a, reached := f.call(ctx, w, workerCall{Kind: workerHold, Hold: &h})
	return a.Listing, a.Outcome, reached
}

// Pace forwards a change of pace.
func (f ForwardingClient) Pace(ctx context.Context, w *engine.WorkerInfo, task work.TaskRef, run, percent int, token int64) (engine.Outcome, ForwardResult) {
	a, reached := f.call(ctx, w, workerCall{Kind: workerPace, Task: &task, Run: run, Percent: percent, Token: token})
	return a.Outcome, reached
}

func (f ForwardingClient) call(ctx context.Context, w *engine.WorkerInfo, c workerCall) (workerAnswer, ForwardResult) {
	c.Worker, c.Address = w.ID, w.Address
	end, bounded := ctx.Deadline()
	if !bounded {
		end = time.Now().Add(serveTimeout)
	}
	// Connecting may take a part of the time, so that what is left is known only afterwards.
	if _, err := f.Link.connect(ctx, f.Address); err != nil {
		return workerAnswer{Outcome: engine.OutcomeNotSent}, ForwardNotSent
	}
	c.Budget = time.Until(end) - forwardMargin
	if c.Budget <= 0 {
		f.Link.Log.V(1).Info("no time left to forward a call", "worker", w.ID, "address", f.Address)
		return workerAnswer{Outcome: engine.OutcomeNotSent}, ForwardNotSent
	}
	raw, err := pack(&c)
	if err != nil {
		f.Link.Log.Error(err, "encoding a call to a worker for forwarding failed", "worker", w.ID)
		return workerAnswer{Outcome: engine.OutcomeNotSent}, ForwardNotSent
	}
	resp, err := f.Link.call(ctx, Peer{Address: f.Address}, &request{Kind: kindWorker, Worker: raw})
	switch {
	case errors.Is(err, ErrNotSent):
		return workerAnswer{Outcome: engine.OutcomeNotSent}, ForwardNotSent
	case err != nil:
		return workerAnswer{Outcome: engine.OutcomeUnknown}, ForwardUnanswered
	case resp.Result == resultTooLarge: // the worker was called, and its answer is too large to be passed on
		return workerAnswer{Outcome: engine.OutcomeUnknown}, ForwardUnanswered
	case resp.Result != resultOK:
		return workerAnswer{Outcome: engine.OutcomeNotSent}, ForwardNotSent
	}
	var a workerAnswer
	if err := msgpack.Unmarshal(resp.Worker, &a); err != nil {
		f.Link.Log.Error(err, "decoding the answer to a forwarded call failed", "worker", w.ID, "address", f.Address)
		return workerAnswer{Outcome: engine.OutcomeUnknown}, ForwardUnanswered
	}
	return a, ForwardAnswered
}

// forward calls a worker for an owner. A call that arrives late is harmless: it carries the
// fencing token, the run's number, and the deadline on the worker's own clock.
func (s *Server) forward(ctx context.Context, raw msgpack.RawMessage, resp *response) {
	var c workerCall
	if err := msgpack.Unmarshal(raw, &c); err != nil {
		s.Log.Error(err, "decoding a call to forward failed")
		return
	}
	if s.Workers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(c.Budget, serveTimeout))
	defer cancel()
	a, ok := s.callWorker(ctx, &c)
	if !ok {
		s.Log.Info("call to forward has an unknown kind or lacks its parameters", "kind", c.Kind, "worker", c.Worker)
		return
	}
	packed, err := pack(a)
	if err != nil {
		// The worker was called. The owner can't decode the incomplete answer and takes the
		// outcome as unknown.
		s.Log.Error(err, "encoding the answer to a forwarded call failed", "worker", c.Worker)
	}
	resp.Result, resp.Worker = resultOK, packed
}

// callWorker calls the worker; ok is false if the kind is unknown or a parameter is missing.
func (s *Server) callWorker(ctx context.Context, c *workerCall) (a *workerAnswer, ok bool) {
	to := &engine.WorkerInfo{ID: c.Worker, Address: c.Address}
	a = &workerAnswer{}
	switch {
	case c.Kind == workerStart && c.Start != nil:
		a.Outcome, a.Clock = s.Workers.Start(ctx, to, *c.Start)
	case c.Kind == workerHold && c.Hold != nil:
		a.Listing, a.Outcome = s.Workers.Hold(ctx, to, *c.Hold)
	case c.Kind == workerStop && c.Task != nil:
		a.Outcome = s.Workers.Stop(ctx, to, *c.Task, c.Run, c.Token)
	case c.Kind == workerPace && c.Task != nil:
		a.Outcome = s.Workers.Pace(ctx, to, *c.Task, c.Run, c.Percent, c.Token)
	default:
		return nil, false
	}
	return a, true
}
