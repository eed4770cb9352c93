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

// startGrace is how long an intent may stand without its task showing up
// before others act on it: many times what a start takes, so that the writer
// is dead or paused.
const startGrace = 30 * time.Second

// observe compares each job with its task.
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

// attemptSettled reports whether a job that waits has nothing to learn from its last
// attempt. One that was given up and runs or succeeded after all, because its
// start arrived late, is taken up again instead of being started once more.
func (p *pass) attemptSettled(r *Record, task infra.Task) bool {
	startedLate := task.State == infra.TaskRunning || task.State == infra.TaskSucceeded
	return (r.State == Waiting || r.State == Unplaceable) && !startedLate
}

// ifUnchanged lets a transition take effect only on the attempt and state it was
// made for.
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

// nextTransition returns the transition that the job's task calls for, or nil.
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

// onTaskMissing deals with a job whose task the platform does not know.
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
		// The reply to the intent was lost, so no start was ever sent.
		return func(r *Record) { r.abandonAttempt(p.now, "not started: the intent was not certain") }
	case p.now.Sub(r.Since) < startGrace:
		return nil
	}
	return p.onAttemptLost(r, "its start was not answered")
}

// onAttemptLost deals with an attempt of which it is not known whether it did its work.
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

// A job may crash whatever starts it. Started again without end it takes a pool down worker
// by worker.
const (
	earlyLossWindow = time.Minute
	maxEarlyLosses  = 5
)

// onTaskStopped deals with an attempt that was ended by order. Work that is not
// repeatable has begun, so it is not begun again.
func (p *pass) onTaskStopped(r *Record, task infra.Task) func(r *Record) {
	if r.Repeatable || r.CancelBy != "" {
		return func(r *Record) { r.abandonAttempt(p.now, task.Reason) }
	}
	return func(r *Record) { r.enter(Failed, p.now, "it was stopped and is not repeatable") }
}

// maxMemoryDoublings bounds how often a job gets twice the memory: 16 times what was
// thought is not an estimate that was off, it is a leak.
const maxMemoryDoublings = 4

// onTaskFailed deals with an attempt that ended with a failure.
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

// stopOrphans stops tasks of attempts that were given up but started after
// all, and tasks of jobs that are to be cancelled.
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
			p.log.Info("two attempts of a job that is not repeatable", "job", t.Job, "attempt", t.Attempt)
		}
		errs = append(errs, wrapError("stop task", "", p.machines.StopTask(ctx, t.Attempt, false)))
	}
	return errors.Join(errs...)
}

// evacuateLeaving moves work off VMs that are leaving: it is stopped at a checkpoint
// where it can be, and waited for where it can't.
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

// renewTasks extends the leases of running tasks.
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

// maxRenewals bounds the renewals of one pass; at one pass a second it is enough
// for 60,000 tasks.
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
