package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/work"
)

// settled reports whether no run that an earlier owner started can be going on unknown to this
// one, nor any end be left out of a list: every worker has answered, or the leases that it may have are
// certain to have ended, and none has listed as many ends as fit into an answer.
// Registrations alone don't tell which workers exist: they expire while the store is
// unavailable, and the workers run on.
func (c *Core) settled(now time.Duration) bool {
	for _, w := range c.workers {
		if w.moreEnds {
			return false
		}
	}
	if now >= c.inherited {
		return true
	}
	if !c.fleetKnown {
		return false
	}
	for id, pool := range c.upWorkers {
		if pool != c.cell || c.workers[id] == nil && len(c.endedIncarnations[id]) > 0 {
			continue
		}
		if w := c.workers[id]; w == nil || !w.contacted {
			return false
		}
	}
	for _, w := range c.workers {
		if !w.contacted {
			return false
		}
	}
	return true
}

// SetFleet records which workers are alive according to the platform's list of VMs.
func (c *Core) SetFleet(vms []work.VM) {
	c.fleetKnown = true
	c.upWorkers = make(map[work.WorkerID]string, len(vms))
	c.largestVM = work.Resources{}
	c.limits.fleetCapacity = work.Resources{}
	for _, vm := range vms {
		c.limits.fleetCapacity = c.limits.fleetCapacity.Plus(vm.Size)
		c.largestVM = c.largestVM.Max(vm.Size)
		if vm.State == work.VMUp && vm.Worker != "" {
			c.upWorkers[vm.Worker] = vm.Pool
		}
	}
}
