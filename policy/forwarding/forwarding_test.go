package forwarding

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// fleet is as a large deployment has it: in each zone two large entry VMs and some
// small ones.
func fleet() []Member {
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

// first counts the workers by their first choice.
func first(members []Member, owner string, n int) map[string]int {
	out := make(map[string]int)
	for _, w := range workers(n) {
		out[Candidates(w, "a", owner, members)[0]]++
	}
	return out
}

// A burst on every worker at once: the owner makes none of the calls, and each
// entry VM gets as many workers as it can carry against the others of the zone.
func TestWorkersAreSpreadByWhatVMsCanCarry(t *testing.T) {
	const n = 4000
	members := []Member{{Name: "owner", Zone: "a", Weight: 0.8}, {Name: "x", Zone: "a", Weight: 0.8}, {Name: "y", Zone: "a", Weight: 0.8}, {Name: "z", Zone: "a", Weight: 0.4}}
	got := first(members, "owner", n)
	assert.Equal(t, got["owner"], 0)
	for _, m := range members[1:] {
		want := m.Weight / 2.0 * n
		assert.Assert(t, float64(got[m.Name]) > 0.9*want && float64(got[m.Name]) < 1.1*want, "%s has %d workers, its share is %.0f", m.Name, got[m.Name], want)
	}
}

// A zone has two large entry VMs and eight small ones that carry a tenth together:
// calls spread over all ten would hardly share a message. They go by the large one
// that is not the owner, and by small ones where those are all there is.
func TestSmallVMsAreUsedWhereThereAreNoLargeOnes(t *testing.T) {
	assert.DeepEqual(t, first(fleet(), "a-large-0", 500), map[string]int{"a-large-1": 500})
	small := slices.DeleteFunc(fleet(), func(m Member) bool { return m.Weight > 0.1 })
	assert.Equal(t, len(first(small, "", 500)), 8)
}

// Workers of a zone are called from another, or not at all by others: the owner is the
// only large entry VM there, and small ones are measured against it. Only those that may
// forward count.
func TestSmallVMsAreUsedWhereTheOwnerIsTheOnlyLargeOne(t *testing.T) {
	members := []Member{{Name: "owner", Zone: "a", Weight: 0.8}, {Name: "x", Zone: "a", Weight: 0.02}, {Name: "far", Zone: "b", Weight: 0.8}}
	assert.DeepEqual(t, Candidates("i-1", "a", "owner", members), []string{"x", "far"})
}

func TestVMsOfTheWorkersZoneComeFirst(t *testing.T) {
	members := []Member{{Name: "far", Zone: "b", Weight: 10}, {Name: "near", Zone: "a", Weight: 0.01}}
	assert.DeepEqual(t, Candidates("i-1", "a", "", members), []string{"near", "far"})
}

// Connections are dear: when an entry VM goes, only its own workers may change.
func TestOnlyTheWorkersOfAVMThatGoesChange(t *testing.T) {
	before := fleet()
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

func TestTheOwnerCallsItselfWhereItIsAlone(t *testing.T) {
	assert.Equal(t, len(Candidates("i-1", "a", "me", []Member{{Name: "me", Zone: "a", Weight: 1}})), 0)
}

func TestACellNearTheLimitDoesNotChangeOverAndBack(t *testing.T) {
	assert.Assert(t, !ShouldForward(MinWorkers-1, false))
	assert.Assert(t, ShouldForward(MinWorkers, false))
	assert.Assert(t, ShouldForward(MinWorkers-1, true))
	assert.Assert(t, !ShouldForward(until-1, true))
}
