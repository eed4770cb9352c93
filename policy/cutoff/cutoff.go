// Package cutoff decides whether an entry VM is cut off from the other availability
// zones, so that callers are better served elsewhere.
//
// Load pattern: a network partition cuts an availability zone off while its callers
// still reach its entry VMs. Nothing can be stored there, so each of their requests
// is refused after a timeout of its own until the partition heals, while entry VMs
// of other zones could take it. The load balancer leaves out an entry VM that
// reports not to be ready; once no entry VM of the zone is ready, the zone's callers
// are sent to the nearest others.
//
// An outage of the store alone looks the same from the store's side. Then no other
// entry VM could take more requests, and sending callers elsewhere would cost each of
// them a connection. The entry VMs of other zones tell the two cases apart: they
// answer unless this one is cut off from them, too. If those of one zone are silent,
// that zone may itself be cut off; it is unlikely that all zones are.
package cutoff

import (
	"cmp"
	"slices"
	"time"
)

// perZone is how many entry VMs of each other zone are probed: one may be restarting.
const perZone = 2

// peerProbeDelay is how long the store may take to answer before the peers are probed, too. A
// stale read takes a few milliseconds and a processor at its quota pauses for some tens, so the
// peers get no calls while all is well.
const peerProbeDelay = 100 * time.Millisecond

// PeerProbeDelay returns how long after the start of a probe of the store the peers are probed if
// the store has not answered: at once if the last probe of the store failed.
func PeerProbeDelay(lastStoreProbeFailed bool) time.Duration {
	if lastStoreProbeFailed {
		return 0
	}
	return peerProbeDelay
}

const (
	// balancerRemoval is the longest time from the moment an entry VM turns unready until the
	// balancer sends it no more callers: two readiness probes, sent once a second.
	balancerRemoval = 2 * time.Second
	// minRetryAfter is the shortest Retry-After, which is in whole seconds.
	minRetryAfter = 1 * time.Second
)

// RetryAfter returns when a caller that is refused should come back, if this entry VM has been cut
// off for the given time. A caller that comes back before the balancer has taken out all entry VMs
// of the zone is refused again and loses one of its few retries; one that comes back later than
// that waits for nothing. The entry VMs of a zone are cut off at the same time.
func RetryAfter(cutOffFor time.Duration) time.Duration {
	return max(minRetryAfter, balancerRemoval-cutOffFor)
}

// Peer is another entry VM of the deployment.
type Peer struct {
	Name    string
	Zone    string
	Address string
}

// SelectPeers returns the peers to probe: the first two by name of each zone other
// than own, the zone of this entry VM.
func SelectPeers(peers []Peer, own string) []Peer {
	sorted := slices.SortedFunc(slices.Values(peers), func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	selected := make(map[string]int)
	var out []Peer
	for _, p := range sorted {
		if p.Zone == own || selected[p.Zone] == perZone {
			continue
		}
		selected[p.Zone]++
		out = append(out, p)
	}
	return out
}

// Probe is the result of one probe of the store and of peers.
type Probe struct {
	Store    bool // the store answered
	Asked    int  // how many entry VMs of other zones were probed
	Answered int  // how many of those answered
}

// CutOff reports whether the entry VM is cut off. One probe is enough: the store and
// the probed entry VMs of every other zone were silent, each for longer than slow
// ones take to answer. If no entry VM of another zone is known, CutOff is false: the
// cases can't be told apart, and callers stay.
func (p Probe) CutOff() bool {
	return !p.Store && p.Asked > 0 && p.Answered == 0
}
