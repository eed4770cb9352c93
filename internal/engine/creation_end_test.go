package engine

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/faulty"
)

// Guards against ends of jobs that are not stored for the rest of the term: a repeated submission of a job
// shared a transaction with the end of that job. The store rejects a transaction that writes a key twice,
// and the committer, whose first attempt had no answer, sent it again and again.
func TestARepeatedSubmissionIsNotStoredTogetherWithTheJobsEnd(t *testing.T) {
	e, inner := newEngine(t, &fakeTerm{certain: true})
	store := faulty.Wrap(inner)
	e.Store = store
	first, repeat := newCreation(t, "j1"), newCreation(t, "j1")
	e.writer.waiting = []*creation{first}
	e.core.CreationBegins("j1")
	e.writer.committers[0].store(t.Context(), e.writer.committers[0].nextBatch())
	assert.NilError(t, <-first.done)

	// The repeat was submitted before the first creation was confirmed.
	e.core.CreationBegins("j1")
	e.writer.waiting = []*creation{repeat}
	cancelled := make(chan error, 1)
	e.core.Cancel("j1", func(err error) { cancelled <- err })
	store.LoseRequests(1)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	for range 2 {
		e.writer.committers[0].store(ctx, e.writer.committers[0].nextBatch())
	}
	assert.NilError(t, ctx.Err(), "the committer is stuck")
	assert.NilError(t, <-repeat.done)
	assert.Equal(t, len(cancelled), 1, "the job's end is stored")
	kv, _, err := inner.Get(t.Context(), infra.WorkOpenKey(service, "j1"))
	assert.NilError(t, err)
	assert.Equal(t, kv.ModRevision, infra.Revision(0), "the job's record is deleted")
}
