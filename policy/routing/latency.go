package routing

import (
	"math"
	"time"
)

// latencyGain is the least weight of a new sample in the average. Ten samples
// show most of a tenfold slowdown (10^0.65 = 4.5, which exceeds SlowFactor).
const latencyGain = 0.1

// latencyHalfLife is how fast an estimate without new samples returns to the
// typical latency. A target that is ten times too slow and gets no requests is
// tried again after about three half-lives, with a handful of requests.
const latencyHalfLife = 10 * time.Second

// minLatencySamples is the number of samples needed for an estimate. After the
// first sample alone one good target in twenty would look slow (exponential
// service times exceed three times their mean with a probability of 5%), and a
// target that looks slow gets no second sample.
const minLatencySamples = 5

// LatencyEstimate estimates how long a target takes to begin its response. It
// averages logarithms: one request that takes a hundred times as long as the
// others changes the estimate by a factor of 1.6 rather than 11, whereas a
// target that is slow for all requests shows in full. The zero value has no
// estimate.
type LatencyEstimate struct {
	logMean   float64
	samples   int
	updatedAt time.Time
}

// Observe adds a sample. Only latencies of successful responses may be passed:
// a target that fails fast must not look fast.
func (l *LatencyEstimate) Observe(d time.Duration, now time.Time) {
	sample := math.Log(float64(max(d, time.Microsecond)))
	l.samples++
	gain := max(latencyGain, 1/float64(l.samples))
	l.logMean += gain * (sample - l.logMean)
	l.updatedAt = now
}

// Value returns the estimate at now, 0 if there are too few samples. Without
// new samples the estimate approaches typical; if typical is 0, it does not
// change.
func (l *LatencyEstimate) Value(now time.Time, typical time.Duration) time.Duration {
	if l.samples < minLatencySamples {
		return 0
	}
	if typical <= 0 {
		return time.Duration(math.Exp(l.logMean))
	}
	age := max(now.Sub(l.updatedAt), 0)
	decay := math.Exp2(-float64(age) / float64(latencyHalfLife))
	logTypical := math.Log(float64(typical))
	return time.Duration(math.Exp(logTypical + decay*(l.logMean-logTypical)))
}
