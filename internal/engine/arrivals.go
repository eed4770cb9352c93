package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/pools"
)

// Parameters of the arrival rate.
const (
	// arrivalWindow is the time over which the rate is taken: a third of the time that a move
	// of a VM between pools takes.
	arrivalWindow = 500 * time.Millisecond
	// minArrivals is the fewest jobs in the window from which a rate is computed. Otherwise a
	// single job with many tasks would look like a burst.
	minArrivals = 4
)

// arrival is the work of one job that arrived.
type arrival struct {
	at   time.Duration
	work float64 // core-seconds
}

// recordArrival adds a job to the arrival rate. Long-running steps don't count: their work has no
// end.
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

// dropOldArrivals drops the arrivals from before the window.
func (c *Core) dropOldArrivals(now time.Duration) {
	for len(c.arrivals) > 0 && c.arrivals[0].at < now-arrivalWindow {
		c.arrivals = c.arrivals[1:]
	}
}

// arrivalRate returns the work that arrives, in core-seconds per second; 0 if fewer than
// minArrivals jobs arrived in the window.
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

// expectedHoldTime returns how long a task of the step is expected to occupy its resources: the
// learned estimate, or the longest time that a task of the step has been running, as estimates
// may be off by any factor. A long-running task occupies them for good; it counts with
// pools.DrainTime, the time in which a backlog should be worked off, so that in the pool
// decision it weighs as much as the capacity that it needs.
func (c *Core) expectedHoldTime(s *step, now time.Duration) time.Duration {
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
