package routing

import (
	"math"
	"time"
)

// latencyGain is the weight of a new sample. Ten samples show most of a
// tenfold slowdown (10^0.65 = 4.5, beyond SlowFactor).
const latencyGain = 0.1

// latencyHalfLife is how fast an estimate that gets no samples returns to the
// typical latency. A target left out as ten times too slow is asked again
// after about three half-lives, by a handful of requests.
const latencyHalfLife = 10 * time.Second

// latencySamples is how many samples make an estimate. The first one alone
// makes one good target in twenty look slow (exponential service times exceed
// three times their mean with 5%), and a target that looks slow gets no second.
const latencySamples = 5

// LatencyEstimate estimates how long a target takes to begin its answer. It averages
// logarithms: one request a hundred times longer than the others (long work
// among short) moves it by a factor of 1.6 and not by 11, whereas a target that
// is slow for all requests shows fully. The zero value knows nothing.
type LatencyEstimate struct {
	logMean float64
	samples int
	at      time.Time
}

// Observe takes in a sample. Only answers count: a target that fails fast must
// not look quick.
func (l *LatencyEstimate) Observe(d time.Duration, now time.Time) {
	sample := math.Log(float64(max(d, time.Microsecond)))
	l.samples++
	gain := max(latencyGain, 1/float64(l.samples))
	l.logMean += gain * (sample - l.logMean)
	l.at = now
}

// Value returns the estimate at now, 0 where nothing is known. Without samples
// it nears typical (0 where that is not known).
func (l *LatencyEstimate) Value(now time.Time, typical time.Duration) time.Duration {
	if l.samples < latencySamples {
		return 0
	}
	if typical <= 0 {
		return time.Duration(math.Exp(l.logMean))
	}
	age := max(now.Sub(l.at), 0)
	kept := math.Exp2(-float64(age) / float64(latencyHalfLife))
	target := math.Log(float64(typical))
	return time.Duration(math.Exp(target + kept*(l.logMean-target)))
}
