package adapt

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/query"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Planner is a query.Planner over the fleet's own counts: a what-if asks the
// very code that the order would run.
type Planner struct {
	Fleet *fleet.Fleet
}

var _ query.Planner = Planner{}

// Budgets implements query.Planner.
func (p Planner) Budgets(ctx context.Context, _ *view.Snapshot) ([]query.Headroom, error) {
	all, err := p.Fleet.Budgets(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var rooms []query.Headroom
	for _, b := range all {
		rooms = append(rooms, query.Headroom{Service: b.Service, VMs: b.Total, Available: b.Up, Need: b.Required})
		for _, zone := range sortedZones(b) {
			d := b.Zones[zone]
			rooms = append(rooms, query.Headroom{Service: b.Service, Zone: zone, VMs: d.Total, Available: d.Up, Need: d.Required})
		}
	}
	return rooms, nil
}

func sortedZones(b fleet.BudgetStatus) []model.ZoneName {
	var zones []model.ZoneName
	for z := range b.Zones {
		zones = append(zones, z)
	}
	slices.SortFunc(zones, cmp.Compare[model.ZoneName])
	return zones
}

// Foresee implements query.Planner.
func (p Planner) Foresee(ctx context.Context, s *view.Snapshot, h query.Hypothesis) (query.Forecast, error) {
	switch {
	case h.Move != nil:
		return p.foreseeMove(ctx, s, *h.Move)
	case h.Wave != nil:
		return p.foreseeWave(ctx, s, *h.Wave)
	case h.Declaration != nil:
		return p.foreseeDeclaration(ctx, s, h.Declaration)
	case len(h.Lose) > 0:
		return p.foreseeLoss(ctx, s, h.Lose)
	}
	return p.foreseeStops(ctx, s, fmt.Sprintf("drain of %d VMs", len(h.Drain)), "drain", h.Drain)
}

func (p Planner) foreseeMove(ctx context.Context, s *view.Snapshot, m query.MoveOrder) (query.Forecast, error) {
	f, err := p.foreseeStops(ctx, s, fmt.Sprintf("move of VM %s", m.VM), "move to "+string(m.To), []model.VMID{m.VM})
	if f.Allowed {
		f.Moves = 1
	}
	return f, err
}

// foreseeStops asks for each VM whether the order would take it out.
func (p Planner) foreseeStops(ctx context.Context, s *view.Snapshot, what, action string, vms []model.VMID) (query.Forecast, error) {
	checks, err := p.Fleet.CheckStops(ctx, vms)
	if err != nil {
		return query.Forecast{}, trace.Wrap(err)
	}
	f := query.Forecast{What: what}
	var out []model.VMID
	for _, c := range checks {
		f.Steps = append(f.Steps, query.Step{VM: c.VM, Action: action, Done: c.Allowed, Reason: c.Why})
		if c.Allowed {
			out = append(out, c.VM)
		} else {
			f.Refusal = c.Why
		}
	}
	f.Allowed = len(out) > 0
	if f.Allowed {
		f.Refusal = ""
	}
	return p.withBudgets(ctx, s, f, out)
}

func (p Planner) foreseeWave(ctx context.Context, s *view.Snapshot, w query.WaveOrder) (query.Forecast, error) {
	plan, err := p.Fleet.PlanWave(ctx, w.Wave, w.Pools)
	if err != nil {
		return query.Forecast{}, trace.Wrap(err)
	}
	f := query.Forecast{
		What:    fmt.Sprintf("wave %s on %d VMs", w.Wave, plan.Progress.Total),
		Allowed: true,
		Takes:   plan.Forecast,
	}
	for _, vm := range plan.Stops {
		f.Steps = append(f.Steps, query.Step{VM: vm, Action: "maintain", Batch: 1, Done: true})
	}
	if plan.Reason != "" {
		f.Notes = append(f.Notes, plan.Reason)
	}
	return p.withBudgets(ctx, s, f, plan.Stops)
}

func (p Planner) foreseeLoss(ctx context.Context, s *view.Snapshot, lost []model.VMID) (query.Forecast, error) {
	f := query.Forecast{What: fmt.Sprintf("loss of %d VMs", len(lost)), Allowed: true}
	for _, vm := range lost {
		f.Steps = append(f.Steps, query.Step{VM: vm, Action: "lost", Done: true})
	}
	return p.withBudgets(ctx, s, f, lost)
}

func (p Planner) foreseeDeclaration(ctx context.Context, s *view.Snapshot, d *model.Declaration) (query.Forecast, error) {
	f := query.Forecast{What: "declaration", Allowed: true}
	for _, problem := range config.Validate(d) {
		f.Allowed, f.Refusal = false, problem.String()
	}
	live := make(map[model.VMID]model.VM, len(s.VMs))
	for id, vm := range s.VMs {
		live[id] = vm.VM
	}
	f.Holds = true
	for _, broken := range config.BrokenByRemoval(s.Declaration, d, live) {
		f.Holds = false
		f.Notes = append(f.Notes, broken.String())
	}
	for _, diff := range config.Diff(s.Declaration, d) {
		f.Notes = append(f.Notes, diff.String())
	}
	return f, nil
}

// withBudgets adds the budgets before and after the VMs are out.
func (p Planner) withBudgets(ctx context.Context, s *view.Snapshot, f query.Forecast, out []model.VMID) (query.Forecast, error) {
	before, err := p.Budgets(ctx, s)
	if err != nil {
		return f, err
	}
	f.Holds = true
	for _, b := range before {
		after := b
		after.Available -= upAmong(s, b, out)
		if after != b {
			f.Budgets = append(f.Budgets, query.BudgetShift{Before: b, After: after})
		}
		if b.Spare() >= 0 && after.Spare() < 0 {
			f.Holds = false
		}
	}
	return f, nil
}

// upAmong counts the VMs of a headroom's service and zone that go out. A VM
// that is not in its pool is not counted as available and takes nothing.
func upAmong(s *view.Snapshot, h query.Headroom, out []model.VMID) int {
	service := s.Declaration.Service(h.Service)
	n := 0
	for _, id := range out {
		vm, known := s.VMs[id]
		serves := known && vm.State == model.VMInPool && service != nil && slices.Contains(service.Pools, vm.Pool)
		if serves && (h.Zone == "" || h.Zone == vm.Zone) {
			n++
		}
	}
	return n
}
