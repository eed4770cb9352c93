package config

import (
	"fmt"

	"github.com/pumicestage/pumicestage/policy/model"
)

// BrokenBudget describes a service's budget that a removal would break.
type BrokenBudget struct {
	Service model.ServiceName
	Gone    bool           // the service itself is removed
	Zone    model.ZoneName // the zone of a broken min-per-zone; empty for min-available
	Need    int            // VMs that the budget in force requires
	Left    int            // available VMs after the removal
	Removed int            // VMs removed
}

// String returns the finding as one line.
func (b BrokenBudget) String() string {
	if b.Gone {
		return fmt.Sprintf("service %s is removed with its budget of %d VMs", b.Service, b.Need)
	}
	where := ""
	if b.Zone != "" {
		where = " in zone " + string(b.Zone)
	}
	return fmt.Sprintf("service %s keeps %d VMs%s, its budget in force is %d (%d removed)", b.Service, b.Left, where, b.Need, b.Removed)
}

// BrokenByRemoval returns the budgets of old that would no longer be met after
// the removals from old to new. VMs that new adds do not count, because they
// have not yet been shown to work. live holds the current pool and state of
// VMs; a VM not in it counts as available in its declared pool.
//
// The budgets in force are checked, not the new ones: otherwise an editing
// mistake that also lowers a budget could empty a pool.
func BrokenByRemoval(old, new *model.Declaration, live map[model.VMID]model.VM) []BrokenBudget {
	if old == nil {
		return nil
	}
	r := removal{
		old: old, new: new, live: live,
		kept:   make(map[model.VMID]model.VMDecl, len(new.VMs)),
		byPool: make(map[model.PoolName][]model.VMDecl),
	}
	for _, vm := range new.VMs {
		r.kept[vm.ID] = vm
	}
	for _, vm := range old.VMs {
		pool, _ := currentPool(vm, live)
		r.byPool[pool] = append(r.byPool[pool], vm)
	}
	var broken []BrokenBudget
	for i := range old.Services {
		broken = append(broken, r.brokenBudgets(&old.Services[i])...)
	}
	return broken
}

// removal is a change from old to new, indexed to check what it removes.
type removal struct {
	old, new *model.Declaration
	live     map[model.VMID]model.VM           // current pool and state; may lack VMs
	kept     map[model.VMID]model.VMDecl       // VMs that new declares
	byPool   map[model.PoolName][]model.VMDecl // old's VMs by the pool that they are in now
}

// vmCounts counts a service's VMs before and after a removal. available counts
// those after it that are available.
type vmCounts struct {
	before, after, available int
}

// brokenBudgets returns the budgets of service s that the removal breaks.
func (r removal) brokenBudgets(s *model.Service) []BrokenBudget {
	var whole vmCounts
	zones := make(map[model.ZoneName]*vmCounts)
	next := r.new.Service(s.Name)
	for _, pool := range s.Pools {
		for _, vm := range r.byPool[pool] {
			if zones[vm.Zone] == nil {
				zones[vm.Zone] = &vmCounts{}
			}
			_, available := currentPool(vm, r.live)
			stays := next != nil && r.remainsIn(next, vm)
			whole.add(stays, available)
			zones[vm.Zone].add(stays, available)
		}
	}
	need := s.Budget.MinAvailable.Of(whole.before)
	if next == nil {
		return []BrokenBudget{{Service: s.Name, Gone: true, Need: need}}
	}
	var broken []BrokenBudget
	if whole.violates(need) {
		broken = append(broken, BrokenBudget{Service: s.Name, Need: need, Left: whole.available, Removed: whole.before - whole.after})
	}
	for _, z := range r.old.Zones {
		t := zones[z]
		if t == nil {
			continue
		}
		if need := s.Budget.MinPerZone.Of(t.before); t.violates(need) {
			broken = append(broken, BrokenBudget{Service: s.Name, Zone: z, Need: need, Left: t.available, Removed: t.before - t.after})
		}
	}
	return broken
}

func (t *vmCounts) add(stays, available bool) {
	t.before++
	if !stays {
		return
	}
	t.after++
	if available {
		t.available++
	}
}

// violates reports whether VMs were removed and fewer than need are available.
func (t *vmCounts) violates(need int) bool {
	return t.after < t.before && t.available < need
}

// currentPool returns the pool that the VM is in now and whether the VM counts as
// available, which it does only in the state model.VMInPool. A VM that live does
// not contain counts as available in its declared pool.
func currentPool(vm model.VMDecl, live map[model.VMID]model.VM) (model.PoolName, bool) {
	if now, ok := live[vm.ID]; ok {
		return now.Pool, now.State == model.VMInPool
	}
	return vm.Pool, true
}

// remainsIn reports whether vm still belongs to the pools of the service as
// next declares it.
func (r removal) remainsIn(next *model.Service, vm model.VMDecl) bool {
	decl, ok := r.kept[vm.ID]
	if !ok {
		return false
	}
	pool, _ := currentPool(decl, r.live)
	return contains(next.Pools, pool)
}

func contains(pools []model.PoolName, pool model.PoolName) bool {
	for _, p := range pools {
		if p == pool {
			return true
		}
	}
	return false
}
