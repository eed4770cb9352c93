// Package budget compares the number of VMs that a service has up with its
// availability budget, the minimum that it needs in total and in each zone.
//
// Planned stops and failures must be counted together: each may be harmless on
// its own, while their sum takes a service below its budget. The count is
// pessimistic: a VM that isn't certainly in service counts as down.
package budget

import (
	"fmt"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Member is one VM of a service, with what the budget needs to know of it.
type Member struct {
	ID   model.VMID
	Zone model.ZoneName
	Rack model.RackName
	Up   bool // certainly in service, see Up
}

// Evidence is the information about a VM that isn't in its record.
type Evidence struct {
	Listed  bool         // a recent list of the platform contains it, live and not leaving
	Health  model.Health // as the entry VMs observe it
	Stopped bool         // a ledger contains a planned stop of it
}

// Up reports whether a VM is certainly in service. A VM that is leaving counts
// as down, although it still processes its current requests: it takes no new
// ones, and a budget that counted it as up would be violated the moment it stops.
func Up(state model.VMState, e Evidence) bool {
	return state == model.VMInPool && !e.Stopped && e.Listed && e.Health == model.HealthHealthy
}

// Domain is the count of a service's members in one failure domain (a zone or a
// rack).
type Domain struct {
	Total    int
	Up       int
	Required int // minimum of members up; 0 for racks, which have no budget of their own
}

// Tally is the availability count of one service.
type Tally struct {
	Service  model.ServiceName
	Total    int
	Up       int
	Required int // minimum of members up in the whole service
	Zones    map[model.ZoneName]*Domain
	Racks    map[model.RackName]*Domain
}

// Count returns the tally of a service with these members.
func Count(s *model.Service, members []Member) *Tally {
	t := &Tally{
		Service: s.Name,
		Zones:   make(map[model.ZoneName]*Domain),
		Racks:   make(map[model.RackName]*Domain),
	}
	for _, m := range members {
		t.add(m)
	}
	t.Required = s.Budget.MinAvailable.Of(t.Total)
	for _, z := range t.Zones {
		z.Required = s.Budget.MinPerZone.Of(z.Total)
	}
	return t
}

func (t *Tally) add(m Member) {
	zone := domainOf(t.Zones, m.Zone)
	rack := domainOf(t.Racks, m.Rack)
	t.Total++
	zone.Total++
	rack.Total++
	if !m.Up {
		return
	}
	t.Up++
	zone.Up++
	rack.Up++
}

// domainOf returns the domain with the key, which it adds if it is missing.
func domainOf[K comparable](domains map[K]*Domain, key K) *Domain {
	d, ok := domains[key]
	if !ok {
		d = &Domain{}
		domains[key] = d
	}
	return d
}

// Spare returns how many more members may go down without violating the budget
// of the whole service. It is negative if the budget is violated already.
func (t *Tally) Spare() int { return t.Up - t.Required }

// Holds reports whether the budget is met now, in the service and in every zone.
func (t *Tally) Holds() bool {
	return t.Violation() == ""
}

// Allows reports whether m may be stopped, that is whether the budget is met now
// and with m down as well. Stopping a member that is already down uses no
// headroom, but isn't allowed either while the budget is violated.
func (t *Tally) Allows(m Member) bool {
	if !t.Holds() {
		return false
	}
	if !m.Up {
		return true
	}
	z := domainOf(t.Zones, m.Zone)
	return t.Up-1 >= t.Required && z.Up-1 >= z.Required
}

// MarkDown counts m as down. It changes nothing if m is down already.
func (t *Tally) MarkDown(m Member) {
	if !m.Up {
		return
	}
	t.Up--
	domainOf(t.Zones, m.Zone).Up--
	domainOf(t.Racks, m.Rack).Up--
}

// ExplainRefusal returns a sentence that tells operators why a stop in the zone
// isn't allowed.
func (t *Tally) ExplainRefusal(zone model.ZoneName) string {
	if why := t.Violation(); why != "" {
		return why
	}
	z, ok := t.Zones[zone]
	if ok && z.Up <= z.Required && t.Spare() > 0 {
		return t.explainZone(zone, z)
	}
	return fmt.Sprintf("service %s has %d of %d VMs up and needs %d", t.Service, t.Up, t.Total, t.Required)
}

// Violation returns a sentence that tells operators where the budget is violated:
// in the whole service, or else in the first such zone by name. It returns an
// empty string if the budget is met.
func (t *Tally) Violation() string {
	if t.Spare() < 0 {
		return fmt.Sprintf("service %s has only %d of %d VMs up and needs %d", t.Service, t.Up, t.Total, t.Required)
	}
	violated := model.ZoneName("")
	for name, z := range t.Zones {
		if z.Up < z.Required && (violated == "" || name < violated) {
			violated = name
		}
	}
	if violated == "" {
		return ""
	}
	return t.explainZone(violated, t.Zones[violated])
}

func (t *Tally) explainZone(name model.ZoneName, z *Domain) string {
	return fmt.Sprintf("service %s has %d of %d VMs up in zone %s and needs %d", t.Service, z.Up, z.Total, name, z.Required)
}
