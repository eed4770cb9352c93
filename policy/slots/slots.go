// Package slots divides a target's slots among the entry VMs without consensus
// between them. Each computes its share from the list of live entry VMs; idle
// slots are lent between peers.
package slots

import (
	"cmp"
	"slices"

	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/rendezvous"
)

// Entry is a live entry VM.
type Entry struct {
	ID   model.EntryID
	Zone model.ZoneName
}

// Target is a VM whose slots are divided.
type Target struct {
	ID    model.VMID
	Zone  model.ZoneName
	Slots int
}

// Share returns how many of the target's slots belong to the entry VM self,
// given all live entry VMs; all slots if entries is empty, none if self is not
// among them. Entry VMs with the same list compute the same shares, and the
// shares sum to the slots. Slots are dealt in turn, in an order hashed per
// target with entry VMs of the target's zone first, so that the remainder goes
// to those closest to the target.
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

// rank sorts entry VMs for a target: those of its zone first, then by hash.
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

// Prober returns the zone's entry VM that probes the target's health, the one
// with the highest rendezvous score, so that probing is spread over the entry
// VMs. It is empty if the zone has none.
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

// weight returns the rendezvous score of an entry VM for a target.
func weight(t model.VMID, e model.EntryID) uint64 { return rendezvous.Score(string(t), string(e)) }
