package jobfront

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Guards against a job that runs although its cancellation was answered with "no such job": a
// submission was still on its way then, and was stored afterwards.
func TestASubmissionThatArrivesAfterTheJobsCancellationIsNotRun(t *testing.T) {
	for name, ownerErr := range map[string]error{"without an owner": engine.ErrNotReady, "unknown to the owner": engine.ErrUnknownJob} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t)
			ctx := context.Background()
			r.owner.err = ownerErr
			assert.ErrorIs(t, r.front.Cancel(ctx, "j1", queue, ""), ErrUnknownJob)
			r.owner.err = engine.ErrNotReady
			assert.ErrorIs(t, r.front.Submit(ctx, newJob("j1"), queue), engine.ErrCancelledEarly)
			assert.Assert(t, !r.stored(t, infra.WorkOpenKey(cell, "j1")), "the job's record is stored")
			assert.Assert(t, !r.stored(t, infra.WorkInboxKey(cell, engine.InboxSubmit, "j1")))

			_, err := r.front.State(ctx, "j1", queue, "")
			assert.ErrorIs(t, err, ErrUnknownJob)
			assert.ErrorIs(t, r.front.Cancel(ctx, "j1", queue, ""), ErrUnknownJob)
		})
	}
}

// Guards against a submission to an open queue that is answered as if another workspace had the ID:
// such jobs have no workspace, and their caller had cancelled the ID with its key.
func TestASubmissionToAnOpenQueueIsRefusedAfterItsCallersCancellation(t *testing.T) {
	r := newFixture(t)
	r.owner.err = engine.ErrNotReady
	assert.ErrorIs(t, r.front.Cancel(t.Context(), "j1", queue, "blue"), ErrUnknownJob)
	assert.ErrorIs(t, r.front.Submit(t.Context(), newJob("j1"), queue), engine.ErrCancelledEarly)
}

// Guards against a workspace that keeps another one's job from being created: it may not cancel that
// job, but cancelled its ID before the submission was stored.
func TestAnotherWorkspacesCancellationDoesNotPreventAJob(t *testing.T) {
	r := newFixture(t)
	r.owner.err = engine.ErrNotReady
	assert.ErrorIs(t, r.front.Cancel(t.Context(), "j1", queue, "blue"), ErrUnknownJob)
	theirs := newJob("j1")
	theirs.Workspace = "red"
	assert.NilError(t, r.front.Submit(t.Context(), theirs, queue))
	state, err := r.front.State(t.Context(), "j1", queue, "red")
	assert.NilError(t, err)
	assert.Equal(t, state, work.Running)
}
