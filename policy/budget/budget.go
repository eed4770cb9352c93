// Package budget counts what a service has left of its availability budget.
//
// It answers the pattern of planned stops and failures that come together:
// each looks harmless alone, and without one pessimistic count over both the
// sum takes a service below what it needs. Whatever is not certain counts as
// down.
package budget

import (
	"fmt"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Member is one VM of a service as the budget counts it.
type Member struct {
	ID   model.VMID
	Zone model.ZoneName
	Rack model.RackName
	Up   bool // certainly in service, see Up
}

// Evidence is what is known of a VM besides its record.
type Evidence struct {
	Listed  bool         // it is in a fresh list of the platform, live and not leaving
	Health  model.Health // what the entry VMs see
	Stopped bool         // a ledger holds a planned stop of it
}

// Up reports whether a VM certainly serves. A VM that is leaving still works
// on requests but takes no new ones, so it is down for the count already: a
// budget that counts it would be broken the moment it stops.
func Up(state model.VMState, e Evidence) bool {
	return state == model.VMInPool && !e.Stopped && e.Listed && e.Health == model.HealthHealthy
}

// Domain counts the members of one failure domain (a zone or a rack).
type Domain struct {
	Total    int
	Up       int
	Required int // least up; 0 for racks, which have no budget of their own
}

// Tally is the count of one service.
type Tally struct {
	Service  model.ServiceName
	Total    int
	Up       int
	Required int
	Zones    map[model.ZoneName]*Domain
	Racks    map[model.RackName]*Domain
}

// Count counts the members of a service against its budget.
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
	zone := domain(t.Zones, m.Zone)
	rack := domain(t.Racks, m.Rack)
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

func domain[K comparable](domains map[K]*Domain, key K) *Domain {
	d, ok := domains[key]
	if !ok {
		d = &Domain{}
		domains[key] = d
	}
	return d
}

// Spare returns how many more members may go down before the budget of the
// whole service is used up; negative where it is broken.
func (t *Tally) Spare() int { return t.Up - t.Required }

// Holds reports whether the budget holds now, in the service and every zone.
func (t *Tally) Holds() bool {
	return t.Violation() == ""
}

// Allows reports whether the budget holds with m down as well. A member that
// is down already costs nothing, but no stop is added to a broken budget.
func (t *Tally) Allows(m Member) bool {
	if !t.Holds() {
		return false
	}
	if !m.Up {
		return true
	}
	z := domain(t.Zones, m.Zone)
	return t.Up-1 >= t.Required && z.Up-1 >= z.Required
}

// MarkDown counts m as down from now on.
func (t *Tally) MarkDown(m Member) {
	if !m.Up {
		return
	}
	t.Up--
	domain(t.Zones, m.Zone).Up--
	domain(t.Racks, m.Rack).Up--
}

// ExplainRefusal says in a sentence why a stop in zone is not allowed.
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

// Violation says in a sentence where the budget does not hold, or nothing.
func (t *Tally) Violation() string {
	if t.Spare() < 0 {
		return fmt.Sprintf("service %s has only %d of %d VMs up and needs %d", t.Service, t.Up, t.Total, t.Required)
	}
	worst := model.ZoneName("")
	for name, z := range t.Zones {
		if z.Up < z.Required && (worst == "" || name < worst) {
			worst = name
		}
	}
	if worst == "" {
		return ""
	}
	return t.explainZone(worst, t.Zones[worst])
}

func (t *Tally) explainZone(name model.ZoneName, z *Domain) string {
	return fmt.Sprintf("service %s has %d of %d VMs up in zone %s and needs %d", t.Service, z.Up, z.Total, name, z.Required)
}
