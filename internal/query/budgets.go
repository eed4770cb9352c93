package query

import (
	"context"

	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/budget"
	"github.com/pumicestage/pumicestage/policy/model"
)

// budgets returns the budget status of every service as the planner counts it.
// If the planner fails, it falls back to a count from this entry VM's view and
// returns a note that says so: the planner needs the platform's store and VM
// list, and during a platform outage operators must still see the state of the
// services and know that the figures are less reliable.
func (e *Engine) budgets(ctx context.Context, s *view.Snapshot) (rows []Headroom, note string) {
	rows, err := e.Planner.Budgets(ctx, s)
	if err == nil {
		return rows, ""
	}
	return e.countBudgets(s), "budgets are counted from this entry VM's view and health checks alone: " + err.Error()
}

// countBudgets counts budgets from the VM states and health checks in the view.
// It knows of a planned stop only if the VM's state in the view shows it.
func (e *Engine) countBudgets(s *view.Snapshot) []Headroom {
	byPool := make(map[model.PoolName][]budget.Member)
	for _, vm := range s.VMs {
		evidence := budget.Evidence{Listed: true, Health: e.Health(vm.ID)}
		m := budget.Member{ID: vm.ID, Zone: vm.Zone, Rack: vm.Rack, Up: budget.Up(vm.State, evidence)}
		byPool[vm.Pool] = append(byPool[vm.Pool], m)
	}
	var rows []Headroom
	for i := range s.Declaration.Services {
		svc := &s.Declaration.Services[i]
		var members []budget.Member
		for _, p := range svc.Pools {
			members = append(members, byPool[p]...)
		}
		rows = append(rows, Headrooms(budget.Count(svc, members), s.Declaration.Zones)...)
	}
	return rows
}

// Headrooms converts a service's tally to headrooms: first the whole service,
// then each zone in which it has VMs, in the order of zones.
func Headrooms(t *budget.Tally, zones []model.ZoneName) []Headroom {
	rows := []Headroom{{Service: t.Service, VMs: t.Total, Available: t.Up, Required: t.Required}}
	for _, z := range zones {
		if d, ok := t.Zones[z]; ok {
			rows = append(rows, Headroom{Service: t.Service, Zone: z, VMs: d.Total, Available: d.Up, Required: d.Required})
		}
	}
	return rows
}
