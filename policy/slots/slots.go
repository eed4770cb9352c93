// Package slots divides a target's slots among the entry VMs, which agree on
// nothing with each other.
package slots

import (
	"cmp"
	"slices"

	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/rendezvous"
)

// Entry is one live entry VM.
type Entry struct {
	ID   model.EntryID
	Zone model.ZoneName
}

// Target is whose slots are divided.
type Target struct {
	ID    model.VMID
	Zone  model.ZoneName
	Slots int
}

// Share returns how many of the target's slots are the entry VM's own, given
// all live entry VMs. Every entry VM that knows the same entry VMs computes the
// same shares, and shares add up to the slots. Slots are dealt in turn in an
// order hashed per target, its own zone's entry VMs first, so that what does
// not divide evenly falls to those next to the target.
func Share(t Target, entries []Entry, self model.EntryID) int {
	order := rank(t, entries)
	n := len(order)
	if n == 0 {
		return t.Slots
	}
	for i, e := range order {
		if e.ID != self {
			continue
		}
		share := t.Slots / n
		if i < t.Slots%n {
			share++
		}
		return share
	}
	return 0
}

// rank orders entry VMs for a target: its zone's first, then by hash.
func rank(t Target, entries []Entry) []Entry {
	order := slices.Clone(entries)
	slices.SortFunc(order, func(a, b Entry) int {
		if local := (a.Zone == t.Zone); local != (b.Zone == t.Zone) {
			if local {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(weight(t.ID, a.ID), weight(t.ID, b.ID)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return order
}

// Prober returns the zone's entry VM that asks the target for its health: the
// first of the rendezvous order, so that each asks few, whatever the number.
func Prober(t Target, zone model.ZoneName, entries []Entry) model.EntryID {
	var prober model.EntryID
	best := uint64(0)
	for _, e := range entries {
		if w := weight(t.ID, e.ID); e.Zone == zone && (prober == "" || w > best) {
			prober, best = e.ID, w
		}
	}
	return prober
}

// weight is the rendezvous hash of a target and an entry VM.
func weight(t model.VMID, e model.EntryID) uint64 { return rendezvous.Score(string(t), string(e)) }
