// Package upkeep decides which VMs of a maintenance wave go next.
//
// Load pattern: a wave takes each of its VMs away for some seconds while bursts
// of jobs run through the pools. Taking VMs in their order ends what runs on
// them and takes from pools in the middle of a burst; waiting for quiet lets the
// wave run late. So empty VMs go first, parked ones before all; VMs with work
// are cordoned and go once it has ended; and the choice gets less particular as
// the time left shrinks to what the rest needs. VMs with lasting tasks may be emptied
// from the start, burst or not: a step lets one or two of its tasks move at a time,
// each takes seconds, and a step with a dozen on VMs of the wave needs half a minute.
// Where steps have two or three there it can wait: a VM that is closed in a burst is
// missed.
package upkeep

import (
	"cmp"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Candidate is a VM of the wave that is still due.
type Candidate struct {
	VM          work.VM
	Parked      bool // in a pool whose VMs are off
	Tasks       int  // on it, by our books
	LongRunning int  // of them
	Backlog     bool // tasks wait for room in its pool
	// SerialMoveTime is how long the lasting tasks on VMs of waves in its pool take to move,
	// one after the other.
	SerialMoveTime time.Duration
	Cordoned       bool // chosen before: it is being emptied
	// CordonedFor is for how long it has been closed to new tasks.
	CordonedFor time.Duration
}

// Input is what a decision looks at.
type Input struct {
	TimeLeft    time.Duration // until the wave is late
	TimePerVM   time.Duration // what one VM takes, emptying and detection included
	MaxAtATime  int
	Unavailable int // VMs of the wave that are, or may be, down for it
	Due         []Candidate
}

// Decision says what to do now.
type Decision struct {
	Maintain []string // VMs to be taken now
	Drain    []string // VMs to be cordoned and emptied
	Evict    []string // of these, VMs whose tasks are to be stopped
}

// evictAfter is how long a cordoned VM may take to empty by itself. Tasks take
// two seconds, a few of them five; what goes on longer stands still or crawls,
// and stopping it costs less than a late wave.
const evictAfter = 5 * time.Second

// pressure is the part of the time left that the rest of the wave may need
// before VMs are chosen that are in use: half leaves room for one that does not
// come back in time.
const pressure = 0.5

// Decide chooses.
func Decide(in Input) Decision {
	var d Decision
	room := max(1, in.MaxAtATime) - in.Unavailable
	due := slices.Clone(in.Due)
	slices.SortStableFunc(due, compare)
	pressed := BehindSchedule(in)
	for _, c := range due {
		if room <= 0 {
			break
		}
		switch {
		case c.VM.State != work.VMUp:
			continue
		case c.Tasks == 0 && (c.Parked || c.Cordoned || pressed || !c.Backlog):
			d.Maintain = append(d.Maintain, c.VM.ID)
			room--
		case c.Cordoned || pressed || !c.Backlog || c.LongRunning > 0 && float64(c.SerialMoveTime) > pressure*float64(in.TimeLeft):
			d.Drain = append(d.Drain, c.VM.ID)
			if c.CordonedFor >= evictAfter {
				d.Evict = append(d.Evict, c.VM.ID)
			}
			room--
		}
	}
	return d
}

// BehindSchedule reports whether the wave must go on whatever the load.
func BehindSchedule(in Input) bool {
	batches := (len(in.Due) + max(1, in.MaxAtATime) - 1) / max(1, in.MaxAtATime)
	need := time.Duration(batches) * in.TimePerVM
	return float64(need) > pressure*float64(in.TimeLeft)
}

// compare puts first what costs least.
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
