package ownerlink

import (
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/work"
)

// fakeOwner returns err from every call. State waits until the gate is closed, unless it is nil.
type fakeOwner struct {
	err    error
	gate   chan struct{}
	called chan struct{} // receives a value for each call of State; may be nil
}

func (o *fakeOwner) Submit(context.Context, *work.Job, engine.Queue) error { return o.err }
func (o *fakeOwner) State(id work.JobID, _ work.WorkspaceName) (work.State, error) {
	if o.called != nil {
		o.called <- struct{}{}
	}
	if o.gate != nil {
		<-o.gate
	}
	return work.Running, o.err
}
func (o *fakeOwner) Cancel(context.Context, work.JobID, work.WorkspaceName) error { return o.err }
func (o *fakeOwner) Waiting(string) (int, error)                                  { return 7, o.err }
func (o *fakeOwner) Sync(s engine.CellSync) (engine.CellAnswer, error) {
	return engine.CellAnswer{Executed: []bool{true}, Report: engine.CellReport{Used: float64(s.Token)}}, o.err
}

func (o *fakeOwner) RecheckLimits([]work.WorkspaceName) error { return o.err }

func (o *fakeOwner) Explain(id work.JobID) (engine.Explanation, error) {
	return engine.Explanation{Job: id, Age: time.Second, Steps: []engine.StepExplanation{{Step: "s", Tasks: map[string]int{"waiting": 2}}}}, o.err
}

func (o *fakeOwner) Summary() (engine.Summary, error) {
	return engine.Summary{Cell: "a", Jobs: map[work.State]int{work.Running: 2}, Backlog: 1.5}, o.err
}

func serve(t *testing.T, o Owner) Peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	s := &Server{Listener: l, Log: logr.Discard(), Owner: func(cell string) Owner {
		if cell != "a" {
			return nil
		}
		return o
	}}
	go func() { defer close(done); s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return Peer{Cell: "a", Address: l.Addr().String()}
}

func TestCallsReturnResultsAndErrorsOfTheOwner(t *testing.T) {
	o := &fakeOwner{}
	p := serve(t, o)
	c := &Client{Log: logr.Discard()}
	ctx := context.Background()
	state, err := c.State(ctx, p, "j1", "")
	assert.NilError(t, err)
	assert.Equal(t, state, work.Running)
	n, err := c.Waiting(ctx, p, "q")
	assert.NilError(t, err)
	assert.Equal(t, n, 7)
	a, err := c.Sync(ctx, p, engine.CellSync{Token: 9})
	assert.NilError(t, err)
	assert.Equal(t, a.Report.Used, 9.0)
	e, err := c.Explain(ctx, p, "j1")
	assert.NilError(t, err)
	want, _ := o.Explain("j1")
	assert.DeepEqual(t, e, want)
	sum, err := c.Summary(ctx, p)
	assert.NilError(t, err)
	wantSum, _ := o.Summary()
	assert.DeepEqual(t, sum, wantSum)
	for _, want := range []error{engine.ErrNotReady, engine.ErrStore, engine.ErrUncertain, engine.ErrUnknownJob} {
		o.err = want
		assert.Assert(t, errors.Is(c.Cancel(ctx, p, "j1", ""), want))
	}
	assert.Assert(t, errors.Is(c.Cancel(ctx, Peer{Cell: "other", Address: p.Address}, "j1", ""), engine.ErrNotReady))
}

// An owner becomes unreachable. The outcome of a call that was sent is uncertain, a call that
// was not sent certainly did not happen, and the unresponsive connection is not used again.
func TestACallWithoutAnAnswerIsUncertainAndOneNotSentIsNot(t *testing.T) {
	o := &fakeOwner{gate: make(chan struct{})}
	p := serve(t, o)
	c := &Client{Log: logr.Discard()}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := c.State(ctx, p, "j1", "")
	assert.Assert(t, errors.Is(err, engine.ErrUncertain))
	close(o.gate)
	n, err := c.Waiting(context.Background(), p, "q")
	assert.NilError(t, err, "a new connection works")
	assert.Equal(t, n, 7)
	_, err = c.Waiting(context.Background(), Peer{Cell: "a", Address: "127.0.0.1:1"}, "q")
	assert.Assert(t, errors.Is(err, ErrNotSent))
}

// A caller cancels its request while the owner handles it. Requests of other callers on the
// same connection must still get their answers.
func TestACallThatIsGivenUpDoesNotEndTheConnection(t *testing.T) {
	o := &fakeOwner{gate: make(chan struct{}), called: make(chan struct{}, 2)}
	p := serve(t, o)
	c := &Client{Log: logr.Discard()}
	leaving, leave := context.WithCancel(context.Background())
	var calls sync.WaitGroup
	calls.Go(func() {
		_, err := c.State(leaving, p, "j1", "")
		assert.Check(t, errors.Is(err, engine.ErrUncertain))
	})
	<-o.called
	calls.Go(func() {
		state, err := c.State(context.Background(), p, "j2", "")
		assert.Check(t, err)
		assert.Check(t, state == work.Running)
	})
	<-o.called
	leave()
	for c.waiting() > 1 {
		runtime.Gosched()
	}
	close(o.gate)
	calls.Wait()
}

// waiting returns the number of calls without an answer.
func (c *Client) waiting() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.mu.Lock()
		n += len(l.waiting)
		l.mu.Unlock()
	}
	return n
}

// An entry VM that owns nothing answers a ping; an address without a listener does not.
func TestPing(t *testing.T) {
	p := serve(t, &fakeOwner{})
	c := &Client{Log: logr.Discard()}
	assert.Equal(t, c.Ping(t.Context(), p.Address), true)
	assert.Equal(t, c.Ping(t.Context(), "127.0.0.1:1"), false)
}

// The holder of a lease can't end it itself and asks another entry VM to do it.
func TestEndLease(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	var ended int64
	s := &Server{Listener: l, Log: logr.Discard(), EndLease: func(lease int64) { ended = lease }}
	go func() { defer close(done); s.Run(ctx) }()
	c := &Client{Log: logr.Discard()}
	assert.NilError(t, c.EndLease(t.Context(), l.Addr().String(), 9))
	cancel()
	<-done
	assert.Equal(t, ended, int64(9))
}

// Guards against an owner that shuts down and takes its lease for handed over, although the other
// entry VM can't end leases: its duties would have no owner until the lease runs out.
func TestEndLeaseFailsWhereThePeerDoesNotEndLeases(t *testing.T) {
	p := serve(t, &fakeOwner{})
	c := &Client{Log: logr.Discard()}
	assert.ErrorIs(t, c.EndLease(t.Context(), p.Address, 9), engine.ErrNotReady)
}

// countingWorkers counts the calls that are forwarded to it, and answers them.
type countingWorkers struct {
	engine.Workers
	calls atomic.Int64
}

func (w *countingWorkers) Stop(context.Context, *engine.WorkerInfo, work.TaskRef, int, int64) engine.Outcome {
	w.calls.Add(1)
	return engine.OutcomeOK
}

// Guards against a call that is forwarded although its timeout leaves no time to answer: the
// worker would be called when the owner has given up, and the connection be closed with all other
// calls on it. The owner must be told that the worker was not called.
func TestACallWithoutTimeForAnAnswerIsNotForwarded(t *testing.T) {
	workers := &countingWorkers{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	s := &Server{Listener: l, Log: logr.Discard(), Workers: workers}
	go func() { defer close(done); s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	f := ForwardingClient{Link: &Client{Log: logr.Discard()}, Address: l.Addr().String()}
	for _, c := range []struct {
		timeout time.Duration
		result  ForwardResult
		calls   int64
	}{
		{forwardMargin, ForwardNotSent, 0},
		{time.Minute, ForwardAnswered, 1},
	} {
		call, end := context.WithTimeout(t.Context(), c.timeout)
		_, result := f.Stop(call, &engine.WorkerInfo{ID: "w1"}, work.TaskRef{}, 1, 1)
		end()
		assert.Equal(t, result, c.result, "timeout %s", c.timeout)
		assert.Equal(t, workers.calls.Load(), c.calls, "timeout %s", c.timeout)
	}
}

// An entry VM answers some calls and is late with one, as the worker that it calls does not
// answer or its processor is slow. Closing the connection on that timeout would make the outcome
// of all other calls on it uncertain, and a busy owner would repeat them.
func TestAConnectionThatBringsOtherAnswersStays(t *testing.T) {
	o := &fakeOwner{gate: make(chan struct{}), called: make(chan struct{}, 2)}
	p := serve(t, o)
	c := &Client{Log: logr.Discard()}
	late, giveUp := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer giveUp()
	var calls sync.WaitGroup
	calls.Go(func() {
		_, err := c.State(late, p, "j1", "")
		assert.Check(t, errors.Is(err, engine.ErrUncertain))
	})
	<-o.called
	_, err := c.Waiting(context.Background(), p, "q")
	assert.NilError(t, err)
	before := c.links[p.Address]
	calls.Wait()
	assert.Assert(t, !before.isDead())
	close(o.gate)
}

// This VM is overloaded and does not read a connection in time. A timeout on it must not close
// it.
func TestAConnectionThatWasNotReadStays(t *testing.T) {
	o := &fakeOwner{gate: make(chan struct{})}
	p := serve(t, o)
	c := &Client{Log: logr.Discard(), SchedulingDelay: func() time.Duration { return time.Second }}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := c.State(ctx, p, "j1", "")
	assert.Assert(t, errors.Is(err, engine.ErrUncertain))
	assert.Assert(t, !c.links[p.Address].isDead())
	assert.Equal(t, c.waiting(), 0, "nobody waits for the answer any more")
	close(o.gate)
}
