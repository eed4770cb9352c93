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

// reach is one way to workers: it counts calls and answers as the test says.
type reach struct {
	mu      sync.Mutex
	calls   int
	outcome engine.Outcome
	listing engine.Listing
	silent  bool // answers only when the call is given up
}

func (r *reach) called(ctx context.Context) engine.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if r.silent {
		<-ctx.Done()
		return engine.OutcomeUnknown
	}
	return r.outcome
}

func (r *reach) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.calls
	r.calls = 0
	return n
}

func (r *reach) set(o engine.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcome = o
}

func (r *reach) Start(ctx context.Context, _ *engine.WorkerInfo, s engine.Start) (engine.Outcome, time.Duration) {
	return r.called(ctx), s.Deadline
}

func (r *reach) Stop(ctx context.Context, _ *engine.WorkerInfo, _ work.TaskRef, _ int, _ int64) engine.Outcome {
	return r.called(ctx)
}

func (r *reach) Hold(ctx context.Context, _ *engine.WorkerInfo, _ engine.Hold) (engine.Listing, engine.Outcome) {
	return r.listing, r.called(ctx)
}

func (r *reach) Pace(ctx context.Context, _ *engine.WorkerInfo, _ work.TaskRef, _, _ int, _ int64) engine.Outcome {
	return r.called(ctx)
}

type clock struct{ now time.Duration }

func (c *clock) Now() time.Duration { return c.now }
func (c *clock) Wall() time.Time    { return time.Unix(0, 0) }

type peers []Peer

func (p peers) Live() ([]Peer, uint64) { return p, uint64(len(p)) + 1 }

// rig is an owner with two other entry VMs.
type rig struct {
	t      *testing.T
	clock  *clock
	direct *reach
	others []*reach
	stop   []context.CancelFunc // ends an entry VM
	owner  *Workers
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, clock: &clock{now: time.Minute}, direct: &reach{outcome: engine.OutcomeOK}}
	live := peers{{Member: forwarding.Member{Name: "owner", Zone: "a", Weight: 1}, Address: "127.0.0.1:1"}}
	for i := range 2 {
		other := &reach{outcome: engine.OutcomeOK}
		r.others = append(r.others, other)
		name := fmt.Sprintf("other-%d", i)
		live = append(live, Peer{Member: forwarding.Member{Name: name, Zone: "a", Weight: 1}, Address: r.serve(other)})
	}
	r.owner = New(Options{
		Direct: r.direct, Link: &ownerlink.Client{Log: logr.Discard()}, Peers: live, Self: "owner", Clock: r.clock, Log: logr.Discard(),
	})
	return r
}

func (r *rig) serve(workers engine.Workers) string {
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

func (r *rig) poll(i int) engine.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, out := r.owner.Hold(ctx, worker(i), engine.Hold{})
	return out
}

// large has the owner know so many workers that it forwards, and returns one of
// them whose calls go by other-0.
func (r *rig) large() int {
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
	r.t.Fatal("no worker is called by the first of the others")
	return 0
}

func TestTheOwnerOfASmallCellCallsItsWorkersItself(t *testing.T) {
	r := newRig(t)
	for i := range forwarding.MinWorkers - 1 {
		assert.Equal(t, r.poll(i), engine.OutcomeOK)
	}
	assert.Equal(t, r.direct.count(), forwarding.MinWorkers-1)
}

// Jobs wait while workers are free: the owner's share of a core goes into calls.
// The calls of a large cell cost it a message each, and their results come back.
func TestCallsOfALargeCellGoByOtherEntryVMs(t *testing.T) {
	r := newRig(t)
	i := r.large()
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

// An entry VM that forwards is lost. Its connection refuses, so nothing was sent:
// the owner makes the call itself, and passes the VM over for a while.
func TestAnEntryVMThatIsGoneCostsNoCall(t *testing.T) {
	r := newRig(t)
	i := r.large()
	r.stop[0]()
	for range 3 {
		// The first may have left on a connection that ended under way.
		if r.poll(i) != engine.OutcomeUnknown {
			break
		}
	}
	r.others[1].count()
	r.direct.count()
	assert.Equal(t, r.poll(i), engine.OutcomeOK)
	assert.Equal(t, r.others[1].count()+r.direct.count(), 1)
	p, _ := r.owner.via(worker(i))
	assert.Assert(t, p.Name != "other-0", "it would be dialled for each call")
	for range 2 { // the others are called all the while, or the cell would be small
		r.clock.now += avoidFor / 2
		for j := range forwarding.MinWorkers {
			r.owner.via(worker(j))
		}
	}
	p, _ = r.owner.via(worker(i))
	assert.Equal(t, p.Name, "other-0", "it may be back")
}

// A cell has given its VMs away after a burst and is small again. Calls that go on by
// other entry VMs cost a hop each: workers that nobody calls are not counted.
func TestACellThatHasShrunkCallsItsWorkersItself(t *testing.T) {
	r := newRig(t)
	i := r.large()
	for range 3 {
		r.clock.now += forgetAfter
		r.direct.count()
		assert.Equal(t, r.poll(i), engine.OutcomeOK)
	}
	assert.Equal(t, r.direct.count(), 1)
}

// An owner's term ends while a worker is silent, and its calls end with it. That says
// nothing of the entry VM that was asked: the next owner here is not to pass it over.
func TestACallThatEndsWithTheTermSaysNothingOfItsPath(t *testing.T) {
	r := newRig(t)
	i := r.large()
	r.others[0].silent = true
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r.owner.Start(ctx, worker(i), engine.Start{})
	assert.Equal(t, len(r.owner.avoid), 0)
	assert.Equal(t, r.owner.workers[worker(i).ID].past, 0)
}

// A worker can't be reached by an entry VM that is well: the link between the two
// is cut. Its tasks would lapse, though another path is open. The next calls take
// the next path, at last the owner's own.
func TestAWorkerThatDoesNotAnswerByOnePathIsCalledByAnother(t *testing.T) {
	r := newRig(t)
	i := r.large()
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
	assert.Equal(t, r.others[0].count(), 1, "all paths were tried: the first is again")
}

// A worker is silent, the entry VM that calls it is well. It must say so before
// the owner gives up the connection, and with it the calls to all other workers.
func TestASilentWorkerDoesNotEndTheConnectionThatOthersUse(t *testing.T) {
	r := newRig(t)
	i := r.large()
	r.others[0].silent = true
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	out, _ := r.owner.Start(ctx, worker(i), engine.Start{})
	assert.Equal(t, out, engine.OutcomeUnknown)
	assert.NilError(t, ctx.Err(), "answered before the owner's own timeout")
	assert.Equal(t, r.owner.avoid["other-0"], time.Duration(0))
}

// An owner that is behind reads the answers of entry VMs late. Passed over for that, all of
// them would be, and the owner would make every call itself, which it can bear least now.
func TestAnOwnerThatIsBehindPassesNobodyOver(t *testing.T) {
	r := newRig(t)
	i := r.large()
	behind := time.Second
	r.owner.Behind = func() time.Duration { return behind }
	p, _ := r.owner.via(worker(i))
	r.owner.came(worker(i).ID, p, ownerlink.ReachedUnknown, engine.OutcomeUnknown)
	assert.Equal(t, len(r.owner.avoid), 0)
	behind = 0
	r.owner.came(worker(i).ID, p, ownerlink.ReachedUnknown, engine.OutcomeUnknown)
	assert.Equal(t, len(r.owner.avoid), 1)
}
