package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/work"
)

// settled reports whether nothing that an earlier owner started can be running
// unknown to us: every worker was heard, or the leases it may have are certain to
// be over. Registrations alone don't tell which workers there are: they lapse
// while the store is away, and the workers run on.
func (c *Core) settled(now time.Duration) bool {
	if now >= c.inherited {
		return true
	}
	if !c.fleetKnown {
		return false
	}
	for id, pool := range c.alive {
		if pool != c.cell || c.workers[id] == nil && len(c.over[id]) > 0 {
			continue
		}
		if w := c.workers[id]; w == nil || !w.heard {
			return false
		}
	}
	for _, w := range c.workers {
		if !w.heard {
			return false
		}
	}
	return true
}

// SetFleet says which workers are alive by the platform's list of VMs.
func (c *Core) SetFleet(vms []work.VM) {
	c.fleetKnown = true
	c.alive = make(map[work.WorkerID]string, len(vms))
	c.largestVM = work.Resources{}
	c.limits.fleetCapacity = work.Resources{}
	for _, vm := range vms {
		c.limits.fleetCapacity = c.limits.fleetCapacity.Plus(vm.Size)
		c.largestVM = c.largestVM.Max(vm.Size)
		if vm.State == work.VMUp && vm.Worker != "" {
			c.alive[vm.Worker] = vm.Pool
		}
	}
}
