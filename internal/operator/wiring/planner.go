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

// Planner is a query.Planner by the reconciler of this entry VM: whether a
// stop is allowed is decided by the count that the order makes.
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

// Forecast implements query.Planner.
func (p Planner) Forecast(ctx context.Context, s *view.Snapshot, h query.Hypothesis) (query.Forecast, error) {
	now, err := p.present(ctx, s)
	if err != nil {
		return query.Forecast{}, err
	}
	switch {
	case h.Drain != nil:
		return p.foreseeStops(ctx, now, h.Drain, "")
	case h.Move != nil:
		return p.foreseeMove(ctx, now, h.Move)
	case h.Wave != nil:
		return p.foreseeWave(ctx, now, h.Wave)
	case h.Declaration != nil:
		return foreseeDeclaration(now, h.Declaration), nil
	}
	return foreseeLoss(now, h.Lose), nil
}

// place is where a VM is and whether it certainly serves.
type place struct {
	member budget.Member
	pool   model.PoolName
}

// state is the fleet as the budgets count it, now or after something.
type state struct {
	d      *model.Declaration
	places map[model.VMID]place
}

// holderJoin is the holder of a VM that has not joined its pool yet; no budget
// counts it.
const holderJoin = "join"

// present counts a VM as up where every service that it serves would: by its
// record, its health, the platform's list and the ledgers.
func (p Planner) present(ctx context.Context, s *view.Snapshot) (state, error) {
	budgets, err := p.Fleet.Budgets(ctx)
	if err != nil {
		return state{}, err
	}
	stopped := make(map[model.VMID]bool)
	for _, b := range budgets {
		for _, stop := range b.Stops {
			stopped[stop.VM] = true
		}
	}
	now := state{d: s.Declaration, places: make(map[model.VMID]place)}
	for _, vm := range p.Fleet.VMs() {
		if vm.Holder == holderJoin {
			continue
		}
		up := budget.Up(vm.State, budget.Evidence{Listed: vm.Live, Health: vm.Health, Stopped: stopped[vm.ID]})
		now.places[vm.ID] = place{budget.Member{ID: vm.ID, Zone: vm.Zone, Rack: vm.Rack, Up: up}, vm.Pool}
	}
	return now, nil
}

// with returns the state after change was made to each of the VMs.
func (st state) with(vms []model.VMID, change func(*place)) state {
	after := state{d: st.d, places: make(map[model.VMID]place, len(st.places))}
	for id, pl := range st.places {
		after.places[id] = pl
	}
	for _, id := range vms {
		pl, ok := after.places[id]
		if !ok {
			continue
		}
		change(&pl)
		after.places[id] = pl
	}
	return after
}

func down(pl *place) { pl.member.Up = false }

func (st state) tally(s *model.Service) *budget.Tally {
	mine := make(map[model.PoolName]bool)
	for _, p := range s.Pools {
		mine[p] = true
	}
	var members []budget.Member
	for _, pl := range st.places {
		if mine[pl.pool] {
			members = append(members, pl.member)
		}
	}
	return budget.Count(s, members)
}

// shifts returns the budgets that differ between two states, services in
// order, each whole before its zones.
func shifts(before, after state) []query.BudgetChange {
	var all []query.BudgetChange
	for i := range after.d.Services {
		s := &after.d.Services[i]
		old := before.d.Service(s.Name)
		if old == nil {
			old = &model.Service{Name: s.Name}
		}
		b, a := before.tally(old), after.tally(s)
		changed := []query.BudgetChange{{
			Before: query.Headroom{Service: s.Name, VMs: b.Total, Available: b.Up, Required: b.Required},
			After:  query.Headroom{Service: s.Name, VMs: a.Total, Available: a.Up, Required: a.Required},
		}}
		for _, z := range after.d.Zones {
			changed = append(changed, query.BudgetChange{Before: inZone(s.Name, z, b), After: inZone(s.Name, z, a)})
		}
		for _, c := range changed {
			if c.Before != c.After {
				all = append(all, c)
			}
		}
	}
	return all
}

func inZone(s model.ServiceName, z model.ZoneName, t *budget.Tally) query.Headroom {
	h := query.Headroom{Service: s, Zone: z}
	if d, ok := t.Zones[z]; ok {
		h.VMs, h.Available, h.Required = d.Total, d.Up, d.Required
	}
	return h
}

// foreseeStops foresees a drain of each VM in turn, or, with a pool, a move.
func (p Planner) foreseeStops(ctx context.Context, now state, vms []model.VMID, to model.PoolName) (query.Forecast, error) {
	checks, err := p.Fleet.CheckStops(ctx, vms)
	if refused, ok := refusedForecast(err); ok {
		return refused, nil
	}
	if err != nil {
		return query.Forecast{}, err
	}
	f := query.Forecast{}
	var out []model.VMID
	action := "drain"
	if to != "" {
		action = "move to " + string(to)
	}
	for _, c := range checks {
		f.Steps = append(f.Steps, query.Step{VM: c.VM, Action: action, Done: c.Allowed, Reason: c.Why})
		if c.Allowed {
			out = append(out, c.VM)
		} else if f.Refusal == "" {
			f.Refusal = c.Why
		}
	}
	f.Allowed = len(out) > 0
	if to != "" {
		f.Moves = len(out)
		f.Budgets = shifts(now, now.with(out, func(pl *place) { pl.pool = to }))
		f.Notes = append(f.Notes, "budgets are those after the move; while it lasts the VM counts as down")
		return f, nil
	}
	f.Budgets = shifts(now, now.with(out, down))
	return f, nil
}

func (p Planner) foreseeMove(ctx context.Context, now state, m *query.MoveOrder) (query.Forecast, error) {
	if !declared(now.d, m.To) {
		return query.Forecast{Refusal: fmt.Sprintf("pool %s is not declared", m.To)}, nil
	}
	if pl, ok := now.places[m.VM]; ok && pl.pool == m.To {
		return query.Forecast{Refusal: fmt.Sprintf("VM %s is in pool %s already", m.VM, m.To)}, nil
	}
	return p.foreseeStops(ctx, now, []model.VMID{m.VM}, m.To)
}

func declared(d *model.Declaration, pool model.PoolName) bool {
	for _, p := range d.Pools {
		if p.Name == pool {
			return true
		}
	}
	return false
}

// foreseeWave foresees the wave's first batch, and its end.
func (p Planner) foreseeWave(ctx context.Context, now state, w *query.WaveOrder) (query.Forecast, error) {
	plan, err := p.Fleet.PlanWave(ctx, w.Wave, w.Pools)
	if refused, ok := refusedForecast(err); ok {
		return refused, nil
	}
	if err != nil {
		return query.Forecast{}, err
	}
	f := query.Forecast{Allowed: true, Duration: plan.Forecast}
	for _, vm := range plan.Stops {
		f.Steps = append(f.Steps, query.Step{VM: vm, Action: "reboot", Batch: 1, Done: true})
	}
	f.Budgets = shifts(now, now.with(plan.Stops, down))
	f.Notes = append(f.Notes, fmt.Sprintf("%d VMs in all, %d in the first batch; budgets are those while it is out", plan.Progress.Total, len(plan.Stops)))
	if plan.Verdict != wave.Go {
		f.Notes = append(f.Notes, fmt.Sprintf("would %s at first: %s", plan.Verdict, plan.Reason))
	}
	return f, nil
}

func foreseeLoss(now state, vms []model.VMID) query.Forecast {
	f := query.Forecast{Allowed: true}
	for _, vm := range vms {
		f.Steps = append(f.Steps, query.Step{VM: vm, Action: "lost", Done: true})
	}
	f.Budgets = shifts(now, now.with(vms, down))
	return f
}

// foreseeDeclaration foresees the budgets under another declaration with the
// VMs that both have; new ones have yet to prove that they work.
func foreseeDeclaration(now state, d *model.Declaration) query.Forecast {
	f := query.Forecast{Allowed: true}
	kept := make(map[model.VMID]bool, len(d.VMs))
	for _, vm := range d.VMs {
		kept[vm.ID] = true
	}
	after := state{d: d, places: make(map[model.VMID]place)}
	for id, pl := range now.places {
		if kept[id] {
			after.places[id] = pl
			continue
		}
		f.Steps = append(f.Steps, query.Step{VM: id, Action: "remove", Done: true})
	}
	sort.Slice(f.Steps, func(i, j int) bool { return f.Steps[i].VM < f.Steps[j].VM })
	f.Budgets = shifts(now, after)
	return f
}

// refusedForecast turns a refusal by the fleet into the forecast of one, for
// those that are about the order; an unavailable platform is no forecast.
func refusedForecast(err error) (query.Forecast, bool) {
	var refusal *fleet.Refusal
	if !errors.As(err, &refusal) || refusal.Code == fleet.CodeUnavailable {
		return query.Forecast{}, false
	}
	return query.Forecast{Refusal: refusal.Detail}, true
}
