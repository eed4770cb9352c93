package command

import (
	"context"

	"github.com/pumicestage/pumicestage/policy/model"
)

// BulkJobs is a Jobs that cancels many jobs with far fewer writes than one
// each: thousands cancelled one by one would take minutes of the store's rate.
type BulkJobs interface {
	Jobs
	// CancelAll cancels the jobs and returns an effect for each, in order.
	CancelAll(ctx context.Context, jobs []model.JobID, t OrderMeta) ([]Effect, error)
}

// cancelTogether makes the steps of an order that cancels many. The first step
// cancels them all, the others tell what became of theirs.
func cancelTogether(jobs BulkJobs, ids []model.JobID) []step {
	var effects []Effect
	var failed error
	all := func(ctx context.Context, t OrderMeta) ([]Effect, error) {
		if effects == nil && failed == nil {
			effects, failed = jobs.CancelAll(ctx, ids, t)
		}
		return effects, failed
	}
	steps := make([]step, len(ids))
	for i, id := range ids {
		steps[i] = step{"job " + string(id), func(ctx context.Context, t OrderMeta) (Effect, error) {
			done, err := all(ctx, t)
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
