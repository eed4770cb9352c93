// Package routing chooses the target of a request.
//
// It answers a slow target among equals and a zone short of slots. Choosing at
// random sends a slow target as much as a fast one, and every tenth caller
// waits; choosing the least loaded of all sends all entry VMs to the same
// target between two digests. Two choices avoid both, weighed by how long a
// target has been taking, so that a slower target gets less.
package routing

import (
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// CrossZoneCost is what sending a request to another zone adds: 1.5 ms each way.
const CrossZoneCost = 3 * time.Millisecond

// SlowFactor is how many times the typical latency makes a target slow. A slow
// target gets a request only if the request would be done sooner there than by
// waiting for the next slot of another. Three is beyond the noise of the
// estimate (exponential service times stay within a factor of two) and well
// below a tenfold slowdown.
const SlowFactor = 3

// clearlyBetter is the ratio of scores below which the second choice beats the
// first. Idle targets differ by noise in their latency alone; without a margin
// the luckiest of them would get all work at low load. One request more of
// eight still counts.
const clearlyBetter = 0.9

// Target is what is known of one target at the time of a choice.
type Target struct {
	ID           model.VMID
	Local        bool          // in the entry VM's own zone
	InFlight     int           // this entry VM's requests there now
	PeerInFlight int           // fresh peers' requests there, from digests
	Slots        int           // requests the target works on at once
	Limit        int           // requests this entry VM may have there, its share of the slots
	Latency      time.Duration // estimate for answered requests; 0 where unknown
	Weight       float64       // share of its work it gets, below 1 while it is coming back; 0 counts as 1
	Unavailable  bool          // leaving, ejected or otherwise not to be used
}

// Free returns how many more requests may be sent there now: within this entry
// VM's own share, and within the slots by all that is known of peers.
func (t *Target) Free() int {
	if t.Unavailable {
		return 0
	}
	return max(0, min(t.Limit-t.InFlight, t.Slots-t.InFlight-t.PeerInFlight))
}

func (t *Target) latency(typical time.Duration) time.Duration {
	if t.Latency <= 0 {
		return typical
	}
	return t.Latency
}

// score is the expected time until a further request there would be done,
// were the target's speed shared by its load. Lower is better.
func (t *Target) score(typical time.Duration) float64 {
	load := float64(t.InFlight+t.PeerInFlight+1) / float64(max(t.Slots, 1))
	return load * float64(t.latency(typical))
}

// Choice asks for a target.
type Choice struct {
	Targets []Target
	Avoid   model.VMID    // a target that just refused the request; empty for none
	Wait    time.Duration // expected wait for the next free slot, anywhere
	// LocalWait is the expected wait for the next free slot in the own zone.
	LocalWait time.Duration
	// PreferRemote says that this request goes to another zone first, see package shift.
	PreferRemote bool
	// Rand returns a number in [0,n).
	Rand func(n int) int
}

// Pick returns the index of the chosen target, -1 if it is better to wait for
// a slot than to use one that is free. The own zone goes first; another zone's
// slot is used where waiting for one at home would cost more than the hop.
func Pick(c Choice) int {
	typical := TypicalLatency(c.Targets)
	if c.PreferRemote {
		if i := c.pickAmong(false, typical); i >= 0 {
			return i
		}
	}
	if i := c.pickAmong(true, typical); i >= 0 {
		return i
	}
	if c.LocalWait <= CrossZoneCost {
		return -1
	}
	return c.pickAmong(false, typical)
}

// pickAmong takes the better of two different eligible targets of the own zone
// or of the others.
func (c *Choice) pickAmong(local bool, typical time.Duration) int {
	n := 0
	for i := range c.Targets {
		if c.eligible(i, local, typical) {
			n++
		}
	}
	if n == 0 {
		return -1
	}
	k := c.Rand(n)
	first := c.nth(k, local, typical)
	if n == 1 {
		return first
	}
	other := c.Rand(n - 1)
	if other >= k {
		other++
	}
	second := c.nth(other, local, typical)
	best, rest := first, second
	if c.Targets[second].score(typical) < clearlyBetter*c.Targets[first].score(typical) {
		best, rest = second, first
	}
	if c.passesOver(best) {
		return rest
	}
	return best
}

// passesOver reports whether a target that is coming back lets the other one
// of the two go first. It is a matter of chance and not of score: an idle
// target with a worse score would never be chosen at low load.
func (c *Choice) passesOver(i int) bool {
	const resolution = 1000
	w := c.Targets[i].Weight
	return w > 0 && w < 1 && c.Rand(resolution) >= int(w*resolution)
}

func (c *Choice) eligible(i int, local bool, typical time.Duration) bool {
	t := &c.Targets[i]
	if t.Local != local || t.ID == c.Avoid || t.Free() == 0 {
		return false
	}
	latency := t.latency(typical)
	return latency < SlowFactor*typical || latency < c.Wait+typical
}

// nth returns the index of the k-th eligible target.
func (c *Choice) nth(k int, local bool, typical time.Duration) int {
	for i := range c.Targets {
		if !c.eligible(i, local, typical) {
			continue
		}
		if k == 0 {
			return i
		}
		k--
	}
	return -1
}

// typicalBuffer keeps the usual pool's median off the heap.
const typicalBuffer = 64

// TypicalLatency returns the (lower) median latency of the targets in use: half of
// the targets must go wrong before a good one is taken for slow. A target that
// nobody has measured counts as typical, so that it gets the requests that
// measure it. It returns a microsecond where nothing is known.
func TypicalLatency(ts []Target) time.Duration {
	var buffer [typicalBuffer]time.Duration
	known := buffer[:0]
	for i := range ts {
		if ts[i].Latency > 0 && !ts[i].Unavailable {
			known = append(known, ts[i].Latency)
		}
	}
	return max(lowerMedian(known), time.Microsecond)
}

// ZoneTypicalLatency returns the same for the own zone's targets or for the others, 0
// where nothing is known.
func ZoneTypicalLatency(ts []Target, local bool) time.Duration {
	var buffer [typicalBuffer]time.Duration
	known := buffer[:0]
	for i := range ts {
		if ts[i].Latency > 0 && !ts[i].Unavailable && ts[i].Local == local {
			known = append(known, ts[i].Latency)
		}
	}
	return lowerMedian(known)
}

func lowerMedian(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
