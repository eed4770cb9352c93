package workspace

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pumicestage/pumicestage/policy/work"
)

// A workspace is idle in four cells and bursts in the fifth: that one gets nine tenths.
func TestACellAloneMayUseNineTenthsOfALimit(t *testing.T) {
	s := new(Ledger).Settle(Claim{Cell: "a", Need: Whole})
	assert.Equal(t, s.Use, reserve)
	assert.Assert(t, s.Use+Base(5) >= Whole*9/10)
}

// One cell holds all there is for hours, as its work never runs out, and the same workspace's
// jobs in another one wait: that one is noted, and the first begins nothing above an even share
// and gives back as its runs end.
func TestACellThatCameLaterGetsAnEvenShare(t *testing.T) {
	first := new(Ledger).Settle(Claim{Cell: "a", Need: Whole})
	later := first.Ledger.Settle(Claim{Cell: "b", Need: 3000})
	assert.Equal(t, later.Use, Parts(0))

	all := Claim{Cell: "a", Need: Whole, InUse: reserve - 1000}
	assert.Assert(t, later.Ledger.Contended(all))
	first = later.Ledger.Settle(all)
	assert.Equal(t, first.Hold, reserve-1000, "what runs is not taken away")
	assert.Equal(t, first.Use, reserve-3000, "the lesser need is met whole")
	first = first.Ledger.Settle(Claim{Cell: "a", Need: Whole, InUse: reserve - 3000})
	assert.Equal(t, first.Hold, reserve-3000)
	later = first.Ledger.Settle(Claim{Cell: "b", Need: 3000})
	assert.Equal(t, later.Use, Parts(3000))
	assert.Assert(t, !later.Ledger.Contended(all))
}

func TestAnIdleCellGivesAllBack(t *testing.T) {
	s := new(Ledger).Settle(Claim{Cell: "a", Need: 2000})
	assert.Assert(t, !Idle(s.Hold, 2000))
	assert.Assert(t, Idle(s.Hold, 1000))
	s = s.Ledger.Settle(Claim{Cell: "a"})
	assert.Equal(t, s.Hold, Parts(0))
	assert.Assert(t, s.Ledger.Empty())
}

func TestPartsOfALimit(t *testing.T) {
	limit := work.Resources{MilliCPU: 100_000, MemoryMB: 1000}
	assert.Equal(t, PartsFor(work.Resources{MilliCPU: 1000, MemoryMB: 500, GPU: 7}, limit), Whole/2)
	assert.Equal(t, (Whole / 4).Of(limit), work.Resources{MilliCPU: 25_000, MemoryMB: 250})
	left := work.Resources{MilliCPU: 10_000, MemoryMB: 90, GPU: -1}
	assert.Equal(t, Fitting(work.Resources{MilliCPU: 1000, MemoryMB: 20, GPU: 1}, left, limit, 8), 4, "accelerators have no limit")
	assert.Equal(t, Fitting(work.Resources{MilliCPU: 1000}, work.Resources{MilliCPU: -5000}, limit, 8), 0)
	assert.Equal(t, Base(0), Parts(0))
}

// Whatever cells claim in whatever order: all of them together never hold more than there is,
// none loses what runs, and once all want more than there is and nothing old runs, all have the
// same.
func TestClaimsInAnyOrderNeverExceedTheLimit(t *testing.T) {
	cells := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		for range rapid.IntRange(1, 60).Draw(t, "claims") {
			cell := rapid.SampledFrom(cells).Draw(t, "cell")
			inUse := Parts(rapid.IntRange(0, int(l.Held[cell])).Draw(t, "in use"))
			need := max(inUse, Parts(rapid.IntRange(0, int(Whole)).Draw(t, "need")))
			s := l.Settle(Claim{Cell: cell, Need: need, InUse: inUse})
			assert.Assert(t, s.Hold >= inUse && s.Use <= s.Hold)
			assert.Equal(t, s.Ledger.Held[cell], s.Hold)
			l = s.Ledger
			assert.Assert(t, l.left() >= 0)
		}
		for range 3 {
			for _, cell := range cells {
				l = l.Settle(Claim{Cell: cell, Need: Whole}).Ledger
			}
		}
		for _, cell := range cells {
			assert.Assert(t, l.Held[cell] >= Even(len(cells))-1, "%s holds %d", cell, l.Held[cell])
		}
	})
}
