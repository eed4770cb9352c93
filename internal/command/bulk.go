package command

import (
	"context"

	"github.com/pumicestage/pumicestage/policy/model"
)

// BulkJobs is implemented by a Jobs that can cancel many jobs with far fewer
// writes than one per job. At the store's write rate, cancelling thousands of
// jobs one by one would take minutes.
type BulkJobs interface {
	Jobs
	// CancelAll cancels the jobs and returns one effect per job, in the same
	// order. An error applies to all of the jobs.
	CancelAll(ctx context.Context, jobs []model.JobID, t OrderMeta) ([]Effect, error)
}

// bulkCancelSteps returns the steps of an order that cancels many jobs. The
// first step to run cancels all of them; each step reports the effect on its own
// job.
func bulkCancelSteps(jobs BulkJobs, ids []model.JobID) []step {
	var effects []Effect
	var cancelErr error
	cancelAll := func(ctx context.Context, t OrderMeta) ([]Effect, error) {
		if effects == nil && cancelErr == nil {
			effects, cancelErr = jobs.CancelAll(ctx, ids, t)
		}
		return effects, cancelErr
	}
	steps := make([]step, len(ids))
	for i, id := range ids {
		steps[i] = step{"job " + string(id), func(ctx context.Context, t OrderMeta) (Effect, error) {
			done, err := cancelAll(ctx, t)
			if err != nil {
				return Effect{}, err
			}
			if done[i].Refused != nil {
				return done[i], done[i].Refused
			}
			return done[i], nil
		}}
	}
	return steps
}
