package crashes

import "time"

const (
	// CorrelationWindow is how long after the loss of a worker the blame for it is put off, to
	// see whether others were lost with it. A rack, a zone or a switch isn't lost because of
	// one task.
	CorrelationWindow = 100 * time.Millisecond
	// minCommon is the number of other workers that must be lost at the same time for a common
	// cause. In a smaller pool it is all of them.
	minCommon = 3
	// unusualFactor is how many times more workers than usual must be lost for a common cause.
	unusualFactor = 3
)

// CorrelatedLosses detects workers that were lost together, by a common cause, among those
// lost one at a time. The zero value is ready for use and has recorded no loss.
type CorrelatedLosses struct {
	lostAt []time.Duration
}

// Record records that a worker was lost (not heard from any more) at the given time.
func (s *CorrelatedLosses) Record(at, now time.Duration) {
	for len(s.lostAt) > 0 && now > s.lostAt[0]+rateWindow {
		s.lostAt = s.lostAt[1:]
	}
	s.lostAt = append(s.lostAt, at)
}

// Rate returns how often a worker crashes by a cause common to several, in crashes per worker
// and second, around the given time. It is 0 unless several of the given number of workers were
// lost around then, and far more than in the rest of rateWindow. If the tasks of many starts at
// one moment crash their workers, their likelihood still exceeds this rate.
func (s *CorrelatedLosses) Rate(at time.Duration, workers int) float64 {
	around := 0
	for _, other := range s.lostAt {
		if other >= at-CorrelationWindow && other <= at+CorrelationWindow {
			around++
		}
	}
	others := float64(around - 1)
	usual := float64(len(s.lostAt)-around) * float64(2*CorrelationWindow) / float64(rateWindow)
	if others < 1 || others < float64(min(minCommon, workers-1)) || others < unusualFactor*usual {
		return 0
	}
	return others / float64(max(1, workers)) / (2 * CorrelationWindow).Seconds()
}
