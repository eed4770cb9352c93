package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/work"
)

// lateStore holds back the answer to the first transaction and calls meanwhile before.
type lateStore struct {
	infra.Store
	called    atomic.Bool
	meanwhile func()
	lost      bool // the answer is lost instead
}

func (s *lateStore) Txn(ctx context.Context, t infra.Txn) (infra.TxnResult, error) {
	res, err := s.Store.Txn(ctx, t)
	if s.called.Swap(true) {
		return res, err
	}
	s.meanwhile()
	if s.lost {
		return infra.TxnResult{}, infra.Errorf("txn", infra.KindUnknown, "answer lost")
	}
	return res, err
}

// storeCancellation stores the job's cancellation, as an entry VM does that can't cancel it by the
// owner, and returns the key of the inbox message.
func storeCancellation(t *testing.T, store infra.Store, id work.JobID) string {
	t.Helper()
	ops, err := EndOps(id, JobStub{Cell: service, State: work.Cancelled, Ended: epoch})
	assert.NilError(t, err)
	key := infra.WorkInboxKey(service, InboxCancel, string(id))
	_, err = store.Txn(t.Context(), infra.Txn{Then: append(ops, infra.Put(key, nil))})
	assert.NilError(t, err)
	return key
}

// Guards against a job that runs although its cancellation was answered with "no such job": the
// transaction that creates it was on its way to the store.
func TestAJobCancelledBeforeItsCreationIsStoredIsNotCreated(t *testing.T) {
	e, store := newEngine(t, &fakeTerm{certain: true})
	ops, err := PreventOps(service, "j1", "", epoch)
	assert.NilError(t, err)
	_, err = store.Txn(t.Context(), infra.Txn{Then: ops})
	assert.NilError(t, err)
	c := newCreation(t, "j1")
	e.writer.committers[0].store(t.Context(), &batch{creates: []*creation{c}, seq: 1})
	assert.ErrorIs(t, <-c.done, ErrCancelledEarly)
	assert.Assert(t, !e.core.Known("j1"))
}

// Guards against a job that runs although its cancellation was acknowledged: it was cancelled in the
// store, and the inbox message handled, before the owner learned that its own transaction had created
// the job.
func TestAJobCancelledBeforeItsCreationIsConfirmedDoesNotRun(t *testing.T) {
	for name, lost := range map[string]bool{"late answer": false, "lost answer": true} {
		t.Run(name, func(t *testing.T) {
			e, inner := newEngine(t, &fakeTerm{certain: true})
			store := &lateStore{Store: inner, lost: lost}
			store.meanwhile = func() {
				key := storeCancellation(t, inner, "j1")
				assert.Check(t, e.handleMessages(t.Context(), []string{key}))
			}
			e.Store = store
			ctx, cancel := context.WithCancel(t.Context())
			var writer sync.WaitGroup
			writer.Go(func() { e.writer.run(ctx) })
			c := newCreation(t, "j1")
			assert.NilError(t, e.Submit(ctx, c.job, c.queue))
			cancel()
			writer.Wait()
			assert.Equal(t, len(e.core.open), 0, "open jobs")
		})
	}
}
