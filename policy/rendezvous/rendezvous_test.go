package rendezvous

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSimilarNamesShareWorkEvenly checks names that differ only in their last
// character. Without mix, the first or the last of them would get nearly all
// work.
func TestSimilarNamesShareWorkEvenly(t *testing.T) {
	const names, works = 8, 8000
	var assigned [names]int
	for w := range works {
		best, at := uint64(0), 0
		for n := range names {
			if s := Score(fmt.Sprintf("work-%d", w), fmt.Sprintf("entry-%d", n)); s > best {
				best, at = s, n
			}
		}
		assigned[at]++
	}
	for n, got := range assigned {
		assert.Assert(t, got > works/names*9/10 && got < works/names*11/10, "entry-%d got %d of %d", n, got, works)
	}
}

// TestScoreSeparatesPartsAndIsStable checks that the boundary between work and
// name counts ("ab" and "c" differ from "a" and "bc"), and compares one score
// with a fixed value: VMs of different versions must compute the same scores.
func TestScoreSeparatesPartsAndIsStable(t *testing.T) {
	assert.Assert(t, Score("ab", "c") != Score("a", "bc"))
	assert.Equal(t, Score("i-1", "entry-1"), uint64(0x1af7892ef783d784))
}
