// Package admission decides whether a request may wait for a slot, or is refused
// at once with the time after which a retry may succeed.
//
// Load pattern: load above capacity. Without admission the queue grows until
// every answer is late: all slots are busy, yet no answer comes in time. A caller
// that is refused early can do something else, and the requests that are admitted
// are answered while that is still of use.
package admission

import (
	"math"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Load is the state of a service at one entry VM when a request arrives.
type Load struct {
	Slots        int           // slots of live targets that this entry VM may use
	Free         int           // how many of Slots are free
	Live         int           // targets in use, including those without a slot for this entry VM
	InFlight     int           // requests sent to targets and not yet answered
	Limit        int           // bound on InFlight from the service's declared limit; 0 for none
	CostAhead    float64       // queued cost that runs before the request, in mean requests
	Mean         time.Duration // mean time a request holds a slot; 0 where unknown
	HighQuantile time.Duration // 95th percentile of the time a request holds a slot; 0 where unknown
}

// Request holds what admission considers of a request.
type Request struct {
	Class    model.Class
	Arrived  time.Time
	Deadline time.Time
}

// margin returns the time that must be left for the work itself: a high quantile
// of the time that requests hold a slot. With the mean, requests of a saturated
// service would wait until just the mean is left, and with exponential service
// times more than a third of the work would end too late. A caller that sets a
// short timeout knows its requests: the margin is at most half of it.
func (r Request) margin(highQuantile time.Duration) time.Duration {
	return min(highQuantile, r.Deadline.Sub(r.Arrived)/2)
}

// CannotMeetDeadline reports whether a request that has waited should be refused
// instead of sent, because the time left until its deadline is less than its work
// may need: highQuantile, the 95th percentile of the time that requests hold a
// slot, but at most half of the caller's timeout. The wait predicted on its arrival
// was then too short, and other requests wait for the slot.
func CannotMeetDeadline(r Request, highQuantile time.Duration, now time.Time) bool {
	return now.After(r.Arrived) && r.Deadline.Sub(now) < r.margin(highQuantile)
}

// Verdict is the outcome of Decide.
type Verdict int8

// The verdicts.
const (
	Admit Verdict = iota + 1
	// NoTargets: the service has no live target.
	NoTargets
	// WouldBeLate: the predicted wait leaves too little time for the work itself.
	WouldBeLate
)

// Decision is a verdict with the predicted times.
type Decision struct {
	Verdict    Verdict
	Wait       time.Duration // predicted time until a slot is free for the request
	RetryAfter time.Duration // time after which a retry may succeed; 0 if admitted
}

// noTargetRetry is the time after which to retry where a service has no live
// target: as long as it takes until all entry VMs know targets that leave or
// return.
const noTargetRetry = 3 * time.Second

// Decide predicts the wait for a slot. It refuses a request that has to wait if
// the time left after that wait is less than the margin for the work.
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

// borrowTime bounds how long it takes until a peer lends an idle slot: a digest
// to the peer and one back, a second each between availability zones.
const borrowTime = 2 * time.Second

// withoutSlots decides where this entry VM has no slot of the service, as there
// are more entry VMs than slots: the request waits until a peer lends one.
func (l Load) withoutSlots(r Request, now time.Time) Decision {
	if r.Deadline.Sub(now) < borrowTime {
		return Decision{Verdict: WouldBeLate, Wait: borrowTime, RetryAfter: borrowTime}
	}
	return Decision{Verdict: Admit, Wait: borrowTime}
}

// Usable returns how many slots may be used within the service's limit.
func (l Load) Usable() int {
	if l.Limit > 0 {
		return min(l.Slots, l.Limit)
	}
	return l.Slots
}

// Wait returns the predicted time until the queued work ahead has its slots and
// one more slot is free: slots are freed at the rate of Usable per Mean.
func (l Load) Wait() time.Duration {
	usable := l.Usable()
	free := l.Free
	if l.Limit > 0 {
		free = min(free, l.Limit-l.InFlight)
	}
	missing := l.CostAhead + 1 - float64(max(free, 0))
	if missing <= 0 || usable <= 0 {
		return 0
	}
	return time.Duration(missing * float64(l.Mean) / float64(usable))
}

// EntryLimit returns the part of a service's limit that one of so many entry VMs
// may use. It is at least 1, as a small limit must not make the service
// unavailable at an entry VM; 0 means that there is no limit.
func EntryLimit(limit, entries int) int {
	if limit <= 0 {
		return 0
	}
	return max(1, int(math.Ceil(float64(limit)/float64(max(entries, 1)))))
}

// reserveDivisor gives the part of the slots that deferrable work leaves free, so
// that the next urgent request finds a free one. An eighth is one slot of a
// target's eight, and the load at which urgent work would wait anyway.
const reserveDivisor = 8

// DeferrableMayStart reports whether deferrable work may take one of the free
// slots.
func DeferrableMayStart(free, slots int) bool {
	reserve := (slots + reserveDivisor - 1) / reserveDivisor
	if slots <= 1 {
		reserve = 0
	}
	return free > reserve
}

// meanGain is the weight of a new sample in the mean holding time: about the last
// hundred requests count, which is some tens of seconds of one service.
const meanGain = 0.02

// quantile is the share of requests that hold their slot for at most
// HighQuantile. A greater one would let a few long requests set the margin for
// all; a smaller one would let more of the work end too late.
const quantile = 0.95

// maxSample bounds a sample, in means. One request that hung for an hour would
// otherwise make the predicted wait minutes long, and all requests be refused.
// Where requests have become longer, a few dozen samples show it all the same.
const maxSample = 20

// HoldTime estimates how long requests hold a slot. The zero value has no
// estimate.
type HoldTime struct {
	mean float64
	high float64
	n    int
}

// Observe adds a sample. The first 50 samples weigh alike in the mean. The
// quantile moves up or down by a step that depends on whether the sample is
// greater, but not on its size.
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
		h.high += step * quantile
	} else {
		h.high -= step * (1 - quantile)
	}
}

// Mean returns the mean time that requests hold a slot, 0 where unknown.
func (h *HoldTime) Mean() time.Duration { return time.Duration(h.mean) }

// HighQuantile returns the time within which 95% of requests release their slot,
// 0 where unknown.
func (h *HoldTime) HighQuantile() time.Duration { return time.Duration(h.high) }
