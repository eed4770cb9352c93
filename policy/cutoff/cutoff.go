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
// off from them too.
package cutoff

// Probe is what one look around found.
type Probe struct {
	Store    bool // the store answered
	Asked    int  // entry VMs of other zones that were asked
	Answered int  // of them, answered
}

// CutOff reports whether the entry VM is cut off. One look is enough: the store and all of
// several entry VMs were silent, each for longer than slow ones take. Where no entry VM of
// another zone is known nobody can tell, and callers stay.
func (p Probe) CutOff() bool {
	return !p.Store && p.Asked > 0 && p.Answered == 0
}
