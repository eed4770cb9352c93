package jobs

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Cancellation is the result of Cancel for one job.
type Cancellation struct {
	Job      model.JobID
	Before   State
	After    State
	Stopping bool // cancelled once its task has stopped
	Reason   string
	Refused  *Refusal // nil if the job is cancelled or being cancelled
}

// Cancel cancels jobs: those without a task immediately, those that are starting
// or running as soon as their task has stopped. Jobs of a group share a write, and
// one transaction has up to maxTxnGroups groups, so cancelling thousands of jobs
// takes few transactions. A repeat under the same change ID is idempotent. After
// an *Error that is Uncertain some jobs may be cancelled, and a repeat cancels the
// rest; after any other error none is.
func (j *Jobs) Cancel(ctx context.Context, change model.ChangeID, why string, ids []model.JobID) ([]Cancellation, error) {
	if err := j.fetch(ctx, ids); err != nil {
		return nil, err
	}
	out := make([]Cancellation, len(ids))
	changes := make([]transition, len(ids))
	for i, id := range ids {
		out[i] = Cancellation{Job: id, Refused: &Refusal{Code: CodeNotFound, Detail: fmt.Sprintf("no job %s", id)}}
		changes[i] = transition{id, func(r *Record) bool { return r.cancel(j, change, why, &out[i]) }}
	}
	done, err := j.write(ctx, changes)
	if len(done) > 0 {
		j.Wake()
	}
	if err != nil && (len(done) > 0 || anyUncertain(err)) {
		return out, trace.Wrap(&Error{Op: "cancel jobs", Change: change, Uncertain: true, Err: err})
	}
	return out, err
}

func (r *Record) cancel(j *Jobs, by model.ChangeID, why string, out *Cancellation) bool {
	*out = Cancellation{Job: r.ID, Before: r.State, After: r.State}
	if r.CancelBy == by {
		out.After, out.Stopping = Cancelled, !r.State.Ended()
		return false
	}
	if why == "" {
		why = "by " + string(by)
	}
	switch {
	case r.State.Ended():
		out.Refused = &Refusal{Code: CodeState, Detail: fmt.Sprintf("job %s is %s already", r.ID, r.State)}
		return false
	case r.State.holdsCapacity():
		r.CancelBy, out.Stopping = by, true
		r.Reason = "being cancelled: " + why
	default:
		if r.State == Unknown {
			why += "; it may have run"
		}
		r.CancelBy = by
		r.enter(Cancelled, j.clock.Now(), why)
	}
	out.After = Cancelled
	return true
}

// Verdict is an operator's decision on a job whose outcome is unknown.
type Verdict string

// The possible verdicts.
const (
	VerdictRan       Verdict = "ran"       // it ran and has succeeded
	VerdictNotRun    Verdict = "not-run"   // it did not run, and may be started again
	VerdictCancelled Verdict = "cancelled" // cancelled, whether or not it ran
)

// Decide applies an operator's verdict to a job in state Unknown. It returns a
// *Refusal for a job in another state and for an unknown verdict.
func (j *Jobs) Decide(ctx context.Context, id model.JobID, v Verdict, who string) error {
	if err := j.fetch(ctx, []model.JobID{id}); err != nil {
		return err
	}
	var refusal error = &Refusal{Code: CodeNotFound, Detail: fmt.Sprintf("no job %s", id)}
	done, err := j.write(ctx, []transition{{id, func(r *Record) bool {
		refusal = &Refusal{Code: CodeState, Detail: fmt.Sprintf("job %s is %s; only an unknown outcome is decided", id, r.State)}
		if r.State != Unknown {
			return false
		}
		switch v {
		case VerdictRan:
			r.enter(Succeeded, j.clock.Now(), "decided by "+who)
		case VerdictNotRun:
			r.enter(Waiting, j.clock.Now(), "decided by "+who+" that it has not run")
		case VerdictCancelled:
			r.enter(Cancelled, j.clock.Now(), "decided by "+who)
		default:
			refusal = &Refusal{Code: CodeInvalid, Field: "outcome", Detail: "want ran, not-run or cancelled"}
			return false
		}
		return true
	}}})
	if err != nil {
		return err
	}
	if len(done) == 0 {
		return refusal
	}
	j.Wake()
	return nil
}

// fetch loads the groups of the jobs into the mirror, which is not kept up to date
// on entry VMs without the lease.
func (j *Jobs) fetch(ctx context.Context, ids []model.JobID) error {
	keys := make(map[string]bool)
	for _, id := range ids {
		if key, _, ok := keyOf(id); ok {
			keys[key] = true
		}
	}
	if len(keys) > maxSingleReads {
		return j.mirror.refresh(ctx)
	}
	for key := range keys {
		kv, _, err := j.store.Get(ctx, key)
		if err != nil {
			return wrapError("read job", "", err)
		}
		if kv.ModRevision == 0 {
			continue
		}
		g, err := decode(kv)
		if err != nil {
			return err
		}
		j.mirror.put(key, g)
	}
	return nil
}

// maxSingleReads is the number of groups up to which they are read one by one;
// beyond it, reading all groups at once is cheaper.
const maxSingleReads = 4
