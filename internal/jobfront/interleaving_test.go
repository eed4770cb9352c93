package jobfront

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/ownership"
	"github.com/pumicestage/pumicestage/policy/work"
)

var (
	interleavingSeed = flag.Uint64("interleaving.seed", 1, "first seed of the interleavings")
	interleavings    = flag.Int("interleaving.runs", 1, "number of seeds")
)

// chance makes random decisions for several goroutines.
type chance struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

func (c *chance) below(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rnd.IntN(n)
}

func (c *chance) percent(n int) bool { return c.below(100) < n }

func (c *chance) pause(most time.Duration) { time.Sleep(time.Duration(c.below(int(most)))) }

// unreliableStore delays calls, loses answers to transactions and carries transactions out late.
type unreliableStore struct {
	infra.Store
	*chance
	calm atomic.Bool
	late sync.WaitGroup // transactions that are still to be carried out
}

func (s *unreliableStore) Get(ctx context.Context, key string) (infra.KV, infra.Revision, error) {
	if !s.calm.Load() {
		if s.percent(5) {
			return infra.KV{}, 0, infra.Errorf("get", infra.KindUnavailable, "rejected")
		}
		s.pause(3 * time.Millisecond)
		defer s.pause(3 * time.Millisecond)
	}
	return s.Store.Get(ctx, key)
}

func (s *unreliableStore) Txn(ctx context.Context, t infra.Txn) (infra.TxnResult, error) {
	if s.calm.Load() {
		return s.Store.Txn(ctx, t)
	}
	switch n := s.below(100); {
	case n < 5:
		return infra.TxnResult{}, infra.Errorf("txn", infra.KindUnavailable, "rejected")
	case n < 20:
		s.late.Go(func() {
			s.pause(200 * time.Millisecond)
			_, _ = s.Store.Txn(context.WithoutCancel(ctx), t) // its outcome is never known
		})
		s.pause(20 * time.Millisecond)
		return infra.TxnResult{}, infra.Errorf("txn", infra.KindUnknown, "no answer")
	case n < 45:
		res, err := s.Store.Txn(context.WithoutCancel(ctx), t)
		s.pause(150 * time.Millisecond)
		if s.percent(50) {
			return infra.TxnResult{}, infra.Errorf("txn", infra.KindUnknown, "answer lost")
		}
		return res, err
	}
	s.pause(3 * time.Millisecond)
	return s.Store.Txn(ctx, t)
}

// steadyTerm is a term that lasts until the test ends it.
type steadyTerm struct {
	token   int64
	certain atomic.Bool
	cancel  context.CancelFunc
}

func (s *steadyTerm) Token() int64                { return s.token }
func (s *steadyTerm) AllowedUntil() time.Duration { return 1 << 60 }
func (s *steadyTerm) Certain() bool               { return s.certain.Load() }
func (s *steadyTerm) End(string)                  { s.certain.Store(false); s.cancel() }
func (s *steadyTerm) HandOver()                   { s.End("") }

type realClock struct{ start time.Time }

func (c realClock) Now() time.Duration { return time.Since(c.start) + time.Minute }
func (c realClock) Wall() time.Time    { return time.Now() }

// remoteOwner is an owner that is called over an unreliable connection.
type remoteOwner struct {
	Owner
	*chance
	calm *atomic.Bool
	late *sync.WaitGroup
}

// call makes a call of the owner, which may be read late, get no answer or not be sent.
func (o *remoteOwner) call(ctx context.Context, f func(ctx context.Context) error) error {
	if o.calm.Load() {
		return f(ctx)
	}
	switch n := o.below(100); {
	case n < 10:
		return engine.ErrNotReady
	case n < 25:
		o.late.Go(func() {
			o.pause(150 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			defer cancel()
			_ = f(ctx) // nobody waits for the answer
		})
		return engine.ErrUncertain
	case n < 40:
		_ = f(ctx)
		return engine.ErrUncertain
	}
	ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	return f(ctx)
}

func (o *remoteOwner) Submit(ctx context.Context, j *work.Job, q engine.Queue) error {
	return o.call(ctx, func(ctx context.Context) error { return o.Owner.Submit(ctx, j, q) })
}

func (o *remoteOwner) Cancel(ctx context.Context, id work.JobID, by work.WorkspaceName) error {
	return o.call(ctx, func(ctx context.Context) error { return o.Owner.Cancel(ctx, id, by) })
}

// cluster is a cell whose owner changes, with several entry VMs that share an unreliable store.
type cluster struct {
	t     *testing.T
	ctx   context.Context
	store *unreliableStore
	clock realClock
	runs  sync.WaitGroup

	mu     sync.Mutex
	owners []*engine.Engine // oldest first
	terms  []*steadyTerm
}

// takeOver begins the term of a new owner. The former one goes on for a while, without being certain.
func (c *cluster) takeOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, cancel := context.WithCancel(c.ctx)
	term := &steadyTerm{token: int64(len(c.terms) + 1), cancel: cancel}
	if len(c.terms) > 0 {
		former := c.terms[len(c.terms)-1]
		former.certain.Store(false)
		time.AfterFunc(100*time.Millisecond, former.cancel)
	}
	term.certain.Store(true)
	e := engine.New(engine.Options{
		Cell: cell, Store: c.store, Clock: c.clock, Log: logr.Discard(), Term: term,
		Registry: func() []engine.WorkerInfo { return nil },
		Declared: func() engine.Declared { return engine.Declared{} },
	})
	c.owners, c.terms = append(c.owners, e), append(c.terms, term)
	c.runs.Go(func() { _ = e.Run(ctx) }) // ends with the term
}

// owner returns the owner as an entry VM knows it: seldom it is the former one.
func (c *cluster) owner() *engine.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.owners); n > 1 && c.store.percent(10) {
		return c.owners[n-2]
	}
	return c.owners[len(c.owners)-1]
}

// front returns an entry VM that has made no calls yet, so that its circuit breaker is closed.
func (c *cluster) front() *Front {
	return New(Options{
		Store: c.store, Clock: c.clock, Log: logr.Discard(), Self: "e1",
		Owners: func(string) (ownership.Record, bool) { return ownership.Record{}, false },
		Local: func(string) Owner {
			return &remoteOwner{Owner: c.owner(), chance: c.store.chance, calm: &c.store.calm, late: &c.store.late}
		},
	})
}

// outcome is what callers were told about a job.
type outcome struct {
	accepted, refused, uncertain int // submissions
	cancelledEarly               int // refused submissions that came after the cancellation
	cancelSent                   bool
	cancelled                    bool // the cancellation was acknowledged
}

// request runs call with a caller's time limit.
func request(call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	return call(ctx)
}

// submit submits the job and records the answer.
func (o *outcome) submit(c *cluster, id work.JobID) {
	err := request(func(ctx context.Context) error { return c.front().Submit(ctx, newJob(id), queue) })
	var refusal *Refusal
	switch {
	case err == nil:
		o.accepted++
	case errors.Is(err, engine.ErrCancelledEarly):
		o.refused++
		o.cancelledEarly++
	case errors.As(err, &refusal):
		o.refused++
	default:
		o.uncertain++
	}
}

// cancel cancels the job until that is acknowledged, a few times at most.
func (o *outcome) cancel(c *cluster, id work.JobID) {
	o.cancelSent = true
	for range 4 {
		err := request(func(ctx context.Context) error { return c.front().Cancel(ctx, id, queue, "") })
		if err == nil || errors.Is(err, ErrUnknownJob) {
			o.cancelled = true
			return
		}
	}
}

// play has a caller submit the job, repeat that and cancel it, in a random order and at random times.
func play(c *cluster, id work.JobID) *outcome {
	var submissions [3]outcome
	o := &outcome{}
	var all sync.WaitGroup
	for i := range 1 + c.store.below(len(submissions)) {
		all.Go(func() {
			c.store.pause(time.Duration(1+200*i) * time.Millisecond)
			submissions[i].submit(c, id)
		})
	}
	if c.store.percent(75) {
		all.Go(func() {
			c.store.pause(300 * time.Millisecond)
			o.cancel(c, id)
		})
	}
	all.Wait()
	for _, s := range submissions {
		o.accepted, o.refused, o.uncertain = o.accepted+s.accepted, o.refused+s.refused, o.uncertain+s.uncertain
		o.cancelledEarly += s.cancelledEarly
	}
	return o
}

// Guards against jobs that run on after their cancellation was acknowledged, run though all of their
// submissions were refused, or are lost after they were accepted: in any interleaving of submissions,
// repeats, cancellations, late transactions, lost answers and take-overs.
func TestAnswersAboutJobsHoldInAnyInterleaving(t *testing.T) {
	for i := range *interleavings {
		seed := *interleavingSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runInterleaving(t, seed) })
	}
}

func runInterleaving(t *testing.T, seed uint64) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	chances := &chance{rnd: rand.New(rand.NewPCG(seed, 0))}
	store := &unreliableStore{Store: memstore.New(clockwork.NewRealClock()), chance: chances}
	c := &cluster{t: t, ctx: ctx, store: store, clock: realClock{time.Now()}}
	c.takeOver()
	const jobs = 300
	outcomes := make([]*outcome, jobs)
	var callers sync.WaitGroup
	for n := range jobs {
		callers.Go(func() {
			chances.pause(3 * time.Second)
			outcomes[n] = play(c, jobName(n))
		})
	}
	for range 2 {
		time.Sleep(1300 * time.Millisecond)
		c.takeOver()
	}
	callers.Wait()
	store.calm.Store(true)
	store.late.Wait()
	awaitEmptyInbox(t, store)
	time.Sleep(500 * time.Millisecond) // batches in flight end
	c.check(outcomes)
	stop()
	c.runs.Wait()
}

func jobName(n int) work.JobID { return work.JobID(fmt.Sprintf("j%d", n)) }

// awaitEmptyInbox waits until the owner has handled all inbox messages.
func awaitEmptyInbox(t *testing.T, store infra.Store) {
	t.Helper()
	for range 100 {
		kvs, _, err := store.Range(t.Context(), infra.WorkInboxPrefix(cell))
		assert.NilError(t, err)
		if len(kvs) == 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("the inbox is not emptied")
}

// check compares what callers were told with what the owner believes.
func (c *cluster) check(outcomes []*outcome) {
	owner := c.owners[len(c.owners)-1]
	var cancelled, refused, cancelledEarly, uncertain int
	for n, o := range outcomes {
		state, err := owner.State(jobName(n), "")
		if err != nil && !errors.Is(err, engine.ErrUnknownJob) {
			c.t.Fatal(err)
		}
		open := err == nil && state != work.Cancelled
		if o.cancelled {
			cancelled++
		}
		if o.uncertain > 0 {
			uncertain++
		}
		if o.cancelled && open {
			c.t.Errorf("%s is open after its cancellation was acknowledged: %+v", jobName(n), *o)
		}
		if o.refused > 0 && o.accepted+o.uncertain == 0 {
			refused++
			if open {
				c.t.Errorf("%s is open though all submissions were refused: %+v", jobName(n), *o)
			}
		}
		if o.cancelledEarly > 0 {
			cancelledEarly++
			if o.accepted > 0 || open {
				c.t.Errorf("%s is accepted or open, and was refused as cancelled before: %+v", jobName(n), *o)
			}
		}
		if o.accepted > 0 && !o.cancelSent && !open {
			c.t.Errorf("%s is lost: %+v, %v", jobName(n), *o, err)
		}
	}
	c.t.Logf("%d jobs: %d cancelled, %d refused, %d cancelled early, %d with uncertain answers", len(outcomes), cancelled, refused, cancelledEarly, uncertain)
}
