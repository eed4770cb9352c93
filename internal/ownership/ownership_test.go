package ownership

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
)

// testClock is a clock that only the test advances.
type testClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *testClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *testClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

const grace = 5 * time.Second

func newElector(t *testing.T, store infra.Store, clock *testClock, entry string) *Elector {
	t.Helper()
	d := &Directory{Log: logr.Discard()}
	d.Replace(nil)
	return New(Options{
		Duty: "cell/a", Store: store, Directory: d, Self: Record{Entry: entry, Address: entry + ":1"},
		Weight: 1, Clock: clock, Log: logr.Discard(), Grace: grace, Duties: &DutyCounter{CanTake: func() bool { return true }},
	})
}

func TestADutyIsTakenOnceAndTokensRise(t *testing.T) {
	store := memstore.New(clockwork.NewFakeClock())
	clock := &testClock{now: time.Minute}
	first := newElector(t, store, clock, "e1")
	ctx := context.Background()
	term, err := first.acquire(ctx)
	assert.NilError(t, err)
	_, err = newElector(t, store, clock, "e2").acquire(ctx)
	assert.Assert(t, err != nil, "it is taken")
	first.revoke(ctx, term.lease)
	next, err := newElector(t, store, clock, "e2").acquire(ctx)
	assert.NilError(t, err)
	assert.Assert(t, next.Token() > term.Token())
}

// Guards against two owners that give orders. An entry VM that was suspended for seconds believes that it
// has a lease that has long expired. Orders may go on beyond the lease only after a renewal has failed.
func TestAResumedOwnerGivesNoOrdersBeforeItHasContactedTheStore(t *testing.T) {
	clock := &testClock{now: time.Minute}
	e := newElector(t, memstore.New(clockwork.NewFakeClock()), clock, "e1")
	term, err := e.acquire(context.Background())
	assert.NilError(t, err)
	term.cancel = func() {}
	assert.Assert(t, term.Certain())
	clock.advance(3 * time.Second)
	assert.Assert(t, !term.Certain())
	assert.Assert(t, term.AllowedUntil() < clock.Now())

	term.handleRenewal(clock.Now(), infra.Errorf("keepalive", infra.KindLeaseNotFound, "lapsed"))
	assert.Equal(t, term.AllowedUntil(), time.Duration(0))
}

// While the store is unavailable the leases of running tasks must be renewed, so orders go on, but only for
// the grace period: a new owner must be able to rely on an end of its predecessor's orders.
func TestOrdersGoOnOnlyForTheGracePeriodWhileTheStoreIsUnavailable(t *testing.T) {
	clock := &testClock{now: time.Minute}
	e := newElector(t, memstore.New(clockwork.NewFakeClock()), clock, "e1")
	term, err := e.acquire(context.Background())
	assert.NilError(t, err)
	away := infra.Errorf("keepalive", infra.KindUnavailable, "%w", errors.New("no answer"))
	last := term.certainUntil
	for clock.Now() < last+grace-time.Second {
		clock.advance(500 * time.Millisecond)
		term.handleRenewal(clock.Now(), away)
		assert.Assert(t, term.AllowedUntil() > clock.Now())
	}
	clock.advance(10 * time.Second)
	term.handleRenewal(clock.Now(), away)
	assert.Assert(t, term.AllowedUntil() <= last+grace)
	term.handleRenewal(clock.Now(), nil)
	assert.Assert(t, term.Certain(), "the store is available again and has kept the lease")
}

// Guards against two owners that give orders: one has ended its term while a renewal was in flight, and the
// answer must not allow orders again.
func TestARenewalThatWasUnderWayDoesNotBringAnEndedTermBack(t *testing.T) {
	clock := &testClock{now: time.Minute}
	e := newElector(t, memstore.New(clockwork.NewFakeClock()), clock, "e1")
	term, err := e.acquire(context.Background())
	assert.NilError(t, err)
	term.cancel = func() {}
	term.End("test")
	term.handleRenewal(clock.Now(), nil)
	assert.Equal(t, term.AllowedUntil(), time.Duration(0))
	assert.Assert(t, !term.Certain())
}

// Guards against one VM that acquires all duties when the service starts: its electors waited at the same
// time, each with the delay of a VM without duties.
func TestAVMThatAcquiredADutyMeanwhileWaitsLongerForTheNext(t *testing.T) {
	store := memstore.New(clockwork.NewFakeClock())
	clock := &testClock{now: time.Minute}
	e := newElector(t, store, clock, "e1")
	term, err := e.tryAcquire(context.Background(), 0, 0)
	assert.NilError(t, err)
	assert.Assert(t, term != nil)
	other := newElector(t, store, clock, "e1")
	other.o.Duty, other.o.Duties = "cell/b", e.o.Duties
	term, err = other.tryAcquire(context.Background(), 0, 0)
	assert.NilError(t, err)
	assert.Assert(t, term == nil, "it has one duty more than when it began to wait")
	assert.Assert(t, other.acquireDelay(1) >= other.acquireDelay(0)+acquireDelayPerDuty)
}

// Guards against small VMs that acquire duties beyond their capacity, and then lose leases under load.
func TestVMsOfSmallerWeightWaitLongerToAcquireADuty(t *testing.T) {
	clock := &testClock{}
	for _, entry := range []string{"e1", "e2", "e3", "e4", "e5"} {
		strong := newElector(t, nil, clock, "s"+entry)
		strong.o.Weight = 0.8
		small := newElector(t, nil, clock, entry)
		small.o.Weight = 0.02
		assert.Assert(t, strong.acquireDelay(0) < small.acquireDelay(0), "%s: %s, %s", entry, strong.acquireDelay(0), small.acquireDelay(0))
	}
}

func TestTheDirectoryIgnoresEventsOfEarlierRevisions(t *testing.T) {
	d := &Directory{Log: logr.Discard()}
	key := infra.WorkOwnerKey("cell/a")
	put := func(entry string, rev infra.Revision) {
		d.Change(infra.Event{Kind: infra.EventPut, KV: infra.KV{Key: key, Value: []byte(`{"entry":"` + entry + `"}`), ModRevision: rev}})
	}
	put("e1", 5)
	put("e2", 9)
	put("e1", 5)
	d.Change(infra.Event{Kind: infra.EventDelete, KV: infra.KV{Key: key, ModRevision: 7}})
	owner, known := d.Owner("cell/a")
	assert.Assert(t, known)
	assert.Equal(t, owner.Entry, "e2")
}

// lossyStore is a store that applies renewals of a lease but loses the first answers, or answers slowly. The
// clock advances while a caller waits for an answer.
type lossyStore struct {
	infra.Store
	clock         *testClock
	answersToLose int
	answerTime    time.Duration      // time until a renewal is answered; a call with a shorter timeout gets no answer
	unanswered    int                // unanswered renewals so far
	answer        chan time.Duration // receives the time at which the first answered renewal was sent
}

// maxUnanswered ends a test in which no renewal's timeout is long enough for the store.
const maxUnanswered = 20

func (l *lossyStore) KeepAlive(ctx context.Context, lease infra.LeaseID) error {
	if err := l.Store.KeepAlive(ctx, lease); err != nil {
		return err
	}
	end, _ := ctx.Deadline()
	timeout := time.Until(end)
	if l.answersToLose == 0 && timeout > l.answerTime || l.unanswered == maxUnanswered {
		select {
		case l.answer <- l.clock.Now():
		default:
		}
		l.clock.advance(l.answerTime)
		return nil
	}
	l.unanswered++
	l.answersToLose = max(0, l.answersToLose-1)
	l.clock.advance(timeout)
	return infra.Errorf("keepalive", infra.KindUnknown, "no answer")
}

// Guards against a cell without an owner although no VM has failed: a third of the store's answers are lost,
// and the lease expires while the owner waits for the second of two lost ones. With short first timeouts and
// immediate repetition, the lease stays certain throughout.
func TestLostAnswersOfRenewalsDoNotCostTheDuty(t *testing.T) {
	testDutyIsKept(t, &lossyStore{answersToLose: 2}, nil)
}

// Guards against owners that lose their duties to a slow store, which answers after 0.4 s: renewals with only
// the short timeout would never be answered.
func TestASlowStoreDoesNotCostTheDuty(t *testing.T) {
	testDutyIsKept(t, &lossyStore{answerTime: 400 * time.Millisecond}, nil)
}

// testDutyIsKept has an owner renew its lease until a renewal is answered, and checks that this renewal was
// sent while the lease was certain. delay is Options.SchedulingDelay.
func testDutyIsKept(t *testing.T, l *lossyStore, delay func() time.Duration) {
	t.Helper()
	clock := &testClock{now: time.Minute}
	l.Store, l.clock, l.answer = memstore.New(clockwork.NewFakeClock()), clock, make(chan time.Duration, 1)
	e := newElector(t, l, clock, "e1")
	e.o.SchedulingDelay = delay
	term, err := e.acquire(context.Background())
	assert.NilError(t, err)
	certain := term.certainUntil
	ctx, cancel := context.WithCancel(context.Background())
	term.cancel = cancel
	e.pause = func(ctx context.Context, d time.Duration) bool {
		clock.advance(d)
		return ctx.Err() == nil
	}
	var renewer sync.WaitGroup
	renewer.Go(func() { term.renew(ctx) })
	answered := <-l.answer
	cancel()
	renewer.Wait()
	assert.Assert(t, answered < certain, "answered at %s, certain until %s", answered, certain)
}

func TestALeaseIsNoShorterThanTheStoreGrants(t *testing.T) {
	o := Options{MinTTL: 3 * time.Second}
	assert.Equal(t, o.ttl(), 3*time.Second)
	assert.Assert(t, o.certainFor() < 3*time.Second)
	assert.Equal(t, (&Options{}).ttl(), TTL)
}

// Guards against a VM of 0.2 cores that becomes the owner of a large service. It waits for seconds before it
// tries, as it should, but meanwhile the duty was acquired and given up again. Its delay for the earlier vacancy
// must not put it before the larger VMs, which have just begun to wait.
func TestADelayCountsForOneVacancyOnly(t *testing.T) {
	ctx := context.Background()
	store := memstore.New(clockwork.NewFakeClock())
	clock := &testClock{now: time.Minute}
	small := newElector(t, store, clock, "small")
	before, free := small.o.Directory.vacancy(small.o.Duty)
	assert.Assert(t, free)
	kv := infra.KV{Key: infra.WorkOwnerKey(small.o.Duty), Value: []byte(`{"entry":"large"}`), ModRevision: 5}
	small.o.Directory.put(kv)
	small.o.Directory.remove(kv.Key, 6)
	term, err := small.tryAcquire(ctx, 0, before)
	assert.NilError(t, err)
	assert.Assert(t, term == nil, "it waited for the earlier vacancy")

	again, free := small.o.Directory.vacancy(small.o.Duty)
	assert.Assert(t, free)
	small.o.Directory.put(kv)
	small.o.Directory.Replace(nil) // after an outage of the store, the list shows that the owner is gone
	term, err = small.tryAcquire(ctx, 0, again)
	assert.NilError(t, err)
	assert.Assert(t, term == nil)

	last, _ := small.o.Directory.vacancy(small.o.Duty)
	term, err = small.tryAcquire(ctx, 0, last)
	assert.NilError(t, err)
	assert.Assert(t, term != nil)
}

// revokeFailingStore is a store in which revoking a lease fails.
type revokeFailingStore struct {
	infra.Store
	kind infra.Kind
}

func (s *revokeFailingStore) Revoke(context.Context, infra.LeaseID) error {
	return infra.Errorf("revoke", s.kind, "not ended")
}

// Guards against a duty without an owner after an outage of the store. An entry VM that shuts down during the
// outage can't revoke its lease, which stays in force until it expires. Another VM must be given it to revoke.
func TestALeaseThatCantBeEndedIsLeftToOthers(t *testing.T) {
	store := &revokeFailingStore{memstore.New(clockwork.NewFakeClock()), infra.KindUnavailable}
	e := newElector(t, store, &testClock{now: time.Minute}, "e1")
	var left []infra.LeaseID
	e.o.RevokeLater = func(lease infra.LeaseID) { left = append(left, lease) }
	term, err := e.acquire(context.Background())
	assert.NilError(t, err)
	e.revoke(context.Background(), term.lease)
	assert.DeepEqual(t, left, []infra.LeaseID{term.lease})
	store.kind = infra.KindLeaseNotFound
	e.revoke(context.Background(), term.lease)
	assert.Equal(t, len(left), 1, "the lease has expired already")
}

// Guards against calls to an address that no owner has: a record that another writer has overwritten must not
// be taken for an owner.
func TestAnEntryOfAnotherWriterNamesNoOwner(t *testing.T) {
	d := &Directory{Log: logr.Discard()}
	d.Replace([]infra.KV{
		{Key: infra.WorkOwnerKey("a"), Value: []byte(`{"address":"10.0.0.1:1"}`), ModRevision: 1},
		{Key: infra.WorkOwnerKey("b"), Value: []byte("\xff"), ModRevision: 2},
		{Key: infra.WorkOwnerKey("c"), Value: []byte(`{"entry":"e1","address":"10.0.0.1:1"}`), ModRevision: 3},
	})
	for duty, want := range map[string]bool{"a": false, "b": false, "c": true} {
		_, known := d.Owner(duty)
		assert.Equal(t, known, want, duty)
	}
	d.Change(infra.Event{Kind: infra.EventPut, KV: infra.KV{Key: infra.WorkOwnerKey("c"), Value: []byte("7"), ModRevision: 4}})
	_, known := d.Owner("c")
	assert.Equal(t, known, false, "its key was overwritten")
	_, free := d.vacancy("c")
	assert.Equal(t, free, false, "nobody can take it while the key stands")
}
