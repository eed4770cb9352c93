package workspace

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pumicestage/pumicestage/policy/work"
)

var cells = []string{"a", "b", "c", "d", "e"}

// A workspace that uses far less than its limit in every cell would cost calls to the store if
// its shares were recorded. Its ledger is empty, and is empty again after a time of higher use.
func TestAnEvenShareNeedsNoRecord(t *testing.T) {
	s := new(Ledger).Settle(Claim{Cell: "a", Cells: cells, Need: 100})
	assert.Equal(t, s.Usable, EvenShare(len(cells)))
	assert.Assert(t, s.Ledger.Empty())
	s = new(Ledger).Settle(Claim{Cell: "a", Cells: cells, Need: 2500})
	assert.Assert(t, s.Usable >= 2500)
	reduced := Claim{Cell: "a", Cells: cells, Need: 100}
	assert.Assert(t, s.Ledger.HasSurplus(reduced))
	s = s.Ledger.Settle(reduced)
	assert.Assert(t, s.Ledger.Empty())
}

// A workspace has a burst in one of five cells. That cell gets the parts of the workspace's limit
// that no cell has at once, and those of idle cells as their owners learn of its need: more than
// half of the limit, even if one of the others gives nothing.
func TestACellThatBurstsGetsWhatTheOthersLend(t *testing.T) {
	burst := Claim{Cell: "a", Cells: cells, Need: Whole}
	s := new(Ledger).Settle(burst)
	assert.Equal(t, s.Usable, EvenShare(len(cells))+Whole-evenParts)
	for _, idle := range []string{"b", "c", "d"} {
		noNeed := Claim{Cell: idle, Cells: cells}
		assert.Assert(t, s.Ledger.Contended(noNeed))
		s = s.Ledger.Settle(noNeed)
		assert.Equal(t, s.Usable, Parts(0))
	}
	s = s.Ledger.Settle(burst)
	assert.Equal(t, s.Usable, Whole-EvenShare(len(cells)))
	assert.Assert(t, s.Usable > Whole/2)
}

// A cell whose work never runs out would keep the whole limit for hours while jobs of the same
// workspace wait in another cell. The need of the other cell is recorded; the first cell then
// starts nothing above its fair share and gives parts back as its runs end.
func TestACellThatCameLaterGetsAsMuchAsTheFirst(t *testing.T) {
	two := []string{"a", "b"}
	l := Ledger{Allocated: map[string]Parts{"a": Whole, "b": 0}}
	later := l.Settle(Claim{Cell: "b", Cells: two, Need: 3000})
	assert.Equal(t, later.Usable, Parts(0))

	all := Claim{Cell: "a", Cells: two, Need: Whole, InUse: 9000}
	assert.Assert(t, later.Ledger.Contended(all))
	first := later.Ledger.Settle(all)
	assert.Equal(t, first.Allocated, Parts(9000), "running work keeps its parts")
	assert.Equal(t, first.Usable, Parts(7000), "the smaller need is met whole")
	first = first.Ledger.Settle(Claim{Cell: "a", Cells: two, Need: Whole, InUse: 7000})
	assert.Equal(t, first.Allocated, Parts(7000))
	later = first.Ledger.Settle(Claim{Cell: "b", Cells: two, Need: 3000})
	assert.Equal(t, later.Usable, Parts(3000))
	assert.Assert(t, !later.Ledger.Contended(all))
}

// A service is removed and another declared while work of the first still runs. The parts of the
// workspace's limit that the first one's cell has must not be allocated to others before the
// cell's owner gives them back.
func TestACellThatIsNoLongerDeclaredKeepsWhatItHas(t *testing.T) {
	l := Ledger{Allocated: map[string]Parts{"old": 6000}}
	s := l.Settle(Claim{Cell: "a", Cells: []string{"a", "b"}, Need: Whole})
	assert.Assert(t, s.Usable <= Whole-6000-EvenShare(2) || s.Usable == EvenShare(2))
}

func TestPartsOfALimit(t *testing.T) {
	limit := work.Resources{MilliCPU: 100_000, MemoryMB: 1000}
	assert.Equal(t, PartsFor(work.Resources{MilliCPU: 1000, MemoryMB: 500, GPU: 7}, limit), Whole/2)
	assert.Equal(t, (Whole / 4).Of(limit), work.Resources{MilliCPU: 25_000, MemoryMB: 250})
	left := work.Resources{MilliCPU: 10_000, MemoryMB: 90, GPU: -1}
	assert.Equal(t, Fitting(work.Resources{MilliCPU: 1000, MemoryMB: 20, GPU: 1}, left, limit, 8), 4, "GPUs have no limit")
	assert.Equal(t, Fitting(work.Resources{MilliCPU: 1000}, work.Resources{MilliCPU: -5000}, limit, 8), 0)
}

// Whatever cells claim, and in whatever order: together they never have more than the whole limit,
// and none loses the parts of its running work. Once all need the whole limit and nothing runs,
// each has at least its even share.
func TestClaimsInAnyOrderNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		for range rapid.IntRange(1, 60).Draw(t, "claims") {
			cell := rapid.SampledFrom(cells).Draw(t, "cell")
			inUse := Parts(rapid.IntRange(0, int(l.Of(cell, len(cells)))).Draw(t, "in use"))
			need := max(inUse, Parts(rapid.IntRange(0, int(Whole)).Draw(t, "need")))
			s := l.Settle(Claim{Cell: cell, Cells: cells, Need: need, InUse: inUse})
			assert.Assert(t, s.Allocated >= inUse && s.Usable <= s.Allocated)
			assert.Equal(t, s.Ledger.Of(cell, len(cells)), s.Allocated)
			l = s.Ledger
			sum := Parts(0)
			for _, c := range cells {
				sum += l.Of(c, len(cells))
			}
			assert.Assert(t, sum <= Whole)
		}
		for range 3 {
			for _, cell := range cells {
				l = l.Settle(Claim{Cell: cell, Cells: cells, Need: Whole}).Ledger
			}
		}
		for _, cell := range cells {
			assert.Assert(t, l.Of(cell, len(cells)) >= EvenShare(len(cells)), "%s has %d", cell, l.Of(cell, len(cells)))
		}
	})
}

// Guards against cells that start more than the whole limit, or lose the parts of their running work, as
// turns, long-running tasks and claims change in any order.
func TestTurnsInAnyOrderNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		parts := func(most Parts, label string) Parts { return Parts(rapid.IntRange(0, int(most)).Draw(t, label)) }
		for range rapid.IntRange(1, 60).Draw(t, "claims") {
			cell := rapid.SampledFrom(cells).Draw(t, "cell")
			c := Claim{
				Cell: cell, Cells: cells, InUse: parts(l.Of(cell, len(cells)), "in use"),
				Indivisible: parts(Whole, "indivisible"), TurnOver: rapid.Bool().Draw(t, "turn over"),
			}
			c.LongRunning = parts(c.InUse, "long-running")
			c.Need = max(c.InUse, c.Indivisible, parts(Whole, "need"))
			s := l.Settle(c)
			assert.Assert(t, s.Allocated >= c.InUse && s.Usable <= s.Allocated)
			l = s.Ledger
			sum, seen := Parts(0), make(map[string]bool)
			for _, c := range cells {
				sum += l.Of(c, len(cells))
			}
			assert.Assert(t, sum <= Whole)
			for _, turn := range l.Turns {
				assert.Assert(t, !seen[turn.Cell], "%s has two turns", turn.Cell)
				seen[turn.Cell] = true
			}
		}
	})
}

// Guards against a cell that waits for its turn for ever: the cells get it in the order in which they
// asked, and a cell whose turn is over goes behind the others.
func TestTurnsAreServedInOrder(t *testing.T) {
	two := []string{"a", "b"}
	claim := func(cell string, over bool) Claim {
		return Claim{Cell: cell, Cells: two, Need: 6000, Indivisible: 6000, TurnOver: over}
	}
	l := Ledger{Allocated: map[string]Parts{"a": 5000, "b": 5000}, UnmetNeeds: map[string]Parts{"a": 6000, "b": 6000}}
	l = l.Settle(claim("a", true)).Ledger
	l = l.Settle(claim("b", true)).Ledger
	assert.DeepEqual(t, l.Turns, []Turn{{"a", 6000}, {"b", 6000}})
	assert.Assert(t, l.GrantsTurn(claim("a", false)) && !l.GrantsTurn(claim("b", false)))
	l = l.Settle(claim("b", false)).Ledger
	served := l.Settle(claim("a", false))
	assert.Equal(t, served.Usable, Parts(6000))

	l = served.Ledger.Settle(Claim{Cell: "a", Cells: two, Need: 6000, InUse: 6000, Indivisible: 6000, TurnOver: true}).Ledger
	assert.Equal(t, l.Turns[0].Cell, "b")
	assert.Equal(t, l.Of("a", 2), Parts(6000), "what runs keeps its parts")
	l = l.Settle(Claim{Cell: "a", Cells: two, Need: 6000, Indivisible: 6000}).Ledger
	assert.Equal(t, l.Settle(claim("b", false)).Usable, Parts(6000))
}

// Guards against a turn for work that can't start beside another cell's long-running tasks, and that keeps
// the parts of the limit from the cells that could use them.
func TestWorkThatDoesNotFitBesideLongRunningTasksGetsNoTurn(t *testing.T) {
	two := []string{"a", "b"}
	l := Ledger{Allocated: map[string]Parts{"a": 5000, "b": 5000}, UnmetNeeds: map[string]Parts{"a": 6000}}
	l = l.Settle(Claim{Cell: "b", Cells: two, Need: 8000, InUse: 5000, LongRunning: 5000}).Ledger
	assert.Equal(t, l.LongRunning["b"], Parts(5000))
	l = l.Settle(Claim{Cell: "a", Cells: two, Need: 6000, Indivisible: 6000, TurnOver: true}).Ledger
	assert.Equal(t, len(l.Turns), 0)
	l = l.Settle(Claim{Cell: "b", Cells: two, Need: 8000}).Ledger
	l = l.Settle(Claim{Cell: "a", Cells: two, Need: 6000, Indivisible: 6000, TurnOver: true}).Ledger
	assert.Equal(t, len(l.Turns), 1)
}
