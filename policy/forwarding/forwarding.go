// Package forwarding decides which entry VM speaks with a worker for the owner of
// its cell.
//
// Load pattern: a large service's burst asks for thousands of starts a second.
// One plan can make them, but the calls to the workers, each with its connection,
// its headers and its answer, take two and a half times the processor time of the
// plans (by a profile at a thousand starts a second); made by the owner alone they
// fill its share of a core, answers come late, and jobs wait with workers free. The
// calls of a large cell therefore go through other entry VMs, each of which speaks with
// some of the workers. The plan, and the right to give orders, stay with the owner.
package forwarding

import (
	"cmp"
	"math"
	"slices"

	"github.com/pumicestage/pumicestage/policy/rendezvous"
)

// Member is a live entry VM.
type Member struct {
	Name   string
	Zone   string
	Weight float64 // what it can carry against others
}

const (
	// MinWorkers is how many workers a cell has from which its calls are forwarded. An
	// owner that had drawn all 48 VMs of a small deployment has been measured at a
	// tenth of a core; one with sixty to three hundred is asked 2,300 starts a second
	// and more in a burst and takes a millisecond of processor time for each.
	MinWorkers = 56
	// until keeps a cell whose VMs come and go by turns from changing over and
	// back: a worker's connection to the new caller has a price each time.
	until = MinWorkers / 2
	// choices is how many entry VMs are tried for a worker before the owner
	// calls it itself.
	choices = 2
	// leastShare is how much of what the largest entry VM of its zone can carry
	// one must carry to be used. Calls of a plan that leave for the same VM share
	// a write, and their answers a read: spread over many small VMs, each carrying
	// little, every call would cost the owner both.
	leastShare = 0.25
)

// ShouldForward reports whether a cell of so many workers is to forward its calls. now
// says whether it does.
func ShouldForward(workers int, now bool) bool {
	if now {
		return workers >= until
	}
	return workers >= MinWorkers
}

// Candidates returns the entry VMs that may speak with the worker, the preferred one
// first. Those of the worker's own zone come first: most bytes then stay within
// it, and a cut of the zone does not come between the two. Within a zone each
// worker has its own order, in which VMs come early as often as they can carry
// (weighted rendezvous), so that one that leaves hands its workers to all others
// and no other worker changes.
func Candidates(worker, zone, owner string, members []Member) []string {
	type candidate struct {
		name  string
		away  int
		place float64
	}
	var all []candidate
	largest := largestByZone(owner, members)
	for _, m := range members {
		if m.Name == owner || m.Weight <= 0 || m.Weight < leastShare*largest[m.Zone] {
			continue
		}
		c := candidate{name: m.Name, place: -math.Log(draw(worker, m.Name)) / m.Weight}
		if m.Zone != zone {
			c.away = 1
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.away, b.away), cmp.Compare(a.place, b.place), cmp.Compare(a.name, b.name))
	})
	var out []string
	for _, c := range all[:min(choices, len(all))] {
		out = append(out, c.name)
	}
	return out
}

func largestByZone(owner string, members []Member) map[string]float64 {
	out := make(map[string]float64)
	for _, m := range members {
		if m.Name != owner {
			out[m.Zone] = max(out[m.Zone], m.Weight)
		}
	}
	return out
}

// draw is a number in (0, 1] that the two names determine.
func draw(worker, member string) float64 {
	return (float64(rendezvous.Score(worker, member)>>11) + 1) / (1 << 53)
}
