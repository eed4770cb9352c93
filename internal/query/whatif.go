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

// whatIf forecasts the effect of the hypothesis. d is the declaration sent with
// the question, or nil. A failure to list jobs becomes a note.
func (e *Engine) whatIf(ctx context.Context, s *view.Snapshot, q lang.WhatIf, d *model.Declaration) (*Forecast, error) {
	h, what, err := newHypothesis(s, q, d)
	if err != nil {
		return nil, err
	}
	f, err := e.Planner.Forecast(ctx, s, h)
	if err != nil {
		return nil, unavailable("what would happen", err)
	}
	f.Description = what
	f.BudgetsHold = budgetsHold(f.Budgets)
	if f.Jobs, err = e.countJobsOn(ctx, f.Steps); err != nil {
		f.Notes = append(f.Notes, err.Error())
	}
	if h.Declaration != nil {
		f.Notes = append(f.Notes, declarationNotes(s, d)...)
	}
	return &f, nil
}

// countJobsOn counts the jobs on the VMs that the steps take out of service.
// Steps that would be refused or have to wait are not counted.
func (e *Engine) countJobsOn(ctx context.Context, steps []Step) (int, error) {
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

// newHypothesis converts a what-if question to a hypothesis and its description.
func newHypothesis(s *view.Snapshot, q lang.WhatIf, d *model.Declaration) (Hypothesis, string, error) {
	switch {
	case q.Declaration && d == nil:
		return Hypothesis{}, "", &Error{Code: CodeInvalid, Detail: "no declaration was sent with the question"}
	case q.Declaration:
		return Hypothesis{Declaration: d}, "declaration", nil
	case q.Lose != nil:
		vms, err := vmsInScope(s, *q.Lose)
		return Hypothesis{Lose: vms}, fmt.Sprintf("lose %s %s", q.Lose.Subject, q.Lose.Name), err
	}
	switch o := q.Order.(type) {
	case lang.Drain:
		vms, err := vmsInScope(s, o.Scope)
		return Hypothesis{Drain: vms}, fmt.Sprintf("drain %s %s", o.Scope.Subject, o.Scope.Name), err
	case lang.Move:
		return Hypothesis{Move: &MoveOrder{VM: o.VM, To: o.Pool}}, fmt.Sprintf("move vm %s to pool %s", o.VM, o.Pool), nil
	case lang.StartWave:
		return Hypothesis{Wave: &WaveOrder{Wave: o.Wave, Pools: o.Pools}}, "wave " + string(o.Wave), nil
	}
	return Hypothesis{}, "", &Error{Code: CodeInvalid, Detail: "that cannot be foreseen"}
}

// vmsInScope returns the VMs of the scope, or an *Error if there are none.
func vmsInScope(s *view.Snapshot, sc lang.Scope) ([]model.VMID, error) {
	vms := scope.Resolve(s, sc)
	if len(vms) == 0 {
		return nil, notFound("no VM in %s %s", sc.Subject, sc.Name)
	}
	return vms, nil
}

// budgetsHold reports whether every budget that is met before the change is
// still met after it.
func budgetsHold(changes []BudgetChange) bool {
	for _, b := range changes {
		if b.Before.Spare() >= 0 && b.After.Spare() < 0 {
			return false
		}
	}
	return true
}

// declarationNotes returns what applying the declaration would report:
// validation problems, differences from the declaration in force, and budgets
// that the removal of VMs would violate.
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
