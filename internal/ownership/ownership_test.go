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

// testClock is moved by the test alone.
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
	term, err := first.take(ctx)
	assert.NilError(t, err)
	_, err = newElector(t, store, clock, "e2").take(ctx)
	assert.Assert(t, err != nil, "it is taken")
	first.drop(ctx, term.lease)
	next, err := newElector(t, store, clock, "e2").take(ctx)
	assert.NilError(t, err)
	assert.Assert(t, next.Token() > term.Token())
}

// An entry VM is suspended for seconds. When it wakes it believes in a lease that
// has long lapsed, and would give orders beside its successor: only a renewal
// that was tried and failed lets orders go on.
func TestAThawedOwnerGivesNoOrdersBeforeItHasAskedTheStore(t *testing.T) {
	clock := &testClock{now: time.Minute}
	e := newElector(t, memstore.New(clockwork.NewFakeClock()), clock, "e1")
	term, err := e.take(context.Background())
	assert.NilError(t, err)
	term.cancel = func() {}
	assert.Assert(t, term.Certain())
	clock.advance(3 * time.Second)
	assert.Assert(t, !term.Certain())
	assert.Assert(t, term.AllowedUntil() < clock.Now())

	term.renewed(clock.Now(), infra.Errorf("keepalive", infra.KindLeaseNotFound, "lapsed"))
	assert.Equal(t, term.AllowedUntil(), time.Duration(0))
}

// The store is away: what runs must not lapse for it, and a successor must be
// able to rely on an end of the old owner's orders.
func TestOrdersGoOnWhileTheStoreIsAwayForTheGraceAlone(t *testing.T) {
	clock := &testClock{now: time.Minute}
	e := newElector(t, memstore.New(clockwork.NewFakeClock()), clock, "e1")
	term, err := e.take(context.Background())
	assert.NilError(t, err)
	away := infra.Errorf("keepalive", infra.KindUnavailable, "%w", errors.New("no answer"))
	last := term.certain
	for clock.Now() < last+grace-time.Second {
		clock.advance(500 * time.Millisecond)
		term.renewed(clock.Now(), away)
		assert.Assert(t, term.AllowedUntil() > clock.Now())
	}
	clock.advance(10 * time.Second)
	term.renewed(clock.Now(), away)
	assert.Assert(t, term.AllowedUntil() <= last+grace)
	term.renewed(clock.Now(), nil)
	assert.Assert(t, term.Certain(), "the store is back and the lease lived on")
}

// Two owners give orders. One gave its term up while a renewal was under way, and
// the answer to that brought the permission back.
func TestARenewalThatWasUnderWayDoesNotBringAnEndedTermBack(t *testing.T) {
	clock := &testClock{now: time.Minute}
	e := newElector(t, memstore.New(clockwork.NewFakeClock()), clock, "e1")
	term, err := e.take(context.Background())
	assert.NilError(t, err)
	term.cancel = func() {}
	term.End("test")
	term.renewed(clock.Now(), nil)
	assert.Equal(t, term.AllowedUntil(), time.Duration(0))
	assert.Assert(t, !term.Certain())
}

// All duties went to one VM at the start, as each was taken before the first
// counted.
func TestAVMThatTookADutyMeanwhileStandsBehindForTheNext(t *testing.T) {
	store := memstore.New(clockwork.NewFakeClock())
	clock := &testClock{now: time.Minute}
	e := newElector(t, store, clock, "e1")
	term, err := e.tryTake(context.Background(), 0, 0)
	assert.NilError(t, err)
	assert.Assert(t, term != nil)
	other := newElector(t, store, clock, "e1")
	other.o.Duty, other.o.Duties = "cell/b", e.o.Duties
	term, err = other.tryTake(context.Background(), 0, 0)
	assert.NilError(t, err)
	assert.Assert(t, term == nil, "it has one more than when it stood in line")
	assert.Assert(t, other.rank(1) >= other.rank(0)+dutyStep)
}

// Small VMs took duties that they can't carry: leases ran out under load.
func TestSmallVMsStandBehindStrongOnes(t *testing.T) {
	clock := &testClock{}
	for _, entry := range []string{"e1", "e2", "e3", "e4", "e5"} {
		strong := newElector(t, nil, clock, "s"+entry)
		strong.o.Weight = 0.8
		small := newElector(t, nil, clock, entry)
		small.o.Weight = 0.02
		assert.Assert(t, strong.rank(0) < small.rank(0), "%s: %s, %s", entry, strong.rank(0), small.rank(0))
	}
}

func TestTheDirectoryNeverStepsBack(t *testing.T) {
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

// losing is a store that does the first renewals of a lease and loses their answers.
// Time goes on while they are waited for.
type losing struct {
	infra.Store
	clock  *testClock
	lost   int
	needs  time.Duration      // before it answers; a call with less time has none
	tries  int                // without an answer so far
	answer chan time.Duration // told when the first renewal that is answered was sent
}

// mostTries ends a test of a store that is never given the time that it needs.
const mostTries = 20

func (l *losing) KeepAlive(ctx context.Context, lease infra.LeaseID) error {
	if err := l.Store.KeepAlive(ctx, lease); err != nil {
		return err
	}
	end, _ := ctx.Deadline()
	patience := time.Until(end)
	if l.lost == 0 && patience > l.needs || l.tries == mostTries {
		select {
		case l.answer <- l.clock.Now():
		default:
		}
		l.clock.advance(l.needs)
		return nil
	}
	l.tries++
	l.lost = max(0, l.lost-1)
	l.clock.advance(patience)
	return infra.Errorf("keepalive", infra.KindUnknown, "no answer")
}

// A cell is without an owner although nobody failed: a third of the store's answers
// were lost, two renewals in a row among them, and the lease ran out while the owner
// waited for the second. Repeated at once, and with little patience at first, two in a
// row leave the lease certain all the while.
func TestLostAnswersOfRenewalsDoNotCostTheDuty(t *testing.T) {
	keepsTheDuty(t, &losing{lost: 2}, nil)
}

// A store that is slow answers after 0.4 s: renewals with little patience alone would
// never be answered, and every duty would change hands.
func TestASlowStoreDoesNotCostTheDuty(t *testing.T) {
	keepsTheDuty(t, &losing{needs: 400 * time.Millisecond}, nil)
}

// keepsTheDuty has an owner renew at the store until one is answered, which must be while
// its lease is certain. behind is as in Options.
func keepsTheDuty(t *testing.T, l *losing, behind func() time.Duration) {
	t.Helper()
	clock := &testClock{now: time.Minute}
	l.Store, l.clock, l.answer = memstore.New(clockwork.NewFakeClock()), clock, make(chan time.Duration, 1)
	e := newElector(t, l, clock, "e1")
	e.o.SchedulingDelay = behind
	term, err := e.take(context.Background())
	assert.NilError(t, err)
	certain := term.certain
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
	assert.Assert(t, o.sure() < 3*time.Second)
	assert.Equal(t, (&Options{}).ttl(), TTL)
}

// Callers of a large service wait: a VM of a fifth of a core owns it. It stood in line
// for seconds, as it should; the duty was taken and given up again within them, and its
// turn of before came first in the new line.
func TestALineIsForOneVacancyOnly(t *testing.T) {
	ctx := context.Background()
	store := memstore.New(clockwork.NewFakeClock())
	clock := &testClock{now: time.Minute}
	small := newElector(t, store, clock, "small")
	before, free := small.o.Directory.vacancy(small.o.Duty)
	assert.Assert(t, free)
	kv := infra.KV{Key: infra.WorkOwnerKey(small.o.Duty), Value: []byte(`{"entry":"large"}`), ModRevision: 5}
	small.o.Directory.put(kv)
	small.o.Directory.remove(kv.Key, 6)
	term, err := small.tryTake(ctx, 0, before)
	assert.NilError(t, err)
	assert.Assert(t, term == nil, "its line was for the vacancy before")

	again, free := small.o.Directory.vacancy(small.o.Duty)
	assert.Assert(t, free)
	small.o.Directory.put(kv)
	small.o.Directory.Replace(nil) // the store was away: the list shows that the owner went
	term, err = small.tryTake(ctx, 0, again)
	assert.NilError(t, err)
	assert.Assert(t, term == nil)

	last, _ := small.o.Directory.vacancy(small.o.Duty)
	term, err = small.tryTake(ctx, 0, last)
	assert.NilError(t, err)
	assert.Assert(t, term != nil)
}

// revokeFails is a store that takes no end of a lease.
type revokeFails struct {
	infra.Store
	kind infra.Kind
}

func (s *revokeFails) Revoke(context.Context, infra.LeaseID) error {
	return infra.Errorf("revoke", s.kind, "not ended")
}

// An entry VM leaves during an outage of the store: it can't end its lease, and as the store
// is back nobody owns the duty until that has run out. Whoever stays ends it instead.
func TestALeaseThatCantBeEndedIsLeftToOthers(t *testing.T) {
	store := &revokeFails{memstore.New(clockwork.NewFakeClock()), infra.KindUnavailable}
	e := newElector(t, store, &testClock{now: time.Minute}, "e1")
	var left []infra.LeaseID
	e.o.RevokeLater = func(lease infra.LeaseID) { left = append(left, lease) }
	term, err := e.take(context.Background())
	assert.NilError(t, err)
	e.drop(context.Background(), term.lease)
	assert.DeepEqual(t, left, []infra.LeaseID{term.lease})
	store.kind = infra.KindLeaseNotFound
	e.drop(context.Background(), term.lease)
	assert.Equal(t, len(left), 1, "it is over already")
}

// Calls go to nobody: another writer's entry was taken for an owner. It names none.
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
