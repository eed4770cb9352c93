package forwarding

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// largeDeployment returns the entry VMs of a large deployment: in each of two
// zones two large ones and eight small ones.
func largeDeployment() []Member {
	var out []Member
	for _, zone := range []string{"a", "b"} {
		for i := range 2 {
			out = append(out, Member{Name: fmt.Sprintf("%s-large-%d", zone, i), Zone: zone, Weight: 0.8})
		}
		for i := range 8 {
			out = append(out, Member{Name: fmt.Sprintf("%s-small-%d", zone, i), Zone: zone, Weight: 0.02})
		}
	}
	return out
}

func workers(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("i-%d", i))
	}
	return out
}

// countByFirstCandidate returns the number of workers for each first candidate.
func countByFirstCandidate(members []Member, owner string, n int) map[string]int {
	out := make(map[string]int)
	for _, w := range workers(n) {
		out[Candidates(w, "a", owner, members)[0]]++
	}
	return out
}

// TestWorkersAreSpreadByWeight checks that in a burst on every worker the owner
// makes none of the calls, and that each other entry VM of the zone gets
// workers in proportion to its weight.
func TestWorkersAreSpreadByWeight(t *testing.T) {
	const n = 4000
	members := []Member{{Name: "owner", Zone: "a", Weight: 0.8}, {Name: "x", Zone: "a", Weight: 0.8}, {Name: "y", Zone: "a", Weight: 0.8}, {Name: "z", Zone: "a", Weight: 0.4}}
	got := countByFirstCandidate(members, "owner", n)
	assert.Equal(t, got["owner"], 0)
	for _, m := range members[1:] {
		want := m.Weight / 2.0 * n
		assert.Assert(t, float64(got[m.Name]) > 0.9*want && float64(got[m.Name]) < 1.1*want, "%s has %d workers, its share is %.0f", m.Name, got[m.Name], want)
	}
}

// TestSmallVMsAreUsedOnlyWithoutLargeOnes has a zone with two large entry VMs
// and eight small ones that together have a tenth of the capacity. Calls spread
// over all ten would hardly share messages: they must go through the large one
// that is not the owner, and through small ones only if there is no large one.
func TestSmallVMsAreUsedOnlyWithoutLargeOnes(t *testing.T) {
	assert.DeepEqual(t, countByFirstCandidate(largeDeployment(), "a-large-0", 500), map[string]int{"a-large-1": 500})
	small := slices.DeleteFunc(largeDeployment(), func(m Member) bool { return m.Weight > 0.1 })
	assert.Equal(t, len(countByFirstCandidate(small, "", 500)), 8)
}

// TestSmallVMsAreUsedIfOwnerIsOnlyLargeOne has the owner as the only large
// entry VM of the worker's zone. If small ones were compared with the owner,
// none would qualify, and calls would come from another zone or not be
// forwarded at all.
func TestSmallVMsAreUsedIfOwnerIsOnlyLargeOne(t *testing.T) {
	members := []Member{{Name: "owner", Zone: "a", Weight: 0.8}, {Name: "x", Zone: "a", Weight: 0.02}, {Name: "far", Zone: "b", Weight: 0.8}}
	assert.DeepEqual(t, Candidates("i-1", "a", "owner", members), []string{"x", "far"})
}

func TestCandidatesOfWorkerZoneComeFirst(t *testing.T) {
	members := []Member{{Name: "far", Zone: "b", Weight: 10}, {Name: "near", Zone: "a", Weight: 0.01}}
	assert.DeepEqual(t, Candidates("i-1", "a", "", members), []string{"near", "far"})
}

// TestRemovedVMChangesOnlyItsWorkers guards against needless new connections:
// when an entry VM is removed, only its own workers may get another candidate.
func TestRemovedVMChangesOnlyItsWorkers(t *testing.T) {
	before := largeDeployment()
	after := slices.DeleteFunc(slices.Clone(before), func(m Member) bool { return m.Name == "a-large-1" })
	for _, w := range workers(500) {
		was, is := Candidates(w, "a", "", before), Candidates(w, "a", "", after)
		if was[0] != "a-large-1" {
			assert.Equal(t, was[0], is[0])
			continue
		}
		assert.Equal(t, was[1], is[0])
	}
}

func TestNoCandidatesIfOwnerIsAlone(t *testing.T) {
	assert.Equal(t, len(Candidates("i-1", "a", "me", []Member{{Name: "me", Zone: "a", Weight: 1}})), 0)
}

func TestForwardingHysteresis(t *testing.T) {
	assert.Assert(t, !ShouldForward(MinWorkers-1, false))
	assert.Assert(t, ShouldForward(MinWorkers, false))
	assert.Assert(t, ShouldForward(MinWorkers-1, true))
	assert.Assert(t, !ShouldForward(stopBelow-1, true))
}
