package pools

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// Limits bound how many VMs the pools hold together. With zero Limits, VMs are
// parked only after parkAfter and drawn from the parked ones first.
type Limits struct {
	Ready    int            // VMs to keep in all pools together; 0: no limits
	Floor    map[string]int // VMs that each pool keeps, by pool
	IdleTime time.Duration  // how long a VM in excess of Ready is empty before it is parked, per move that parking costs
	// BalanceZones chooses, among VMs of one pool that are equally good to move, those that
	// keep the receiving pool balanced over the zones.
	BalanceZones bool
	// NoParking means that no VM is parked, with limits or without. It is set while it is not
	// known how many VMs are needed.
	NoParking bool
}

func (l Limits) active() bool { return l.Ready > 0 }

// KeptVMs returns how many VMs each pool that isn't parked keeps without load.
func KeptVMs(pools []Pool) int { return ceilShare(equalSplit(pools), keepShare) }

// HeldVMs returns how many VMs the pools that aren't parked hold together, incoming
// ones included.
func HeldVMs(pools []Pool) int {
	held := 0
	for i := range pools {
		if !pools[i].Parked {
			held += len(pools[i].VMs) + len(pools[i].Incoming)
		}
	}
	return held
}

// parkedPool returns the index of the pool whose VMs are switched off, or -1.
func parkedPool(pools []Pool) int {
	return slices.IndexFunc(pools, func(p Pool) bool { return p.Parked })
}

// order puts parked donors behind all others if there are limits.
func (l Limits) order(donors []donor) {
	if l.active() {
		slices.SortStableFunc(donors, func(a, b donor) int { return cmp.Compare(a.parkedRank(), b.parkedRank()) })
	}
}

func (d donor) parkedRank() int {
	if d.parked {
		return 1
	}
	return 0
}

// usable returns the donors that a shortage may draw from while the pools hold held
// VMs. Parked ones are left out if the pools hold enough, unless the VMs are lacking
// now: arrivals that are extrapolated do not justify a VM in excess of Ready.
func (l Limits) usable(donors []donor, held int, lackingNow bool) []donor {
	if !l.active() || held < l.Ready || lackingNow {
		return donors
	}
	return donors[:firstParked(donors)]
}

// lendable returns the donors that may be lent while the pools hold held VMs.
func (l Limits) lendable(donors []donor, held int) []donor {
	if !l.active() {
		return donors
	}
	return donors[:min(len(donors), firstParked(donors)+max(0, l.Ready-held))]
}

// firstParked returns the index of the first parked donor, or their number if there
// is none. The parked donors must be last.
func firstParked(donors []donor) int {
	return sort.Search(len(donors), func(i int) bool { return donors[i].parked })
}

// park returns moves to the parked pool of the VMs in excess of Ready that have been
// empty for long enough, the longest empty first. Each pool keeps its floor, and at
// least keep VMs.
func (l Limits) park(pools []Pool, keep int) []Move {
	off, excess := parkedPool(pools), HeldVMs(pools)-l.Ready
	if off < 0 || excess <= 0 {
		return nil
	}
	var idle []idleVM
	for i := range pools {
		p := &pools[i]
		if !p.Parked && !p.hasWork() {
			idle = append(idle, p.idleVMs(len(p.VMs)-max(keep, l.Floor[p.Name]), l.idleTime(pools, p))...)
		}
	}
	longestEmptyFirst(idle)
	out := make([]Move, 0, min(excess, len(idle)))
	for _, vm := range idle[:min(excess, len(idle))] {
		out = append(out, Move{VM: vm.id, From: vm.pool, To: pools[off].Name})
	}
	return out
}

// hasWork reports whether any work of the pool waits, late or not, or it could use
// more VMs.
func (p *Pool) hasWork() bool {
	return p.Backlog > 0 || p.LateBacklog > 0 || p.MissingVMs > 0 || p.SpareDemand > 0
}

// idleVM is a VM that may be parked.
type idleVM struct {
	id, pool string
	emptyFor time.Duration
}

// idleVMs returns the VMs of the pool that have been empty for at least minimum, at
// most limit of them, the longest empty.
func (p *Pool) idleVMs(limit int, minimum time.Duration) []idleVM {
	var out []idleVM
	for i := range p.VMs {
		if vm := &p.VMs[i]; vm.Empty && vm.EmptyFor >= minimum {
			out = append(out, idleVM{id: vm.ID, pool: p.Name, emptyFor: vm.EmptyFor})
		}
	}
	if len(out) <= limit {
		return out
	}
	longestEmptyFirst(out)
	return out[:max(0, limit)]
}

func longestEmptyFirst(vms []idleVM) {
	slices.SortFunc(vms, func(a, b idleVM) int {
		if c := cmp.Compare(b.emptyFor, a.emptyFor); c != 0 {
			return c
		}
		return cmp.Compare(a.id, b.id)
	})
}

// idleTime returns how long a VM of p must have been empty before it is parked. If
// another pool has had a backlog since p's last one, or within parkAfter, bursts
// alternate, and the VM would move to the next pool anyway: parking it costs one more
// move. Otherwise its own pool needs it next, and parking costs two.
func (l Limits) idleTime(pools []Pool, p *Pool) time.Duration {
	recent := max(p.SinceBacklog, parkAfter)
	alternate := slices.ContainsFunc(pools, func(o Pool) bool {
		return !o.Parked && o.Name != p.Name && o.SinceBacklog < recent
	})
	if alternate {
		return max(minEmptyTime, l.IdleTime)
	}
	return max(minEmptyTime, 2*l.IdleTime)
}
