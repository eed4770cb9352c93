package jobsport

import (
	"context"
	"fmt"

	"github.com/pumicestage/pumicestage/internal/command"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Submit implements command.Jobs. The name that the operator gave the job is the
// change ID of its submit: a repeat finds the existing job, and another job under
// the same name is refused.
func (o CommandAdapter) Submit(ctx context.Context, job model.Job, t command.OrderMeta) (command.Effect, error) {
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

// sameJob reports whether two jobs are equal apart from the ID and the time of
// submission, which are set by Submit.
func sameJob(a, b model.Job) bool {
	a.ID, b.ID = "", ""
	a.SubmittedAt = b.SubmittedAt
	return a == b
}
