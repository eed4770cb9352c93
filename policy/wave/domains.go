package wave

import (
	"fmt"

	"github.com/pumicestage/pumicestage/policy/budget"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Tally is a service's count with the failure domains that waves touch in it.
type Tally struct {
	*budget.Tally
	zones map[model.ZoneName]bool
	racks map[model.RackName]bool
}

// NewTally returns the count with the VMs that waves hold now.
func NewTally(count *budget.Tally, held []budget.Member) *Tally {
	t := &Tally{Tally: count, zones: make(map[model.ZoneName]bool), racks: make(map[model.RackName]bool)}
	for _, m := range held {
		t.touch(m)
	}
	return t
}

func (t *Tally) touch(m budget.Member) {
	t.zones[m.Zone] = true
	t.racks[m.Rack] = true
}

// TakeOut counts m as held by a wave from now on.
func (t *Tally) TakeOut(m budget.Member) {
	t.Stop(m)
	t.touch(m)
}

// Refuse says why m can't be stopped besides what is stopped already, or nothing. A second
// failure domain is touched only where the service would stand the loss of all
// domains touched: a bad image shows by failing whole domains, and with stops
// in two of them no whole domain would be left to fall back to.
func (t *Tally) Refuse(m budget.Member) string {
	if !t.Allows(m) {
		return t.Explain(m.Zone)
	}
	if !t.zones[m.Zone] && len(t.zones) > 0 && !t.standsLossOfZones(m) {
		return fmt.Sprintf("service %s has VMs out in another zone than %s", t.Service, m.Zone)
	}
	if !t.racks[m.Rack] && len(t.racks) > 0 && !t.standsLossOfRacks(m) {
		return fmt.Sprintf("service %s has VMs out in another rack than %s", t.Service, m.Rack)
	}
	return ""
}

func (t *Tally) standsLossOfZones(m budget.Member) bool {
	up := t.Up - t.Zones[m.Zone].Up
	for z := range t.zones {
		up -= t.Zones[z].Up
	}
	return up >= t.Required
}

func (t *Tally) standsLossOfRacks(m budget.Member) bool {
	up := t.Up - t.Racks[m.Rack].Up
	for r := range t.racks {
		up -= t.Racks[r].Up
	}
	return up >= t.Required
}
