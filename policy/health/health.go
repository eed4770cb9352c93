// Package health detects unhealthy targets by the outcomes of their requests and
// determines which share of its normal load a target gets.
//
// A target that fails its requests quickly always has free capacity, and would
// therefore receive most of the load. It is ejected, which means that it gets no
// requests for a time. Targets are compared with their peers: by an absolute
// failure rate, a caller whose requests fail everywhere or a failed dependency of
// the whole service would eject one target after another until none is left. For
// the same reason the service's budget limits the number of ejected targets.
package health

import "time"

const (
	// ConsecutiveFailureThreshold is the number of consecutive failures that
	// ejects a target whose peers mostly succeed. At a failure rate of 5%, five
	// in a row happen by chance once in 3 million requests.
	ConsecutiveFailureThreshold = 5
	// rateWindow is the period over which failure rates are computed. At one
	// request per second it holds the 10 samples that a rate requires.
	rateWindow = 10 * time.Second
	// minRateSamples is the minimum number of samples for a failure rate to be
	// used.
	minRateSamples = 10
	// minRateExcess is the difference by which a target's failure rate must
	// exceed that of its peers for an ejection. The bad requests of one caller
	// spread evenly over all targets and don't cause such a difference.
	minRateExcess = 0.3
	// EjectionBase is the duration of the first ejection, about the time of a
	// restart. It doubles with each further ejection up to EjectionMax, so that
	// a VM that stays broken is tried once a minute.
	EjectionBase = 5 * time.Second
	EjectionMax  = time.Minute
	// ejectionDecay is the time without failures that undoes one doubling.
	ejectionDecay = time.Minute
	// SlowStart is the time over which the load of a new or returning target
	// rises to its full share. A process with cold caches that gets its full
	// share at once times out and is ejected again.
	SlowStart = 10 * time.Second
	// minSlowStartWeight is the share of the load at the start of a slow start.
	// It yields enough requests to assess the target's health.
	minSlowStartWeight = 0.1
)

// Target is the health state of one target. The zero value is a healthy target
// that gets its full share of the load.
type Target struct {
	consecutiveFailures int
	buckets             [rateBuckets]outcomes
	newestBucket        int64 // time of the newest bucket, in bucket lengths since the Unix epoch

	ejectedUntil     time.Time
	ejections        int       // number of doublings for the next ejection
	failureFreeSince time.Time // start of the period that ejectionDecay is compared with
	slowStartAt      time.Time // start of the slow start; zero if there was none
}

// rateBuckets is the number of buckets into which rateWindow is divided. Samples
// expire one bucket at a time.
const rateBuckets = 5

// outcomes counts requests by outcome.
type outcomes struct{ ok, failed int }

// BeginSlowStart resets the state of a new or returning target and begins its
// slow start.
func (t *Target) BeginSlowStart(now time.Time) {
	*t = Target{slowStartAt: now, failureFreeSince: now}
}

// Observe records the outcome of a request.
func (t *Target) Observe(ok bool, now time.Time) {
	t.advance(now)
	c := &t.buckets[t.newestBucket%rateBuckets]
	if ok {
		c.ok++
		t.consecutiveFailures = 0
		t.decayEjections(now)
		return
	}
	c.failed++
	t.consecutiveFailures++
	t.failureFreeSince = now
}

// decayEjections undoes one doubling of the ejection time if the target had no
// failure for ejectionDecay.
func (t *Target) decayEjections(now time.Time) {
	if t.ejections > 0 && now.Sub(t.failureFreeSince) >= ejectionDecay {
		t.ejections--
		t.failureFreeSince = now
	}
}

// advance clears the buckets whose time has come since the last sample.
func (t *Target) advance(now time.Time) {
	at := now.UnixNano() / int64(rateWindow/rateBuckets)
	if at <= t.newestBucket {
		return
	}
	for n := max(t.newestBucket+1, at-rateBuckets+1); n <= at; n++ {
		t.buckets[n%rateBuckets] = outcomes{}
	}
	t.newestBucket = at
}

// sum returns the outcomes within rateWindow.
func (t *Target) sum(now time.Time) outcomes {
	t.advance(now)
	var s outcomes
	for _, c := range t.buckets {
		s.ok += c.ok
		s.failed += c.failed
	}
	return s
}

// Ejected reports whether the target is ejected now and gets no requests.
func (t *Target) Ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// Weight returns the share of its normal load that the target gets, from
// minSlowStartWeight to 1. It rises linearly during a slow start.
func (t *Target) Weight(now time.Time) float64 {
	if t.slowStartAt.IsZero() {
		return 1
	}
	age := now.Sub(t.slowStartAt)
	if age >= SlowStart {
		return 1
	}
	return max(minSlowStartWeight, float64(age)/float64(SlowStart))
}

// eject ejects the target for a time that doubles with each ejection. A slow
// start follows.
func (t *Target) eject(now time.Time) {
	duration := min(EjectionBase<<min(t.ejections, 10), EjectionMax)
	t.ejections++
	t.ejectedUntil = now.Add(duration)
	t.slowStartAt = t.ejectedUntil
	t.failureFreeSince = now
	t.consecutiveFailures = 0
	t.buckets = [rateBuckets]outcomes{}
}

// maxPenalty is the maximum of Penalty, as a multiple of a request's typical
// duration: a target that fails all its requests gets a tenth of its peers' load.
const maxPenalty = 10

// Penalty returns for how long a slot of the target stays occupied after a failed
// request has ended: the typical duration of a request times the number of
// consecutive failures, less held, the time for which the request occupied the
// slot. Otherwise a failing target that the budget doesn't allow to be ejected
// would be the one with free slots and, under load, get nearly every request.
func (t *Target) Penalty(held, typicalDuration time.Duration) time.Duration {
	return max(0, time.Duration(min(t.consecutiveFailures, maxPenalty))*typicalDuration-held)
}

// EjectOutlier is called after a failure of t. It ejects t if t isn't ejected
// already, its failures make it an outlier compared with its peers, and mayEject
// tells that the budget permits it. Peers must not include t. It reports whether
// it ejected t.
func EjectOutlier(t *Target, peers []*Target, mayEject bool, now time.Time) bool {
	if !mayEject || t.Ejected(now) || !t.isOutlier(peers, now) {
		return false
	}
	t.eject(now)
	return true
}

// isOutlier reports whether the target fails more than its peers: by consecutive
// failures while more than half of the peers' requests succeed, or by its rate.
func (t *Target) isOutlier(peers []*Target, now time.Time) bool {
	ownOutcomes := t.sum(now)
	peerOutcomes := outcomes{}
	for _, p := range peers {
		s := p.sum(now)
		peerOutcomes.ok += s.ok
		peerOutcomes.failed += s.failed
	}
	peerRate := peerOutcomes.rate()
	if t.consecutiveFailures >= ConsecutiveFailureThreshold {
		return peerRate < 0.5
	}
	return ownOutcomes.ok+ownOutcomes.failed >= minRateSamples && ownOutcomes.rate() >= peerRate+minRateExcess
}

// rate returns the share of failures, or 0 if there are no samples.
func (c outcomes) rate() float64 {
	if c.failed == 0 {
		return 0
	}
	return float64(c.failed) / float64(c.ok+c.failed)
}

// minTargetsPerEjection is the number of targets required for each target that is
// out, whatever the budget permits. If more than a third of the targets look
// unhealthy, the detection itself or a shared dependency is at fault.
const minTargetsPerEjection = 3

// MayEject reports whether one more target may be ejected, where out of the total
// targets are out already for any reason and the budget requires minAvailable.
func MayEject(total, out, minAvailable int) bool {
	return total-out-1 >= minAvailable && (out+1)*minTargetsPerEjection <= total
}
