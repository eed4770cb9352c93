package dispatch

import (
	"slices"
	"time"
)

// simResult is what callers got.
type simResult struct {
	callers map[string]*simStats
	inSpan  int // useful answers before arrivals stopped
	fresh   int
	retries int
	refused int // by targets
	peak    int // most requests running at one target
	capped  int // most granted to one target by all entry VMs at once
}

type simStats struct {
	asked, useful, late, turnedAway, failed int
	inSpan                                  int             // useful before arrivals stopped
	latencies                               []time.Duration // of useful answers
	refusals                                []time.Duration // from arrival to being turned away
}

func (s *simStats) quantile(q float64) time.Duration { return quantile(s.latencies, q) }

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// ofCapacity is the useful work as a share of what the targets could do.
func (r *simResult) ofCapacity(span time.Duration) float64 {
	return float64(r.inSpan) / (capacity80 * span.Seconds())
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
