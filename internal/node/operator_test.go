package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/faulty"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/jobfront"
	"github.com/pumicestage/pumicestage/platform"
	"github.com/pumicestage/pumicestage/platform/standin"
)

type stepClock struct{ now time.Duration }

func (c *stepClock) Now() time.Duration { return c.now }
func (c *stepClock) Wall() time.Time    { return time.Unix(0, 0) }

// Two configurations of the operator's, the first of which gives a workspace more.
var (
	configOne = declared(1, standin.Workspace{Name: "red", Keys: []string{"k1", "k2"}, Tasks: 4})
	configTwo = declared(4, standin.Workspace{Name: "red", Keys: []string{"k2"}, Tasks: 1})
)

func declared(version int, w standin.Workspace) []byte {
	raw, err := standin.Configuration(version, []standin.Service{{Name: "s"}}, []standin.Queue{{Name: "q", Service: "s", Keyed: true}}, []standin.Workspace{w})
	if err != nil {
		panic(err) // strings and numbers: it can't fail
	}
	return raw
}

type operatorRig struct {
	*operator
	store *faulty.Store
	clock *stepClock
}

func newOperatorRig(t *testing.T) *operatorRig {
	t.Helper()
	r := &operatorRig{store: faulty.Wrap(memstore.New(clockwork.NewFakeClock())), clock: &stepClock{now: time.Hour}}
	r.operator = newOperator(r.store, r.clock, logr.Discard(), func() {})
	r.declare(t, configOne)
	assert.NilError(t, r.Confirm(t.Context()))
	return r
}

func (r *operatorRig) declare(t *testing.T, config []byte) {
	t.Helper()
	_, err := r.store.Txn(t.Context(), infra.Txn{Then: []infra.Op{infra.Put(platform.ConfigKey, config)}})
	assert.NilError(t, err)
}

func (r *operatorRig) knows(key string) bool {
	_, known := r.Keys()[jobfront.DigestOf(key)]
	return known
}

// A caller whose key was taken away is served again: an entry VM that had the newer
// configuration from another one was brought back to the older one by its own late watch.
func TestTheConfigurationNeverStepsBack(t *testing.T) {
	r, other := newOperatorRig(t), newOperatorRig(t)
	other.declare(t, configTwo)
	other.clock.now += time.Second
	assert.NilError(t, other.Confirm(t.Context()))
	assert.Assert(t, r.Observe(other.Status(), r.clock.now))
	r.Install(other.Encoded(), other.Status(), r.clock.now)
	assert.Assert(t, !r.knows("k1") && r.knows("k2"))
	assert.Equal(t, r.declared().Workspaces["red"].Limit.MilliCPU, int64(1000))

	r.take(infra.KV{Key: platform.ConfigKey, Value: configOne, ModRevision: 1})
	assert.Assert(t, !r.knows("k1"))
	r.Install([]byte("no configuration"), other.Status(), r.clock.now)
	assert.Assert(t, r.knows("k2"), "one that can't be read leaves the last in force")
}

// Entry VMs that the store turns away confirm each other's configuration from what they last
// heard: none may count as newer than the one that it came from.
func TestAConfirmationIsNoNewerThanWhereItComesFrom(t *testing.T) {
	r, other := newOperatorRig(t), newOperatorRig(t)
	other.clock.now += 3 * time.Second // since it read the store
	r.clock.now += 10 * time.Second
	assert.Assert(t, !r.Observe(other.Status(), r.clock.now))
	assert.Assert(t, r.Age() >= 3*time.Second)
	assert.Assert(t, r.Age() < 4*time.Second)
}

// A store that turns this entry VM away is not asked for each of thousands of calls whose keys
// it does not know.
func TestReadsOnDemandPauseWhereTheyFail(t *testing.T) {
	r := newOperatorRig(t)
	r.clock.now += time.Minute
	r.store.SetDown(true)
	for range 100 {
		assert.Assert(t, r.Confirm(t.Context()) != nil)
	}
	r.store.SetDown(false)
	assert.Equal(t, r.Confirm(t.Context()), errStoreSilent)
	r.clock.now += confirmPause
	assert.NilError(t, r.Confirm(t.Context()))
	assert.Equal(t, r.Age(), time.Duration(0))
}

// slowReads counts reads and lets none end before it is told to.
type slowReads struct {
	infra.Store
	mu    sync.Mutex
	reads int
	gate  chan struct{}
}

func (s *slowReads) Get(ctx context.Context, key string) (infra.KV, infra.Revision, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	<-s.gate
	return s.Store.Get(ctx, key)
}

// Callers who ask while a read is under way wait for it; the first of them makes the next.
func TestCallersShareAReadOfTheConfiguration(t *testing.T) {
	r := newOperatorRig(t)
	slow := &slowReads{Store: r.store, gate: make(chan struct{})}
	r.operator.store = slow
	r.clock.now += time.Minute
	var callers sync.WaitGroup
	for range 50 {
		callers.Go(func() { assert.Check(t, r.Confirm(t.Context())) })
	}
	close(slow.gate)
	callers.Wait()
	assert.Equal(t, slow.reads, 1)
}
