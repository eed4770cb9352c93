package workspace

import (
	"cmp"
	"slices"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Parts of a workspace's limit. Cells have parts and not amounts: a limit that is cut or raised
// is so in every cell at once, without a change of what they have.
type Parts int

const (
	// Whole is a whole limit.
	Whole Parts = 10_000
	// evenParts are divided evenly among the cells without a record: a workspace whose use in
	// each cell is below that costs no call, also while the store is away. The rest is there at
	// once for a cell that needs more, and bounds what an owner uses that has not heard of a
	// new cell.
	evenParts = Whole * 9 / 10
	// provisionalParts are divided among owners that can't tell whether the limit was cut.
	provisionalParts = Whole / 10
	// drawStep is what claims are rounded up to, so that work which grows is not claimed for at
	// every job.
	drawStep = Whole / 40
	// headroom beyond what is needed is claimed where it is left over: a fourth.
	headroom = 4
)

// EvenShare is what each of so many cells may use without a record.
func EvenShare(cells int) Parts { return evenParts / Parts(max(1, cells)) }

// ProvisionalShare is what an owner of one of so many cells may use while it can't tell whether the
// limit was cut.
func ProvisionalShare(cells int) Parts { return provisionalParts / Parts(max(1, cells)) }

// Of returns so many parts of the limit; a kind of resource without a limit stays 0.
func (p Parts) Of(limit work.Resources) work.Resources {
	return work.Resources{
		MilliCPU: int64(p) * limit.MilliCPU / int64(Whole),
		MemoryMB: int64(p) * limit.MemoryMB / int64(Whole),
		GPU:      int64(p) * limit.GPU / int64(Whole),
	}
}

// PartsFor returns how many parts of the limit an amount takes: of the kind of resource of
// which it takes most.
func PartsFor(amount, limit work.Resources) Parts {
	return max(partsFor(amount.MilliCPU, limit.MilliCPU), partsFor(amount.MemoryMB, limit.MemoryMB), partsFor(amount.GPU, limit.GPU))
}

func partsFor(amount, limit int64) Parts {
	if limit <= 0 || amount <= 0 {
		return 0
	}
	return Parts((amount*int64(Whole) + limit - 1) / limit)
}

// Fitting returns how many tasks of the size fit into what is left of the limit; most bounds it.
func Fitting(size, left, limit work.Resources, most int) int {
	n := fitting(size.MilliCPU, left.MilliCPU, limit.MilliCPU, int64(most))
	n = min(n, fitting(size.MemoryMB, left.MemoryMB, limit.MemoryMB, int64(most)))
	return int(min(n, fitting(size.GPU, left.GPU, limit.GPU, int64(most))))
}

func fitting(size, left, limit, most int64) int64 {
	if limit <= 0 || size <= 0 {
		return most
	}
	return max(0, min(most, left/size))
}

// Ledger tells what cells have of one workspace's limit where that is not their even share. It
// lies in the store and is changed under the condition that nobody else has: all cells together
// never have more than the whole. A cell's entry is changed by its own owner alone.
type Ledger struct {
	Has map[string]Parts `json:"has,omitempty"` // by cell; one that is not named has its even share
	// Wants tells what cells need that found less than that left.
	Wants map[string]Parts `json:"wants,omitempty"`
}

// Empty reports whether every cell has its even share and none waits.
func (l *Ledger) Empty() bool { return len(l.Has) == 0 && len(l.Wants) == 0 }

// Of returns what the cell has, among so many.
func (l *Ledger) Of(cell string, cells int) Parts {
	if has, named := l.Has[cell]; named {
		return has
	}
	return EvenShare(cells)
}

// left is what no cell has. A cell that is named and no longer declared still has its entry.
func (l *Ledger) left(cells []string) Parts {
	left := Whole
	for _, has := range l.Has {
		left -= has
	}
	for _, cell := range cells {
		if _, named := l.Has[cell]; !named {
			left -= EvenShare(len(cells))
		}
	}
	return max(0, left)
}

// Claim is what a cell asks of a ledger.
type Claim struct {
	Cell  string
	Cells []string // all that the limit is divided among
	Need  Parts    // for what runs and waits
	// InUse cannot be given back: it runs.
	InUse Parts
}

// Settlement is what becomes of a claim.
type Settlement struct {
	Ledger Ledger
	// Has is what the ledger then says of the cell.
	Has Parts
	// Use is what the cell may begin work by. It is less while the cell gives back: what runs
	// stays the cell's until it ends, and nothing new takes its place.
	Use Parts
}

// Settle returns the ledger as the claim changes it. A cell gets what it needs, and some more,
// while that is left, and keeps its even share while nobody else wants any of it. Where several
// need more than there is, each gets as much as the others, or all it needs: a cell that has
// more than that gives it back as its runs end.
func (l *Ledger) Settle(c Claim) Settlement {
	has := l.Of(c.Cell, len(c.Cells))
	most := has + l.left(c.Cells)
	ask := max(EvenShare(len(c.Cells)), roundUp(c.Need+c.Need/headroom))
	if l.othersWant(c) {
		most = min(most, l.fairShare(c))
		ask = c.Need
	}
	use := min(ask, most)
	now := max(use, min(c.InUse, has))
	out := Ledger{Has: with(l.Has, c.Cell, now), Wants: without(l.Wants, c.Cell)}
	if now == EvenShare(len(c.Cells)) {
		delete(out.Has, c.Cell)
	}
	if use < c.Need {
		out.Wants = with(l.Wants, c.Cell, c.Need)
	}
	return Settlement{Ledger: out, Has: now, Use: use}
}

// HasSurplus reports whether the cell has more than its even share and may give some of it back.
func (l *Ledger) HasSurplus(c Claim) bool {
	has, even := l.Of(c.Cell, len(c.Cells)), EvenShare(len(c.Cells))
	return has > even && max(even, roundUp(c.Need+c.Need/headroom)) <= has-drawStep
}

// Contended reports whether the cell has more than its share while another one waits.
func (l *Ledger) Contended(c Claim) bool {
	return l.othersWant(c) && l.Of(c.Cell, len(c.Cells)) > min(c.Need, l.fairShare(c))
}

func roundUp(p Parts) Parts { return (p + drawStep - 1) / drawStep * drawStep }

// othersWant reports whether another cell needs more than it has.
func (l *Ledger) othersWant(c Claim) bool {
	for other, wants := range l.Wants {
		if other != c.Cell && wants > l.Of(other, len(c.Cells)) {
			return true
		}
	}
	return false
}

// fairShare divides the limit among the cells by what each needs: the least needs are met whole,
// the others get the same. A cell that is not named may use its even share.
func (l *Ledger) fairShare(c Claim) Parts {
	needs := []Parts{c.Need}
	for _, other := range l.others(c) {
		needs = append(needs, max(l.Of(other, len(c.Cells)), l.Wants[other]))
	}
	slices.SortFunc(needs, cmp.Compare[Parts])
	left := Whole
	for i, need := range needs {
		same := left / Parts(len(needs)-i)
		if need >= same {
			return same
		}
		left -= need
	}
	return Whole
}

func (l *Ledger) others(c Claim) []string {
	out := slices.Clone(c.Cells)
	for cell := range l.Has {
		if !slices.Contains(out, cell) {
			out = append(out, cell)
		}
	}
	return slices.DeleteFunc(out, func(cell string) bool { return cell == c.Cell })
}

func with(m map[string]Parts, cell string, p Parts) map[string]Parts {
	out := without(m, cell)
	out[cell] = p
	return out
}

func without(m map[string]Parts, cell string) map[string]Parts {
	out := make(map[string]Parts, len(m)+1)
	for k, v := range m {
		if k != cell {
			out[k] = v
		}
	}
	return out
}
