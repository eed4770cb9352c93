// Package joborder decides which job's tasks go first when a pool cannot run
// everything at once.
//
// Load pattern: demand comes in bursts of several times a pool's capacity, with
// quiet stretches between. A job is worth most until its objective and a small
// part of that for a while after. First come, first served lets every job of a
// burst wait behind the ones before it until nearly all are late: each finishes,
// none in time. Ordering by what still pays keeps most of them in time and lets
// the rest be late.
package joborder

import "time"

// Weights of the order.
const (
	// baseValue and workValue: what a job is worth grows with its size, but a
	// small job is worth more a core-second. The deployments value a job at 0.3
	// plus 0.7 of its size over the mean size of its queue, up to four times.
	baseValue = 0.3
	workValue = 0.7
	maxValue  = 4.0

	// begunShare scales what a begun job still costs: work done on it is lost
	// to its caller while it waits, so a started job is finished first unless
	// another is clearly cheaper. In trials over the calm days 0.7 did as well
	// as 0.5 and better than 1.
	begunShare = 0.7

	// uselessAfter is how many objectives after its acceptance a job's result
	// is no longer of use: the deployments call a job late up to three.
	uselessAfter = 3.0
)

// Tier says how urgent a job is, before any comparison of cost.
type Tier int8

// The tiers, most urgent first.
const (
	TierLongRunning Tier = iota // serves users of its own now
	TierOnTime                  // can still meet its objective
	TierLate                    // cannot, but is still of some use
	TierExpired                 // runs only on what nobody else wants
)

var tierNames = [...]string{TierLongRunning: "lasting", TierOnTime: "in time", TierLate: "late", TierExpired: "too late to be of use"}

// String returns the tier as operators read it.
func (t Tier) String() string { return tierNames[t] }

// Job is what the order looks at.
type Job struct {
	Priority     int // of its queue, 0 first
	LongRunning  bool
	Started      bool
	Waited       time.Duration // since its acceptance (or due time)
	Objective    time.Duration // from its acceptance
	CriticalPath time.Duration // longest chain of work still to do
	Work         float64       // core-seconds still to do
	Size         float64       // core-seconds in all
	MeanSize     float64       // of the jobs of its queue; 0 if unknown
	OverShare    bool          // its workspace had handed in more than its weight when it came
}

// Rank is a place in the order; lower goes first.
type Rank struct {
	Tier      Tier
	OverShare bool // its workspace's weight
	Priority  int
	Cost      float64 // core-seconds for one unit of value
}

// Before reports whether r goes before o.
func (r Rank) Before(o Rank) bool {
	if r.Tier != o.Tier {
		return r.Tier < o.Tier
	}
	if r.OverShare != o.OverShare {
		return o.OverShare
	}
	if r.Priority != o.Priority {
		return r.Priority < o.Priority
	}
	return r.Cost < o.Cost
}

// RankOf returns the job's place.
func RankOf(j Job) Rank {
	return Rank{Tier: tier(j), OverShare: j.OverShare, Priority: j.Priority, Cost: cost(j)}
}

func tier(j Job) Tier {
	if j.LongRunning {
		return TierLongRunning
	}
	finish := j.Waited + j.CriticalPath
	switch {
	case finish <= j.Objective:
		return TierOnTime
	case float64(finish) <= uselessAfter*float64(j.Objective):
		return TierLate
	}
	return TierExpired
}

func cost(j Job) float64 {
	work := j.Work
	if j.Started {
		work *= begunShare
	}
	return work / value(j)
}

func value(j Job) float64 {
	if j.MeanSize <= 0 {
		return 1
	}
	return min(maxValue, baseValue+workValue*j.Size/j.MeanSize)
}
