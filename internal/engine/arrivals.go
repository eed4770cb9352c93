package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/pools"
)

// Rate of arrival.
const (
	// arrivalWindow is what the rate is taken over: a third of what a move takes.
	arrivalWindow = 500 * time.Millisecond
	// minArrivals is the fewest jobs that make a rate: a single wide job would
	// pass for a burst.
	minArrivals = 4
)

// arrival is the work of one job.
type arrival struct {
	at   time.Duration
	work float64 // core-seconds
}

// recordArrival notes a job for the rate.
func (c *Core) recordArrival(j *job, now time.Duration) {
	sum := 0.0
	for i := range j.Steps {
		if s := &j.Steps[i]; !s.LongRunning {
			sum += stepWork(s)
		}
	}
	c.dropOldArrivals(now)
	c.arrivals = append(c.arrivals, arrival{at: now, work: sum})
}

func (c *Core) dropOldArrivals(now time.Duration) {
	for len(c.arrivals) > 0 && c.arrivals[0].at < now-arrivalWindow {
		c.arrivals = c.arrivals[1:]
	}
}

// arrivalRate is in core-seconds a second; 0 for too few jobs to tell.
func (c *Core) arrivalRate(now time.Duration) float64 {
	c.dropOldArrivals(now)
	if len(c.arrivals) < minArrivals {
		return 0
	}
	sum := 0.0
	for _, a := range c.arrivals {
		sum += a.work
	}
	return sum / arrivalWindow.Seconds()
}

// expectedHoldTime is how long a task of the step will hold its room: as learned, or as long
// as the longest of its step has run by now, as estimates may be off by any factor. A
// lasting task wants its room for good; it counts as what one more VM is worth to the
// decision.
func (c *Core) expectedHoldTime(s *step, now time.Duration) time.Duration {
	if s.spec.LongRunning {
		return pools.DrainTime
	}
	held := c.learned.estimate(s)
	for _, t := range s.tasks {
		if t.state == taskActive {
			held = max(held, now-t.answered)
		}
	}
	return held
}
