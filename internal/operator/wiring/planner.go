package wiring

import (
	"context"
	"errors"
	"fmt"
	"sort"

	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/query"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/budget"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/wave"
)

// Planner implements query.Planner with the reconciler of this entry VM. Whether
// a VM may be stopped is decided by the same budget count that the order uses.
type Planner struct {
	Fleet *fleet.Fleet
}

var _ query.Planner = Planner{}

// Budgets implements query.Planner.
func (p Planner) Budgets(ctx context.Context, s *view.Snapshot) ([]query.Headroom, error) {
	all, err := p.Fleet.Budgets(ctx)
	if err != nil {
		return nil, err
	}
	var rows []query.Headroom
	for _, b := range all {
		rows = append(rows, query.Headroom{Service: b.Service, VMs: b.Total, Available: b.Up, Required: b.Required})
		for _, z := range s.Declaration.Zones {
			if d, ok := b.Zones[z]; ok {
				rows = append(rows, query.Headroom{Service: b.Service, Zone: z, VMs: d.Total, Available: d.Up, Required: d.Required})
			}
		}
	}
	return rows, nil
}

// Forecast implements query.Planner. It changes nothing.
func (p Planner) Forecast(ctx context.Context, s *view.Snapshot, h query.Hypothesis) (query.Forecast, error) {
	now, err := p.currentState(ctx, s)
	if err != nil {
		return query.Forecast{}, err
	}
	switch {
	case h.Drain != nil:
		return p.forecastStops(ctx, now, h.Drain, "")
	case h.Move != nil:
		return p.forecastMove(ctx, now, h.Move)
	case h.Wave != nil:
		return p.forecastWave(ctx, now, h.Wave)
	case h.Declaration != nil:
		return forecastDeclaration(now, h.Declaration), nil
	}
	return forecastLoss(now, h.Lose), nil
}

// placement is the pool that a VM is in, and the VM as the budget count sees it:
// its zone and rack, and whether it is certainly in service.
type placement struct {
	member budget.Member
	pool   model.PoolName
}

// fleetState is the input of the budget count: a declaration and the placements
// of the VMs, either now or after a hypothetical change.
type fleetState struct {
	declaration *model.Declaration
	placements  map[model.VMID]placement
}

// holderJoin is the holder of a VM that has not joined its pool yet. No budget
// counts such a VM. The value is that of package fleet.
const holderJoin = "join"

// currentState returns the fleet as it is now. A VM is up by the same rule as in
// every service's budget: by its record, its health, the platform's list and the
// planned stops in the services' ledgers.
func (p Planner) currentState(ctx context.Context, s *view.Snapshot) (fleetState, error) {
	budgets, err := p.Fleet.Budgets(ctx)
	if err != nil {
		return fleetState{}, err
	}
	stopped := make(map[model.VMID]bool)
	for _, b := range budgets {
		for _, stop := range b.Stops {
			stopped[stop.VM] = true
		}
	}
	now := fleetState{declaration: s.Declaration, placements: make(map[model.VMID]placement)}
	for _, vm := range p.Fleet.VMs() {
		if vm.Holder == holderJoin {
			continue
		}
		up := budget.Up(vm.State, budget.Evidence{Listed: vm.Live, Health: vm.Health, Stopped: stopped[vm.ID]})
		now.placements[vm.ID] = placement{budget.Member{ID: vm.ID, Zone: vm.Zone, Rack: vm.Rack, Up: up}, vm.Pool}
	}
	return now, nil
}

// withChange returns a copy of the state with change applied to each of the VMs.
// VMs that are not in the state are ignored.
func (st fleetState) withChange(vms []model.VMID, change func(*placement)) fleetState {
	after := fleetState{declaration: st.declaration, placements: make(map[model.VMID]placement, len(st.placements))}
	for id, pl := range st.placements {
		after.placements[id] = pl
	}
	for _, id := range vms {
		pl, ok := after.placements[id]
		if !ok {
			continue
		}
		change(&pl)
		after.placements[id] = pl
	}
	return after
}

// markDown is a change for withChange: the VM is out of service after it.
func markDown(pl *placement) { pl.member.Up = false }

// countBudget counts the members of a service against its budget.
func (st fleetState) countBudget(s *model.Service) *budget.Tally {
	servicePools := make(map[model.PoolName]bool)
	for _, p := range s.Pools {
		servicePools[p] = true
	}
	var members []budget.Member
	for _, pl := range st.placements {
		if servicePools[pl.pool] {
			members = append(members, pl.member)
		}
	}
	return budget.Count(s, members)
}

// budgetShifts returns the budgets that differ between two states, in the order
// of the declaration's services: for each the whole service, then its zones.
func budgetShifts(before, after fleetState) []query.BudgetChange {
	var all []query.BudgetChange
	for i := range after.declaration.Services {
		s := &after.declaration.Services[i]
		old := before.declaration.Service(s.Name)
		if old == nil {
			old = &model.Service{Name: s.Name}
		}
		b, a := before.countBudget(old), after.countBudget(s)
		changed := []query.BudgetChange{{
			Before: query.Headroom{Service: s.Name, VMs: b.Total, Available: b.Up, Required: b.Required},
			After:  query.Headroom{Service: s.Name, VMs: a.Total, Available: a.Up, Required: a.Required},
		}}
		for _, z := range after.declaration.Zones {
			changed = append(changed, query.BudgetChange{Before: zoneHeadroom(s.Name, z, b), After: zoneHeadroom(s.Name, z, a)})
		}
		for _, c := range changed {
			if c.Before != c.After {
				all = append(all, c)
			}
		}
	}
	return all
}

// zoneHeadroom returns a service's headroom in one zone, with zero counts if the
// service has no VMs there.
func zoneHeadroom(s model.ServiceName, z model.ZoneName, t *budget.Tally) query.Headroom {
	h := query.Headroom{Service: s, Zone: z}
	if d, ok := t.Zones[z]; ok {
		h.VMs, h.Available, h.Required = d.Total, d.Up, d.Required
	}
	return h
}

// forecastStops forecasts a drain of each VM in turn or, if the pool isn't empty,
// a move to it.
func (p Planner) forecastStops(ctx context.Context, now fleetState, vms []model.VMID, to model.PoolName) (query.Forecast, error) {
	checks, err := p.Fleet.CheckStops(ctx, vms)
	if refused, ok := forecastOfRefusal(err); ok {
		return refused, nil
	}
	if err != nil {
		return query.Forecast{}, err
	}
	f := query.Forecast{}
	var stopped []model.VMID
	action := "drain"
	if to != "" {
		action = "move to " + string(to)
	}
	for _, c := range checks {
		f.Steps = append(f.Steps, query.Step{VM: c.VM, Action: action, Done: c.Allowed, Reason: c.Why})
		if c.Allowed {
			stopped = append(stopped, c.VM)
		} else if f.Refusal == "" {
			f.Refusal = c.Why
		}
	}
	f.Allowed = len(stopped) > 0
	if to != "" {
		f.Moves = len(stopped)
		f.Budgets = budgetShifts(now, now.withChange(stopped, func(pl *placement) { pl.pool = to }))
		f.Notes = append(f.Notes, "budgets are those after the move; while it lasts the VM counts as down")
		return f, nil
	}
	f.Budgets = budgetShifts(now, now.withChange(stopped, markDown))
	return f, nil
}

// forecastMove forecasts a move of a VM. A move to an undeclared pool, or to the
// VM's present pool, is refused.
func (p Planner) forecastMove(ctx context.Context, now fleetState, m *query.MoveOrder) (query.Forecast, error) {
	if !isDeclared(now.declaration, m.To) {
		return query.Forecast{Refusal: fmt.Sprintf("pool %s is not declared", m.To)}, nil
	}
	if pl, ok := now.placements[m.VM]; ok && pl.pool == m.To {
		return query.Forecast{Refusal: fmt.Sprintf("VM %s is in pool %s already", m.VM, m.To)}, nil
	}
	return p.forecastStops(ctx, now, []model.VMID{m.VM}, m.To)
}

func isDeclared(d *model.Declaration, pool model.PoolName) bool {
	for _, p := range d.Pools {
		if p.Name == pool {
			return true
		}
	}
	return false
}

// forecastWave forecasts a wave's first batch and how long the wave takes.
func (p Planner) forecastWave(ctx context.Context, now fleetState, w *query.WaveOrder) (query.Forecast, error) {
	plan, err := p.Fleet.PlanWave(ctx, w.Wave, w.Pools)
	if refused, ok := forecastOfRefusal(err); ok {
		return refused, nil
	}
	if err != nil {
		return query.Forecast{}, err
	}
	f := query.Forecast{Allowed: true, Duration: plan.Forecast}
	for _, vm := range plan.Stops {
		f.Steps = append(f.Steps, query.Step{VM: vm, Action: "reboot", Batch: 1, Done: true})
	}
	f.Budgets = budgetShifts(now, now.withChange(plan.Stops, markDown))
	f.Notes = append(f.Notes, fmt.Sprintf("%d VMs in all, %d in the first batch; budgets are those while it is out", plan.Progress.Total, len(plan.Stops)))
	if plan.Verdict != wave.Go {
		f.Notes = append(f.Notes, fmt.Sprintf("would %s at first: %s", plan.Verdict, plan.Reason))
	}
	return f, nil
}

// forecastLoss forecasts the budgets after the VMs fail.
func forecastLoss(now fleetState, vms []model.VMID) query.Forecast {
	f := query.Forecast{Allowed: true}
	for _, vm := range vms {
		f.Steps = append(f.Steps, query.Step{VM: vm, Action: "lost", Done: true})
	}
	f.Budgets = budgetShifts(now, now.withChange(vms, markDown))
	return f
}

// forecastDeclaration forecasts the budgets under another declaration. It counts
// only VMs that are in both: whether new VMs will work is not known yet.
func forecastDeclaration(now fleetState, d *model.Declaration) query.Forecast {
	f := query.Forecast{Allowed: true}
	kept := make(map[model.VMID]bool, len(d.VMs))
	for _, vm := range d.VMs {
		kept[vm.ID] = true
	}
	after := fleetState{declaration: d, placements: make(map[model.VMID]placement)}
	for id, pl := range now.placements {
		if kept[id] {
			after.placements[id] = pl
			continue
		}
		f.Steps = append(f.Steps, query.Step{VM: id, Action: "remove", Done: true})
	}
	sort.Slice(f.Steps, func(i, j int) bool { return f.Steps[i].VM < f.Steps[j].VM })
	f.Budgets = budgetShifts(now, after)
	return f
}

// forecastOfRefusal converts a refusal by the fleet to a forecast that the order
// would be refused. It returns false for other errors and if the platform is
// unavailable, which tells nothing about the order.
func forecastOfRefusal(err error) (query.Forecast, bool) {
	var refusal *fleet.Refusal
	if !errors.As(err, &refusal) || refusal.Code == fleet.CodeUnavailable {
		return query.Forecast{}, false
	}
	return query.Forecast{Refusal: refusal.Detail}, true
}
