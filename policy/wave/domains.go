package wave

import (
	"fmt"
	"math"

	"github.com/pumicestage/pumicestage/policy/budget"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Reserve is the largest unplanned loss that a service is kept able to stand
// while VMs are out for maintenance.
type Reserve int8

// The reserves, from none to a whole zone.
const (
	ReserveNone Reserve = iota
	ReserveVM
	ReserveRack
	ReserveZone
)

var reserveNames = [...]string{"no VM", "any one VM", "any one rack", "any one zone"}

// String returns the words operators read.
func (r Reserve) String() string { return reserveNames[r] }

// Tally is a service's count with what waves must leave untouched in it.
type Tally struct {
	*budget.Tally
	Reserve Reserve
	zones   map[model.ZoneName]bool // in which waves have VMs out
	racks   map[model.RackName]bool
}

// NewTally returns the count with the VMs that waves hold now.
func NewTally(count *budget.Tally, held []budget.Member, w model.Weights) *Tally {
	t := &Tally{Tally: count, zones: make(map[model.ZoneName]bool), racks: make(map[model.RackName]bool)}
	t.Reserve = reserveOf(count, w)
	for _, m := range held {
		t.touch(m)
	}
	return t
}

// reserveOf picks the largest loss that can be stood beside a stop. Without a
// reserve the first failure while the headroom is used up by planned stops
// breaks the budget, and a reboot can't be taken back.
//
// Standing a zone's loss may leave a large service only a trickle of stops.
// Where roll-out time weighs more it is kept only while a tenth of the VMs can
// still be out at once, which is the pace of fixed batches of 10%. Racks and
// single VMs are kept whenever one stop remains, else a wave would never end.
func reserveOf(c *budget.Tally, w model.Weights) Reserve {
	headroom := c.Total - c.Required
	zone, rack := 0, 0
	for _, d := range c.Zones {
		zone = max(zone, d.Total)
	}
	for _, d := range c.Racks {
		rack = max(rack, d.Total)
	}
	pace := 1
	if w.RollOutTime >= w.BufferCost {
		pace = tenth(c.Total)
	}
	switch {
	case headroom-zone >= pace:
		return ReserveZone
	case headroom-rack >= 1:
		return ReserveRack
	case headroom >= 2:
		return ReserveVM
	}
	return ReserveNone
}

// tenth returns a tenth of n, rounded up.
func tenth(n int) int { return int(math.Ceil(paceShare * float64(n))) }

func (t *Tally) touch(m budget.Member) {
	t.zones[m.Zone] = true
	t.racks[m.Rack] = true
}

// MarkTakenOut counts m as held by a wave from now on.
func (t *Tally) MarkTakenOut(m budget.Member) {
	t.MarkDown(m)
	t.touch(m)
}

// RefusalReason says why a wave can't stop m besides what is stopped already, or
// nothing.
func (t *Tally) RefusalReason(m budget.Member) string {
	if !t.Allows(m) {
		return t.ExplainRefusal(m.Zone)
	}
	if !t.keepsReserve(m) {
		return t.explainReserve()
	}
	if !t.zones[m.Zone] && len(t.zones) > 0 && !t.standsLossOfZones(m) {
		return fmt.Sprintf("service %s has VMs out in another zone than %s", t.Service, m.Zone)
	}
	if !t.racks[m.Rack] && len(t.racks) > 0 && !t.standsLossOfRacks(m) {
		return fmt.Sprintf("service %s has VMs out in another rack than %s", t.Service, m.Rack)
	}
	return ""
}

// OrderRefusalReason says why an operator's order can't stop m beside so many planned
// stops in progress, or nothing. A lone order may go down to the budget, as the
// operator may know a VM to be bad; added to other stops it must leave the
// reserve, else stops that are each harmless pile up into it.
func (t *Tally) OrderRefusalReason(m budget.Member, stops int) string {
	if !t.Allows(m) {
		return t.ExplainRefusal(m.Zone)
	}
	if m.Up && stops > 0 && !t.keepsReserve(m) {
		return t.explainReserve()
	}
	return ""
}

func (t *Tally) explainReserve() string {
	return fmt.Sprintf("service %s has %d of %d VMs up, needs %d and must stand the loss of %s",
		t.Service, t.Up, t.Total, t.Required, t.Reserve)
}

// keepsReserve reports whether, with m out as well, the service would keep its
// budget after the loss that the reserve is for.
func (t *Tally) keepsReserve(m budget.Member) bool {
	loss := 0
	switch t.Reserve {
	case ReserveVM:
		loss = 1
	case ReserveRack:
		loss = largestUp(t.Racks, m.Rack)
	case ReserveZone:
		loss = largestUp(t.Zones, m.Zone)
	}
	return t.Up-1-loss >= t.Required
}

// largestUp returns the most VMs up in one domain, with one in the domain
// `less` already out.
func largestUp[K comparable](domains map[K]*budget.Domain, less K) int {
	most := 0
	for name, d := range domains {
		up := d.Up
		if name == less {
			up--
		}
		most = max(most, up)
	}
	return most
}

// standsLossOfZones reports whether the service would keep its budget with all
// zones lost in which waves have VMs out, m's included. Only then a second
// zone is touched: a bad image shows by failing where it was rolled out, and
// with stops in two zones there would be less left to fall back to.
func (t *Tally) standsLossOfZones(m budget.Member) bool {
	up := t.Up - t.Zones[m.Zone].Up
	for z := range t.zones {
		up -= t.Zones[z].Up
	}
	return up >= t.Required
}

// standsLossOfRacks is standsLossOfZones for racks.
func (t *Tally) standsLossOfRacks(m budget.Member) bool {
	up := t.Up - t.Racks[m.Rack].Up
	for r := range t.racks {
		up -= t.Racks[r].Up
	}
	return up >= t.Required
}
