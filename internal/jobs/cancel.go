package jobs

import (
	"context"
	"fmt"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Cancellation is what became of one job that was to be cancelled.
type Cancellation struct {
	Job      model.JobID
	Before   State
	After    State
	Stopping bool // its task is told to stop and the job is cancelled after
	Reason   string
	Refused  *Refusal // nil where it was done
}

// Cancel cancels jobs: those that wait at once, those that run as soon as
// their task has stopped. Jobs of a group share a write, so thousands cost as
// many writes as they have groups, by dozens in one transaction. A repeat
// under the same change ID is the same change. An error means that it is not
// known of all jobs; a repeat goes on.
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
	if err != nil {
		return out, err
	}
	if len(done) > 0 {
		j.Wake()
	}
	return out, nil
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

// Verdict is an operator's word on a job of which it is not known whether it
// ran.
type Verdict string

// The verdicts.
const (
	VerdictRan       Verdict = "ran"       // it did its work
	VerdictNotRun    Verdict = "not-run"   // it did not, and may be started
	VerdictCancelled Verdict = "cancelled" // whatever it did, it is over
)

// Decide carries out an operator's verdict on a job in state Unknown.
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

// fetch makes sure that the mirror has the groups of the jobs: an entry VM
// that places nothing keeps no mirror.
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

// maxSingleReads is up to how many groups are read one by one; more are cheaper
// read all at once.
const maxSingleReads = 4
