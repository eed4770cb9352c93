package crashes

import (
	"math"
	"time"
)

const (
	// usualPrior is the share of jobs that are assumed to crash their workers while nothing is
	// known of the kind.
	usualPrior = 0.001
	// priorWeight is the number of ended jobs that count as much as usualPrior.
	priorWeight = 20
	// kindHalfLife is the half-life of what is known of ended jobs. With it, a kind whose fault
	// has been fixed by a release is back at the usual share within minutes.
	kindHalfLife = 30 * time.Second
	// hazardousPrior is the share of crashing jobs from which on a kind is kept away from
	// long-running tasks.
	hazardousPrior = 0.01
)

// Kind estimates how many jobs of one kind crash their workers. The zero value is ready for
// use and has seen no job.
type Kind struct {
	sound, poison float64
	at            time.Duration
}

// Crashed records the crash of a worker. probability is the probability that it was caused by a
// job of the kind that had not crashed a worker before.
func (k *Kind) Crashed(probability float64, now time.Duration) {
	k.decay(now)
	k.poison += probability
}

// Completed records that a job of the kind was completed.
func (k *Kind) Completed(now time.Duration) {
	k.decay(now)
	k.sound++
}

func (k *Kind) decay(now time.Duration) {
	now = max(now, k.at)
	kept := math.Exp2(-float64(now-k.at) / float64(kindHalfLife))
	k.sound, k.poison, k.at = k.sound*kept, k.poison*kept, now
}

// Prior returns the share of jobs of the kind that crash their workers.
func (k *Kind) Prior(now time.Duration) float64 {
	k.decay(now)
	return (usualPrior*priorWeight + k.poison) / (priorWeight + k.sound + k.poison)
}

// Hazardous reports whether so many jobs of the kind crash their workers that they are to be
// kept away from long-running tasks.
func (k *Kind) Hazardous(now time.Duration) bool { return k.Prior(now) >= hazardousPrior }
