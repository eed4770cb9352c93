// Package forwarding selects the entry VMs that call a cell's workers on behalf
// of the cell's owner. A cell is a service's workers and the jobs on them; one
// entry VM at a time owns it.
//
// A burst of jobs for a large service can need thousands of starts a second.
// One planner can issue them, but the calls to the workers, each with its
// connection, headers and response, take two and a half times the processor
// time of planning (at a thousand starts a second). If the owner made all calls
// itself, they would use up its share of a core: responses would arrive late,
// and jobs would wait although workers are free. The calls of a large cell are
// therefore forwarded by other entry VMs, each of which calls some of the
// workers. Planning, and the right to give orders, stay with the owner.
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
	Weight float64 // capacity relative to other entry VMs
}

const (
	// MinWorkers is the number of workers from which a cell's calls are
	// forwarded. An owner whose cell had all 48 VMs of a small deployment used
	// a tenth of a core; one with 60 to 300 workers gets 2,300 and more starts
	// a second in a burst and spends a millisecond of processor time on each.
	MinWorkers = 56
	// stopBelow is the number of workers below which forwarding stops. The gap
	// to MinWorkers keeps a cell whose size fluctuates from switching back and
	// forth, since each switch costs new connections to all workers.
	stopBelow = MinWorkers / 2
	// maxCandidates is how many entry VMs are tried for a worker before the
	// owner calls it itself.
	maxCandidates = 2
	// minRelativeWeight is the least weight, relative to the largest other
	// entry VM of the zone, at which an entry VM forwards calls. Calls of one
	// plan to the same VM share a write, and their responses a read; spread
	// over many small VMs, each call would cost the owner both.
	minRelativeWeight = 0.25
)

// ShouldForward reports whether a cell with that many workers is to forward its
// calls. forwarding is whether it does so now.
func ShouldForward(workers int, forwarding bool) bool {
	if forwarding {
		return workers >= stopBelow
	}
	return workers >= MinWorkers
}

// Candidates returns the entry VMs that may call the worker, the preferred one
// first. It is empty if the owner is to call the worker itself. Entry VMs of
// the worker's zone come first: most traffic then stays within the zone, and a
// network partition between zones does not separate the two. Within a zone,
// each worker has its own order by weighted rendezvous hashing, in which an
// entry VM comes first in proportion to its weight. When one leaves, its
// workers are spread over all others and no other worker changes.
func Candidates(worker, zone, owner string, members []Member) []string {
	type candidate struct {
		name   string
		remote int
		rank   float64
	}
	var all []candidate
	largest := maxWeightByZone(owner, members)
	for _, m := range members {
		if m.Name == owner || m.Weight <= 0 || m.Weight < minRelativeWeight*largest[m.Zone] {
			continue
		}
		c := candidate{name: m.Name, rank: -math.Log(uniformHash(worker, m.Name)) / m.Weight}
		if m.Zone != zone {
			c.remote = 1
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.remote, b.remote), cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	var out []string
	for _, c := range all[:min(maxCandidates, len(all))] {
		out = append(out, c.name)
	}
	return out
}

// maxWeightByZone returns the largest Member.Weight in each zone, leaving out the
// owner. A zone without other entry VMs has no entry in the map.
func maxWeightByZone(owner string, members []Member) map[string]float64 {
	out := make(map[string]float64)
	for _, m := range members {
		if m.Name != owner {
			out[m.Zone] = max(out[m.Zone], m.Weight)
		}
	}
	return out
}

// uniformHash returns a number in (0, 1] determined by the two names.
func uniformHash(worker, member string) float64 {
	return (float64(rendezvous.Score(worker, member)>>11) + 1) / (1 << 53)
}
