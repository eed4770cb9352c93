// Package health judges targets by what their requests showed, against their
// peers, and says how much of its work a target gets.
//
// It answers a target that fails what it is sent, and fails it fast: being
// free all the time it would draw most of the load. Judged alone, targets
// would also be ejected for a caller whose requests fail everywhere, or for a
// broken dependency of the whole service, until none is left; so a target is
// judged against the others, and the service's budget bounds how many go.
package health

import "time"

const (
	// ConsecutiveFailureThreshold ejects a target whose peers mostly succeed. Five in a
	// row happen by chance once in 3 million requests at a failure rate of 5%.
	ConsecutiveFailureThreshold = 5
	// windowSpan is how far back rates reach: long enough for the 10 samples
	// that a rate needs at one request a second.
	windowSpan = 10 * time.Second
	// rateSamples is the least number of samples a rate is believed with.
	rateSamples = 10
	// rateExcess is by how much the failure rate must exceed the peers': one
	// caller's bad requests spread over all targets alike and never exceed it.
	rateExcess = 0.3
	// EjectionBase is the first ejection's time, doubled for each further one
	// up to EjectionMax: a restart takes about as long, a broken VM is asked
	// once a minute.
	EjectionBase = 5 * time.Second
	EjectionMax  = time.Minute
	// forgiveAfter clean time takes back one doubling.
	forgiveAfter = time.Minute
	// SlowStart is how long a target that comes (back) gets less: a process
	// with cold caches that is sent its full share at once times out and is
	// ejected again.
	SlowStart = 10 * time.Second
	// slowStartFloor is the share it starts with: enough requests to be judged.
	slowStartFloor = 0.1
)

// Target is what is known of one target's health. The zero value is a target
// that was always there.
type Target struct {
	consecutive int
	slots       [windowSlots]count
	slotAt      int64 // number of the newest slot of time

	ejectedUntil time.Time
	ejections    int
	cleanSince   time.Time
	startedAt    time.Time // of its slow start; zero if it was always there
}

// windowSlots divides windowSpan; old samples leave a slot at a time.
const windowSlots = 5

type count struct{ ok, failed int }

// BeginSlowStart begins a slow start: the target is new or was away.
func (t *Target) BeginSlowStart(now time.Time) {
	*t = Target{startedAt: now, cleanSince: now}
}

// Observe takes in how a request ended.
func (t *Target) Observe(ok bool, now time.Time) {
	t.advance(now)
	c := &t.slots[t.slotAt%windowSlots]
	if ok {
		c.ok++
		t.consecutive = 0
		t.forgive(now)
		return
	}
	c.failed++
	t.consecutive++
	t.cleanSince = now
}

func (t *Target) forgive(now time.Time) {
	if t.ejections > 0 && now.Sub(t.cleanSince) >= forgiveAfter {
		t.ejections--
		t.cleanSince = now
	}
}

// advance empties the slots of time that have passed since the last sample.
func (t *Target) advance(now time.Time) {
	at := now.UnixNano() / int64(windowSpan/windowSlots)
	if at <= t.slotAt {
		return
	}
	for n := max(t.slotAt+1, at-windowSlots+1); n <= at; n++ {
		t.slots[n%windowSlots] = count{}
	}
	t.slotAt = at
}

// sum returns the window's samples.
func (t *Target) sum(now time.Time) count {
	t.advance(now)
	var s count
	for _, c := range t.slots {
		s.ok += c.ok
		s.failed += c.failed
	}
	return s
}

// Ejected reports whether the target gets no work for its failures.
func (t *Target) Ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// Weight is the share of its work the target gets, 0..1.
func (t *Target) Weight(now time.Time) float64 {
	if t.startedAt.IsZero() {
		return 1
	}
	age := now.Sub(t.startedAt)
	if age >= SlowStart {
		return 1
	}
	return max(slowStartFloor, float64(age)/float64(SlowStart))
}

// eject takes the target out for a time that doubles with each ejection, after
// which it starts slowly.
func (t *Target) eject(now time.Time) {
	span := min(EjectionBase<<min(t.ejections, 10), EjectionMax)
	t.ejections++
	t.ejectedUntil = now.Add(span)
	t.startedAt = t.ejectedUntil
	t.cleanSince = now
	t.consecutive = 0
	t.slots = [windowSlots]count{}
}

// maxPenalty bounds Penalty, in typical requests: a target that fails all it is
// sent gets a tenth of what its peers get.
const maxPenalty = 10

// Penalty is how long a slot of the target stays taken after a failure: as many
// typical requests as have failed in a row, less the time it was held. A
// failing target that the budget keeps in use would otherwise be the one with
// free slots and, under load, draw nearly every request.
func (t *Target) Penalty(held, typical time.Duration) time.Duration {
	return max(0, time.Duration(min(t.consecutive, maxPenalty))*typical-held)
}

// EjectOutlier looks at the target after a failure and ejects it where it is an
// outlier among its peers (itself not included) and mayLeave says that the
// budget permits one less. It reports whether it ejected it.
func EjectOutlier(t *Target, peers []*Target, mayLeave bool, now time.Time) bool {
	if !mayLeave || t.Ejected(now) || !t.outlier(peers, now) {
		return false
	}
	t.eject(now)
	return true
}

func (t *Target) outlier(peers []*Target, now time.Time) bool {
	own := t.sum(now)
	others := count{}
	for _, p := range peers {
		s := p.sum(now)
		others.ok += s.ok
		others.failed += s.failed
	}
	othersRate := others.rate()
	if t.consecutive >= ConsecutiveFailureThreshold {
		return othersRate < 0.5
	}
	return own.ok+own.failed >= rateSamples && own.rate() >= othersRate+rateExcess
}

// rate is the share of failures, 0 where there are no samples.
func (c count) rate() float64 {
	if c.failed == 0 {
		return 0
	}
	return float64(c.failed) / float64(c.ok+c.failed)
}

// maxEjectedShare bounds ejections whatever the budget says: when more than a
// third of the targets look bad, the judgement or something shared is.
const maxEjectedShare = 3

// MayEject reports whether one more target may be ejected: of total targets,
// out are out already for any reason, and the budget asks for minAvailable.
func MayEject(total, out, minAvailable int) bool {
	return total-out-1 >= minAvailable && (out+1)*maxEjectedShare <= total
}
