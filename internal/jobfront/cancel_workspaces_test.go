package jobfront

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Guards against a job that runs although its cancellation was answered with "no such job": a caller of
// another workspace had cancelled the same ID before, and its key was taken to bind both.
func TestACancellationBindsThoughAnotherWorkspaceCancelledTheIDBefore(t *testing.T) {
	for name, other := range map[string]work.WorkspaceName{"another workspace": "b", "no workspace": ""} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t)
			ctx := context.Background()
			r.owner.err = engine.ErrNotReady
			assert.ErrorIs(t, r.front.Cancel(ctx, "j1", queue, other), ErrUnknownJob)
			assert.ErrorIs(t, r.front.Cancel(ctx, "j1", queue, "a"), ErrUnknownJob)
			late := newJob("j1")
			late.Workspace = "a"
			assert.ErrorIs(t, r.front.Submit(ctx, late, queue), engine.ErrCancelledEarly)
			assert.Assert(t, !r.stored(t, infra.WorkOpenKey(cell, "j1")), "the job's record is stored")
		})
	}
}
