package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra/faulty"
	"github.com/pumicestage/pumicestage/policy/work"
)

func newCreation(t *testing.T, id work.JobID) *creation {
	t.Helper()
	j := &work.Job{ID: id, Queue: queue, Steps: []work.Step{short(1)}}
	q := Queue{Name: queue, Service: service}
	ops, err := CreateOps(service, j, q)
	assert.NilError(t, err)
	return &creation{job: j, queue: q, ops: ops, done: make(chan error, 2)}
}

// A job that was refused runs, or one that was accepted never starts. The store
// carried its transaction out and the answer was lost: sent again, it finds its
// own mark.
func TestATransactionWithoutAnswerIsNeitherRefusedNorForgotten(t *testing.T) {
	e, inner := newEngine(t, &fakeTerm{certain: true})
	store := faulty.Wrap(inner)
	e.Store = store
	c := newCreation(t, "j1")
	store.LoseReplies(1)
	e.writer.store(t.Context(), &batch{creates: []*creation{c}, seq: 1})
	assert.Equal(t, len(c.done), 1, "one answer")
	assert.NilError(t, <-c.done)
	assert.Assert(t, e.core.Known("j1"), "the owner works on it")
}

// Callers time out one after the other while the store is away. What it did not
// take is refused at once, and what would wait behind a transaction without answer
// as well.
func TestJobsAreRefusedAtOnceWhileTheStoreIsAway(t *testing.T) {
	e, inner := newEngine(t, &fakeTerm{certain: true})
	store := faulty.Wrap(inner)
	e.Store = store
	store.SetDown(true)
	c := newCreation(t, "j1")
	e.writer.store(t.Context(), &batch{creates: []*creation{c}, seq: 1})
	assert.ErrorIs(t, <-c.done, ErrStore)

	e.writer.busy = e.Clock.Now() - unwellAfter - time.Millisecond
	assert.ErrorIs(t, e.writer.create(t.Context(), c.job, c.queue), ErrStore)
	assert.Equal(t, len(e.writer.waiting), 0)
}
