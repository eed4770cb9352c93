// Package pools decides which VMs move from one pool to another.
//
// Load pattern: bursts alternate between the queues. For some seconds a queue
// has several times its mean load, more than its pool can serve, and next to
// nothing in between, while the VMs of the other pools are idle. With fixed pools
// most jobs of a burst are late, so idle VMs are moved to where the backlog is. A
// move has a cost and makes the VM unavailable for a second or two, so a VM moves
// only for a backlog that outlasts the move. VMs are taken first from the pool
// whose burst ended last: as bursts alternate, its next burst is the furthest away.
//
// The late backlog of a burst that exceeded the fleet's capacity is worth nothing
// to its callers any more, but takes seconds to work off. VMs are moved for it only
// while no useful work waits anywhere, and it keeps no VMs from pools that have
// useful work waiting.
//
// Work that asks for a label may wait although its pool has enough VMs without
// that label. The pool then requests VMs with the label and gives the others away.
// If it kept them for a backlog that they can't serve, all other pools would starve.
package pools

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// VM describes a VM of a pool.
type VM struct {
	ID       string
	Cores    float64
	Zone     string // availability zone; empty if unknown
	Labels   []string
	Empty    bool          // no task runs on it, and it may be moved
	EmptyFor time.Duration // how long it has been empty
}

// Pool describes a pool, its VMs and its load.
type Pool struct {
	Name         string
	Parked       bool          // it holds the VMs that are switched off
	VMs          []VM          // up and accepting tasks
	Incoming     []VM          // ordered to the pool and not yet there
	Used         float64       // cores in use
	Backlog      float64       // waiting work that is still of use, in core-seconds
	LateBacklog  float64       // waiting work that is too late to be of use, in core-seconds
	ArrivalRate  float64       // recent arrivals, in core-seconds per second
	MissingVMs   int           // VMs needed in addition, however much is free on the others
	SinceBacklog time.Duration // time since it last had a backlog
	// LostTasks means that some of Used is on VMs of a lost zone, which are not in
	// VMs: these tasks need other VMs once their leases have expired.
	LostTasks bool
	// SpareDemand is how many empty VMs it could use while no pool is short of
	// VMs.
	SpareDemand int
	// ByLabel is the part of the load that only VMs with the label can serve,
	// by label.
	ByLabel map[string]LabelDemand
}

// LabelDemand is load that only VMs with a certain label can serve.
type LabelDemand struct {
	Used        float64 // cores in use
	Backlog     float64 // waiting work that is still of use, in core-seconds
	LateBacklog float64 // waiting work that is too late to be of use, in core-seconds
	MissingVMs  int     // VMs with the label needed in addition, however much is free on the others
}

func (v *VM) hasLabel(label string) bool { return label == "" || slices.Contains(v.Labels, label) }

// backlogEpsilon is the backlog, in core-seconds, below which it counts as zero:
// floating-point sums of the same parts in another order differ in the last digits.
const backlogEpsilon = 1e-6

// unlabelledBacklog returns the backlog that any VM can serve, in core-seconds.
func (p *Pool) unlabelledBacklog() float64 {
	out := p.Backlog
	for _, b := range p.ByLabel {
		out -= b.Backlog
	}
	if out < backlogEpsilon {
		return 0
	}
	return out
}

// hasBacklogFor reports whether work of the pool waits for a label that the VM has.
func (p *Pool) hasBacklogFor(vm *VM) bool {
	for label, b := range p.ByLabel {
		if b.Backlog > 0 && vm.hasLabel(label) {
			return true
		}
	}
	return false
}

// cores returns the cores of the pool's VMs with the label, incoming ones included;
// of all its VMs if label is empty.
func (p *Pool) cores(label string) float64 {
	return coresOf(p.VMs, label) + coresOf(p.Incoming, label)
}

// coresOf returns the cores of those of the VMs that have the label.
func coresOf(vms []VM, label string) (sum float64) {
	for i := range vms {
		if vms[i].hasLabel(label) {
			sum += vms[i].Cores
		}
	}
	return sum
}

// largestVM returns the cores of the largest VM with the label that accepts tasks or is parked.
func largestVM(pools []Pool, label string) (cores float64) {
	for i := range pools {
		for v := range pools[i].VMs {
			if vm := &pools[i].VMs[v]; vm.hasLabel(label) {
				cores = max(cores, vm.Cores)
			}
		}
	}
	return cores
}

// Move is an order to move a VM from one pool to another.
type Move struct {
	VM, From, To string
}

const (
	// DrainTime is the time in which a backlog should be worked off. The shortest
	// jobs are late two seconds after their acceptance, of which a move takes
	// most. A shorter time, down to 0.4 s, makes no difference.
	DrainTime = 900 * time.Millisecond
	// arrivalFactor is the multiple of the arrival rate for which a pool requests
	// VMs. A burst grows for two seconds, and a VM ordered now arrives in the last
	// of them: VMs requested for the current rate arrive when half of the burst is
	// over, whereas a VM too many costs only a move. 1.5 serves 1% more than 1, 2
	// serves 0.5% more than 1.5, 3 serves 2% more, and 4.5 adds nothing.
	arrivalFactor = 3.0
	// keepShare is the number of VMs that stay in a pool without load, as a
	// fraction of an equal split of all VMs over the pools. They serve the first
	// jobs of a burst and long-running tasks that need another VM. With faults, a
	// third serves 1% less and a sixth 0.5% less.
	keepShare = 1.0 / 4
	// parkAfter is how long a VM must have been empty before it is parked. Parking
	// saves the cost of the VM, but costs two moves, and the VM is missing for the
	// duration of a move when the next burst begins. With less than ten seconds
	// between bursts, parking after 2.3 s doubles the moves and saves 5% of the VM
	// time for no gain; after 8 s it serves 3% less. So a VM is parked only after
	// several times the pause between bursts.
	parkAfter = 30 * time.Second
	// unparkedShare is the number of VMs of a pool without load that are not
	// parked, as a fraction of an equal split likewise: its next burst runs on
	// them alone for the first second and a half. A third and a sixth serve less;
	// two thirds serve as much at a higher cost.
	unparkedShare = 1.0 / 2
	// minEmptyTime is how long a VM must have been empty before it may be moved:
	// the tasks of a step end moments before those of the next step start.
	minEmptyTime = 150 * time.Millisecond
)

// Decide returns the moves to order now. With zero limits, the number of VMs that the
// pools hold together is not limited.
func Decide(pools []Pool, limits Limits) []Move {
	var moves []Move
	evenShare := equalSplit(pools)
	balance := newZoneBalance(pools, limits.BalanceZones)
	pools = balance.interleaved(pools)
	useful := slices.ContainsFunc(pools, func(p Pool) bool { return p.hasUsefulDemand() })
	if !useful {
		pools = withLateBacklog(pools)
	}
	missing := shortages(pools)
	donors := findDonors(pools, ceilShare(evenShare, keepShare), limits)
	held := HeldVMs(pools)
	for _, w := range missing {
		for w.cores > 0 {
			i := chooseDonor(w, missing, limits.usable(donors, held, useful && w.coresNow > 0))
			if i < 0 {
				break
			}
			i = balance.choose(i, w, missing, donors)
			d := donors[i]
			// Removing each donor from the list took three quarters of the time for 1,400 moves.
			donors[i].used = true
			moves = append(moves, Move{VM: d.vm.ID, From: d.from, To: w.name})
			w.cores -= d.vm.Cores
			w.coresNow -= d.vm.Cores
			if d.parked {
				held++
			}
			donors = withoutUsedFirst(donors)
		}
	}
	if len(missing) > 0 {
		return moves
	}
	moves = append(moves, lend(pools, limits.lendable(donors, held))...)
	if limits.NoParking {
		return moves
	}
	if limits.active() {
		if len(moves) > 0 { // a VM that is lent must not be parked as well
			return moves
		}
		return limits.park(pools, ceilShare(evenShare, keepShare))
	}
	return append(moves, park(pools, ceilShare(evenShare, unparkedShare))...)
}

// hasUsefulDemand reports whether the pool has waiting work that is still of use, or
// needs further VMs.
func (p *Pool) hasUsefulDemand() bool { return !p.Parked && (p.Backlog > 0 || p.lacksVMs()) }

// lacksVMs reports whether the pool needs further VMs although it may have no backlog.
func (p *Pool) lacksVMs() bool {
	return p.MissingVMs > 0 || p.LostTasks && p.Used > p.cores("")
}

// lacksLabelledVMs reports whether the pool needs further VMs with some label.
func (p *Pool) lacksLabelledVMs() bool {
	for _, b := range p.ByLabel {
		if b.MissingVMs > 0 {
			return true
		}
	}
	return false
}

// withLateBacklog returns a copy of the pools whose backlog includes the late
// backlog.
func withLateBacklog(pools []Pool) []Pool {
	out := slices.Clone(pools)
	for i := range out {
		p := &out[i]
		p.Backlog += p.LateBacklog
		byLabel := make(map[string]LabelDemand, len(p.ByLabel))
		for label, b := range p.ByLabel {
			b.Backlog += b.LateBacklog
			byLabel[label] = b
		}
		p.ByLabel = byLabel
	}
	return out
}

// lend returns the moves of VMs that no pool is short of to pools with spare demand.
func lend(pools []Pool, donors []donor) []Move {
	var out []Move
	for i := range pools {
		p := &pools[i]
		demand := p.SpareDemand - len(p.Incoming)
		for _, vm := range p.VMs {
			if vm.Empty {
				demand--
			}
		}
		if demand <= 0 {
			continue
		}
		for _, d := range donors {
			if demand > 0 && d.from != p.Name && !slices.ContainsFunc(out, func(m Move) bool { return m.VM == d.vm.ID }) {
				out = append(out, Move{VM: d.vm.ID, From: d.from, To: p.Name})
				demand--
			}
		}
	}
	return out
}

// equalSplit returns how many VMs each pool would have if all were split evenly.
// Incoming VMs count: without them each round of moves would make the split smaller
// and so allow more moves in the next, until hardly a VM is left in any pool.
func equalSplit(pools []Pool) float64 {
	vms, active := 0, 0
	for _, p := range pools {
		vms += len(p.VMs) + len(p.Incoming)
		if !p.Parked {
			active++
		}
	}
	return float64(vms) / float64(max(1, active))
}

func ceilShare(evenShare, share float64) int { return int(math.Ceil(evenShare * share)) }

// park returns moves of VMs that have been empty for at least parkAfter to the
// parked pool, the one whose VMs are switched off. Pools with demand give
// none away, and each other pool keeps at least keep VMs.
func park(pools []Pool, keep int) []Move {
	i := parkedPool(pools)
	if i < 0 {
		return nil
	}
	var out []Move
	for _, p := range pools {
		if p.Parked || p.Backlog > 0 || p.MissingVMs > 0 || p.SpareDemand > 0 {
			continue
		}
		surplus := len(p.VMs) - keep
		for _, vm := range p.VMs {
			if surplus > 0 && vm.Empty && vm.EmptyFor >= parkAfter {
				out = append(out, Move{VM: vm.ID, From: p.Name, To: pools[i].Name})
				surplus--
			}
		}
	}
	return out
}

// shortage is an amount of cores that a pool lacks.
type shortage struct {
	name  string
	label string // that the VMs need; empty: any VM will do
	cores float64
	// coresNow is the part of cores that is lacking now, that is without the
	// extrapolated arrivals.
	coresNow float64
}

// shortages returns what the pools lack: shortages of VMs with a label first, as no
// other VM can replace those, then by size, largest first.
func shortages(pools []Pool) []shortage {
	var out []shortage
	for i := range pools {
		p := &pools[i]
		if p.Parked || p.Backlog <= 0 && !p.lacksVMs() && !p.lacksLabelledVMs() {
			continue
		}
		missing, missingNow := p.missingCores(arrivalFactor*p.ArrivalRate), p.missingCores(0)
		for label, b := range p.ByLabel {
			cores := 0.0
			if b.Backlog > 0 {
				cores = b.Used + b.Backlog/DrainTime.Seconds() - p.cores(label)
			}
			cores = max(cores, float64(b.MissingVMs)*largestVM(pools, label)-coresOf(p.Incoming, label))
			if cores <= 0 || !labelExists(pools, label) {
				continue
			}
			out = append(out, shortage{name: p.Name, label: label, cores: cores, coresNow: cores})
			missing -= cores
			missingNow -= cores
		}
		if missing > 0 && (p.unlabelledBacklog() > 0 || p.lacksVMs()) {
			out = append(out, shortage{name: p.Name, cores: missing, coresNow: missingNow})
		}
	}
	slices.SortFunc(out, func(a, b shortage) int {
		return cmp.Or(-cmp.Compare(min(len(a.label), 1), min(len(b.label), 1)), cmp.Compare(b.cores, a.cores),
			cmp.Compare(a.name, b.name), cmp.Compare(a.label, b.label))
	})
	return out
}

// missingCores returns how many cores the pool lacks in all, whatever their labels,
// if it must serve expected cores of arrivals. It is not positive if the pool lacks
// none.
func (p *Pool) missingCores(expected float64) float64 {
	incomingCores, largest := 0.0, 0.0
	for _, vm := range p.Incoming {
		incomingCores += vm.Cores
	}
	for _, vm := range p.VMs {
		largest = max(largest, vm.Cores)
	}
	// The pool must serve what will arrive and work off its backlog as well. Cores
	// in use don't suffice as the measure of the load, as they can't exceed the
	// cores that the pool has.
	missing := max(p.Used, expected) + p.Backlog/DrainTime.Seconds() - p.cores("")
	return max(missing, float64(p.MissingVMs)*largest-incomingCores)
}

// labelExists reports whether any VM has the label. A shortage that no VM can end
// must not keep idle VMs from being parked.
func labelExists(pools []Pool, label string) bool {
	for i := range pools {
		if pools[i].cores(label) > 0 {
			return true
		}
	}
	return false
}

// chooseDonor returns the index of the first donor that can serve the shortage, for
// an unlabelled shortage preferably one without a label that some pool lacks. It
// returns -1 if no donor can serve it.
func chooseDonor(w shortage, all []shortage, donors []donor) int {
	fallback := -1
	for i := range donors {
		if donors[i].used || !donors[i].vm.hasLabel(w.label) {
			continue
		}
		if w.label != "" || !anyNeedsLabelOf(all, donors[i].vm) {
			return i
		}
		if fallback < 0 {
			fallback = i
		}
	}
	return fallback
}

func anyNeedsLabelOf(all []shortage, vm *VM) bool {
	return slices.ContainsFunc(all, func(w shortage) bool { return w.label != "" && vm.hasLabel(w.label) })
}

type donor struct {
	vm           *VM
	from         string
	sinceBacklog time.Duration
	parked       bool
	used         bool // it has been chosen to move
}

// withoutUsedFirst returns the donors from the first that is not used.
func withoutUsedFirst(donors []donor) []donor {
	for len(donors) > 0 && donors[0].used {
		donors = donors[1:]
	}
	return donors
}

// findDonors returns the VMs that may be moved away, least needed first: parked
// VMs, then those of the pools that had a backlog last; with limits, the parked VMs
// are last. Each pool that isn't parked keeps its floor, and at least keep VMs.
func findDonors(pools []Pool, keep int, limits Limits) []donor {
	var out []donor
	for i := range pools {
		p := &pools[i]
		if p.unlabelledBacklog() > 0 || p.lacksVMs() {
			continue
		}
		surplus := len(p.VMs) - max(keep, limits.Floor[p.Name])
		sinceBacklog := p.SinceBacklog
		if p.Parked {
			surplus, sinceBacklog = math.MaxInt, -1
		}
		for v := range p.VMs {
			if surplus <= 0 {
				break
			}
			vm := &p.VMs[v]
			if vm.Empty && !p.hasBacklogFor(vm) && (p.Parked || vm.EmptyFor >= minEmptyTime) {
				out = append(out, donor{vm: vm, from: p.Name, sinceBacklog: sinceBacklog, parked: p.Parked})
				surplus--
			}
		}
	}
	slices.SortStableFunc(out, func(a, b donor) int { return cmp.Compare(a.sinceBacklog, b.sinceBacklog) })
	limits.order(out)
	return out
}
