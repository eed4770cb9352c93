package wave

import (
	"fmt"
	"math"

	"github.com/pumicestage/pumicestage/policy/budget"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Reserve is the largest unplanned failure that a service must be able to
// survive within its budget while VMs are out for maintenance.
type Reserve int8

// The reserves in ascending order: the failure of nothing, one VM, one rack or
// one zone.
const (
	ReserveNone Reserve = iota
	ReserveVM
	ReserveRack
	ReserveZone
)

var reserveNames = [...]string{"no VM", "any one VM", "any one rack", "any one zone"}

// String returns the text that operators read.
func (r Reserve) String() string { return reserveNames[r] }

// Tally is the availability count of one service, with the reserve that waves
// must keep and the failure domains in which they have VMs out.
type Tally struct {
	*budget.Tally
	Reserve  Reserve
	zonesOut map[model.ZoneName]bool // zones in which waves have VMs out
	racksOut map[model.RackName]bool // racks in which waves have VMs out
}

// NewTally returns a Tally based on count. Count must already include the held
// VMs, those that waves hold now, as down; held only tells which zones and racks
// they are in.
func NewTally(count *budget.Tally, held []budget.Member, w model.Weights) *Tally {
	t := &Tally{Tally: count, zonesOut: make(map[model.ZoneName]bool), racksOut: make(map[model.RackName]bool)}
	t.Reserve = chooseReserve(count, w)
	for _, m := range held {
		t.recordDomain(m)
	}
	return t
}

// chooseReserve returns the largest failure that the service can survive while
// planned stops are in progress. Without a reserve, planned stops use up the
// headroom and the first failure violates the budget; a reboot that has begun
// can't be undone to make up for it.
//
// Reserving a whole zone may allow a large service only a few stops at a time.
// If roll-out time has at least the weight of buffer cost, a zone is therefore
// reserved only if 10% of the VMs can still be out at once, the rate of fixed
// batches of that size. A rack or a single VM is reserved if one stop remains
// possible; without that condition a wave would never end.
func chooseReserve(c *budget.Tally, w model.Weights) Reserve {
	headroom := c.Total - c.Required
	largestZone, largestRack := 0, 0
	for _, d := range c.Zones {
		largestZone = max(largestZone, d.Total)
	}
	for _, d := range c.Racks {
		largestRack = max(largestRack, d.Total)
	}
	minStops := 1
	if w.RollOutTime >= w.BufferCost {
		minStops = manualBatch(c.Total)
	}
	switch {
	case headroom-largestZone >= minStops:
		return ReserveZone
	case headroom-largestRack >= 1:
		return ReserveRack
	case headroom >= 2:
		return ReserveVM
	}
	return ReserveNone
}

// manualBatch returns the size of a fixed batch for a wave of n VMs, rounded up.
func manualBatch(n int) int { return int(math.Ceil(manualBatchShare * float64(n))) }

// recordDomain records that waves have a VM out in m's zone and rack.
func (t *Tally) recordDomain(m budget.Member) {
	t.zonesOut[m.Zone] = true
	t.racksOut[m.Rack] = true
}

// MarkTakenOut counts m as down and as held by a wave.
func (t *Tally) MarkTakenOut(m budget.Member) {
	t.MarkDown(m)
	t.recordDomain(m)
}

// RefusalReason returns why a wave can't stop m in addition to the VMs that are
// already down. It returns an empty string if m may be stopped.
func (t *Tally) RefusalReason(m budget.Member) string {
	if !t.Allows(m) {
		return t.ExplainRefusal(m.Zone)
	}
	if !t.keepsReserve(m) {
		return t.explainReserve()
	}
	if !t.zonesOut[m.Zone] && len(t.zonesOut) > 0 && !t.survivesLossOfZones(m) {
		return fmt.Sprintf("service %s has VMs out in another zone than %s", t.Service, m.Zone)
	}
	if !t.racksOut[m.Rack] && len(t.racksOut) > 0 && !t.survivesLossOfRacks(m) {
		return fmt.Sprintf("service %s has VMs out in another rack than %s", t.Service, m.Rack)
	}
	return ""
}

// OrderRefusalReason returns why an operator's order can't stop m while the
// given number of planned stops is in progress. It returns an empty string if m
// may be stopped. With no other stop in progress an order may use the reserve,
// since the operator may know that the VM is faulty. In addition to other stops
// it must leave the reserve intact: otherwise several stops, each harmless on
// its own, would use it up together.
func (t *Tally) OrderRefusalReason(m budget.Member, stops int) string {
	if !t.Allows(m) {
		return t.ExplainRefusal(m.Zone)
	}
	if m.Up && stops > 0 && !t.keepsReserve(m) {
		return t.explainReserve()
	}
	return ""
}

// explainReserve returns the refusal of a stop that would use up the reserve.
func (t *Tally) explainReserve() string {
	return fmt.Sprintf("service %s has %d of %d VMs up, needs %d and must stand the loss of %s",
		t.Service, t.Up, t.Total, t.Required, t.Reserve)
}

// keepsReserve reports whether the service, with m stopped as well, would still
// meet its budget after the failure that the reserve covers.
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

// largestUp returns the largest number of VMs up in one failure domain, after
// one VM of the domain minusOne has been stopped.
func largestUp[K comparable](domains map[K]*budget.Domain, minusOne K) int {
	largest := 0
	for name, d := range domains {
		up := d.Up
		if name == minusOne {
			up--
		}
		largest = max(largest, up)
	}
	return largest
}

// survivesLossOfZones reports whether the service would still meet its budget if
// m's zone and all zones in which waves have VMs out failed together. Waves take
// out VMs in a further zone only if it would: a bad image makes VMs fail where
// it was rolled out, and the other zones must then have enough VMs left.
func (t *Tally) survivesLossOfZones(m budget.Member) bool {
	up := t.Up - t.Zones[m.Zone].Up
	for z := range t.zonesOut {
		up -= t.Zones[z].Up
	}
	return up >= t.Required
}

// survivesLossOfRacks reports whether the service would still meet its budget if
// m's rack and all racks in which waves have VMs out failed together. The reason
// is that of survivesLossOfZones.
func (t *Tally) survivesLossOfRacks(m budget.Member) bool {
	up := t.Up - t.Racks[m.Rack].Up
	for r := range t.racksOut {
		up -= t.Racks[r].Up
	}
	return up >= t.Required
}
