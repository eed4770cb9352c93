package jobs

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/placement"
)

const (
	// taskTTL is the lease duration of a task. It is several times longer than a
	// change of the lease holder (leaseTTL) or a short outage of the platform,
	// because the outcome of a job that is not repeatable is unknown after its
	// task's lease has expired.
	taskTTL           = 5 * time.Minute
	taskRenewInterval = taskTTL / 5
	// startBatch is how many intents are written before their starts are sent.
	// An entry VM that crashes in between leaves at most that many jobs in
	// state Unknown.
	startBatch = 256
	// parallelStarts bounds the concurrent calls to the platform.
	parallelStarts = 32
	// maxIntentAge is how old an intent may be when its start is sent. An entry
	// VM that was paused for longer abandons the attempt without sending it,
	// because others act on the intent after startGrace. The other half of
	// startGrace is left for the call itself.
	maxIntentAge = startGrace / 2
	// maxPlacements bounds the placements of one pass, so that urgent jobs that
	// arrive during a burst wait for only a part of the burst.
	maxPlacements = 1024
	// maxStartTries bounds how often a start is sent under the same attempt ID
	// when the reply is lost.
	maxStartTries = 3
)

// start writes the intents of the placements in batches and sends the starts of
// those that were certainly written.
func (p *pass) start(ctx context.Context, placements []placement.Placement) error {
	if len(placements) > maxPlacements {
		placements, p.again = placements[:maxPlacements], true
	}
	var errs []error
	for len(placements) > 0 {
		n := min(startBatch, len(placements))
		intents, err := p.write(ctx, p.intents(placements[:n]))
		errs = append(errs, err, p.sendStarts(ctx, intents))
		placements = placements[n:]
	}
	return errors.Join(errs...)
}

// intents returns the transitions to Starting for the placements, each with a new
// attempt ID.
func (p *pass) intents(placements []placement.Placement) []transition {
	changes := make([]transition, len(placements))
	for i, pl := range placements {
		attempt := model.AttemptID(string(pl.Job) + "-" + p.newID())
		changes[i] = transition{pl.Job, func(r *Record) bool {
			if r.State != Waiting && r.State != Unplaceable || r.CancelBy != "" {
				return false
			}
			r.VM, r.Attempt, r.Owner, r.Size = pl.VM, attempt, p.owner, pl.Size
			r.enter(Starting, p.clock.Now(), "")
			return true
		}}
	}
	return changes
}

// sendStarts asks the platform to start the tasks of the intents. Only the writer
// of an intent may do so: another entry VM that took over could be paused before
// the call and make it after the attempt was abandoned, which would run the job
// twice.
func (p *pass) sendStarts(ctx context.Context, intents map[model.JobID]Record) error {
	ids := slices.Sorted(maps.Keys(intents))
	outcomes := make([]transition, len(ids))
	for _, id := range ids {
		p.sent[intents[id].Attempt] = true
	}
	p.inParallel(len(ids), func(i int) {
		r := intents[ids[i]]
		outcomes[i] = p.sendStart(ctx, &r)
	})
	_, err := p.write(ctx, outcomes)
	return err
}

// inParallel calls call(0) to call(n-1), at most j.parallel of them concurrently.
func (j *Jobs) inParallel(n int, call func(i int)) {
	if j.parallel == 1 {
		for i := range n {
			call(i)
		}
		return
	}
	var calls errgroup.Group
	calls.SetLimit(j.parallel)
	for i := range n {
		calls.Go(func() error {
			call(i)
			return nil
		})
	}
	_ = calls.Wait() // the calls return no errors
}

// sendStart sends one start, repeating it if no reply comes, and returns the
// transition that follows from the reply, or a transition without apply if the
// outcome is unknown. A refusal is certain only if no earlier copy of the
// request went unanswered: that copy may still arrive.
func (p *pass) sendStart(ctx context.Context, r *Record) transition {
	task := infra.Task{Attempt: r.Attempt, Job: r.ID, VM: r.VM, Size: r.Size, TTL: taskTTL}
	lost := false
	for range maxStartTries {
		if p.clock.Since(r.Since) > maxIntentAge {
			break
		}
		p.counts.starts.Add(1)
		err := p.retryRateLimited(ctx, func() error { return p.machines.StartTask(ctx, task) })
		switch {
		case err == nil:
			return startedTransition(r.ID, r.Attempt, p.clock.Now())
		case !infra.IsKind(err, infra.KindUnknown) && !lost:
			return notStartedTransition(r.ID, r.Attempt, p.clock.Now(), err)
		}
		lost = true
	}
	if !lost {
		return notStartedTransition(r.ID, r.Attempt, p.clock.Now(), errIntentExpired)
	}
	p.log.Info("no reply to the start of a task, its outcome is unknown", "job", r.ID, "vm", r.VM)
	return transition{}
}

// errIntentExpired is the reason of an attempt whose intent was older than
// maxIntentAge before its start was sent.
var errIntentExpired = errors.New("this entry VM was held up for too long")

// startedTransition returns the transition of an attempt that the platform has
// started.
func startedTransition(id model.JobID, attempt model.AttemptID, at time.Time) transition {
	return transition{id, func(r *Record) bool {
		if r.Attempt != attempt || r.State != Starting {
			return false
		}
		r.enter(Running, at, "")
		return true
	}}
}

// notStartedTransition returns the transition of an attempt that was certainly not
// started.
func notStartedTransition(id model.JobID, attempt model.AttemptID, at time.Time, err error) transition {
	return transition{id, func(r *Record) bool {
		if r.Attempt != attempt || r.State != Starting {
			return false
		}
		r.abandonAttempt(at, "not started: "+err.Error())
		return true
	}}
}

// abandonAttempt ends an attempt that certainly doesn't run any more: the job is
// cancelled if that was asked for, and waits again otherwise.
func (r *Record) abandonAttempt(at time.Time, why string) {
	if r.CancelBy != "" {
		r.enter(Cancelled, at, "by "+string(r.CancelBy))
		return
	}
	r.enter(Waiting, at, why)
}
