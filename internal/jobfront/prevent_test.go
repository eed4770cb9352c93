package jobfront

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Guards against an accepted job that is lost from the store: a cancellation found no job, and the job
// was created before it was written that there is none.
func TestAJobCreatedBesideItsCancellationIsCancelled(t *testing.T) {
	r := newFixture(t)
	r.owner.err = engine.ErrNotReady
	created := false
	r.store.BeforeWrite(func(string, infra.Txn) {
		if !created {
			created = true
			assert.NilError(t, r.front.Submit(t.Context(), newJob("j1"), queue))
		}
	})
	assert.NilError(t, r.front.Cancel(t.Context(), "j1", queue, ""))
	assert.Assert(t, !r.stored(t, infra.WorkOpenKey(cell, "j1")))
	assert.Assert(t, r.stored(t, infra.WorkInboxKey(cell, engine.InboxCancel, "j1")), "the owner is told")
	state, err := r.front.State(t.Context(), "j1", queue, "")
	assert.NilError(t, err)
	assert.Equal(t, state, work.Cancelled)
}

// Guards against a job that runs though its owner has refused it for good.
func TestAJobThatTheOwnerRulesOutIsNotStored(t *testing.T) {
	r := newFixture(t)
	r.owner.err = engine.ErrCancelledEarly
	assert.ErrorIs(t, r.front.Submit(t.Context(), newJob("j1"), queue), engine.ErrCancelledEarly)
	assert.Assert(t, !r.stored(t, infra.WorkJobKey("j1")))
}
