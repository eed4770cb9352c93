// Package admission decides whether a request is let in to wait, or turned
// away at once with the time after which asking again is worthwhile.
//
// It answers load above capacity. Without it the queue grows until every
// answer is late: all slots are busy, yet nobody gets an answer in time. Turned
// away early, a caller can do something else, and what is let in is answered
// while it is still of use.
package admission

import (
	"math"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Load is a service's state at one entry VM when a request comes.
type Load struct {
	Slots        int           // slots of live targets this entry VM may use
	Free         int           // of these, free now
	Live         int           // targets in use, with or without slots for this entry VM
	InFlight     int           // requests at targets
	Limit        int           // most in flight by the service's declared limit; 0 for none
	CostAhead    float64       // cost waiting that goes before the request, in mean requests
	Mean         time.Duration // mean time a request holds a slot; 0 where unknown
	HighQuantile time.Duration // time within which most requests are done; 0 where unknown
}

// Request is what admission looks at.
type Request struct {
	Class    model.Class
	Arrived  time.Time
	Deadline time.Time
}

// margin is the time that must be left for the work itself: the high quantile
// of what requests take. With the mean, a saturated service would let every
// request wait until just the mean was left, and of exponential service times
// more than a third of the slots' work would come too late. A caller that gives
// a short timeout knows its requests: at most half of it is asked for.
func (r Request) margin(high time.Duration) time.Duration {
	return min(high, r.Deadline.Sub(r.Arrived)/2)
}

// CannotMeetDeadline reports whether a request that has waited is better turned away
// than sent: less than the margin is left, as the prediction at its coming was
// too good, and others wait for the slot.
func CannotMeetDeadline(r Request, high time.Duration, now time.Time) bool {
	return now.After(r.Arrived) && r.Deadline.Sub(now) < r.margin(high)
}

// Verdict is admission's answer.
type Verdict int8

// The verdicts of Decide.
const (
	Admit Verdict = iota + 1
	// NoTargets: no live slot at all.
	NoTargets
	// WouldBeLate: the predicted wait leaves no time for the work itself.
	WouldBeLate
)

// Decision is a verdict with its numbers.
type Decision struct {
	Verdict    Verdict
	Wait       time.Duration // predicted until a slot is free for the request
	RetryAfter time.Duration // when asking again may succeed; 0 if admitted
}

// noTargetRetry is when to ask again where a service has no live slot: as long
// as leaving or returning targets take to be known everywhere.
const noTargetRetry = 3 * time.Second

// Decide predicts the wait and compares it to the deadline.
func Decide(l Load, r Request, now time.Time) Decision {
	usable := l.Usable()
	if l.Live <= 0 {
		return Decision{Verdict: NoTargets, RetryAfter: noTargetRetry}
	}
	if usable <= 0 {
		return l.withoutSlots(r, now)
	}
	wait := l.Wait()
	left := r.Deadline.Sub(now)
	needed := wait + r.margin(l.HighQuantile)
	if wait > 0 && needed > left {
		return Decision{Verdict: WouldBeLate, Wait: wait, RetryAfter: needed - left}
	}
	return Decision{Verdict: Admit, Wait: wait}
}

// borrowTime is how long it takes at most that a peer with an idle slot lends
// it: a digest there and one back, a second each between zones.
const borrowTime = 2 * time.Second

// withoutSlots decides where this entry VM has no slot of the service, as there
// are more entry VMs than slots: its requests wait for a loan.
func (l Load) withoutSlots(r Request, now time.Time) Decision {
	if r.Deadline.Sub(now) < borrowTime {
		return Decision{Verdict: WouldBeLate, Wait: borrowTime, RetryAfter: borrowTime}
	}
	return Decision{Verdict: Admit, Wait: borrowTime}
}

// Usable returns the slots within the service's limit.
func (l Load) Usable() int {
	if l.Limit > 0 {
		return min(l.Slots, l.Limit)
	}
	return l.Slots
}

// Wait returns how long until the work ahead has got its slots and one more is
// free: slots come free at the rate of Usable per Mean.
func (l Load) Wait() time.Duration {
	usable := l.Usable()
	free := l.Free
	if l.Limit > 0 {
		free = min(free, l.Limit-l.InFlight)
	}
	short := l.CostAhead + 1 - float64(max(free, 0))
	if short <= 0 || usable <= 0 {
		return 0
	}
	return time.Duration(short * float64(l.Mean) / float64(usable))
}

// EntryLimit returns this entry VM's part of a service's limit, where entries
// VMs share it: at least 1, so that a small limit does not shut the service at
// an entry VM.
func EntryLimit(limit, entries int) int {
	if limit <= 0 {
		return 0
	}
	return max(1, int(math.Ceil(float64(limit)/float64(max(entries, 1)))))
}

// reserveShare is the part of the slots that deferrable work leaves free, so
// that an urgent request that comes next finds one. An eighth is one slot of a
// target's eight: the load at which urgent work would wait anyway.
const reserveShare = 8

// DeferrableMayStart reports whether deferrable work may take a slot.
func DeferrableMayStart(free, slots int) bool {
	reserve := (slots + reserveShare - 1) / reserveShare
	if slots <= 1 {
		reserve = 0
	}
	return free > reserve
}

// meanGain is the weight of a new sample of the holding time: the last hundred
// or so requests count, some tens of seconds of one service at today's sizes.
const meanGain = 0.02

// highQuantile is the share of requests that are done within High. Above it,
// long requests among short ones would set the margin of all; below it, more
// of the slots' work comes too late.
const highQuantile = 0.95

// maxSample bounds a sample, in means. One request that hung for an hour would
// otherwise let a wait of minutes be predicted, and everything be turned away;
// where requests have grown longer, some dozen samples show it all the same.
const maxSample = 20

// HoldTime estimates how long requests hold a slot. The zero value knows
// nothing.
type HoldTime struct {
	mean float64
	high float64
	n    int
}

// Observe takes in a sample. The first samples count alike. The quantile moves
// up or down by the sample's side alone, so that no sample's size matters.
func (h *HoldTime) Observe(d time.Duration) {
	h.n++
	if h.n == 1 {
		h.mean, h.high = float64(d), float64(d)
		return
	}
	gain := max(meanGain, 1/float64(h.n))
	h.mean += gain * (min(float64(d), maxSample*h.mean) - h.mean)
	step := gain * max(h.high, h.mean/maxSample)
	if float64(d) > h.high {
		h.high += step * highQuantile
	} else {
		h.high -= step * (1 - highQuantile)
	}
}

// Mean returns the estimate, 0 where nothing is known.
func (h *HoldTime) Mean() time.Duration { return time.Duration(h.mean) }

// HighQuantile returns the time within which most requests are done, 0 where unknown.
func (h *HoldTime) HighQuantile() time.Duration { return time.Duration(h.high) }
