package query

import (
	"context"
	"fmt"

	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/internal/scope"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

func (e *Engine) whatIf(ctx context.Context, s *view.Snapshot, q lang.WhatIf, d *model.Declaration) (*Forecast, error) {
	h, what, err := hypothesis(s, q, d)
	if err != nil {
		return nil, err
	}
	f, err := e.Planner.Forecast(ctx, s, h)
	if err != nil {
		return nil, unavailable("what would happen", err)
	}
	f.Description = what
	f.BudgetsHold = holdsAfter(f.Budgets)
	if f.Jobs, err = e.jobsOn(ctx, f.Steps); err != nil {
		f.Notes = append(f.Notes, err.Error())
	}
	if h.Declaration != nil {
		f.Notes = append(f.Notes, declarationNotes(s, d)...)
	}
	return &f, nil
}

// jobsOn counts the jobs on the VMs that the steps take out.
func (e *Engine) jobsOn(ctx context.Context, steps []Step) (int, error) {
	out := make(map[model.VMID]bool, len(steps))
	for _, s := range steps {
		out[s.VM] = s.Done
	}
	jobs, err := e.jobs(ctx)
	n := 0
	for _, j := range jobs {
		if out[j.VM] {
			n++
		}
	}
	return n, err
}

func hypothesis(s *view.Snapshot, q lang.WhatIf, d *model.Declaration) (Hypothesis, string, error) {
	switch {
	case q.Declaration && d == nil:
		return Hypothesis{}, "", &Error{Code: CodeInvalid, Detail: "no declaration was sent with the question"}
	case q.Declaration:
		return Hypothesis{Declaration: d}, "declaration", nil
	case q.Lose != nil:
		vms, err := scoped(s, *q.Lose)
		return Hypothesis{Lose: vms}, fmt.Sprintf("lose %s %s", q.Lose.Subject, q.Lose.Name), err
	}
	switch o := q.Order.(type) {
	case lang.Drain:
		vms, err := scoped(s, o.Scope)
		return Hypothesis{Drain: vms}, fmt.Sprintf("drain %s %s", o.Scope.Subject, o.Scope.Name), err
	case lang.Move:
		return Hypothesis{Move: &MoveOrder{VM: o.VM, To: o.Pool}}, fmt.Sprintf("move vm %s to pool %s", o.VM, o.Pool), nil
	case lang.StartWave:
		return Hypothesis{Wave: &WaveOrder{Wave: o.Wave, Pools: o.Pools}}, "wave " + string(o.Wave), nil
	}
	return Hypothesis{}, "", &Error{Code: CodeInvalid, Detail: "that cannot be foreseen"}
}

func scoped(s *view.Snapshot, sc lang.Scope) ([]model.VMID, error) {
	vms := scope.In(s, sc)
	if len(vms) == 0 {
		return nil, notFound("no VM in %s %s", sc.Subject, sc.Name)
	}
	return vms, nil
}

// holdsAfter reports whether every budget that holds before holds after.
func holdsAfter(shifts []BudgetChange) bool {
	for _, b := range shifts {
		if b.Before.Spare() >= 0 && b.After.Spare() < 0 {
			return false
		}
	}
	return true
}

// declarationNotes gives what apply would say of the declaration.
func declarationNotes(s *view.Snapshot, d *model.Declaration) []string {
	var notes []string
	for _, p := range config.Validate(d) {
		notes = append(notes, "not valid: "+p.String())
	}
	for _, diff := range config.Diff(s.Declaration, d) {
		notes = append(notes, diff.String())
	}
	live := make(map[model.VMID]model.VM, len(s.VMs))
	for id, vm := range s.VMs {
		live[id] = vm.VM
	}
	for _, b := range config.BrokenByRemoval(s.Declaration, d, live) {
		notes = append(notes, "refused unless the removal is confirmed: "+b.String())
	}
	return notes
}
