package wave

import (
	"math"
	"sort"
	"time"
)

// paceShare is the share of a wave's VMs that operators take out at once by
// hand, in batches.
const paceShare = 0.1

// minSamples is how many finished VMs it takes to judge how much their times
// out differ.
const minSamples = 5

// window returns how many VMs may be out at once, budgets aside.
//
// Where roll-out time weighs more the budgets alone decide. Where buffer cost
// weighs more, each VM out at once is a spare that the deployment pays for:
// the window is then the narrowest that still ends no later than fixed batches
// of a tenth would.
func (p *planner) window() int {
	n := p.progress.Total
	w := p.s.weights()
	if w.BufferCost > w.RollOutTime {
		n = p.narrowest(tenth(n))
	}
	if p.s.Wave.MaxBatch > 0 {
		n = min(n, p.s.Wave.MaxBatch)
	}
	return max(n, 1)
}

// narrowest returns the width of a sliding window that ends when batches of
// the size would. A batch takes as long as its slowest VM, a place in the
// window only as long as its own VM; what the wave has lost so far, by its
// canaries or by failures, it makes up with a wider window.
func (p *planner) narrowest(batch int) int {
	if len(p.took) < minSamples {
		return batch
	}
	slowest := slowestOf(batch, p.took)
	batches := (p.progress.Total + batch - 1) / batch
	elapsed := p.s.Now.Sub(p.s.Started)
	left := time.Duration(batches)*slowest - elapsed - slowest // the last VMs leave the window half empty
	if left <= 0 {
		return batch
	}
	work := time.Duration(p.progress.Remaining+p.progress.Out) * mean(p.took)
	return min(batch, int(math.Ceil(float64(work)/float64(left))))
}

func mean(d []time.Duration) time.Duration {
	var sum time.Duration
	for _, x := range d {
		sum += x
	}
	return sum / time.Duration(len(d))
}

// slowestOf returns the expected largest of k draws from d.
func slowestOf(k int, d []time.Duration) time.Duration {
	sorted := append([]time.Duration(nil), d...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	n := float64(len(sorted))
	var expected float64
	for i, x := range sorted {
		atMost := math.Pow(float64(i+1)/n, float64(k))
		below := math.Pow(float64(i)/n, float64(k))
		expected += float64(x) * (atMost - below)
	}
	return time.Duration(expected)
}
