// Package sizing learns what jobs of a kind really use, from usage reports
// that lag, and decides what to do with a task that uses more memory than was
// set aside.
//
// Load pattern: declared sizes are far off in both directions. Trusting them
// leaves the fleet half idle beside a queue (declared too large) or has tasks
// ended by their worker's memory guard again and again (too small).
package sizing

import (
	"cmp"
	"slices"

	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// window is how many jobs of a kind are remembered: enough for a maximum
	// that means something, few enough to follow a kind that changes.
	window = 12
	// enough is how many different jobs must have been seen before the
	// declaration is overruled, so that no single one can.
	enough = 4
	// cpuMargin and memoryMargin are kept above what was seen, in percent.
	// Too few processors only slow a task, and those of a worker's tasks even
	// each other out; too little memory ends it.
	cpuMargin    = 3
	memoryMargin = 20
	// maxShrink bounds how far below the declaration an estimate goes: a
	// tenth. A kind that idles while it is watched may still use what it said.
	maxShrink = 10
	// maxKinds bounds the state, which is stored in one value, to half a
	// megabyte; the kind not heard of for longest goes first.
	maxKinds = 500
	// minCPU and minMemoryMB are the least that is set aside for a task.
	minCPU      = 50
	minMemoryMB = 32
)

// Peak is the most that one job was seen to need.
type Peak struct {
	Job  model.JobID
	Need model.Resources
}

// KindUsage is what is remembered of a kind of job.
type KindUsage struct {
	Peaks []Peak // of the newest jobs, oldest first
	Turn  uint64 // when the kind was last heard of, in reports
}

// UsageHistory remembers the kinds. Its fields are exported to be stored.
type UsageHistory struct {
	Kinds map[string]*KindUsage
	Turn  uint64
}

// NewUsageHistory returns a Book that knows nothing.
func NewUsageHistory() *UsageHistory { return &UsageHistory{Kinds: make(map[string]*KindUsage)} }

// Report notes what a job was seen to use of what it was given. It needs a
// margin above its use, but no more than it was given and got by with: a job
// that fills whatever it gets would else get more each time, until it fits on
// no worker.
func (b *UsageHistory) Report(kind string, job model.JobID, used, given model.Resources) {
	b.note(kind, job, model.Resources{
		MilliCPU: need(used.MilliCPU, given.MilliCPU, cpuMargin),
		MemoryMB: need(used.MemoryMB, given.MemoryMB, memoryMargin),
	})
}

func need(used, given, margin int64) int64 {
	with := used + used*margin/100
	if used <= given {
		return min(with, given)
	}
	return with
}

func (b *UsageHistory) note(kind string, job model.JobID, need model.Resources) {
	b.Turn++
	k := b.Kinds[kind]
	if k == nil {
		b.makeRoom()
		k = &KindUsage{}
		b.Kinds[kind] = k
	}
	k.Turn = b.Turn
	for i := range k.Peaks {
		if k.Peaks[i].Job == job {
			k.Peaks[i].Need = larger(k.Peaks[i].Need, need)
			return
		}
	}
	k.Peaks = append(k.Peaks, Peak{job, need})
	if len(k.Peaks) > window {
		k.Peaks = slices.Delete(k.Peaks, 0, 1)
	}
}

// ReportExceeded notes that a job used more memory than it was given, which no usage
// report shows where its worker ends it at once. That it would have done with
// twice as much is the least that this says.
func (b *UsageHistory) ReportExceeded(kind string, job model.JobID, given model.Resources) {
	b.note(kind, job, model.Resources{MemoryMB: 2 * given.MemoryMB})
}

func (b *UsageHistory) makeRoom() {
	if len(b.Kinds) < maxKinds {
		return
	}
	oldest := ""
	for name, k := range b.Kinds {
		if oldest == "" || cmp.Or(cmp.Compare(k.Turn, b.Kinds[oldest].Turn), cmp.Compare(name, oldest)) < 0 {
			oldest = name
		}
	}
	delete(b.Kinds, oldest)
}

// Size returns what to set aside for the job, with memory for one that had too
// little before of at least so many MB. Accelerators are never learned: they
// are whole devices that a job either asks for or not.
func (b *UsageHistory) Size(job *model.Job, leastMB int64) model.Resources {
	size := job.Declared
	if k := b.Kinds[job.Kind]; k != nil {
		size.MilliCPU = k.estimate(cpuOf, median, size.MilliCPU, minCPU)
		size.MemoryMB = k.estimate(memoryOf, secondLargest, size.MemoryMB, minMemoryMB)
		if !job.Repeatable {
			// It gets one run, so it gets whichever is the safer.
			size = larger(size, job.Declared)
		}
	}
	size.MemoryMB = max(size.MemoryMB, leastMB)
	return size
}

// estimate picks one of the peaks, or returns what was declared where too few
// jobs were seen.
func (k *KindUsage) estimate(of func(model.Resources) int64, pick func([]int64) int64, declared, least int64) int64 {
	var seen []int64
	for _, p := range k.Peaks {
		if of(p.Need) > 0 {
			seen = append(seen, of(p.Need))
		}
	}
	if len(seen) < enough {
		return declared
	}
	slices.Sort(seen)
	return max(pick(seen), declared/maxShrink, least)
}

// median is for processors: the tasks of a worker make up for each other, and
// one that wants more than it gets is slowed, not ended.
func median(sorted []int64) int64 { return sorted[len(sorted)/2] }

// secondLargest is for memory, where a task that wants more is ended. One
// report, however wild, is the largest and moves the second by one place.
func secondLargest(sorted []int64) int64 { return sorted[len(sorted)-2] }

func cpuOf(r model.Resources) int64    { return r.MilliCPU }
func memoryOf(r model.Resources) int64 { return r.MemoryMB }

func larger(a, b model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
