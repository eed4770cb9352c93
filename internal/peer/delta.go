package peer

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/pumicestage/pumicestage/policy/model"
)

// deltaEncoder reduces full digests to the changes that have not yet been sent
// on one connection. TCP delivers in order or the connection breaks, so nothing
// needs to be repeated; a new connection starts with a new deltaEncoder.
type deltaEncoder struct {
	sameZone  bool
	sentFirst bool
	lastSent  Digest // only the slot and health fields, as last sent
	sentLoads map[model.VMID]TargetLoad
}

func newDeltaEncoder(sameZone bool) *deltaEncoder {
	return &deltaEncoder{sameZone: sameZone, sentLoads: make(map[model.VMID]TargetLoad)}
}

// next returns the digest to send for full. It carries at most as many loads as
// limit allows for a digest whose other fields take baseBytes. If more loads
// have changed, those whose last sent value is furthest off go first and the
// rest wait for later digests, which bounds the bytes per second regardless of
// the number of targets.
func (d *deltaEncoder) next(full Digest, limit func(baseBytes int) int) Digest {
	full.Entry, full.Zone = "", "" // already sent in the hello
	d.omitUnchanged(&full)
	full.Full = !d.sentFirst
	d.sentFirst = true
	if !d.sameZone {
		full.Loads = nil
		return full
	}
	changed := d.changedLoads(full.Loads)
	if maxLoads := limit(sizeWithoutLoads(full)); len(changed) > maxLoads {
		slices.SortStableFunc(changed, d.byUrgency)
		changed = changed[:maxLoads]
	}
	for _, l := range changed {
		if l == (TargetLoad{VM: l.VM}) {
			delete(d.sentLoads, l.VM)
		} else {
			d.sentLoads[l.VM] = l
		}
	}
	full.Loads = changed
	return full
}

// omitUnchanged clears the slot and health fields of next if they equal those
// last sent on this connection. In a zone of 600 VMs, the health bitmap alone
// would otherwise take a third of the bytes.
func (d *deltaEncoder) omitUnchanged(next *Digest) {
	if d.sentFirst && equalSlotsAndHealth(&d.lastSent, next) {
		next.Unchanged = true
		next.copySlotsAndHealth(&Digest{})
		return
	}
	// Cloned because the code that fills digests may reuse its slices.
	d.lastSent.Demands = slices.Clone(next.Demands)
	d.lastSent.Loans = slices.Clone(next.Loans)
	d.lastSent.Borrowed = slices.Clone(next.Borrowed)
	d.lastSent.Health = HealthBitmap{VMListHash: next.Health.VMListHash, Bits: bytes.Clone(next.Health.Bits)}
}

// copySlotsAndHealth sets the slot and health fields of g to those of from.
func (g *Digest) copySlotsAndHealth(from *Digest) {
	g.Demands, g.Loans, g.Borrowed, g.Health = from.Demands, from.Loans, from.Borrowed, from.Health
}

func equalSlotsAndHealth(a, b *Digest) bool {
	return slices.Equal(a.Demands, b.Demands) && slices.Equal(a.Loans, b.Loans) && slices.Equal(a.Borrowed, b.Borrowed) &&
		a.Health.VMListHash == b.Health.VMListHash && bytes.Equal(a.Health.Bits, b.Health.Bits)
}

// changedLoads returns the loads that differ from the last sent ones. A target
// that is missing from loads has become idle and is returned with zero values.
func (d *deltaEncoder) changedLoads(loads []TargetLoad) []TargetLoad {
	var changed []TargetLoad
	idle := make(map[model.VMID]bool, len(d.sentLoads))
	for vm := range d.sentLoads {
		idle[vm] = true
	}
	for _, l := range loads {
		delete(idle, l.VM)
		sent, known := d.sentLoads[l.VM]
		if !known {
			sent = TargetLoad{VM: l.VM}
		}
		if l != sent {
			changed = append(changed, l)
		}
	}
	for vm := range idle {
		changed = append(changed, TargetLoad{VM: vm})
	}
	return changed
}

// byUrgency sorts changed flags before changed counts, and larger changes of the
// count before smaller ones.
func (d *deltaEncoder) byUrgency(a, b TargetLoad) int {
	return cmp.Compare(d.urgency(b), d.urgency(a))
}

func (d *deltaEncoder) urgency(l TargetLoad) int {
	const flagChanged = 1 << 20
	sent := d.sentLoads[l.VM]
	n := int(l.InFlight) - int(sent.InFlight)
	if n < 0 {
		n = -n
	}
	if l.Leaving != sent.Leaving || l.Ejected != sent.Ejected {
		n += flagChanged
	}
	return n
}
