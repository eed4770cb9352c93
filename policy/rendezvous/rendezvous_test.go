package rendezvous

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Names that differ in their last character share work as evenly as any: without the
// mixing of bits the first or the last of them would take nearly all.
func TestNearEqualNamesShareWorkEvenly(t *testing.T) {
	const names, works = 8, 8000
	var taken [names]int
	for w := range works {
		best, at := uint64(0), 0
		for n := range names {
			if s := Score(fmt.Sprintf("work-%d", w), fmt.Sprintf("entry-%d", n)); s > best {
				best, at = s, n
			}
		}
		taken[at]++
	}
	for n, got := range taken {
		assert.Assert(t, got > works/names*9/10 && got < works/names*11/10, "entry-%d took %d of %d", n, got, works)
	}
}

// The parts are told apart: "ab" for "c" is other work than "a" for "bc". Scores are
// agreed between VMs of different versions, so that one of them is written down.
func TestScoresAreOfWorkAndNameApartAndDoNotChange(t *testing.T) {
	assert.Assert(t, Score("ab", "c") != Score("a", "bc"))
	assert.Equal(t, Score("i-1", "entry-1"), uint64(0x1af7892ef783d784))
}
