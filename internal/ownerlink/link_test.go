package ownerlink

import (
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/work"
)

// owner answers as the test says; a nil gate answers at once.
type owner struct {
	err     error
	gate    chan struct{}
	reached chan struct{} // told of each call, unless nil
}

func (o *owner) Submit(context.Context, *work.Job, engine.Queue) error { return o.err }
func (o *owner) State(id work.JobID, _ work.WorkspaceName) (work.State, error) {
	if o.reached != nil {
		o.reached <- struct{}{}
	}
	if o.gate != nil {
		<-o.gate
	}
	return work.Running, o.err
}
func (o *owner) Cancel(context.Context, work.JobID, work.WorkspaceName) error { return o.err }
func (o *owner) Waiting(string) (int, error)                                  { return 7, o.err }
func (o *owner) Sync(s engine.CellSync) (engine.CellAnswer, error) {
	return engine.CellAnswer{Taken: []bool{true}, Report: engine.CellReport{Used: float64(s.Token)}}, o.err
}

func (o *owner) LookAtLimits([]work.WorkspaceName) error { return o.err }

func (o *owner) Explain(id work.JobID) (engine.Explanation, error) {
	return engine.Explanation{Job: id, Age: time.Second, Steps: []engine.StepExplanation{{Step: "s", Tasks: map[string]int{"waiting": 2}}}}, o.err
}

func (o *owner) Summary() (engine.Summary, error) {
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

func TestCallsAndTheirErrorsCrossTheLink(t *testing.T) {
	o := &owner{}
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

// An owner is cut off. What was sent to it is uncertain, what was not sent is
// certain, and the connection that fell silent is not used again.
func TestACallWithoutAnAnswerIsUncertainAndOneNotSentIsNot(t *testing.T) {
	o := &owner{gate: make(chan struct{})}
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

// A caller leaves while its request is at the owner. Requests of others wait on the
// same connection: they get their answers.
func TestACallThatIsGivenUpDoesNotEndTheConnection(t *testing.T) {
	o := &owner{gate: make(chan struct{}), reached: make(chan struct{}, 2)}
	p := serve(t, o)
	c := &Client{Log: logr.Discard()}
	leaving, leave := context.WithCancel(context.Background())
	var calls sync.WaitGroup
	calls.Go(func() {
		_, err := c.State(leaving, p, "j1", "")
		assert.Check(t, errors.Is(err, engine.ErrUncertain))
	})
	<-o.reached
	calls.Go(func() {
		state, err := c.State(context.Background(), p, "j2", "")
		assert.Check(t, err)
		assert.Check(t, state == work.Running)
	})
	<-o.reached
	leave()
	for c.waiting() > 1 {
		runtime.Gosched()
	}
	close(o.gate)
	calls.Wait()
}

// waiting counts the calls without an answer.
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

// An entry VM without any duty answers a ping; one that is gone does not.
func TestPing(t *testing.T) {
	p := serve(t, &owner{})
	c := &Client{Log: logr.Discard()}
	assert.Equal(t, c.Ping(t.Context(), p.Address), true)
	assert.Equal(t, c.Ping(t.Context(), "127.0.0.1:1"), false)
}

// A lease that its holder can't end crosses the link to somebody who stays.
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

// A VM answers some calls and is late with one: a worker that it calls for the owner is
// silent, or its processor is slow. Given up with that one, all other calls on the connection
// would be uncertain, and be made again by an owner that has enough to do.
func TestAConnectionThatBringsOtherAnswersStays(t *testing.T) {
	o := &owner{gate: make(chan struct{}), reached: make(chan struct{}, 2)}
	p := serve(t, o)
	c := &Client{Log: logr.Discard()}
	late, giveUp := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer giveUp()
	var calls sync.WaitGroup
	calls.Go(func() {
		_, err := c.State(late, p, "j1", "")
		assert.Check(t, errors.Is(err, engine.ErrUncertain))
	})
	<-o.reached
	_, err := c.Waiting(context.Background(), p, "q")
	assert.NilError(t, err)
	before := c.links[p.Address]
	calls.Wait()
	assert.Assert(t, !before.isDead())
	close(o.gate)
}

// Nothing came on a connection in time, as this VM had no time to read it.
func TestAConnectionThatWasNotReadStays(t *testing.T) {
	o := &owner{gate: make(chan struct{})}
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
