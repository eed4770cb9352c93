package dispatch

import (
	"slices"
	"time"
)

// simResult sums up the service that callers got in one run.
type simResult struct {
	callers     map[string]*simStats
	inSpan      int // useful answers before arrivals stopped
	submitted   int // requests of callers, retries excluded
	retries     int
	refused     int // refusals by targets
	peakRunning int // most requests running at one target at a time
	peakGranted int // most requests granted at one target by all entry VMs at a time
}

type simStats struct {
	submitted, useful, late, rejected, failed int
	inSpan                                    int             // useful answers before arrivals stopped
	latencies                                 []time.Duration // of useful answers
	rejectionDelays                           []time.Duration // from arrival to rejection
}

func (s *simStats) quantile(q float64) time.Duration { return quantile(s.latencies, q) }

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// capacityShare returns the useful answers within the span as a share of what
// the targets could complete.
func (r *simResult) capacityShare(span time.Duration) float64 {
	return float64(r.inSpan) / (requestCapacity * span.Seconds())
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
