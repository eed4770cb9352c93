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
	// Too few processors only slow a task; too little memory ends it.
	cpuMargin    = 10
	memoryMargin = 20
	// maxShrink bounds how far below the declaration an estimate goes: a
	// tenth. A kind that idles while it is watched may still use what it said.
	maxShrink = 10
	// maxKinds bounds the state; the kind not heard of for longest goes first.
	maxKinds = 1000
	// minCPU and minMemoryMB are the least that is set aside for a task.
	minCPU      = 50
	minMemoryMB = 32
)

// Peak is the most one job was seen to use.
type Peak struct {
	Job  model.JobID
	Used model.Resources
}

// Kind is what is remembered of a kind of job.
type Kind struct {
	Peaks []Peak // of the newest jobs, oldest first
	Turn  uint64 // when the kind was last heard of, in reports
}

// Book remembers the kinds. Its fields are exported to be stored.
type Book struct {
	Kinds map[string]*Kind
	Turn  uint64
}

// NewBook returns a Book that knows nothing.
func NewBook() *Book { return &Book{Kinds: make(map[string]*Kind)} }

// Report notes what a job was seen to use.
func (b *Book) Report(kind string, job model.JobID, used model.Resources) {
	b.Turn++
	k := b.Kinds[kind]
	if k == nil {
		b.makeRoom()
		k = &Kind{}
		b.Kinds[kind] = k
	}
	k.Turn = b.Turn
	for i := range k.Peaks {
		if k.Peaks[i].Job == job {
			k.Peaks[i].Used = larger(k.Peaks[i].Used, used)
			return
		}
	}
	k.Peaks = append(k.Peaks, Peak{job, used})
	if len(k.Peaks) > window {
		k.Peaks = slices.Delete(k.Peaks, 0, 1)
	}
}

func (b *Book) makeRoom() {
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

// Size returns what to set aside for the job. grown is how often a job had too
// little memory already; each time doubles it. Accelerators are never learned:
// they are whole devices that a job either asks for or not.
func (b *Book) Size(job *model.Job, grown int) model.Resources {
	size := job.Declared
	if k := b.Kinds[job.Kind]; k != nil && len(k.Peaks) >= enough {
		size.MilliCPU = k.estimate(cpuOf, cpuMargin, max(job.Declared.MilliCPU/maxShrink, minCPU))
		size.MemoryMB = k.estimate(memoryOf, memoryMargin, max(job.Declared.MemoryMB/maxShrink, minMemoryMB))
		if !job.Repeatable {
			// It gets one run, so it gets whichever is the safer.
			size = larger(size, job.Declared)
		}
	}
	size.MemoryMB <<= min(grown, 8)
	return size
}

// estimate returns the second largest of the peaks with a margin. One report,
// however wild, is the largest and moves nothing but the second by one place.
func (k *Kind) estimate(of func(model.Resources) int64, margin, least int64) int64 {
	var seen []int64
	for _, p := range k.Peaks {
		seen = append(seen, of(p.Used))
	}
	slices.Sort(seen)
	second := seen[len(seen)-2]
	return max(second+second*margin/100, least)
}

func cpuOf(r model.Resources) int64    { return r.MilliCPU }
func memoryOf(r model.Resources) int64 { return r.MemoryMB }

func larger(a, b model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
