package crashes

import "time"

const (
	// CorrelationWindow is for how long after a worker fell silent others are waited for that may have
	// fallen silent with it: a rack, a zone or a switch is not lost by what one task does.
	CorrelationWindow = 100 * time.Millisecond
	// leastCommon is how many others make a common cause, at the least; in a smaller pool, all
	// of them.
	leastCommon = 3
	// unusual is how many times more than usual they must be.
	unusual = 3
)

// CorrelatedLosses tells workers that fell silent together from those that did so one by one. The zero
// value has seen none.
type CorrelatedLosses struct {
	seen []time.Duration
}

// Record notes that a worker fell silent then.
func (s *CorrelatedLosses) Record(at, now time.Duration) {
	for len(s.seen) > 0 && now > s.seen[0]+rateWindow {
		s.seen = s.seen[1:]
	}
	s.seen = append(s.seen, at)
}

// Rate is how often one worker of so many crashes by a cause common to several around that
// moment, a second: 0 unless several fell silent then, and far more than of late. What many
// tasks that begin at the same moment do still stands out against it.
func (s *CorrelatedLosses) Rate(at time.Duration, workers int) float64 {
	around := 0
	for _, other := range s.seen {
		if other >= at-CorrelationWindow && other <= at+CorrelationWindow {
			around++
		}
	}
	others := float64(around - 1)
	usual := float64(len(s.seen)-around) * float64(2*CorrelationWindow) / float64(rateWindow)
	if others < 1 || others < float64(min(leastCommon, workers-1)) || others < unusual*usual {
		return 0
	}
	return others / float64(max(1, workers)) / (2 * CorrelationWindow).Seconds()
}
