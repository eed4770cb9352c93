package command

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/policy/model"
)

// maxCancelledJobs is the maximum number of jobs that one order may cancel.
const maxCancelledJobs = 10_000

// outcomeNotRecorded is the start of the Warning for an order that was executed
// but whose outcome is missing from the audit trail.
const outcomeNotRecorded = "the outcome could not be entered in the audit trail: "

// Options configures an Executor. Jobs may be nil if the deployment runs no jobs;
// the fields without a default are required.
type Options struct {
	Fleet        Fleet
	Jobs         Jobs
	Settings     Settings
	Declarations DeclarationApplier
	Scopes       ScopeResolver
	Trail        Trail
	Clock        clockwork.Clock // the system clock if nil
}

// Executor executes orders. It is safe for concurrent use.
type Executor struct {
	Options
}

// New returns an Executor with the given options and their defaults filled in.
func New(o Options) *Executor {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return &Executor{o}
}

// Execute executes one order. Its error is a *Refusal (it is certain that nothing
// was changed) or an *UncertainError. An order on several VMs or jobs is applied
// to each one that permits it; Result tells which ones were refused.
//
// The order is recorded in the audit trail before anything is changed. If it were
// recorded afterwards, a crash in between would leave a change without any record
// of who made it.
func (x *Executor) Execute(ctx context.Context, req Request) (Result, error) {
	if req.Change == "" {
		return Result{}, &Refusal{Code: CodeInvalid, Detail: "an order needs a change ID"}
	}
	steps, err := x.plan(ctx, req)
	if err != nil {
		x.Trail.RecordLimited(x.outcomeEvent(req, Result{}, err))
		return Result{}, err
	}
	if err := x.Trail.Record(ctx, x.requestEvent(req)); err != nil {
		return Result{}, &Refusal{Code: CodeUnavailable, Detail: "not done, it could not be entered in the audit trail: " + err.Error()}
	}
	res, err := x.run(ctx, req, steps)
	if recordErr := x.Trail.Record(ctx, x.outcomeEvent(req, res, err)); recordErr != nil {
		res.Warning = outcomeNotRecorded + recordErr.Error()
	}
	return res, err
}

// step is one effect of an order, not yet executed.
type step struct {
	subject string // "vm v17"
	do      func(ctx context.Context, t OrderMeta) (Effect, error)
}

// plan converts an order to the steps that execute it.
func (x *Executor) plan(ctx context.Context, req Request) ([]step, error) {
	switch o := req.Order.(type) {
	case lang.Drain:
		return x.planDrain(o)
	case lang.Undrain:
		return singleStep(vmText(o.VM), func(ctx context.Context, t OrderMeta) (Effect, error) { return x.Fleet.Undrain(ctx, o.VM, t) }), nil
	case lang.Move:
		return singleStep(vmText(o.VM), func(ctx context.Context, t OrderMeta) (Effect, error) { return x.Fleet.Move(ctx, o.VM, o.Pool, t) }), nil
	case lang.StartWave:
		return singleStep(waveText(o.Wave), func(ctx context.Context, t OrderMeta) (Effect, error) {
			return x.Fleet.StartWave(ctx, o.Wave, o.Pools, t)
		}), nil
	case lang.PauseWave:
		return singleStep(waveText(o.Wave), func(ctx context.Context, t OrderMeta) (Effect, error) { return x.Fleet.PauseWave(ctx, o.Wave, t) }), nil
	case lang.ResumeWave:
		return singleStep(waveText(o.Wave), func(ctx context.Context, t OrderMeta) (Effect, error) { return x.Fleet.ResumeWave(ctx, o.Wave, t) }), nil
	case lang.CancelWave:
		return singleStep(waveText(o.Wave), func(ctx context.Context, t OrderMeta) (Effect, error) { return x.Fleet.CancelWave(ctx, o.Wave, t) }), nil
	case lang.SetLimit:
		return singleStep("service "+string(o.Service), func(ctx context.Context, t OrderMeta) (Effect, error) {
			return x.Settings.SetLimit(ctx, o.Service, o.Limit, req.By, t)
		}), nil
	case lang.CancelJobs:
		return x.planCancelJobs(ctx, o)
	case lang.SubmitJob:
		return x.planSubmit(o)
	}
	return nil, &Refusal{Code: CodeInvalid, Detail: fmt.Sprintf("no such order: %T", req.Order)}
}

// singleStep returns the steps of an order with a single effect.
func singleStep(subject string, do func(ctx context.Context, t OrderMeta) (Effect, error)) []step {
	return []step{{subject: subject, do: do}}
}

func vmText(vm model.VMID) string { return "vm " + string(vm) }

func waveText(wave model.WaveName) string { return "wave " + string(wave) }

func (x *Executor) planDrain(o lang.Drain) ([]step, error) {
	vms := x.Scopes.Resolve(o.Scope)
	if len(vms) == 0 {
		return nil, &Refusal{Code: CodeNotFound, Detail: fmt.Sprintf("no VM in %s %s", o.Scope.Subject, o.Scope.Name)}
	}
	steps := make([]step, len(vms))
	for i, vm := range vms {
		steps[i] = step{vmText(vm), func(ctx context.Context, t OrderMeta) (Effect, error) { return x.Fleet.Drain(ctx, vm, o.Cut, t) }}
	}
	return steps, nil
}

// jobsNotSupported returns the Refusal of an order on jobs in a deployment that
// runs none.
func jobsNotSupported() error {
	return &Refusal{Code: CodeNotFound, Detail: "this deployment runs no jobs"}
}

func (x *Executor) planSubmit(o lang.SubmitJob) ([]step, error) {
	if x.Jobs == nil {
		return nil, jobsNotSupported()
	}
	job := o.Job
	job.SubmittedAt = x.Clock.Now().UTC()
	return singleStep("job "+string(job.ID), func(ctx context.Context, t OrderMeta) (Effect, error) { return x.Jobs.Submit(ctx, job, t) }), nil
}

func (x *Executor) planCancelJobs(ctx context.Context, o lang.CancelJobs) ([]step, error) {
	if x.Jobs == nil {
		return nil, jobsNotSupported()
	}
	ids := []model.JobID{o.Job}
	if o.Job == "" {
		found, err := x.Jobs.Select(ctx, o.Where)
		if err != nil {
			return nil, err
		}
		ids = found
	}
	if len(ids) == 0 || len(ids) > maxCancelledJobs {
		return nil, &Refusal{Code: CodeNotFound, Detail: fmt.Sprintf("%d jobs fulfil this, 1 to %d may be cancelled at once", len(ids), maxCancelledJobs)}
	}
	if bulk, ok := x.Jobs.(BulkJobs); ok && len(ids) > 1 {
		return bulkCancelSteps(bulk, ids), nil
	}
	steps := make([]step, len(ids))
	for i, id := range ids {
		steps[i] = step{"job " + string(id), func(ctx context.Context, t OrderMeta) (Effect, error) { return x.Jobs.Cancel(ctx, id, t) }}
	}
	return steps, nil
}

// run executes the steps one after the other and stops at the first unknown
// outcome. If there are several steps, each has its own change ID, derived from
// the order's, so that a retry of the order retries each step under the same ID.
func (x *Executor) run(ctx context.Context, req Request, steps []step) (Result, error) {
	res := Result{Change: req.Change}
	for i, s := range steps {
		t := OrderMeta{Change: req.Change, Actor: req.By.Name, Reason: req.Order.ReasonText(), IfRevision: req.IfRevision}
		if len(steps) > 1 {
			t.Change = model.ChangeID(fmt.Sprintf("%s.%d", req.Change, i+1))
		}
		effect, err := s.do(ctx, t)
		effect.Subject = s.subject
		var refusal *Refusal
		if errors.As(err, &refusal) && len(steps) > 1 {
			effect.Refused = refusal
			err = nil
		}
		if err != nil {
			return res, err
		}
		res.Effects = append(res.Effects, effect)
	}
	return res, nil
}

// requestEvent returns the event that records the order before its execution.
func (x *Executor) requestEvent(req Request) Event {
	return Event{Change: req.Change, By: req.By, Action: req.Text, Detail: req.Order.ReasonText(), Stage: StageAsked, At: x.Clock.Now().UTC()}
}

// outcomeEvent returns the event that records the outcome of the order.
func (x *Executor) outcomeEvent(req Request, res Result, err error) Event {
	e := Event{Change: req.Change, By: req.By, Action: req.Text, Stage: StageDone, At: x.Clock.Now().UTC()}
	e.Before, e.After = states(res.Effects)
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal):
		e.Stage, e.Detail = StageRefused, refusal.Error()
	case err != nil:
		e.Stage, e.Detail = StageUnknown, err.Error()
	case res.Refused() == len(res.Effects):
		e.Stage, e.Detail = StageRefused, refusals(res.Effects)
	case res.Refused() > 0:
		e.Detail = fmt.Sprintf("%d of %d refused: %s", res.Refused(), len(res.Effects), refusals(res.Effects))
	}
	return e
}

// states lists the states before and after of the effects that were not refused.
func states(effects []Effect) (before, after string) {
	var beforeStates, afterStates []string
	for _, e := range effects {
		if e.Refused == nil {
			beforeStates = append(beforeStates, e.Subject+": "+e.Before)
			afterStates = append(afterStates, e.Subject+": "+e.After)
		}
	}
	return strings.Join(beforeStates, "; "), strings.Join(afterStates, "; ")
}

// refusals lists the refused effects with their reasons.
func refusals(effects []Effect) string {
	var all []string
	for _, e := range effects {
		if e.Refused != nil {
			all = append(all, e.Subject+": "+e.Refused.Error())
		}
	}
	return strings.Join(all, "; ")
}
