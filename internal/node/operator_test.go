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

type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }
func (c *manualClock) Wall() time.Time    { return time.Unix(0, 0) }

// Two versions of a configuration; the first has one key and three tasks more for a workspace.
var (
	configOne = declared(1, standin.Workspace{Name: "red", Keys: []string{"k1", "k2"}, Tasks: 4})
	configTwo = declared(4, standin.Workspace{Name: "red", Keys: []string{"k2"}, Tasks: 1})
)

func declared(version int, w standin.Workspace) []byte {
	raw, err := standin.Configuration(version, []standin.Service{{Name: "s"}}, []standin.Queue{{Name: "q", Service: "s", RequiresKey: true}}, []standin.Workspace{w})
	if err != nil {
		panic(err) // plain strings and numbers always encode
	}
	return raw
}

type operatorFixture struct {
	*operatorState
	store *faulty.Store
	clock *manualClock
}

func newOperatorFixture(t *testing.T) *operatorFixture {
	t.Helper()
	r := &operatorFixture{store: faulty.Wrap(memstore.New(clockwork.NewFakeClock())), clock: &manualClock{now: time.Hour}}
	r.operatorState = newOperatorState(r.store, r.clock, logr.Discard(), func() {})
	r.declare(t, configOne)
	assert.NilError(t, r.Confirm(t.Context()))
	return r
}

func (r *operatorFixture) declare(t *testing.T, config []byte) {
	t.Helper()
	_, err := r.store.Txn(t.Context(), infra.Txn{Then: []infra.Op{infra.Put(platform.ConfigKey, config)}})
	assert.NilError(t, err)
}

func (r *operatorFixture) knows(key string) bool {
	_, known := r.Keys()[jobfront.KeyDigest(key)]
	return known
}

// A caller whose key had been revoked was served again: an entry VM that had received the
// newer configuration from another one returned to the older version with its own late watch.
func TestOlderConfigurationsAreIgnored(t *testing.T) {
	r, other := newOperatorFixture(t), newOperatorFixture(t)
	other.declare(t, configTwo)
	other.clock.now += time.Second
	assert.NilError(t, other.Confirm(t.Context()))
	assert.Assert(t, r.Observe(other.Status(), r.clock.now))
	r.Install(other.Encoded(), other.Status(), r.clock.now)
	assert.Assert(t, !r.knows("k1") && r.knows("k2"))
	assert.Equal(t, r.declared().Workspaces["red"].Limit.MilliCPU, int64(1000))

	r.apply(infra.KV{Key: platform.ConfigKey, Value: configOne, ModRevision: 1})
	assert.Assert(t, !r.knows("k1"))
	r.Install([]byte("no configuration"), other.Status(), r.clock.now)
	assert.Assert(t, r.knows("k2"), "a malformed one leaves the last in force")
}

// Entry VMs whose reads the store refuses confirm each other's configuration. A confirmation
// that comes from another entry VM must not count as newer than that one's own.
func TestConfirmationIsNoNewerThanItsSource(t *testing.T) {
	r, other := newOperatorFixture(t), newOperatorFixture(t)
	other.clock.now += 3 * time.Second // since it read the store
	r.clock.now += 10 * time.Second
	assert.Assert(t, !r.Observe(other.Status(), r.clock.now))
	assert.Assert(t, r.Age() >= 3*time.Second)
	assert.Assert(t, r.Age() < 4*time.Second)
}

// While the store refuses this entry VM's reads, thousands of calls with unknown keys must not
// cause a read each.
func TestFailedReadsOnDemandAreNotRepeatedAtOnce(t *testing.T) {
	r := newOperatorFixture(t)
	r.clock.now += time.Minute
	r.store.SetDown(true)
	for range 100 {
		assert.Assert(t, r.Confirm(t.Context()) != nil)
	}
	r.store.SetDown(false)
	assert.Equal(t, r.Confirm(t.Context()), errStoreUnresponsive)
	r.clock.now += confirmRetryInterval
	assert.NilError(t, r.Confirm(t.Context()))
	assert.Equal(t, r.Age(), time.Duration(0))
}

// blockedReads counts reads and blocks them until its gate is closed.
type blockedReads struct {
	infra.Store
	mu    sync.Mutex
	reads int
	gate  chan struct{}
}

func (s *blockedReads) Get(ctx context.Context, key string) (infra.KV, infra.Revision, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	<-s.gate
	return s.Store.Get(ctx, key)
}

// Calls that arrive while a read is in progress wait for it; one more read, made by the first
// of them, then serves all.
func TestCallersShareAReadOfTheConfiguration(t *testing.T) {
	r := newOperatorFixture(t)
	slow := &blockedReads{Store: r.store, gate: make(chan struct{})}
	r.operatorState.store = slow
	r.clock.now += time.Minute
	var callers sync.WaitGroup
	for range 50 {
		callers.Go(func() { assert.Check(t, r.Confirm(t.Context())) })
	}
	close(slow.gate)
	callers.Wait()
	assert.Equal(t, slow.reads, 1)
}
