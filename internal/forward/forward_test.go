package forward

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/ownerlink"
	"github.com/pumicestage/pumicestage/policy/forwarding"
	"github.com/pumicestage/pumicestage/policy/work"
)

// fakeWorkers is one path to the workers: it counts calls and returns the outcome that is set.
type fakeWorkers struct {
	mu           sync.Mutex
	calls        int
	outcome      engine.Outcome
	listing      engine.Listing
	unresponsive bool // returns only when the context of the call ends
}

func (r *fakeWorkers) called(ctx context.Context) engine.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if r.unresponsive {
		<-ctx.Done()
		return engine.OutcomeUnknown
	}
	return r.outcome
}

func (r *fakeWorkers) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.calls
	r.calls = 0
	return n
}

func (r *fakeWorkers) set(o engine.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcome = o
}

func (r *fakeWorkers) Start(ctx context.Context, _ *engine.WorkerInfo, s engine.Start) (engine.Outcome, time.Duration) {
	return r.called(ctx), s.Deadline
}

func (r *fakeWorkers) Stop(ctx context.Context, _ *engine.WorkerInfo, _ work.TaskRef, _ int, _ int64) engine.Outcome {
	return r.called(ctx)
}

func (r *fakeWorkers) Hold(ctx context.Context, _ *engine.WorkerInfo, _ engine.Hold) (engine.Listing, engine.Outcome) {
	return r.listing, r.called(ctx)
}

func (r *fakeWorkers) Pace(ctx context.Context, _ *engine.WorkerInfo, _ work.TaskRef, _, _ int, _ int64) engine.Outcome {
	return r.called(ctx)
}

type clock struct{ now time.Duration }

func (c *clock) Now() time.Duration { return c.now }
func (c *clock) Wall() time.Time    { return time.Unix(0, 0) }

type peers []Peer

func (p peers) Live() ([]Peer, uint64) { return p, uint64(len(p)) + 1 }

// fixture is an owner with two other entry VMs that forward calls.
type fixture struct {
	t      *testing.T
	clock  *clock
	direct *fakeWorkers
	others []*fakeWorkers
	stop   []context.CancelFunc // stops the other entry VM of the same index
	owner  *Workers
}

func newFixture(t *testing.T) *fixture {
	r := &fixture{t: t, clock: &clock{now: time.Minute}, direct: &fakeWorkers{outcome: engine.OutcomeOK}}
	live := peers{{Member: forwarding.Member{Name: "owner", Zone: "a", Weight: 1}, Address: "127.0.0.1:1"}}
	for i := range 2 {
		other := &fakeWorkers{outcome: engine.OutcomeOK}
		r.others = append(r.others, other)
		name := fmt.Sprintf("other-%d", i)
		live = append(live, Peer{Member: forwarding.Member{Name: name, Zone: "a", Weight: 1}, Address: r.serve(other)})
	}
	r.owner = New(Options{
		Direct: r.direct, Link: &ownerlink.Client{Log: logr.Discard()}, Peers: live, Self: "owner", Clock: r.clock, Log: logr.Discard(),
	})
	return r
}

func (r *fixture) serve(workers engine.Workers) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	s := &ownerlink.Server{Listener: l, Workers: workers, Log: logr.Discard()}
	go func() { defer close(done); s.Run(ctx) }()
	stop := func() { cancel(); <-done }
	r.stop = append(r.stop, stop)
	r.t.Cleanup(stop)
	return l.Addr().String()
}

func worker(i int) *engine.WorkerInfo {
	return &engine.WorkerInfo{ID: work.WorkerID(fmt.Sprintf("i-%d", i)), Zone: "a", Address: "10.0.0.1:80"}
}

func (r *fixture) poll(i int) engine.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, out := r.owner.Hold(ctx, worker(i), engine.Hold{})
	return out
}

// growCell calls so many workers that the owner forwards, and returns one of them whose calls
// are forwarded through other-0.
func (r *fixture) growCell() int {
	for i := range forwarding.MinWorkers {
		assert.Equal(r.t, r.poll(i), engine.OutcomeOK)
	}
	for i := range forwarding.MinWorkers {
		r.others[0].count()
		assert.Equal(r.t, r.poll(i), engine.OutcomeOK)
		if r.others[0].count() == 1 {
			r.direct.count()
			r.others[1].count()
			return i
		}
	}
	r.t.Fatal("no worker is called through other-0")
	return 0
}

func TestTheOwnerOfASmallCellCallsItsWorkersItself(t *testing.T) {
	r := newFixture(t)
	for i := range forwarding.MinWorkers - 1 {
		assert.Equal(t, r.poll(i), engine.OutcomeOK)
	}
	assert.Equal(t, r.direct.count(), forwarding.MinWorkers-1)
}

// Guards against jobs that wait while workers are free, because an owner whose VM has only a
// fraction of a core spends it on calls to workers. The owner of a large cell must forward its
// calls, and get their results unchanged.
func TestCallsOfALargeCellAreForwarded(t *testing.T) {
	r := newFixture(t)
	i := r.growCell()
	ref := work.TaskRef{StepRef: work.StepRef{Job: "j1", Occurrence: 2, Step: 1}, Index: 3}
	want := engine.Listing{
		Clock:   7 * time.Second,
		Running: []engine.Run{{Task: ref, Run: 4, Checkpoint: "c", Percent: 50, Gauge: 900}},
		Ended:   []engine.RunEnd{{Seq: 9, Task: ref, Run: 3, How: work.Faulted, Checkpoint: "b"}},
	}
	r.others[0].listing = want
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	got, out := r.owner.Hold(ctx, worker(i), engine.Hold{Token: 3, Deadline: time.Hour, Wait: time.Second})
	assert.Equal(t, out, engine.OutcomeOK)
	assert.DeepEqual(t, got, want)
	for _, o := range []engine.Outcome{engine.OutcomeOK, engine.OutcomeNoCapacity, engine.OutcomeFenced, engine.OutcomeOtherIncarnation} {
		r.others[0].set(o)
		out, clock := r.owner.Start(ctx, worker(i), engine.Start{Task: ref, Deadline: 5 * time.Second})
		assert.Equal(t, out, o)
		assert.Equal(t, clock, 5*time.Second)
		assert.Equal(t, r.owner.Stop(ctx, worker(i), ref, 1, 3), o)
		assert.Equal(t, r.owner.Pace(ctx, worker(i), ref, 1, 40, 3), o)
	}
	assert.Equal(t, r.direct.count(), 0)
}

// A forwarder is lost and refuses connections, so the call certainly did not leave. The owner
// must make it on another path at once, and avoid the forwarder for a while.
func TestAnUnreachableForwarderIsBypassed(t *testing.T) {
	r := newFixture(t)
	i := r.growCell()
	r.stop[0]()
	for range 3 {
		// The first call may have been sent on a connection that then closed.
		if r.poll(i) != engine.OutcomeUnknown {
			break
		}
	}
	r.others[1].count()
	r.direct.count()
	assert.Equal(t, r.poll(i), engine.OutcomeOK)
	assert.Equal(t, r.others[1].count()+r.direct.count(), 1)
	p, _ := r.owner.forwarderFor(worker(i))
	assert.Assert(t, p.Name != "other-0", "a lost forwarder must not be dialed for each call")
	for range 2 { // the other workers are called meanwhile, or the cell would count as small
		r.clock.now += avoidDuration / 2
		for j := range forwarding.MinWorkers {
			r.owner.forwarderFor(worker(j))
		}
	}
	p, _ = r.owner.forwarderFor(worker(i))
	assert.Equal(t, p.Name, "other-0", "the forwarder is used again after avoidDuration")
}

// A cell has returned its VMs after a burst and is small again. Forwarding would now add a hop
// to each call without need, so workers that are no longer called must not be counted.
func TestTheOwnerOfACellThatShrankCallsItsWorkersItself(t *testing.T) {
	r := newFixture(t)
	i := r.growCell()
	for range 3 {
		r.clock.now += idleTimeout
		r.direct.count()
		assert.Equal(t, r.poll(i), engine.OutcomeOK)
	}
	assert.Equal(t, r.direct.count(), 1)
}

// An owner's term ends, which cancels a forwarded call to a worker that does not answer. The
// cancellation says nothing about the forwarder, which must not be avoided for it.
func TestACanceledCallDoesNotAffectTheForwarder(t *testing.T) {
	r := newFixture(t)
	i := r.growCell()
	r.others[0].unresponsive = true
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r.owner.Start(ctx, worker(i), engine.Start{})
	assert.Equal(t, len(r.owner.avoidUntil), 0)
	assert.Equal(t, r.owner.workers[worker(i).ID].skipped, 0)
}

// A network partition separates a worker from a healthy forwarder. Without polls its tasks
// would expire although other paths work. The next calls must use the next forwarder, and in
// the end call the worker directly.
func TestAWorkerUnreachableThroughOneForwarderIsCalledThroughAnother(t *testing.T) {
	r := newFixture(t)
	i := r.growCell()
	r.others[0].set(engine.OutcomeUnknown)
	assert.Equal(t, r.poll(i), engine.OutcomeUnknown)
	assert.Equal(t, r.poll(i), engine.OutcomeOK)
	assert.Equal(t, r.others[1].count(), 1)
	r.others[1].set(engine.OutcomeNotSent)
	assert.Equal(t, r.poll(i), engine.OutcomeNotSent)
	assert.Equal(t, r.poll(i), engine.OutcomeOK)
	assert.Equal(t, r.direct.count(), 1)
	r.direct.set(engine.OutcomeUnknown)
	assert.Equal(t, r.poll(i), engine.OutcomeUnknown)
	r.others[0].count()
	r.others[0].set(engine.OutcomeOK)
	assert.Equal(t, r.poll(i), engine.OutcomeOK)
	assert.Equal(t, r.others[0].count(), 1, "after all paths failed, the first is tried again")
}

// A worker does not answer a healthy forwarder. The forwarder must report that before the owner
// times out and closes the connection, which would abort the calls to all other workers.
func TestAnUnresponsiveWorkerDoesNotCloseTheSharedConnection(t *testing.T) {
	r := newFixture(t)
	i := r.growCell()
	r.others[0].unresponsive = true
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	out, _ := r.owner.Start(ctx, worker(i), engine.Start{})
	assert.Equal(t, out, engine.OutcomeUnknown)
	assert.NilError(t, ctx.Err(), "the forwarder answers before the owner's timeout")
	assert.Equal(t, r.owner.avoidUntil["other-0"], time.Duration(0))
}

// An overloaded owner reads the answers of forwarders late. If it avoided them for that, it would
// soon avoid all of them and make every call directly, which adds to its load.
func TestAnOverloadedOwnerAvoidsNoForwarder(t *testing.T) {
	r := newFixture(t)
	i := r.growCell()
	delay := time.Second
	r.owner.SchedulingDelay = func() time.Duration { return delay }
	p, _ := r.owner.forwarderFor(worker(i))
	r.owner.recordForwarded(worker(i).ID, p, ownerlink.ForwardUnanswered, engine.OutcomeUnknown)
	assert.Equal(t, len(r.owner.avoidUntil), 0)
	delay = 0
	r.owner.recordForwarded(worker(i).ID, p, ownerlink.ForwardUnanswered, engine.OutcomeUnknown)
	assert.Equal(t, len(r.owner.avoidUntil), 1)
}
