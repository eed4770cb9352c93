// Package upkeep decides which VMs of a maintenance wave are maintained next.
//
// Load pattern: a wave makes each of its VMs unavailable for some seconds while
// bursts of jobs run in the pools. Taking the VMs in a fixed order kills what runs
// on them and takes capacity from pools in the middle of a burst; waiting until
// there is no load makes the wave late. So empty VMs go first, parked ones before
// all others. VMs with tasks are cordoned and go once their tasks have ended. The
// choice gets less selective as the time left approaches what the remaining VMs need.
//
// VMs with long-running tasks may be drained from the start, even in a burst: a step
// lets one or two of its tasks move at a time and each move takes seconds, so a step
// with a dozen tasks on VMs of the wave needs half a minute. With two or three such
// tasks draining can wait, as a VM cordoned in a burst is missing from its pool.
package upkeep

import (
	"cmp"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Candidate is a VM of the wave that is still to be maintained.
type Candidate struct {
	VM          work.VM
	Parked      bool // in the pool of the VMs that are switched off
	Tasks       int  // tasks on it, as its cell reports
	LongRunning int  // how many of Tasks are long-running
	Backlog     bool // tasks wait for capacity in its pool
	// SerialMoveTime is how long it takes to move the long-running tasks on VMs
	// of waves in its pool one after the other.
	SerialMoveTime time.Duration
	Cordoned       bool // chosen before and now draining
	// CordonedFor is how long it has been closed to new tasks.
	CordonedFor time.Duration
	Postponed   bool // must not be cordoned for now
}

// Input is the state of a wave that Decide works on.
type Input struct {
	TimeLeft    time.Duration // until the wave is late
	TimePerVM   time.Duration // to maintain one VM, draining and failure detection included
	MaxAtATime  int
	Unavailable int // VMs of the wave that are, or may be, down for maintenance
	Remaining   []Candidate
}

// Decision lists what to do now, by VM ID.
type Decision struct {
	Maintain []string // VMs to maintain now
	Drain    []string // VMs to cordon and drain
	Evict    []string // VMs in Drain whose tasks are to be stopped
}

// evictAfter is how long a cordoned VM may take to drain by itself. Most tasks take
// two seconds and a few five; a task that takes longer is stalled or runs slowly, and
// stopping it costs less than a late wave.
const evictAfter = 5 * time.Second

// maxTimeShare is the fraction of the time left that the remaining VMs may need
// before VMs in use are chosen as well. Half leaves time for a VM that doesn't come
// back in time.
const maxTimeShare = 0.5

// Decide returns which VMs to maintain, drain and evict now. At most MaxAtATime VMs
// are chosen, less those that are unavailable already; a MaxAtATime below 1 counts
// as 1.
func Decide(in Input) Decision {
	var d Decision
	freeSlots := max(1, in.MaxAtATime) - in.Unavailable
	due := slices.Clone(in.Remaining)
	slices.SortStableFunc(due, compare)
	behind := BehindSchedule(in)
	for _, c := range due {
		if freeSlots <= 0 {
			break
		}
		switch {
		case c.VM.State != work.VMUp || c.Postponed:
			continue
		case c.Tasks == 0 && (c.Parked || c.Cordoned || behind || !c.Backlog):
			d.Maintain = append(d.Maintain, c.VM.ID)
			freeSlots--
		case c.Cordoned || behind || !c.Backlog || c.LongRunning > 0 && float64(c.SerialMoveTime) > maxTimeShare*float64(in.TimeLeft):
			d.Drain = append(d.Drain, c.VM.ID)
			if c.CordonedFor >= evictAfter {
				d.Evict = append(d.Evict, c.VM.ID)
			}
			freeSlots--
		}
	}
	return d
}

// BehindSchedule reports whether the time left is so short that the wave must go on
// whatever the load.
func BehindSchedule(in Input) bool {
	batches := (len(in.Remaining) + max(1, in.MaxAtATime) - 1) / max(1, in.MaxAtATime)
	need := time.Duration(batches) * in.TimePerVM
	return float64(need) > maxTimeShare*float64(in.TimeLeft)
}

// compare orders the candidates by the cost of taking them, lowest first.
func compare(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(rank(a), rank(b)),
		cmp.Compare(a.LongRunning, b.LongRunning),
		cmp.Compare(a.Tasks, b.Tasks),
		cmp.Compare(a.VM.ID, b.VM.ID),
	)
}

func rank(c Candidate) int {
	switch {
	case c.Parked:
		return 0
	case c.Tasks == 0 && !c.Backlog:
		return 1
	case c.Cordoned:
		return 2
	case !c.Backlog:
		return 3
	}
	return 4
}
