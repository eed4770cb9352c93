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

// maxTargets bounds the VMs or jobs that one order may touch.
const maxTargets = 10_000

// outcomeNotEntered starts the warning of an order that was carried out.
const outcomeNotEntered = "the outcome could not be entered in the audit trail: "

// Options are what an Executor works with. Jobs may be nil where the
// deployment runs none.
type Options struct {
	Fleet        Fleet
	Jobs         Jobs
	Settings     Settings
	Declarations DeclarationApplier
	Scopes       ScopeResolver
	Trail        Trail
	Clock        clockwork.Clock // the real one if nil
}

// Executor carries out orders. It is safe for concurrent use.
type Executor struct {
	Options
}

// New returns an Executor.
func New(o Options) *Executor {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return &Executor{o}
}

// Execute carries out one order. Its error is a *Refusal (certainly nothing was
// changed) or an *UncertainError. An order on several things is done for each
// that allows it; Result tells which were refused.
//
// The order is entered in the trail before anything is changed: were it
// entered after, a crash in between would leave a change that nobody made.
func (x *Executor) Execute(ctx context.Context, req Request) (Result, error) {
	if req.Change == "" {
		return Result{}, &Refusal{Code: CodeInvalid, Detail: "an order needs a change ID"}
	}
	steps, err := x.plan(ctx, req)
	if err != nil {
		x.Trail.RecordAsync(x.event(req, Result{}, err))
		return Result{}, err
	}
	if err := x.Trail.Record(ctx, x.asked(req)); err != nil {
		return Result{}, &Refusal{Code: CodeUnavailable, Detail: "not done, it could not be entered in the audit trail: " + err.Error()}
	}
	res, err := x.run(ctx, req, steps)
	if failed := x.Trail.Record(ctx, x.event(req, res, err)); failed != nil {
		res.Warning = outcomeNotEntered + failed.Error()
	}
	return res, err
}

// step is one effect to be made.
type step struct {
	what string // "vm v17"
	do   func(ctx context.Context, t OrderMeta) (Effect, error)
}

// plan turns an order into the steps that carry it out.
func (x *Executor) plan(ctx context.Context, req Request) ([]step, error) {
	switch o := req.Order.(type) {
	case lang.Drain:
		return x.planDrain(o)
	case lang.Undrain:
		return one(vmText(o.VM), func(ctx context.Context, t OrderMeta) (Effect, error) { return x.Fleet.Undrain(ctx, o.VM, t) }), nil
	case lang.Move:
		return one(vmText(o.VM), func(ctx context.Context, t OrderMeta) (Effect, error) { return x.Fleet.Move(ctx, o.VM, o.Pool, t) }), nil
	case lang.StartWave:
		return one(waveText(o.Wave), func(ctx context.Context, t OrderMeta) (Effect, error) {
			return x.Fleet.StartWave(ctx, o.Wave, o.Pools, t)
		}), nil
	case lang.PauseWave:
		return one(waveText(o.Wave), func(ctx context.Context, t OrderMeta) (Effect, error) { return x.Fleet.PauseWave(ctx, o.Wave, t) }), nil
	case lang.ResumeWave:
		return one(waveText(o.Wave), func(ctx context.Context, t OrderMeta) (Effect, error) { return x.Fleet.ResumeWave(ctx, o.Wave, t) }), nil
	case lang.CancelWave:
		return one(waveText(o.Wave), func(ctx context.Context, t OrderMeta) (Effect, error) { return x.Fleet.CancelWave(ctx, o.Wave, t) }), nil
	case lang.SetLimit:
		return one("service "+string(o.Service), func(ctx context.Context, t OrderMeta) (Effect, error) {
			return x.Settings.SetLimit(ctx, o.Service, o.Limit, req.By, t)
		}), nil
	case lang.CancelJobs:
		return x.planCancelJobs(ctx, o)
	case lang.SubmitJob:
		return x.planSubmit(o)
	}
	return nil, &Refusal{Code: CodeInvalid, Detail: fmt.Sprintf("no such order: %T", req.Order)}
}

func one(what string, do func(ctx context.Context, t OrderMeta) (Effect, error)) []step {
	return []step{{what: what, do: do}}
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

// noJobs refuses orders on jobs where the deployment runs none.
func noJobs() error {
	return &Refusal{Code: CodeNotFound, Detail: "this deployment runs no jobs"}
}

func (x *Executor) planSubmit(o lang.SubmitJob) ([]step, error) {
	if x.Jobs == nil {
		return nil, noJobs()
	}
	job := o.Job
	job.SubmittedAt = x.Clock.Now().UTC()
	return one("job "+string(job.ID), func(ctx context.Context, t OrderMeta) (Effect, error) { return x.Jobs.Submit(ctx, job, t) }), nil
}

func (x *Executor) planCancelJobs(ctx context.Context, o lang.CancelJobs) ([]step, error) {
	if x.Jobs == nil {
		return nil, noJobs()
	}
	ids := []model.JobID{o.Job}
	if o.Job == "" {
		found, err := x.Jobs.Select(ctx, o.Where)
		if err != nil {
			return nil, err
		}
		ids = found
	}
	if len(ids) == 0 || len(ids) > maxTargets {
		return nil, &Refusal{Code: CodeNotFound, Detail: fmt.Sprintf("%d jobs fulfil this, 1 to %d may be cancelled at once", len(ids), maxTargets)}
	}
	if bulk, ok := x.Jobs.(BulkJobs); ok && len(ids) > 1 {
		return cancelTogether(bulk, ids), nil
	}
	steps := make([]step, len(ids))
	for i, id := range ids {
		steps[i] = step{"job " + string(id), func(ctx context.Context, t OrderMeta) (Effect, error) { return x.Jobs.Cancel(ctx, id, t) }}
	}
	return steps, nil
}

// run makes the steps one after the other. Each step of several has a change
// ID of its own, derived from the order's, so that a repeat of the order
// repeats each step as itself.
func (x *Executor) run(ctx context.Context, req Request, steps []step) (Result, error) {
	res := Result{Change: req.Change}
	for i, s := range steps {
		t := OrderMeta{Change: req.Change, Actor: req.By.Name, Reason: req.Order.ReasonText(), IfRevision: req.IfRevision}
		if len(steps) > 1 {
			t.Change = model.ChangeID(fmt.Sprintf("%s.%d", req.Change, i+1))
		}
		effect, err := s.do(ctx, t)
		effect.Subject = s.what
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

func (x *Executor) asked(req Request) Event {
	return Event{Change: req.Change, By: req.By, Action: req.Text, Detail: req.Order.ReasonText(), Stage: StageAsked, At: x.Clock.Now().UTC()}
}

// event tells what became of the order.
func (x *Executor) event(req Request, res Result, err error) Event {
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

func states(effects []Effect) (before, after string) {
	var was, is []string
	for _, e := range effects {
		if e.Refused == nil {
			was = append(was, e.Subject+": "+e.Before)
			is = append(is, e.Subject+": "+e.After)
		}
	}
	return strings.Join(was, "; "), strings.Join(is, "; ")
}

func refusals(effects []Effect) string {
	var all []string
	for _, e := range effects {
		if e.Refused != nil {
			all = append(all, e.Subject+": "+e.Refused.Error())
		}
	}
	return strings.Join(all, "; ")
}
