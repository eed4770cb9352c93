package engine

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/policy/work"
)

// fakeTerm is a term whose certainty the test sets.
type fakeTerm struct {
	certain bool
	ended   string
}

func (f *fakeTerm) Token() int64                { return token }
func (f *fakeTerm) AllowedUntil() time.Duration { return time.Hour }
func (f *fakeTerm) Certain() bool               { return f.certain }
func (f *fakeTerm) End(reason string)           { f.ended = reason }
func (f *fakeTerm) HandOver()                   { f.ended = "handed over" }

// fixedClock is a clock that does not move.
type fixedClock struct{}

func (fixedClock) Now() time.Duration { return time.Minute }
func (fixedClock) Wall() time.Time    { return epoch }

// newEngine returns an engine that counts as restored, and its store.
func newEngine(t *testing.T, term Term) (*Engine, infra.Store) {
	t.Helper()
	store := memstore.New(clockwork.NewFakeClock())
	e := New(Options{
		Cell: service, Store: store, Clock: fixedClock{}, Log: logr.Discard(), Term: term,
		Registry: func() []WorkerInfo { return nil },
		Declared: func() Declared { return Declared{} },
	})
	e.restored = true
	return e, store
}

// storeWithMessage stores a job and an inbox message, as an entry VM does that can't reach the
// owner. It returns the message's key.
func storeWithMessage(t *testing.T, store infra.Store, id work.JobID) string {
	t.Helper()
	ops, err := CreateOps(service, &work.Job{ID: id, Queue: queue, Steps: []work.Step{short(1)}}, Queue{Name: queue, Service: service})
	assert.NilError(t, err)
	key := infra.WorkInboxKey(service, InboxSubmit, string(id))
	_, err = store.Txn(context.Background(), infra.Txn{Then: append(ops, infra.Put(key, nil))})
	assert.NilError(t, err)
	return key
}

// Guards against jobs that are accepted and never run: the owner must add jobs that entry VMs stored
// without reaching it, and then delete their messages.
func TestJobsThatEntryVMsStoredAreFoundByInboxMessages(t *testing.T) {
	e, store := newEngine(t, &fakeTerm{certain: true})
	key := storeWithMessage(t, store, "j1")
	assert.NilError(t, e.handleMessages(context.Background(), []string{key}))
	assert.Assert(t, e.core.Known("j1"))
	kv, _, err := store.Get(context.Background(), key)
	assert.NilError(t, err)
	assert.Equal(t, kv.ModRevision, infra.Revision(0), "handled messages are deleted")
}

// Guards against a job that runs twice when a network partition heals: the partitioned owner, whose
// lease had expired, could read the store again for a moment, found an inbox message and started a
// job that its successor had started because of the same message.
func TestAnOwnerThatIsNotCertainLeavesInboxMessagesToItsSuccessor(t *testing.T) {
	term := &fakeTerm{}
	e, store := newEngine(t, term)
	key := storeWithMessage(t, store, "j1")
	assert.Assert(t, e.handleMessages(context.Background(), []string{key}) != nil)
	assert.Assert(t, !e.core.Known("j1"))
	kv, _, err := store.Get(context.Background(), key)
	assert.NilError(t, err)
	assert.Assert(t, kv.ModRevision != 0, "the message is left to the successor")
}

// Guards against maintenance of a VM under running tasks: the owner of the VM's cell had lost its
// lease and answered the fleet's owner from outdated state, while its successor used the VM.
func TestAnOwnerThatIsNotCertainAnswersNothingToTheFleet(t *testing.T) {
	term := &fakeTerm{certain: true}
	e, _ := newEngine(t, term)
	_, err := e.Sync(CellSync{Token: 3})
	assert.NilError(t, err)
	_, err = e.Sync(CellSync{Token: 2})
	assert.Assert(t, err != nil, "an earlier owner of the fleet")
	term.certain = false
	_, err = e.Sync(CellSync{Token: 3})
	assert.Assert(t, err != nil)
}

// unreadableStore rejects reads of one key.
type unreadableStore struct {
	infra.Store
	key string
}

func (s *unreadableStore) Get(ctx context.Context, key string) (infra.KV, infra.Revision, error) {
	if key == s.key {
		return infra.KV{}, 0, infra.Errorf("get", infra.KindUnavailable, "rejected")
	}
	return s.Store.Get(ctx, key)
}

// Guards against a cancelled job that runs on while the store loses some answers: the cancellation of
// a job that the owner knew waited until the jobs of all other messages could be read.
func TestACancellationDoesNotWaitForReadsOfOtherJobs(t *testing.T) {
	e, inner := newEngine(t, &fakeTerm{certain: true})
	assert.NilError(t, e.handleMessages(t.Context(), []string{storeWithMessage(t, inner, "j1")}))
	cancelled := storeCancellation(t, inner, "j1")
	submitted := storeWithMessage(t, inner, "j2")
	e.Store = &unreadableStore{Store: inner, key: infra.WorkOpenKey(service, "j2")}
	assert.Assert(t, e.handleMessages(t.Context(), []string{cancelled, submitted}) != nil, "j2 is left to the next attempt")
	assert.Equal(t, len(e.core.open), 0, "open jobs")
}
