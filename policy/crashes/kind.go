package crashes

import (
	"math"
	"time"
)

const (
	// usualPrior is the share of jobs that crash their workers where nothing is known.
	usualPrior = 0.001
	// priorWeight is how many jobs must have ended to count as much as usualPrior.
	priorWeight = 20
	// kindHalfLife is how fast it is forgotten how jobs of a kind ended: a mended release
	// comes back to usual within minutes.
	kindHalfLife = 30 * time.Second
	// hotPrior is the share from which on a kind is kept away from work that lasts.
	hotPrior = 0.01
)

// Kind learns how many jobs of one kind crash their workers. The zero value has seen none.
type Kind struct {
	sound, poison float64
	at            time.Duration
}

// Crashed notes a crash of a worker, and how likely it is to be the doing of a job of the kind
// that had crashed none before.
func (k *Kind) Crashed(likely float64, now time.Duration) {
	k.fade(now)
	k.poison += likely
}

// Completed notes that a job was completed.
func (k *Kind) Completed(now time.Duration) {
	k.fade(now)
	k.sound++
}

func (k *Kind) fade(now time.Duration) {
	now = max(now, k.at)
	kept := math.Exp2(-float64(now-k.at) / float64(kindHalfLife))
	k.sound, k.poison, k.at = k.sound*kept, k.poison*kept, now
}

// Prior is the share of jobs of the kind that crash their workers.
func (k *Kind) Prior(now time.Duration) float64 {
	k.fade(now)
	return (usualPrior*priorWeight + k.poison) / (priorWeight + k.sound + k.poison)
}

// Hazardous reports whether so many jobs of the kind crash their workers that work that lasts is
// to be kept away from it.
func (k *Kind) Hazardous(now time.Duration) bool { return k.Prior(now) >= hotPrior }
