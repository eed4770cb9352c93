package config

import (
	"fmt"
	"strconv"

	"github.com/pumicestage/pumicestage/policy/model"
)

// checker collects the problems of a declaration.
type checker struct {
	d        *model.Declaration
	zones    map[model.ZoneName]bool
	pools    map[model.PoolName]bool
	byPool   map[model.PoolName][]model.VMDecl
	problems []Problem
}

// Validate returns the problems of a declaration as a whole: references to
// undeclared names, duplicates, numbers out of bounds and budgets that cannot
// be met. The server validates again what clients send, because a client may
// be an older version.
func Validate(d *model.Declaration) []Problem {
	c := &checker{
		d: d, zones: make(map[model.ZoneName]bool), pools: make(map[model.PoolName]bool),
		byPool: make(map[model.PoolName][]model.VMDecl),
	}
	for _, vm := range d.VMs {
		c.byPool[vm.Pool] = append(c.byPool[vm.Pool], vm)
	}
	for _, z := range d.Zones {
		c.zones[z] = true
	}
	for _, p := range d.Pools {
		c.pools[p.Name] = true
	}
	c.checkNames()
	c.checkVMs()
	c.checkPools()
	c.checkServices()
	c.checkWaves()
	return c.problems
}

func (c *checker) report(section, key, given, expected string) {
	c.problems = append(c.problems, Problem{Section: section, Key: key, Given: given, Expected: expected})
}

// checkNames checks the syntax of names, which become parts of store keys.
// Parse checks it too, but a declaration may not come from files.
func (c *checker) checkNames() {
	check := func(section, key, name string) {
		if !validName(name) {
			c.report(section, key, quote(name), "a name of "+nameRule)
		}
	}
	check(kindDeployment, "name", c.d.Deployment)
	for _, z := range c.d.Zones {
		check(kindDeployment, "zones", string(z))
	}
	if len(c.d.Zones) == 0 {
		c.report(kindDeployment, "zones", "none", "at least one zone")
	}
	for _, vm := range c.d.VMs {
		check(kindRack+" "+string(vm.Rack), vmKeyPrefix+string(vm.ID), string(vm.ID))
	}
	for _, p := range c.d.Pools {
		check(kindPool+" "+string(p.Name), "", string(p.Name))
	}
	for _, s := range c.d.Services {
		check(kindService+" "+string(s.Name), "", string(s.Name))
	}
	for _, w := range c.d.Waves {
		check(kindWave+" "+string(w.Name), "", string(w.Name))
	}
}

func (c *checker) checkVMs() {
	rackOf := make(map[model.VMID]model.RackName)
	vmAt := make(map[string]model.VMID)
	zoneOf := make(map[model.RackName]model.ZoneName)
	for _, vm := range c.d.VMs {
		section, key := kindRack+" "+string(vm.Rack), vmKeyPrefix+string(vm.ID)
		if other, ok := rackOf[vm.ID]; ok {
			c.report(section, key, "the VM again (also in rack "+string(other)+")", "each VM in one rack")
			continue
		}
		rackOf[vm.ID] = vm.Rack
		if other, ok := vmAt[vm.Address]; ok {
			c.report(section, key, "address "+vm.Address+" of VM "+string(other), "an address of its own")
		}
		vmAt[vm.Address] = vm.ID
		if !validAddress(vm.Address) {
			c.report(section, key, "address "+quote(vm.Address), "HOST:PORT")
		}
		if !c.pools[vm.Pool] {
			c.report(section, key, "pool "+quote(string(vm.Pool)), "a pool declared by [pool "+string(vm.Pool)+"]")
		}
		if !c.zones[vm.Zone] {
			c.report(section, "zone", quote(string(vm.Zone)), "a zone of [deployment] zones")
		}
		if z, ok := zoneOf[vm.Rack]; ok && z != vm.Zone {
			c.report(section, "zone", "zones "+string(z)+" and "+string(vm.Zone), "each rack in one zone")
		}
		zoneOf[vm.Rack] = vm.Zone
	}
}

func (c *checker) checkPools() {
	seen := make(map[model.PoolName]bool)
	for _, p := range c.d.Pools {
		section := kindPool + " " + string(p.Name)
		if seen[p.Name] {
			c.report(section, "", "the pool again", "each pool once")
		}
		seen[p.Name] = true
		if len(c.byPool[p.Name]) == 0 {
			c.report(section, "", "no VMs", "at least one VM of a rack in it")
		}
	}
}

func (c *checker) checkPoolNames(section string, pools []model.PoolName) {
	if len(pools) == 0 {
		c.report(section, "pools", "none", "at least one pool")
	}
	for _, p := range pools {
		if !c.pools[p] {
			c.report(section, "pools", quote(string(p)), "a pool declared by [pool "+string(p)+"]")
		}
	}
}

func (c *checker) checkServices() {
	seen := make(map[model.ServiceName]bool)
	for i := range c.d.Services {
		s := &c.d.Services[i]
		section := kindService + " " + string(s.Name)
		if seen[s.Name] {
			c.report(section, "", "the service again", "each service once")
		}
		seen[s.Name] = true
		c.checkPoolNames(section, s.Pools)
		c.checkNumbers(section, s)
		c.checkBudget(section, s)
	}
}

// checkNumbers checks the bounds of numbers and durations. Parse checks some of
// them too, but a declaration may not come from files.
func (c *checker) checkNumbers(section string, s *model.Service) {
	if s.Slots < 1 {
		c.report(section, "slots", strconv.Itoa(s.Slots), "at least 1")
	}
	if s.Conns < s.Slots {
		c.report(section, "connections", strconv.Itoa(s.Conns), fmt.Sprintf("at least the %d slots", s.Slots))
	}
	if s.Timeout <= 0 {
		c.report(section, "timeout", s.Timeout.String(), "above 0")
	}
	if !s.Repeatable && s.Remember < s.Timeout {
		c.report(section, "remember", s.Remember.String(), "at least the timeout "+s.Timeout.String()+", or a repeat could run twice")
	}
}

// checkBudget refuses budgets that cannot be met even with every VM healthy, and
// those that leave a declared wave no VM to take out: it would wait forever.
func (c *checker) checkBudget(section string, s *model.Service) {
	total, perZone := c.countVMs(s)
	if total == 0 {
		return // checkPools or checkPoolNames reports it
	}
	need := s.Budget.MinAvailable.Of(total)
	switch wave := c.waveOverlapping(s.Pools); {
	case need > total:
		c.report(section, "min-available", fmt.Sprintf("%d VMs", need), fmt.Sprintf("at most the %d VMs of its pools", total))
	case need == total && wave != "":
		c.report(section, "min-available", fmt.Sprintf("all %d VMs", total), fmt.Sprintf("fewer, or wave %s can take none out", wave))
	}
	for _, z := range c.d.Zones {
		inZone, ok := perZone[z]
		need := s.Budget.MinPerZone.Of(inZone)
		if ok && need > inZone {
			c.report(section, "min-per-zone", fmt.Sprintf("%d VMs", need), fmt.Sprintf("at most the %d VMs in zone %s", inZone, z))
			return
		}
		if wave := c.waveOverlapping(s.Pools); ok && need > 0 && need == inZone && wave != "" {
			c.report(section, "min-per-zone", fmt.Sprintf("all %d VMs in zone %s", inZone, z), fmt.Sprintf("fewer, or wave %s can take none out there", wave))
			return
		}
	}
}

// countVMs returns the number of VMs in the pools of s, in all and per zone.
func (c *checker) countVMs(s *model.Service) (int, map[model.ZoneName]int) {
	total, perZone := 0, make(map[model.ZoneName]int)
	for _, p := range s.Pools {
		for _, vm := range c.byPool[p] {
			total++
			perZone[vm.Zone]++
		}
	}
	return total, perZone
}

// waveOverlapping returns the first wave that has one of the pools, or "".
func (c *checker) waveOverlapping(pools []model.PoolName) model.WaveName {
	for _, w := range c.d.Waves {
		for _, p := range w.Pools {
			for _, q := range pools {
				if p == q {
					return w.Name
				}
			}
		}
	}
	return ""
}

func (c *checker) checkWaves() {
	seen := make(map[model.WaveName]bool)
	for _, w := range c.d.Waves {
		section := kindWave + " " + string(w.Name)
		if seen[w.Name] {
			c.report(section, "", "the wave again", "each wave once")
		}
		seen[w.Name] = true
		c.checkPoolNames(section, w.Pools)
		if w.Canary < 0 {
			c.report(section, "canary", strconv.Itoa(w.Canary), "at least 0")
		}
		if w.MaxBatch > 0 && w.Canary > w.MaxBatch {
			c.report(section, "canary", strconv.Itoa(w.Canary), fmt.Sprintf("at most max-batch %d", w.MaxBatch))
		}
		if w.Grace <= 0 {
			c.report(section, "grace", w.Grace.String(), "above 0")
		}
	}
}
