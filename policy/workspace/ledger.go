package workspace

import (
	"slices"
	"sort"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Parts is a share of a workspace's limit, in ten-thousandths of it. Cells hold parts and not
// amounts: a limit that is lowered or raised changes in every cell at once, while their parts stay.
type Parts int

const (
	// Whole is the whole limit.
	Whole Parts = 10_000
	// evenParts are divided evenly among the cells without an entry in the ledger: a workspace
	// that needs less than that in each cell costs no call, also while the store is unavailable.
	// The rest is available at once to a cell that needs more, and bounds the excess of an owner
	// that has not heard of a new cell.
	evenParts = Whole * 9 / 10
	// provisionalParts are divided among owners that can't tell whether the limit was lowered.
	provisionalParts = Whole / 10
	// claimStep is the unit that claims are rounded up to, so that growing work does not need a
	// claim for every job.
	claimStep = Whole / 40
	// surplusDivisor gives the surplus that is claimed beyond the need, as far as parts are
	// unallocated: a fourth of the need.
	surplusDivisor = 4
)

// EvenShare returns what each of so many cells may use without an entry in the ledger.
func EvenShare(cells int) Parts { return evenParts / Parts(max(1, cells)) }

// ProvisionalShare returns what the owner of one of so many cells may use while it can't tell
// whether the limit was lowered.
func ProvisionalShare(cells int) Parts { return provisionalParts / Parts(max(1, cells)) }

// Of returns the amount that so many parts of the limit are. A kind of resource without a limit
// stays 0.
func (p Parts) Of(limit work.Resources) work.Resources {
	return work.Resources{
		MilliCPU: int64(p) * limit.MilliCPU / int64(Whole),
		MemoryMB: int64(p) * limit.MemoryMB / int64(Whole),
		GPU:      int64(p) * limit.GPU / int64(Whole),
	}
}

// PartsFor returns how many parts of the limit an amount takes, by the kind of resource of which
// it takes the largest part.
func PartsFor(amount, limit work.Resources) Parts {
	return max(partsFor(amount.MilliCPU, limit.MilliCPU), partsFor(amount.MemoryMB, limit.MemoryMB), partsFor(amount.GPU, limit.GPU))
}

// partsFor is PartsFor for one kind of resource. It rounds up, and returns 0 for a kind without a
// limit.
func partsFor(amount, limit int64) Parts {
	if limit <= 0 || amount <= 0 {
		return 0
	}
	return Parts((amount*int64(Whole) + limit - 1) / limit)
}

// Fitting returns how many tasks of the size fit into what is left of the limit, at most maxTasks.
// A kind of resource without a limit does not count.
func Fitting(size, left, limit work.Resources, maxTasks int) int {
	n := fitting(size.MilliCPU, left.MilliCPU, limit.MilliCPU, int64(maxTasks))
	n = min(n, fitting(size.MemoryMB, left.MemoryMB, limit.MemoryMB, int64(maxTasks)))
	return int(min(n, fitting(size.GPU, left.GPU, limit.GPU, int64(maxTasks))))
}

// fitting is Fitting for one kind of resource. It returns maxTasks if the kind has no limit or the
// tasks use none of it.
func fitting(size, left, limit, maxTasks int64) int64 {
	if limit <= 0 || size <= 0 {
		return maxTasks
	}
	return max(0, min(maxTasks, left/size))
}

// Ledger holds the parts of one workspace's limit that are allocated to cells, where those are not
// their even share. It is kept in the store and written on the condition that nobody else has
// changed it: all cells together never hold more than the whole limit. A cell's entry is changed
// by the cell's own owner alone.
type Ledger struct {
	// Allocated holds the parts allocated to each cell. A cell without an entry has its even share.
	Allocated map[string]Parts `json:"has,omitempty"`
	// UnmetNeeds holds the need of the cells that were allocated less than that.
	UnmetNeeds map[string]Parts `json:"wants,omitempty"`
	// Turns holds the cells whose next work can't start within their fair share, such as a gang
	// that is larger than it, in the order in which they get what that work needs.
	Turns []Turn `json:"turns,omitempty"`
	// LongRunning holds the parts that long-running tasks use in cells that have more than others
	// ask them for. They can't be given back.
	LongRunning map[string]Parts `json:"lasting,omitempty"`
}

// Turn is one cell's place among those that need more than their fair share at once.
type Turn struct {
	Cell  string `json:"cell"`
	Parts Parts  `json:"parts"`
}

// Empty reports whether every cell has its even share and none needs more.
func (l *Ledger) Empty() bool { return len(l.Allocated) == 0 && len(l.UnmetNeeds) == 0 }

// Of returns the parts allocated to the cell, which is one of so many.
func (l *Ledger) Of(cell string, cells int) Parts {
	if has, named := l.Allocated[cell]; named {
		return has
	}
	return EvenShare(cells)
}

// unallocated returns the parts that no cell has. A cell that has an entry and is no longer
// declared keeps the parts in it.
func (l *Ledger) unallocated(cells []string) Parts {
	left := Whole
	for _, has := range l.Allocated {
		left -= has
	}
	for _, cell := range cells {
		if _, named := l.Allocated[cell]; !named {
			left -= EvenShare(len(cells))
		}
	}
	return max(0, left)
}

// Claim is a cell's request for parts of the limit.
type Claim struct {
	Cell  string
	Cells []string // all cells that the limit is divided among
	Need  Parts    // for running and for waiting work
	// InUse is taken by running work and can't be given back.
	InUse Parts
	// Indivisible is what the first waiting work, a gang or a single task, needs beside the cell's
	// long-running tasks to start at all; 0 if none waits.
	Indivisible Parts
	// LongRunning is what the cell's long-running tasks need.
	LongRunning Parts
	// TurnOver says that the work for which the cell has a turn no longer waits for it.
	TurnOver bool
}

// Settlement is the outcome of a claim.
type Settlement struct {
	Ledger Ledger
	// Allocated is what the ledger then allocates to the cell.
	Allocated Parts
	// Usable is the bound up to which the cell may start work. It is less than Allocated while
	// the cell gives parts back: running work keeps its parts until it ends, and no new work takes
	// them.
	Usable Parts
}

// Settle returns the ledger as the claim changes it. While nobody else needs more, a cell gets
// what it needs and a surplus, as far as parts are unallocated, and at least its even share. Where
// several cells need more than there is, the limit is divided max-min fairly: each gets as much as
// the others, or all that it needs. A cell that has more than that gives it back as its runs end.
// Cells whose next work needs more than that at once take turns.
func (l *Ledger) Settle(c Claim) Settlement {
	has := l.Of(c.Cell, len(c.Cells))
	available := has + l.unallocated(c.Cells)
	request := max(EvenShare(len(c.Cells)), roundUp(c.Need+c.Need/surplusDivisor))
	out := Ledger{Turns: l.turns(c), LongRunning: without(l.LongRunning, c.Cell)}
	if l.othersNeedMore(c) {
		available = min(available, max(l.withTurns(out.Turns).fairShare(c), c.LongRunning))
		request = c.Need
		if c.LongRunning > 0 {
			out.LongRunning[c.Cell] = c.LongRunning
		}
	}
	usable := min(request, available)
	allocated := max(usable, min(c.InUse, has))
	out.Allocated, out.UnmetNeeds = with(l.Allocated, c.Cell, allocated), without(l.UnmetNeeds, c.Cell)
	if allocated == EvenShare(len(c.Cells)) {
		delete(out.Allocated, c.Cell)
	}
	if usable < c.Need {
		out.UnmetNeeds = with(l.UnmetNeeds, c.Cell, c.Need)
	}
	return Settlement{Ledger: out, Allocated: allocated, Usable: usable}
}

// HasSurplus reports whether the claim's cell may give some of the workspace's limit back: it has
// more than its even share, and at least claimStep more than Settle would give it if other cells
// needed no more than they have.
func (l *Ledger) HasSurplus(c Claim) bool {
	has, even := l.Of(c.Cell, len(c.Cells)), EvenShare(len(c.Cells))
	return has > even && max(even, roundUp(c.Need+c.Need/surplusDivisor)) <= has-claimStep
}

// Contended reports whether the cell has more than its fair share while another cell needs more
// than it has.
func (l *Ledger) Contended(c Claim) bool {
	return l.othersNeedMore(c) && l.Of(c.Cell, len(c.Cells)) > min(c.Need, l.fairShare(c))
}

// GrantsTurn reports whether the other cells leave the claim's cell what its next work needs, once
// their running work has ended.
func (l *Ledger) GrantsTurn(c Claim) bool {
	return c.Indivisible > 0 && l.fairShare(c) >= c.Indivisible
}

// roundUp rounds up to a multiple of claimStep.
func roundUp(p Parts) Parts { return (p + claimStep - 1) / claimStep * claimStep }

// othersNeedMore reports whether another cell needs more than it has.
func (l *Ledger) othersNeedMore(c Claim) bool {
	for other, need := range l.UnmetNeeds {
		if other != c.Cell && need > l.Of(other, len(c.Cells)) {
			return true
		}
	}
	return false
}

// fairShare returns the cell's max-min fair share of the limit: the smallest needs are met whole,
// the other cells get equal shares. A cell without an entry may use its even share. Cells whose turn
// it is get what they need for it; see turnShares.
func (l *Ledger) fairShare(c Claim) Parts {
	needs := l.needs(c)
	first := l.turnShares(needs)
	return max(first[c.Cell], equalShare(needs, first))
}

// needs returns what each cell needs or has, whichever is more, and for the claim's cell what it needs.
func (l *Ledger) needs(c Claim) map[string]Parts {
	out := map[string]Parts{c.Cell: c.Need}
	for _, other := range l.others(c) {
		out[other] = max(l.Of(other, len(c.Cells)), l.UnmetNeeds[other])
	}
	return out
}

// turnShares returns what cells get as it is their turn: in order, what their next work needs, if
// that is more than an equal share and the limit suffices for it beside the earlier ones.
func (l *Ledger) turnShares(needs map[string]Parts) map[string]Parts {
	out, left := make(map[string]Parts), Whole
	for _, t := range l.Turns {
		if _, known := needs[t.Cell]; known && t.Parts <= left && t.Parts > equalShare(needs, out) {
			out[t.Cell] = t.Parts
			left -= t.Parts
		}
	}
	return out
}

// equalShare returns the largest share such that the limit suffices if each cell gets this share or
// what it needs, whichever is less, but at least its share in atLeast.
func equalShare(needs, atLeast map[string]Parts) Parts {
	exceeds := func(share int) bool {
		sum := Parts(0)
		for cell, need := range needs {
			sum += max(atLeast[cell], min(need, Parts(share)))
		}
		return sum > Whole
	}
	return Parts(max(0, sort.Search(int(Whole)+1, exceeds)-1))
}

// turns returns the turns as the claim changes them. Its cell keeps its place while the same work
// waits, and gets one at the end if its next work needs more than its fair share. It gets none for
// work that does not fit beside the long-running tasks of other cells.
func (l *Ledger) turns(c Claim) []Turn {
	place, others := -1, make([]Turn, 0, len(l.Turns)+1)
	for _, t := range l.Turns {
		switch {
		case t.Cell == c.Cell:
			place = len(others)
		case slices.Contains(c.Cells, t.Cell):
			others = append(others, t)
		}
	}
	if c.Indivisible == 0 || c.Indivisible > Whole-l.longRunningElsewhere(c.Cell) {
		return others
	}
	turn := Turn{Cell: c.Cell, Parts: c.Indivisible}
	if place >= 0 && !c.TurnOver {
		return slices.Insert(others, place, turn)
	}
	if !l.othersNeedMore(c) || c.Indivisible <= l.withTurns(others).fairShare(c) {
		return others
	}
	return append(others, turn)
}

// withTurns returns a copy of the ledger with other turns.
func (l *Ledger) withTurns(turns []Turn) *Ledger {
	out := *l
	out.Turns = turns
	return &out
}

// longRunningElsewhere returns the parts that long-running tasks use in other cells, as far as known.
func (l *Ledger) longRunningElsewhere(cell string) (sum Parts) {
	for other, parts := range l.LongRunning {
		if other != cell {
			sum += parts
		}
	}
	return sum
}

// others returns the other cells, declared or with an entry.
func (l *Ledger) others(c Claim) []string {
	out := slices.Clone(c.Cells)
	for cell := range l.Allocated {
		if !slices.Contains(out, cell) {
			out = append(out, cell)
		}
	}
	return slices.DeleteFunc(out, func(cell string) bool { return cell == c.Cell })
}

// with returns a copy of m with the cell's parts set to p.
func with(m map[string]Parts, cell string, p Parts) map[string]Parts {
	out := without(m, cell)
	out[cell] = p
	return out
}

// without returns a copy of m without the cell.
func without(m map[string]Parts, cell string) map[string]Parts {
	out := make(map[string]Parts, len(m)+1)
	for k, v := range m {
		if k != cell {
			out[k] = v
		}
	}
	return out
}
