// Package joborder decides which job's tasks run first when a pool can't run all
// of them at once.
//
// Load pattern: demand comes in bursts of several times a pool's capacity, with
// little load in between. A job has its full value until its objective, and a
// small part of that for a while after. With first come, first served, every job
// of a burst waits for those before it until nearly all are late: each finishes,
// hardly one in time. Ordering by cost per unit of value that can still be earned
// keeps most jobs in time and lets the rest be late.
package joborder

import "time"

// Parameters of the order.
const (
	// baseValue, workValue and maxValue define the value of a job as the
	// deployments that use this order rate it: 0.3 plus 0.7 times its total work
	// over the mean of its queue's jobs, at most 4. The value grows with the work,
	// but a small job has more value per core-second.
	baseValue = 0.3
	workValue = 0.7
	maxValue  = 4.0

	// startedFactor scales the remaining cost of a started job. The work done on
	// it is of no use to its caller while it waits, so it is finished first
	// unless another is clearly cheaper per unit of value. Without faults,
	// the order with a factor of 0.7 is as good as with 0.5 and better than
	// with 1, which gives started jobs no advantage.
	startedFactor = 0.7

	// expiredAfter is the time after a job's acceptance, as a multiple of its
	// objective, after which its result is of no use. Between the objective and
	// then, deployments count the job as late.
	expiredAfter = 3.0
)

// Tier is the urgency of a job. It takes precedence over any comparison of cost.
type Tier int8

// The tiers, most urgent first.
const (
	TierLongRunning Tier = iota // serves users of its own as long as it runs
	TierOnTime                  // can still meet its objective
	TierLate                    // can't meet it, but is still of some use
	TierExpired                 // too late to be of use; gets only capacity that no other tier needs
)

var tierNames = [...]string{TierLongRunning: "lasting", TierOnTime: "in time", TierLate: "late", TierExpired: "too late to be of use"}

// String returns the name of the tier for operators.
func (t Tier) String() string { return tierNames[t] }

// Job holds the attributes of a job that determine its rank.
type Job struct {
	Priority      int // of its queue; 0 goes first
	LongRunning   bool
	Started       bool
	Age           time.Duration // since its acceptance or due time
	Objective     time.Duration // time to finish in, from its acceptance
	CriticalPath  time.Duration // run time of the longest chain of dependent work still to do
	RemainingWork float64       // core-seconds still to do
	TotalWork     float64       // core-seconds in all
	MeanWork      float64       // mean TotalWork of the jobs of its queue, in core-seconds; 0 if unknown
	OverShare     bool          // its workspace exceeded its weighted share when the job was submitted
}

// Rank is the position of a job in the order; the lower rank goes first.
type Rank struct {
	Tier      Tier
	OverShare bool // see Job.OverShare; goes after the jobs of its tier that aren't
	Priority  int
	Cost      float64 // core-seconds per unit of value
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

// RankOf returns the job's position in the order: by its tier, whether its
// workspace exceeds its share, its queue's priority, and the cost of the work left
// per unit of the job's value, in this order.
func RankOf(j Job) Rank {
	return Rank{Tier: tier(j), OverShare: j.OverShare, Priority: j.Priority, Cost: cost(j)}
}

// tier returns the urgency of the job if it ran from now on without waiting: a
// job that isn't long-running finishes after the run time of its critical path.
func tier(j Job) Tier {
	if j.LongRunning {
		return TierLongRunning
	}
	finish := j.Age + j.CriticalPath
	switch {
	case finish <= j.Objective:
		return TierOnTime
	case float64(finish) <= expiredAfter*float64(j.Objective):
		return TierLate
	}
	return TierExpired
}

// cost returns the core-seconds still to do per unit of the job's value, times
// startedFactor for a started job.
func cost(j Job) float64 {
	work := j.RemainingWork
	if j.Started {
		work *= startedFactor
	}
	return work / value(j)
}

// value returns the value of the job, without unit; 1 if the mean work of its
// queue is unknown.
func value(j Job) float64 {
	if j.MeanWork <= 0 {
		return 1
	}
	return min(maxValue, baseValue+workValue*j.TotalWork/j.MeanWork)
}
