// Package pools decides which VMs change their pool.
//
// Load pattern: demand goes round the queues. Each in its turn asks several
// times its mean for some seconds, more than its pool holds, and next to nothing
// in between; the VMs of the other pools stand idle meanwhile. With fixed pools
// most of a burst is late. Idle VMs therefore follow the backlog. A move takes
// the VM away for a second or two and has a price, so a VM moves only for a
// backlog that outlasts that, and idle VMs come from where the next burst is
// furthest: as bursts take turns, that is where the last one has just ended.
//
// What is left of a burst that was more than the fleet bears is of no use to its callers any
// more, and takes seconds to be worked off. It draws VMs only while nothing waits that is still
// of use, and keeps none from where something does.
//
// Work that asks for a label waits although its pool has VMs enough, of another
// kind: for it the pool draws VMs with the label, and gives the others away. A pool
// that kept them for a backlog they can't take would let all other pools starve.
package pools

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// VM is one VM as the decision sees it.
type VM struct {
	ID       string
	Cores    float64
	Labels   []string
	Empty    bool          // nothing runs on it, and it may leave
	EmptyFor time.Duration // how long it has been empty
}

// Pool is one pool.
type Pool struct {
	Name         string
	Parked       bool          // its VMs are off
	VMs          []VM          // up and open to new tasks
	Incoming     []VM          // on their way
	Used         float64       // cores in use
	Backlog      float64       // core-seconds that wait for room and are still of use
	LateBacklog  float64       // core-seconds that wait for room, too late to be of use
	ArrivalRate  float64       // core-seconds a second that came of late
	MissingVMs   int           // VMs that are lacked whatever is free on the others
	SinceBacklog time.Duration // since it last had a backlog
	// SpareDemand is how many empty VMs it could use while no other pool lacks any.
	SpareDemand int
	// ByLabel is the part of the load that only VMs with the label can take.
	ByLabel map[string]LabelDemand
}

// LabelDemand is load that asks for a label.
type LabelDemand struct {
	Used        float64 // cores in use
	Backlog     float64 // core-seconds that wait for room and are still of use
	LateBacklog float64 // core-seconds that wait for room, too late to be of use
}

func (v *VM) has(label string) bool { return label == "" || slices.Contains(v.Labels, label) }

// nothing is what a backlog in core-seconds is taken to be none below: sums of the
// same parts in another order differ in their last digits.
const nothing = 1e-6

// free is the backlog that any VM can take.
func (p *Pool) free() float64 {
	out := p.Backlog
	for _, b := range p.ByLabel {
		out -= b.Backlog
	}
	if out < nothing {
		return 0
	}
	return out
}

// waitsFor reports whether work of the pool waits for a label of the VM.
func (p *Pool) waitsFor(vm *VM) bool {
	for label, b := range p.ByLabel {
		if b.Backlog > 0 && vm.has(label) {
			return true
		}
	}
	return false
}

// cores is what the pool has, or is about to have, with the label.
func (p *Pool) cores(label string) (sum float64) {
	for _, vms := range [][]VM{p.VMs, p.Incoming} {
		for i := range vms {
			if vms[i].has(label) {
				sum += vms[i].Cores
			}
		}
	}
	return sum
}

// Move is one VM to change its pool.
type Move struct {
	VM, From, To string
}

const (
	// DrainTime is how fast a backlog should be worked off. The shortest jobs
	// are late two seconds after their acceptance, of which a move takes most.
	// Between 0.4 s and this no difference was found.
	DrainTime = 900 * time.Millisecond
	// arrivalShare is how many times what arrives a pool draws VMs for. A burst swells
	// for two seconds, and a VM that is ordered now arrives in the last of them: drawn for
	// the rate of now, VMs came as the burst was over half. A VM too many costs a move.
	// With 1.5 a hundredth more is served than with 1, with 2 half a hundredth beyond
	// that, with 3 two hundredths, with 4.5 no more.
	arrivalShare = 3.0
	// keepShare is how many VMs stay in a pool without load, for what comes
	// first and for lasting tasks that need another place, as a share of an
	// equal split of all VMs over the pools. A third serves a hundredth less on
	// days with faults, a sixth half a hundredth less.
	keepShare = 1.0 / 4
	// parkAfter is how long a VM stays empty before it is parked. A parked VM saves
	// its cost, pays for two moves, and is missing for a move's time as the next
	// burst begins. Where bursts follow each other within ten seconds, parking after
	// 2.3 s doubled the moves and saved a twentieth of the VMs' time, for no gain;
	// after 8 s it cost three hundredths of what is served. So only what stays
	// empty for several times the pauses between bursts is parked.
	parkAfter = 30 * time.Second
	// stayShare is how many VMs of a quiet pool are not parked, likewise: the
	// first second and a half of its next burst runs on them alone. A half did
	// better than a third and a sixth, and as well as two thirds for less.
	stayShare = 1.0 / 2
	// emptyFor is how long a VM must have been empty: a step's tasks end
	// moments before the next step's start.
	emptyFor = 150 * time.Millisecond
)

// Decide returns the moves to order now.
func Decide(pools []Pool) []Move {
	var moves []Move
	split := equalSplit(pools)
	if !slices.ContainsFunc(pools, func(p Pool) bool { return p.waitsInTime() }) {
		pools = withLeftovers(pools)
	}
	wanting := wants(pools)
	donors := donorsOf(pools, shareOf(split, keepShare))
	for _, w := range wanting {
		for w.cores > 0 {
			i := donorFor(w, wanting, donors)
			if i < 0 {
				break
			}
			d := donors[i]
			donors = slices.Delete(donors, i, i+1)
			moves = append(moves, Move{VM: d.vm.ID, From: d.from, To: w.name})
			w.cores -= d.vm.Cores
		}
	}
	if len(wanting) > 0 {
		return moves
	}
	moves = append(moves, lend(pools, donors)...)
	return append(moves, park(pools, shareOf(split, stayShare))...)
}

// waitsInTime reports whether the pool lacks something for work that is still of use.
func (p *Pool) waitsInTime() bool { return !p.Parked && (p.Backlog > 0 || p.MissingVMs > 0) }

// withLeftovers returns the pools with all that waits as their backlog.
func withLeftovers(pools []Pool) []Pool {
	out := slices.Clone(pools)
	for i := range out {
		p := &out[i]
		p.Backlog += p.LateBacklog
		bound := make(map[string]LabelDemand, len(p.ByLabel))
		for label, b := range p.ByLabel {
			b.Backlog += b.LateBacklog
			bound[label] = b
		}
		p.ByLabel = bound
	}
	return out
}

// lend returns the moves of VMs that nobody lacks to pools that could use some.
func lend(pools []Pool, donors []donor) []Move {
	var out []Move
	for i := range pools {
		p := &pools[i]
		need := p.SpareDemand - len(p.Incoming)
		for _, vm := range p.VMs {
			if vm.Empty {
				need--
			}
		}
		for _, d := range donors {
			if need > 0 && d.from != p.Name && !slices.ContainsFunc(out, func(m Move) bool { return m.VM == d.vm.ID }) {
				out = append(out, Move{VM: d.vm.ID, From: d.from, To: p.Name})
				need--
			}
		}
	}
	return out
}

// equalSplit is how many VMs each pool had if all were split evenly. Those on their way
// count: without them each round of moves makes the split smaller, so that the next moves
// more, until next to nothing is left in any pool.
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

func shareOf(split, share float64) int { return int(math.Ceil(split * share)) }

// park returns the moves of VMs that have been empty for long to the pool whose
// VMs are off.
func park(pools []Pool, stay int) []Move {
	i := slices.IndexFunc(pools, func(p Pool) bool { return p.Parked })
	if i < 0 {
		return nil
	}
	var out []Move
	for _, p := range pools {
		if p.Parked || p.Backlog > 0 || p.MissingVMs > 0 || p.SpareDemand > 0 {
			continue
		}
		spare := len(p.VMs) - stay
		for _, vm := range p.VMs {
			if spare > 0 && vm.Empty && vm.EmptyFor >= parkAfter {
				out = append(out, Move{VM: vm.ID, From: p.Name, To: pools[i].Name})
				spare--
			}
		}
	}
	return out
}

// want is what a pool lacks.
type want struct {
	name  string
	label string // of the VMs; empty: any
	cores float64
}

// wants returns what pools lack: VMs with a label first, as others can't stand in
// for them, then the largest lack.
func wants(pools []Pool) []want {
	var out []want
	for i := range pools {
		p := &pools[i]
		if p.Parked || p.Backlog <= 0 && p.MissingVMs == 0 {
			continue
		}
		lack := p.lack()
		for label, b := range p.ByLabel {
			cores := b.Used + b.Backlog/DrainTime.Seconds() - p.cores(label)
			if b.Backlog <= 0 || cores <= 0 || !exists(pools, label) {
				continue
			}
			out = append(out, want{name: p.Name, label: label, cores: cores})
			lack -= cores
		}
		if lack > 0 && (p.free() > 0 || p.MissingVMs > 0) {
			out = append(out, want{name: p.Name, cores: lack})
		}
	}
	slices.SortFunc(out, func(a, b want) int {
		return cmp.Or(-cmp.Compare(min(len(a.label), 1), min(len(b.label), 1)), cmp.Compare(b.cores, a.cores),
			cmp.Compare(a.name, b.name), cmp.Compare(a.label, b.label))
	})
	return out
}

// lack is what the pool lacks in all, whatever the labels.
func (p *Pool) lack() float64 {
	coming, largest := 0.0, 0.0
	for _, vm := range p.Incoming {
		coming += vm.Cores
	}
	for _, vm := range p.VMs {
		largest = max(largest, vm.Cores)
	}
	// What will arrive must be borne, and the backlog worked off beside it. Cores in
	// use tell no more than what there is.
	lack := max(p.Used, arrivalShare*p.ArrivalRate) + p.Backlog/DrainTime.Seconds() - p.cores("")
	return max(lack, float64(p.MissingVMs)*largest-coming)
}

// exists reports whether any VM has the label: a lack that nothing can end must
// not keep idle VMs from being parked.
func exists(pools []Pool, label string) bool {
	for i := range pools {
		if pools[i].cores(label) > 0 {
			return true
		}
	}
	return false
}

// donorFor returns the VM that is missed least among those that serve the want: at
// best one without a label that another lacks. -1: there is none.
func donorFor(w want, all []want, donors []donor) int {
	second := -1
	for i := range donors {
		if !donors[i].vm.has(w.label) {
			continue
		}
		if w.label != "" || !anyLacks(all, &donors[i].vm) {
			return i
		}
		if second < 0 {
			second = i
		}
	}
	return second
}

func anyLacks(all []want, vm *VM) bool {
	return slices.ContainsFunc(all, func(w want) bool { return w.label != "" && vm.has(w.label) })
}

type donor struct {
	vm    VM
	from  string
	quiet time.Duration
}

// donorsOf returns the VMs that may leave, those that are missed least first:
// parked ones, then those of pools whose burst ended last. So many of each pool
// are kept.
func donorsOf(pools []Pool, keep int) []donor {
	var out []donor
	for i := range pools {
		p := &pools[i]
		if p.free() > 0 || p.MissingVMs > 0 {
			continue
		}
		spare := len(p.VMs) - keep
		quiet := p.SinceBacklog
		if p.Parked {
			spare, quiet = math.MaxInt, -1
		}
		for _, vm := range p.VMs {
			if spare <= 0 {
				break
			}
			if vm.Empty && !p.waitsFor(&vm) && (p.Parked || vm.EmptyFor >= emptyFor) {
				out = append(out, donor{vm: vm, from: p.Name, quiet: quiet})
				spare--
			}
		}
	}
	slices.SortStableFunc(out, func(a, b donor) int { return cmp.Compare(a.quiet, b.quiet) })
	return out
}
