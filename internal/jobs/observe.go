package jobs

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/quota"
)

// startGrace is how long an intent may exist without its task being listed
// before other entry VMs act on it. It is many times the duration of a start, so
// by then the writer of the intent has crashed or is paused.
const startGrace = 30 * time.Second

// observe compares each job with its task and writes the transitions that follow.
func (p *pass) observe(ctx context.Context) error {
	var changes []transition
	for _, r := range p.records {
		task, listed := p.tasks[r.Attempt]
		if r.State.Ended() || r.Attempt == "" || p.attemptSettled(r, task) {
			continue
		}
		if apply := p.nextTransition(r, task, listed); apply != nil {
			changes = append(changes, ifUnchanged(r, apply))
		}
	}
	_, err := p.write(ctx, changes)
	return err
}

// attemptSettled reports whether the last attempt of a waiting job needs no more
// attention. An abandoned attempt whose start arrived late, so that its task
// runs or has succeeded, is adopted again instead of starting the job once more.
func (p *pass) attemptSettled(r *Record, task infra.Task) bool {
	startedLate := task.State == infra.TaskRunning || task.State == infra.TaskSucceeded
	return (r.State == Waiting || r.State == Unplaceable) && !startedLate
}

// ifUnchanged returns a transition that applies only while the record still has
// the attempt and state that were observed.
func ifUnchanged(seen *Record, apply func(r *Record)) transition {
	attempt, state := seen.Attempt, seen.State
	return transition{seen.ID, func(r *Record) bool {
		if r.Attempt != attempt || r.State != state {
			return false
		}
		apply(r)
		return true
	}}
}

// nextTransition returns the transition that follows from the state of the job's
// task, or nil if there is none.
func (p *pass) nextTransition(r *Record, task infra.Task, listed bool) func(r *Record) {
	if !listed {
		return p.onTaskMissing(r)
	}
	switch task.State {
	case infra.TaskRunning:
		if r.State == Running {
			return nil
		}
		return func(r *Record) { r.enter(Running, p.now, "") }
	case infra.TaskSucceeded:
		return func(r *Record) { r.enter(Succeeded, p.now, "") }
	case infra.TaskFailed:
		return p.onTaskFailed(r, task.Reason)
	case infra.TaskCheckpointed, infra.TaskStopped:
		return p.onTaskStopped(r, task)
	}
	return p.onAttemptLost(r, task.Reason)
}

// onTaskMissing returns the transition of a job whose task the platform does not
// list, or nil.
func (p *pass) onTaskMissing(r *Record) func(r *Record) {
	if r.State == Unknown {
		return nil
	}
	if r.State == Running {
		return p.onAttemptLost(r, "the platform knows no such task any more")
	}
	_, sentHere := p.sent[r.Attempt]
	switch {
	case r.Owner == p.owner && !sentHere:
		// This process wrote the intent but got no reply to the write, so it
		// never sent the start.
		return func(r *Record) { r.abandonAttempt(p.now, "not started: the intent was not certain") }
	case p.now.Sub(r.Since) < startGrace:
		return nil
	}
	return p.onAttemptLost(r, "its start was not answered")
}

// onAttemptLost returns the transition of a job whose attempt ended without a
// known outcome: it may or may not have done its work.
func (p *pass) onAttemptLost(r *Record, why string) func(r *Record) {
	if r.State == Unknown {
		return nil
	}
	if !r.Repeatable {
		return func(r *Record) {
			r.enter(Unknown, p.now, "it may have run: "+why+"; not repeatable, so an operator decides")
		}
	}
	early := r.State == Running && p.now.Sub(r.Since) < earlyLossWindow
	return func(r *Record) {
		if early {
			r.LostEarly++
		}
		if r.LostEarly >= maxEarlyLosses {
			r.enter(Failed, p.now, fmt.Sprintf("its worker was lost soon after it began, %d times: %s", r.LostEarly, why))
			return
		}
		r.abandonAttempt(p.now, why)
	}
}

// A job that crashes every worker it starts on would, if restarted without
// limit, take down a pool worker by worker. It fails once its worker was lost
// within earlyLossWindow of the start maxEarlyLosses times.
const (
	earlyLossWindow = time.Minute
	maxEarlyLosses  = 5
)

// onTaskStopped returns the transition of a job whose task was stopped on request.
// A job that is not repeatable has begun its work, so it fails instead of being
// started again.
func (p *pass) onTaskStopped(r *Record, task infra.Task) func(r *Record) {
	if r.Repeatable || r.CancelBy != "" {
		return func(r *Record) { r.abandonAttempt(p.now, task.Reason) }
	}
	return func(r *Record) { r.enter(Failed, p.now, "it was stopped and is not repeatable") }
}

// maxMemoryDoublings bounds how often a job's memory is doubled. A job that
// exceeds 16 times its estimate has a memory leak rather than a wrong estimate.
const maxMemoryDoublings = 4

// onTaskFailed returns the transition of a job whose task failed.
func (p *pass) onTaskFailed(r *Record, why string) func(r *Record) {
	switch {
	case r.CancelBy != "":
		return func(r *Record) { r.abandonAttempt(p.now, why) }
	case !r.Repeatable:
		return func(r *Record) { r.enter(Failed, p.now, why+"; not repeatable, so it is not tried again") }
	case why == infra.ReasonMemoryGuard && r.MemoryDoublings < maxMemoryDoublings:
		p.learned.Sizes.ReportExceeded(r.Kind, r.ID, r.Size)
		return func(r *Record) {
			r.MemoryDoublings++
			r.MinMemoryMB = 2 * r.Size.MemoryMB
			r.abandonAttempt(p.now, "it used more memory than it was given")
		}
	case p.learned.jobToBlame(append(slices.Clone(r.FailedOn), r.VM)):
		return func(r *Record) {
			r.addFailedOn(r.VM)
			r.enter(Failed, p.now, "failed on several workers that other jobs run on: "+why)
		}
	}
	return func(r *Record) {
		r.addFailedOn(r.VM)
		r.abandonAttempt(p.now, why)
	}
}

func (r *Record) addFailedOn(vm model.VMID) {
	if !slices.Contains(r.FailedOn, vm) {
		r.FailedOn = append(r.FailedOn, vm)
	}
	if len(r.FailedOn) > maxFailedOn {
		r.FailedOn = r.FailedOn[1:]
	}
}

// stopOrphans stops orphaned tasks, whose attempt was abandoned but started
// nevertheless, and tasks of jobs that are being cancelled or have ended.
func (p *pass) stopOrphans(ctx context.Context) error {
	var errs []error
	for _, t := range p.tasks {
		if t.State != infra.TaskRunning {
			continue
		}
		r, ok := p.mirror.find(t.Job)
		if !ok || r.Attempt == t.Attempt && r.CancelBy == "" && !r.State.Ended() {
			continue
		}
		if !r.Repeatable && r.Attempt != t.Attempt {
			p.log.Info("job that is not repeatable has a running task of another attempt, stopping it", "job", t.Job, "attempt", t.Attempt)
		}
		errs = append(errs, wrapError("stop task", "", p.machines.StopTask(ctx, t.Attempt, false)))
	}
	return errors.Join(errs...)
}

// evacuateLeaving stops preemptible tasks that can checkpoint on VMs that are
// leaving; their jobs are placed elsewhere. All other tasks are left to finish.
func (p *pass) evacuateLeaving(ctx context.Context) error {
	var errs []error
	snap := p.view.Load()
	for _, r := range p.records {
		vm, ok := snap.VMs[r.VM]
		if !ok || r.State != Running || vm.State != model.VMLeaving || !r.Checkpoints || !quota.Preemptible(&r.Job) {
			continue
		}
		errs = append(errs, wrapError("stop task", "", p.machines.StopTask(ctx, r.Attempt, true)))
	}
	return errors.Join(errs...)
}

// renewTasks renews the leases of running tasks and drops the bookkeeping of
// tasks that have ended.
func (p *pass) renewTasks(ctx context.Context) error {
	for attempt := range p.renewed {
		if _, ok := p.tasks[attempt]; !ok {
			delete(p.renewed, attempt)
		}
	}
	for attempt := range p.sent {
		if t, ok := p.tasks[attempt]; ok && t.State != infra.TaskRunning {
			delete(p.sent, attempt)
		}
	}
	return p.renewAll(ctx, p.dueForRenewal())
}

// maxRenewals bounds the lease renewals of one pass. At one pass per second it
// suffices for 60,000 tasks.
const maxRenewals = 1000

func (p *pass) dueForRenewal() []model.AttemptID {
	var due []model.AttemptID
	for _, r := range p.records {
		_, listed := p.tasks[r.Attempt]
		if listed && r.State == Running && p.now.Sub(p.renewed[r.Attempt]) >= taskRenewInterval && len(due) < maxRenewals {
			due = append(due, r.Attempt)
		}
	}
	return due
}

func (p *pass) renewAll(ctx context.Context, due []model.AttemptID) error {
	errs := make([]error, len(due))
	p.inParallel(len(due), func(i int) { errs[i] = p.machines.RenewTask(ctx, due[i]) })
	for i, attempt := range due {
		if errs[i] == nil || infra.IsKind(errs[i], infra.KindLeaseNotFound) {
			p.renewed[attempt], errs[i] = p.now, nil
		}
	}
	return wrapError("renew tasks", "", errors.Join(errs...))
}
