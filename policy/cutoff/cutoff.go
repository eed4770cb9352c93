// Package cutoff decides when an entry VM is cut off from the rest, so that callers are
// better served elsewhere.
//
// Load pattern: an availability zone is cut off while its callers still reach its entry
// VMs. Nothing can be stored there, so every request of theirs is refused until the cut
// heals, each after a timeout of its own, while the entry VMs of the other zones could
// take them. An entry VM that says it is not ready is left out by the balancer; once no
// entry VM of the zone is ready, the zone's callers get to the nearest others.
//
// An outage of the store alone looks the same from the store's side. Then no other entry
// VM could take more, and sending callers round would cost them a connection each. What
// tells the two apart are the entry VMs of other zones: they answer unless this one is cut
// off from them too. One zone that is silent may itself be cut off; all of them are not.
package cutoff

import (
	"cmp"
	"slices"
)

// perZone is how many entry VMs of each other zone are asked: one may be restarting.
const perZone = 2

// Peer is another entry VM.
type Peer struct {
	Name    string
	Zone    string
	Address string
}

// SelectPeers returns the peers to ask: some of each zone but the own.
func SelectPeers(peers []Peer, own string) []Peer {
	sorted := slices.SortedFunc(slices.Values(peers), func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	asked := make(map[string]int)
	var out []Peer
	for _, p := range sorted {
		if p.Zone == own || asked[p.Zone] == perZone {
			continue
		}
		asked[p.Zone]++
		out = append(out, p)
	}
	return out
}

// Probe is what one look around found.
type Probe struct {
	Store    bool // the store answered
	Asked    int  // entry VMs of other zones that were asked
	Answered int  // of them, answered
}

// CutOff reports whether the entry VM is cut off. One look is enough: the store and some
// entry VMs of every other zone were silent, each for longer than slow ones take. Where
// no entry VM of another zone is known nobody can tell, and callers stay.
func (p Probe) CutOff() bool {
	return !p.Store && p.Asked > 0 && p.Answered == 0
}
