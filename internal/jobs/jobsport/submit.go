package jobsport

import (
	"context"
	"fmt"

	"github.com/pumicestage/pumicestage/internal/command"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Submit implements command.Jobs. The operator's name for the job serves as
// the change ID of its submission: a repeat finds the job that is there, and
// another job under that name is refused.
func (o CommandAdapter) Submit(ctx context.Context, job model.Job, t command.Terms) (command.Effect, error) {
	ids, err := o.Executor.Submit(ctx, model.ChangeID(job.ID), []model.Job{job})
	if err != nil {
		return command.Effect{}, CommandError(t.Change, err)
	}
	stored, err := o.Executor.Get(ctx, ids[0])
	if err != nil {
		return command.Effect{}, CommandError(t.Change, err)
	}
	if !sameJob(stored.Job, job) {
		return command.Effect{}, &command.Refusal{Code: command.CodeConflict, Winner: "job " + string(ids[0]), Detail: "another job was submitted under that name"}
	}
	return command.Effect{After: fmt.Sprintf("%s as job %s", stored.State, ids[0])}, nil
}

// sameJob compares what was asked for; ID and time are given at submission.
func sameJob(a, b model.Job) bool {
	a.ID, b.ID = "", ""
	a.SubmittedAt = b.SubmittedAt
	return a == b
}
