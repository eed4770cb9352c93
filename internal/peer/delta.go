package peer

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/pumicestage/pumicestage/policy/model"
)

// delta turns full digests into what one connection has not been told yet.
// TCP delivers in order or breaks, so nothing need be repeated; a new
// connection starts with a new delta.
type delta struct {
	sameZone bool
	started  bool
	last     Digest // what of slots and vitals was told last
	told     map[model.VMID]TargetLoad
}

func newDelta(sameZone bool) *delta {
	return &delta{sameZone: sameZone, told: make(map[model.VMID]TargetLoad)}
}

// next returns the digest to send, with at most limit loads. Where more have
// changed, those that mislead the peer most go first and the others wait:
// bytes per second stay bounded however many targets there are.
func (d *delta) next(full Digest, limit func(bareBytes int) int) Digest {
	full.Entry, full.Zone = "", "" // the hello told them
	d.dropSame(&full)
	full.Full = !d.started
	d.started = true
	if !d.sameZone {
		full.Loads = nil
		return full
	}
	changed := d.changes(full.Loads)
	if most := limit(bareBytes(full)); len(changed) > most {
		slices.SortStableFunc(changed, d.byUrgency)
		changed = changed[:most]
	}
	for _, l := range changed {
		if l == (TargetLoad{VM: l.VM}) {
			delete(d.told, l.VM)
		} else {
			d.told[l.VM] = l
		}
	}
	full.Loads = changed
	return full
}

// dropSame leaves out what of slots and vitals this connection was told last.
// The vitals of a zone of 600 VMs alone would take a third of the bytes.
func (d *delta) dropSame(next *Digest) {
	if d.started && sameExtras(&d.last, next) {
		next.Unchanged = true
		next.setExtras(&Digest{})
		return
	}
	// Copies: who fills digests may use its slices again.
	d.last.Demands = slices.Clone(next.Demands)
	d.last.Loans = slices.Clone(next.Loans)
	d.last.Borrowed = slices.Clone(next.Borrowed)
	d.last.Health = HealthBitmap{VMListHash: next.Health.VMListHash, Bits: bytes.Clone(next.Health.Bits)}
}

// setExtras makes what is told of slots and vitals that of another digest.
func (g *Digest) setExtras(of *Digest) {
	g.Demands, g.Loans, g.Borrowed, g.Health = of.Demands, of.Loans, of.Borrowed, of.Health
}

func sameExtras(a, b *Digest) bool {
	return slices.Equal(a.Demands, b.Demands) && slices.Equal(a.Loans, b.Loans) && slices.Equal(a.Borrowed, b.Borrowed) &&
		a.Health.VMListHash == b.Health.VMListHash && bytes.Equal(a.Health.Bits, b.Health.Bits)
}

func (d *delta) changes(loads []TargetLoad) []TargetLoad {
	var changed []TargetLoad
	idle := make(map[model.VMID]bool, len(d.told))
	for vm := range d.told {
		idle[vm] = true
	}
	for _, l := range loads {
		delete(idle, l.VM)
		told, known := d.told[l.VM]
		if !known {
			told = TargetLoad{VM: l.VM}
		}
		if l != told {
			changed = append(changed, l)
		}
	}
	for vm := range idle {
		changed = append(changed, TargetLoad{VM: vm})
	}
	return changed
}

// byUrgency orders flags before counts, then greater changes of count first.
func (d *delta) byUrgency(a, b TargetLoad) int {
	return cmp.Compare(d.urgency(b), d.urgency(a))
}

func (d *delta) urgency(l TargetLoad) int {
	const flagChanged = 1 << 20
	told := d.told[l.VM]
	n := int(l.InFlight) - int(told.InFlight)
	if n < 0 {
		n = -n
	}
	if l.Leaving != told.Leaving || l.Ejected != told.Ejected {
		n += flagChanged
	}
	return n
}
