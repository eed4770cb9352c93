package workspace

import (
	"cmp"
	"slices"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Parts of a workspace's limit. Cells hold parts and not amounts: a limit that is cut or raised
// is so in every cell at once, without a change of what they hold.
type Parts int

const (
	// Whole is a whole limit.
	Whole Parts = 10_000
	// baseParts are divided evenly among the cells and need no record: a cell starts work of a
	// workspace that is far from its limit without a call, also while the store is away. The
	// rest is drawn, so that one cell alone can use nine tenths of the limit.
	baseParts = Whole / 10
	reserve   = Whole - baseParts
	// drawStep is what holdings are rounded up to, so that a workspace whose work grows is not
	// drawn for at every job.
	drawStep = Whole / 40
	// headroom beyond what is needed is drawn where it is left over: a fourth.
	headroom = 4
)

// Base is what each of so many cells may use without a record.
func Base(cells int) Parts {
	if cells <= 0 {
		return 0
	}
	return baseParts / Parts(cells)
}

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

// Ledger tells what the cells hold of one workspace's limit beyond their bases. It lies in the
// store and is changed under the condition that nobody else has: what all of them hold never
// exceeds the reserve.
type Ledger struct {
	Held map[string]Parts `json:"held,omitempty"` // by cell
	// Wants tells what cells need that found less than that left.
	Wants map[string]Parts `json:"wants,omitempty"`
}

// Empty reports whether the ledger need not be kept.
func (l *Ledger) Empty() bool { return len(l.Held) == 0 && len(l.Wants) == 0 }

func (l *Ledger) left() Parts {
	left := reserve
	for _, held := range l.Held {
		left -= held
	}
	return left
}

// Claim is what a cell asks of a ledger.
type Claim struct {
	Cell string
	Need Parts // beyond its base, for what runs and waits
	// InUse cannot be given back: it runs.
	InUse Parts
}

// Settlement is what becomes of a claim.
type Settlement struct {
	Ledger Ledger
	// Hold is what the ledger then says of the cell.
	Hold Parts
	// Use is what the cell may begin work by. It is less than Hold while the cell gives back:
	// what runs is held until it ends, and nothing new takes its place.
	Use Parts
}

// Settle returns the ledger as the claim changes it. A cell gets what it needs, and some more,
// while that is left. Where several need more than there is, each gets as much as the others,
// or all it needs: a cell that holds more than that gives it back as its runs end.
func (l *Ledger) Settle(c Claim) Settlement {
	held := l.Held[c.Cell]
	most := held + l.left()
	ask := roundUp(c.Need + c.Need/headroom)
	if l.othersWant(c.Cell) {
		most = min(most, l.evenShare(c))
		ask = c.Need
	}
	use := min(ask, most)
	hold := max(use, min(c.InUse, held))
	out := Ledger{Held: with(l.Held, c.Cell, hold), Wants: with(l.Wants, c.Cell, 0)}
	if hold < c.Need {
		out.Wants = with(l.Wants, c.Cell, c.Need)
	}
	return Settlement{Ledger: out, Hold: hold, Use: use}
}

// Idle reports whether a cell that holds so much may give some of it back.
func Idle(held, need Parts) bool {
	return held > 0 && (need <= 0 || roundUp(need+need/headroom) <= held-drawStep)
}

func roundUp(p Parts) Parts { return (p + drawStep - 1) / drawStep * drawStep }

// othersWant reports whether another cell needs more than it holds.
func (l *Ledger) othersWant(cell string) bool {
	for other, wants := range l.Wants {
		if other != cell && wants > l.Held[other] {
			return true
		}
	}
	return false
}

// Contended reports whether the cell holds more than is its share while another one waits.
func (l *Ledger) Contended(c Claim) bool {
	return l.othersWant(c.Cell) && l.Held[c.Cell] > l.evenShare(c)
}

// Even is what each of so many cells would hold if all needed more than there is.
func Even(cells int) Parts {
	if cells <= 0 {
		return 0
	}
	return reserve / Parts(cells)
}

// evenShare divides the reserve among the cells by what each needs: the least needs are met
// whole, the others get the same.
func (l *Ledger) evenShare(c Claim) Parts {
	needs := []Parts{c.Need}
	for _, other := range l.cells() {
		if other != c.Cell {
			needs = append(needs, max(l.Held[other], l.Wants[other]))
		}
	}
	slices.SortFunc(needs, cmp.Compare[Parts])
	left := reserve
	for i, need := range needs {
		even := left / Parts(len(needs)-i)
		if need >= even {
			return even
		}
		left -= need
	}
	return Whole
}

func (l *Ledger) cells() []string {
	var out []string
	for cell := range l.Held {
		out = append(out, cell)
	}
	for cell := range l.Wants {
		if _, holds := l.Held[cell]; !holds {
			out = append(out, cell)
		}
	}
	return out
}

// with returns a copy with the cell's entry; 0 is no entry.
func with(m map[string]Parts, cell string, p Parts) map[string]Parts {
	out := make(map[string]Parts, len(m)+1)
	for k, v := range m {
		out[k] = v
	}
	out[cell] = p
	if p == 0 {
		delete(out, cell)
	}
	return out
}
