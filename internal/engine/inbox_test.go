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
func (f *fakeTerm) Relieve()                    { f.ended = "relieved" }

type fixedClock struct{}

func (fixedClock) Now() time.Duration { return time.Minute }
func (fixedClock) Wall() time.Time    { return epoch }

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

// storeWithMessage stores a job as an entry VM does that can't reach the owner.
func storeWithMessage(t *testing.T, store infra.Store, id work.JobID) string {
	t.Helper()
	ops, err := CreateOps(service, &work.Job{ID: id, Queue: queue, Steps: []work.Step{short(1)}}, Queue{Name: queue, Service: service})
	assert.NilError(t, err)
	note := infra.WorkInboxKey(service, InboxSubmit, string(id))
	_, err = store.Txn(context.Background(), infra.Txn{Then: append(ops, infra.Put(note, nil))})
	assert.NilError(t, err)
	return note
}

func TestJobsThatEntryVMsStoredAreFoundByInboxMessages(t *testing.T) {
	e, store := newEngine(t, &fakeTerm{certain: true})
	note := storeWithMessage(t, store, "j1")
	assert.NilError(t, e.handleMessages(context.Background(), []string{note}))
	assert.Assert(t, e.core.Known("j1"))
	kv, _, err := store.Get(context.Background(), note)
	assert.NilError(t, err)
	assert.Equal(t, kv.ModRevision, infra.Revision(0), "read notes are removed")
}

// A job runs twice as a cut heals. The owner inside it, whose lease had lapsed,
// could read the store again for a moment, found a note, and started a job that
// its successor had found by the same note.
func TestAnOwnerThatIsNotCertainLeavesInboxMessagesToItsSuccessor(t *testing.T) {
	term := &fakeTerm{}
	e, store := newEngine(t, term)
	note := storeWithMessage(t, store, "j1")
	assert.Assert(t, e.handleMessages(context.Background(), []string{note}) != nil)
	assert.Assert(t, !e.core.Known("j1"))
	kv, _, err := store.Get(context.Background(), note)
	assert.NilError(t, err)
	assert.Assert(t, kv.ModRevision != 0, "the note is the successor's")
}

// A VM is maintained under running tasks. The owner of its cell had lost its lease
// and answered the fleet's owner from old books, while its successor used the VM.
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
