package pools

import (
	"cmp"
	"slices"
)

// ZoneCount is how many VMs of a zone are polled, and how many of these are silent. VMs
// without tasks are not polled, so nothing is known of them.
type ZoneCount struct{ Polled, Silent int }

// minSilentVMs is how many VMs of a zone must be silent before it is lost. A single VM fails
// by itself far more often than a zone.
const minSilentVMs = 2

// mostlySilent reports whether at least half of the polled VMs are silent. Half is above what
// a rack holds of its zone, and does not wait for VMs whose polls have not failed yet.
func (z ZoneCount) mostlySilent() bool { return z.Silent > 0 && 2*z.Silent >= z.Polled }

// LostZones returns the zones that are lost. A zone becomes lost if at least half of its
// polled VMs, and at least two, are silent while those of another zone are not: an owner
// that sees all zones silent is itself the likely cause. before holds the zones that were
// lost until now. They stay lost until more than half of their polled VMs answer; while
// complete is false, reports are missing, and having no polled VMs does not end the loss.
// VMs whose zone is unknown (empty) belong to no zone.
func LostZones(counts map[string]ZoneCount, before map[string]bool, complete bool) map[string]bool {
	lost := make(map[string]bool)
	for zone := range before {
		if z := counts[zone]; z.mostlySilent() || z.Polled == 0 && !complete {
			lost[zone] = true
		}
	}
	for zone, z := range counts {
		if zone != "" && z.Silent >= minSilentVMs && z.mostlySilent() && anotherAnswers(counts, zone) {
			lost[zone] = true
		}
	}
	return lost
}

// anotherAnswers reports whether more than half of the polled VMs of another zone answer.
func anotherAnswers(counts map[string]ZoneCount, zone string) bool {
	for other, z := range counts {
		if other != zone && other != "" && z.Polled > 0 && !z.mostlySilent() {
			return true
		}
	}
	return false
}

// zoneBalance counts the VMs of each pool by zone while moves are decided. A nil
// *zoneBalance balances nothing.
type zoneBalance struct {
	byPool map[string]map[string]int // VMs by pool and zone; incoming ones and moves decided so far included
	left   map[string]map[string]int // donors left, by pool and zone; nil until the first choice
}

// newZoneBalance counts the VMs of the pools; it returns nil unless zones are to be balanced.
func newZoneBalance(pools []Pool, enabled bool) *zoneBalance {
	if !enabled {
		return nil
	}
	b := &zoneBalance{byPool: make(map[string]map[string]int, len(pools))}
	for i := range pools {
		count := make(map[string]int)
		for _, vms := range [][]VM{pools[i].VMs, pools[i].Incoming} {
			for j := range vms {
				count[vms[j].Zone]++
			}
		}
		b.byPool[pools[i].Name] = count
	}
	return b
}

// interleaved returns a copy of the pools in which the empty VMs of a pool alternate between
// the zones, otherwise in the same order. A pool that gives only some of its empty VMs away
// would otherwise give those of one zone, as they are ordered by ID.
func (b *zoneBalance) interleaved(pools []Pool) []Pool {
	if b == nil {
		return pools
	}
	out := slices.Clone(pools)
	for i := range out {
		out[i].VMs = interleave(out[i].VMs)
	}
	return out
}

func interleave(vms []VM) []VM {
	type ranked struct {
		vm   int // index in vms
		rank int // among the empty VMs of its zone
	}
	order := make([]ranked, len(vms))
	seen := make(map[string]int)
	for i := range vms {
		order[i].vm = i
		if vms[i].Empty {
			order[i].rank = seen[vms[i].Zone]
			seen[vms[i].Zone]++
		}
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	out := make([]VM, len(vms))
	for i, r := range order {
		out[i] = vms[r.vm]
	}
	return out
}

// choose returns the index of the donor to move for the shortage w in place of donors[i],
// which chooseDonor has returned: of the donors of the same pool that serve w as well, the
// first one in the zone of which the receiving pool has the fewest VMs. It counts the move.
func (b *zoneBalance) choose(i int, w shortage, all []shortage, donors []donor) int {
	if b == nil {
		return i
	}
	if b.left == nil {
		b.countDonors(donors)
	}
	count := b.byPool[w.name]
	first := &donors[i]
	left := b.left[first.from]
	labelNeeded := anyNeedsLabelOf(all, first.vm)
	best, tried := i, map[string]bool{first.vm.Zone: true}
	for j := i + 1; len(tried) < len(left) && j < len(donors) && donors[j].from == first.from; j++ {
		vm := donors[j].vm
		if donors[j].used || tried[vm.Zone] || !vm.hasLabel(w.label) || w.label == "" && anyNeedsLabelOf(all, vm) != labelNeeded {
			continue
		}
		// Further VMs of this zone are no better than this one.
		tried[vm.Zone] = true
		if count[vm.Zone] < count[donors[best].vm.Zone] {
			best = j
		}
	}
	zone := donors[best].vm.Zone
	count[zone]++
	if left[zone]--; left[zone] == 0 {
		delete(left, zone)
	}
	return best
}

// countDonors counts the donors, so that choose need not pass over all donors of a pool to
// find that a zone has none left.
func (b *zoneBalance) countDonors(donors []donor) {
	b.left = make(map[string]map[string]int)
	for i := range donors {
		d := &donors[i]
		if b.left[d.from] == nil {
			b.left[d.from] = make(map[string]int)
		}
		b.left[d.from][d.vm.Zone]++
	}
}
