package query

import (
	"context"

	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/budget"
	"github.com/pumicestage/pumicestage/policy/model"
)

// budgets asks the planner and, where it cannot answer, counts from this entry
// VM's view. The planner needs the platform's store and list of VMs; with the
// platform down an operator must still see how the services stand, and must
// see that this is a lesser count.
func (e *Engine) budgets(ctx context.Context, s *view.Snapshot) (rows []Headroom, note string) {
	rows, err := e.Planner.Budgets(ctx, s)
	if err == nil {
		return rows, ""
	}
	return e.countBudgets(s), "budgets are counted from this entry VM's view and health checks alone: " + err.Error()
}

// countBudgets counts by state and health. Planned stops are seen by the VMs'
// states only, as far as the view has them.
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

// Headrooms returns a service's count as headrooms: the whole service, then each
// zone where it has VMs.
func Headrooms(t *budget.Tally, zones []model.ZoneName) []Headroom {
	rows := []Headroom{{Service: t.Service, VMs: t.Total, Available: t.Up, Required: t.Required}}
	for _, z := range zones {
		if d, ok := t.Zones[z]; ok {
			rows = append(rows, Headroom{Service: t.Service, Zone: z, VMs: d.Total, Available: d.Up, Required: d.Required})
		}
	}
	return rows
}
