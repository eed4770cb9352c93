package config

import (
	"fmt"

	"github.com/pumicestage/pumicestage/policy/model"
)

// BrokenBudget is a service whose budget a removal would break.
type BrokenBudget struct {
	Service model.ServiceName
	Gone    bool           // the service itself is removed
	Zone    model.ZoneName // the zone whose part of the budget breaks; empty for the whole
	Need    int            // VMs the budget in force asks for
	Left    int            // VMs left after the removal
	Removed int            // VMs taken away
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

// BrokenByRemoval returns the budgets of old that would no longer hold once
// what new leaves out is gone. VMs that new adds do not count: they have yet to
// prove that they work. live tells where VMs really are; a VM it does not know
// is taken to be where old declares it.
//
// The budget in force decides, not the new one: lowering it in the same change
// would otherwise let a slip of the editor empty a pool.
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
		pool, _ := whereabouts(vm, live)
		r.byPool[pool] = append(r.byPool[pool], vm)
	}
	var broken []BrokenBudget
	for i := range old.Services {
		broken = append(broken, r.broken(&old.Services[i])...)
	}
	return broken
}

// removal is a change from old to new, looked at for what it takes away.
type removal struct {
	old, new *model.Declaration
	live     map[model.VMID]model.VM
	kept     map[model.VMID]model.VMDecl
	byPool   map[model.PoolName][]model.VMDecl // old's VMs by where they are
}

// tally counts a service's VMs before and after a removal.
type tally struct {
	before, after, working int
}

func (r removal) broken(s *model.Service) []BrokenBudget {
	var whole tally
	zones := make(map[model.ZoneName]*tally)
	next := r.new.Service(s.Name)
	for _, pool := range s.Pools {
		for _, vm := range r.byPool[pool] {
			if zones[vm.Zone] == nil {
				zones[vm.Zone] = &tally{}
			}
			_, working := whereabouts(vm, r.live)
			stays := next != nil && r.staysIn(next, vm)
			whole.count(stays, working)
			zones[vm.Zone].count(stays, working)
		}
	}
	need := s.Budget.MinAvailable.Of(whole.before)
	if next == nil {
		return []BrokenBudget{{Service: s.Name, Gone: true, Need: need}}
	}
	var broken []BrokenBudget
	if whole.breaks(need) {
		broken = append(broken, BrokenBudget{Service: s.Name, Need: need, Left: whole.working, Removed: whole.before - whole.after})
	}
	for _, z := range r.old.Zones {
		t := zones[z]
		if t == nil {
			continue
		}
		if need := s.Budget.MinPerZone.Of(t.before); t.breaks(need) {
			broken = append(broken, BrokenBudget{Service: s.Name, Zone: z, Need: need, Left: t.working, Removed: t.before - t.after})
		}
	}
	return broken
}

func (t *tally) count(stays, working bool) {
	t.before++
	if !stays {
		return
	}
	t.after++
	if working {
		t.working++
	}
}

func (t *tally) breaks(need int) bool {
	return t.after < t.before && t.working < need
}

// whereabouts returns the pool the VM is in and whether it counts as
// available.
func whereabouts(vm model.VMDecl, live map[model.VMID]model.VM) (model.PoolName, bool) {
	if now, ok := live[vm.ID]; ok {
		return now.Pool, now.State == model.VMInPool
	}
	return vm.Pool, true
}

func (r removal) staysIn(next *model.Service, vm model.VMDecl) bool {
	decl, ok := r.kept[vm.ID]
	if !ok {
		return false
	}
	pool, _ := whereabouts(decl, r.live)
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
