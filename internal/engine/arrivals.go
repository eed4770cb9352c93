package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/pools"
)

// Rate of arrival.
const (
	// arrivalSpan is what the rate is taken over: a third of what a move takes.
	arrivalSpan = 500 * time.Millisecond
	// arrivalLeast is the fewest jobs that make a rate: a single wide job would
	// pass for a burst.
	arrivalLeast = 4
)

// arrival is the work of one job.
type arrival struct {
	at   time.Duration
	work float64 // core-seconds
}

// arrived notes a job for the rate.
func (c *Core) arrived(j *job, now time.Duration) {
	sum := 0.0
	for i := range j.Steps {
		if s := &j.Steps[i]; !s.LongRunning {
			sum += stepWork(s)
		}
	}
	c.forgetArrivals(now)
	c.arrivals = append(c.arrivals, arrival{at: now, work: sum})
}

func (c *Core) forgetArrivals(now time.Duration) {
	for len(c.arrivals) > 0 && c.arrivals[0].at < now-arrivalSpan {
		c.arrivals = c.arrivals[1:]
	}
}

// arrivalRate is in core-seconds a second; 0 for too few jobs to tell.
func (c *Core) arrivalRate(now time.Duration) float64 {
	c.forgetArrivals(now)
	if len(c.arrivals) < arrivalLeast {
		return 0
	}
	sum := 0.0
	for _, a := range c.arrivals {
		sum += a.work
	}
	return sum / arrivalSpan.Seconds()
}

// waitsFor is how long a task of the step will hold its room: as learned, or as long
// as the longest of its step has run by now, as estimates may be off by any factor. A
// lasting task wants its room for good; it counts as what one more VM is worth to the
// decision.
func (c *Core) waitsFor(s *step, now time.Duration) time.Duration {
	if s.spec.LongRunning {
		return pools.DrainTime
	}
	held := c.durationRatios.estimate(s)
	for _, t := range s.tasks {
		if t.state == taskActive {
			held = max(held, now-t.answeredAt)
		}
	}
	return held
}
