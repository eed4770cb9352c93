package wave

import (
	"math"
	"sort"
	"time"
)

// manualBatchShare is the fraction of a wave's VMs that operators take out at
// once when they maintain a fleet by hand in fixed batches.
const manualBatchShare = 0.1

// minDurationSamples is the number of finished VMs needed to estimate how much
// the durations of their stops vary.
const minDurationSamples = 5

// window returns the maximum number of VMs that may be out at once, before the
// budgets are applied.
//
// If roll-out time has at least the weight of buffer cost, only the budgets and
// the declared batch size limit the wave. If buffer cost has more weight, every
// VM that is out at the same time requires a spare VM that the deployment pays
// for, so window returns the smallest number with which the wave still ends no
// later than fixed batches of manualBatchShare would.
func (p *planner) window() int {
	n := p.progress.Total
	w := p.s.weights()
	if w.BufferCost > w.RollOutTime {
		n = p.narrowestWindow(manualBatch(n))
	}
	if p.s.Wave.MaxBatch > 0 {
		n = min(n, p.s.Wave.MaxBatch)
	}
	return max(n, 1)
}

// narrowestWindow returns the smallest size of a sliding window that finishes
// the wave when fixed batches of the given size would, and never more than that
// size. A fixed batch takes as long as its slowest VM, whereas a sliding window
// starts the next VM as soon as one returns. If canaries or failures have
// delayed the wave, the window grows to make up for it. With too few finished
// VMs, or no time left, it returns batch.
func (p *planner) narrowestWindow(batch int) int {
	if len(p.stopDurations) < minDurationSamples {
		return batch
	}
	batchDuration := expectedMax(batch, p.stopDurations)
	batches := (p.progress.Total + batch - 1) / batch
	elapsed := p.s.Now.Sub(p.s.Started)
	available := time.Duration(batches)*batchDuration - elapsed - batchDuration // one batch less, since the window isn't full while the last VMs finish
	if available <= 0 {
		return batch
	}
	totalWork := time.Duration(p.progress.Remaining+p.progress.Out) * mean(p.stopDurations)
	return min(batch, int(math.Ceil(float64(totalWork)/float64(available))))
}

func mean(durations []time.Duration) time.Duration {
	var sum time.Duration
	for _, x := range durations {
		sum += x
	}
	return sum / time.Duration(len(durations))
}

// expectedMax returns the expected maximum of k values drawn independently,
// with replacement, from durations.
func expectedMax(k int, durations []time.Duration) time.Duration {
	sorted := append([]time.Duration(nil), durations...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	n := float64(len(sorted))
	var expected float64
	for i, x := range sorted {
		pAtMost := math.Pow(float64(i+1)/n, float64(k))
		pBelow := math.Pow(float64(i)/n, float64(k))
		expected += float64(x) * (pAtMost - pBelow)
	}
	return time.Duration(expected)
}
