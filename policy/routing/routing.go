// Package routing chooses the target of a request.
//
// It handles a slow target among equal ones and a zone that is short of slots.
// A random choice sends a slow target as many requests as a fast one, so that
// one caller in ten waits; choosing the least loaded target makes all entry VMs
// choose the same one between two digests. The power of two random choices,
// scored by load and estimated latency, avoids both: a slower target gets fewer
// requests.
package routing

import (
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// CrossZoneCost is the latency that sending a request to another zone adds: 1.5
// ms in each direction.
const CrossZoneCost = 3 * time.Millisecond

// SlowFactor is the ratio to the typical latency from which a target counts as
// slow. A slow target gets a request only if it would complete the request
// sooner than the next free slot of another target. Three exceeds the noise of
// the estimate (for exponential service times it stays within a factor of two)
// and is well below a tenfold slowdown.
const SlowFactor = 3

// scoreMargin is the ratio of scores below which the second random choice is
// preferred to the first. Idle targets differ in score only by noise in their
// latency; without a margin, the one with the luckiest estimate would get all
// requests at low load. A difference of one request in eight still counts.
const scoreMargin = 0.9

// Target is the known state of a target at the time of a choice.
type Target struct {
	ID           model.VMID
	Local        bool          // in the entry VM's own zone
	InFlight     int           // this entry VM's requests in flight at the target
	PeerInFlight int           // requests of peers in flight there, from fresh digests
	Slots        int           // requests that the target runs at a time
	Limit        int           // requests that this entry VM may have there: its share of the slots, with loans
	Latency      time.Duration // estimated latency of responses; 0 if unknown
	Weight       float64       // fraction of its normal load during ramp-up, below 1; 0 counts as 1
	Unavailable  bool          // leaving, ejected or otherwise not usable
}

// Free returns how many more requests this entry VM may send now: within its
// own limit, and within the slots that peers leave free according to their
// digests.
func (t *Target) Free() int {
	if t.Unavailable {
		return 0
	}
	return max(0, min(t.Limit-t.InFlight, t.Slots-t.InFlight-t.PeerInFlight))
}

// latency returns the estimated latency, or typical if there is no estimate.
func (t *Target) latency(typical time.Duration) time.Duration {
	if t.Latency <= 0 {
		return typical
	}
	return t.Latency
}

// score estimates the time until a further request would complete if the
// target's speed were shared by its load. Lower is better.
func (t *Target) score(typical time.Duration) float64 {
	load := float64(t.InFlight+t.PeerInFlight+1) / float64(max(t.Slots, 1))
	return load * float64(t.latency(typical))
}

// Choice is the input of Pick.
type Choice struct {
	Targets []Target
	Avoid   model.VMID    // a target that just refused the request; empty if none
	Wait    time.Duration // expected wait for the next free slot, in any zone
	// LocalWait is the expected wait for the next free slot in the own zone.
	LocalWait time.Duration
	// PreferRemote makes the request try targets of other zones first; see
	// package shift.
	PreferRemote bool
	// Rand returns a uniform random number in [0,n).
	Rand func(n int) int
}

// Pick returns the index of the chosen target, or -1 if none is eligible or it
// is better to wait for a slot than to use a free one. Targets of the own zone
// are preferred; another zone's slot is used if the wait for a local one would
// exceed CrossZoneCost.
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

// pickAmong picks two different eligible targets at random, from the own zone if
// local is set, else from the others, and returns the index of the better one.
// It returns -1 if there is none. typical is the result of TypicalLatency.
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
	first := c.nthEligible(k, local, typical)
	if n == 1 {
		return first
	}
	other := c.Rand(n - 1)
	if other >= k {
		other++
	}
	second := c.nthEligible(other, local, typical)
	best, worse := first, second
	if c.Targets[second].score(typical) < scoreMargin*c.Targets[first].score(typical) {
		best, worse = second, first
	}
	if c.skipRampingUp(best) {
		return worse
	}
	return best
}

// skipRampingUp reports whether a target that is ramping up is passed over for
// the other one of the two. It is decided at random and not by score: at low
// load, an idle target with a worse score would never be chosen.
func (c *Choice) skipRampingUp(i int) bool {
	const resolution = 1000
	w := c.Targets[i].Weight
	return w > 0 && w < 1 && c.Rand(resolution) >= int(w*resolution)
}

// eligible reports whether target i may get the request: it is in the own zone
// if local is set, else in another one, isn't the target to avoid, has a free
// slot, and is not slow compared with typical, the result of TypicalLatency. A
// slow target is eligible if it would still complete the request sooner than the
// next free slot of another.
func (c *Choice) eligible(i int, local bool, typical time.Duration) bool {
	t := &c.Targets[i]
	if t.Local != local || t.ID == c.Avoid || t.Free() == 0 {
		return false
	}
	latency := t.latency(typical)
	return latency < SlowFactor*typical || latency < c.Wait+typical
}

// nthEligible returns the index in Targets of the k-th target, counted from 0,
// for which eligible holds with the same local and typical, or -1 if there are
// fewer.
func (c *Choice) nthEligible(k int, local bool, typical time.Duration) int {
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

// latencyBuffer is the number of targets up to which the median needs no heap
// allocation.
const latencyBuffer = 64

// TypicalLatency returns the lower median latency of the available targets:
// half of the targets must be slow before a good one counts as slow. A target
// without an estimate counts as typical, so that it gets the requests that
// provide one. The result is one microsecond if no estimate is available.
func TypicalLatency(ts []Target) time.Duration {
	var buffer [latencyBuffer]time.Duration
	known := buffer[:0]
	for i := range ts {
		if ts[i].Latency > 0 && !ts[i].Unavailable {
			known = append(known, ts[i].Latency)
		}
	}
	return max(lowerMedian(known), time.Microsecond)
}

// ZoneTypicalLatency returns the lower median latency of the available targets
// in the own zone if local is set, else of those in other zones. The result is
// 0 if no estimate is available.
func ZoneTypicalLatency(ts []Target, local bool) time.Duration {
	var buffer [latencyBuffer]time.Duration
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
