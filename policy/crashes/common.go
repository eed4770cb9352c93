package crashes

import "time"

const (
	// Settle is for how long after a worker fell silent others are waited for that may have
	// fallen silent with it: a rack, a zone or a switch is not lost by what one task does.
	Settle = 100 * time.Millisecond
	// leastCommon is how many others make a common cause, at the least.
	leastCommon = 3
	// unusual is how many times more than usual they must be.
	unusual = 3
)

// Silences tells workers that fell silent together from those that did so one by one. The zero
// value has seen none.
type Silences struct {
	seen []time.Duration
}

// Fell notes that a worker fell silent then.
func (s *Silences) Fell(at, now time.Duration) {
	for len(s.seen) > 0 && now > s.seen[0]+rateWindow {
		s.seen = s.seen[1:]
	}
	s.seen = append(s.seen, at)
}

// Together reports whether so many workers fell silent around that moment that a cause common
// to all is likelier than tasks: several, and far more than of late.
func (s *Silences) Together(at time.Duration) bool {
	around := 0
	for _, other := range s.seen {
		if other >= at-Settle && other <= at+Settle {
			around++
		}
	}
	others := around - 1
	usual := float64(len(s.seen)-around) * float64(2*Settle) / float64(rateWindow)
	return others >= leastCommon && float64(others) >= unusual*usual
}
