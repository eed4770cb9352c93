// Package sizing estimates the resources that jobs of a kind use, from delayed
// usage reports, and decides what to do about a task that uses more memory than
// is reserved for it.
//
// Load pattern: declared sizes are far off in both directions. If they are
// trusted, half of the fleet is idle while jobs wait (declared too large), or
// tasks are killed by their worker's memory limit again and again (declared too
// small).
package sizing

import (
	"cmp"
	"slices"

	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// maxPeaks is the number of jobs of a kind that are remembered: enough for a
	// meaningful maximum, few enough to follow a kind whose usage changes.
	maxPeaks = 12
	// minJobs is the number of different jobs that must have been seen before an
	// estimate replaces the declared size, so that no single job can do that.
	minJobs = 4
	// cpuMargin and memoryMargin are added to the observed use, in percent. Too
	// little processor time only slows a task down, and the tasks of a worker
	// even each other out; too little memory kills the task.
	cpuMargin    = 3
	memoryMargin = 20
	// maxShrink bounds an estimate to at least 1/maxShrink of the declared size: a
	// kind that was idle when it was observed may still use what it declares.
	maxShrink = 10
	// maxKinds bounds the state, which is stored as a single value, to half a
	// megabyte. The kind without a report for the longest time is evicted first.
	maxKinds = 500
	// minCPU, in thousandths of a processor, and minMemoryMB are the smallest
	// estimates.
	minCPU      = 50
	minMemoryMB = 32
)

// Peak is the highest need seen of one job: its use plus a margin.
type Peak struct {
	Job  model.JobID
	Need model.Resources
}

// KindUsage holds the usage recorded for a kind of job.
type KindUsage struct {
	Peaks []Peak // of the newest jobs, oldest first
	Turn  uint64 // sequence number of the kind's latest report
}

// UsageHistory holds the recorded usage by kind of job. Its fields are exported
// because they are stored. Turn is the sequence number of the latest report.
type UsageHistory struct {
	Kinds map[string]*KindUsage
	Turn  uint64
}

// NewUsageHistory returns an empty UsageHistory.
func NewUsageHistory() *UsageHistory { return &UsageHistory{Kinds: make(map[string]*KindUsage)} }

// Report records what a job was seen to use and what it was given. The recorded
// need is the use plus a margin, limited to what was given if the use stayed within
// that. Otherwise the estimate for jobs that use all they get would grow with each
// job, until they fit on no worker.
func (h *UsageHistory) Report(kind string, job model.JobID, used, given model.Resources) {
	h.record(kind, job, model.Resources{
		MilliCPU: withMargin(used.MilliCPU, given.MilliCPU, cpuMargin),
		MemoryMB: withMargin(used.MemoryMB, given.MemoryMB, memoryMargin),
	})
}

func withMargin(used, given, margin int64) int64 {
	padded := used + used*margin/100
	if used <= given {
		return min(padded, given)
	}
	return padded
}

func (h *UsageHistory) record(kind string, job model.JobID, need model.Resources) {
	h.Turn++
	k := h.Kinds[kind]
	if k == nil {
		h.evictOldestKind()
		k = &KindUsage{}
		h.Kinds[kind] = k
	}
	k.Turn = h.Turn
	for i := range k.Peaks {
		if k.Peaks[i].Job == job {
			k.Peaks[i].Need = elementwiseMax(k.Peaks[i].Need, need)
			return
		}
	}
	k.Peaks = append(k.Peaks, Peak{job, need})
	if len(k.Peaks) > maxPeaks {
		k.Peaks = slices.Delete(k.Peaks, 0, 1)
	}
}

// ReportExceeded records that a job was killed for using more memory than it was
// given. If its worker does so at once, no usage report shows it. The job's need is
// unknown; twice what it was given is assumed as the least.
func (h *UsageHistory) ReportExceeded(kind string, job model.JobID, given model.Resources) {
	h.record(kind, job, model.Resources{MemoryMB: 2 * given.MemoryMB})
}

func (h *UsageHistory) evictOldestKind() {
	if len(h.Kinds) < maxKinds {
		return
	}
	oldest := ""
	for name, k := range h.Kinds {
		if oldest == "" || cmp.Or(cmp.Compare(k.Turn, h.Kinds[oldest].Turn), cmp.Compare(name, oldest)) < 0 {
			oldest = name
		}
	}
	delete(h.Kinds, oldest)
}

// Size returns the resources to reserve for the job, with at least minMB of memory,
// for a job that ran out of memory before (0: no minimum). Accelerators are never estimated: they
// are whole devices that a job either asks for or not.
func (h *UsageHistory) Size(job *model.Job, minMB int64) model.Resources {
	size := job.Declared
	if k := h.Kinds[job.Kind]; k != nil {
		size.MilliCPU = k.estimate(cpuOf, median, size.MilliCPU, minCPU)
		size.MemoryMB = k.estimate(memoryOf, secondLargest, size.MemoryMB, minMemoryMB)
		if !job.Repeatable {
			// It can't run again, so it gets the larger of the two.
			size = elementwiseMax(size, job.Declared)
		}
	}
	size.MemoryMB = max(size.MemoryMB, minMB)
	return size
}

// estimate returns the value that pick selects from the peaks in a dimension, but
// not less than the lower bounds. It returns declared if fewer than minJobs jobs
// have a peak in that dimension.
func (k *KindUsage) estimate(dimension func(model.Resources) int64, pick func([]int64) int64, declared, minimum int64) int64 {
	var seen []int64
	for _, p := range k.Peaks {
		if dimension(p.Need) > 0 {
			seen = append(seen, dimension(p.Need))
		}
	}
	if len(seen) < minJobs {
		return declared
	}
	slices.Sort(seen)
	return max(pick(seen), declared/maxShrink, minimum)
}

// median is used for processors: the tasks of a worker even each other out, and a
// task that needs more than it gets is slowed down, not killed.
func median(sorted []int64) int64 { return sorted[len(sorted)/2] }

// secondLargest is used for memory, as a task that needs more than it gets is
// killed. A single outlier is the largest value and shifts the second largest by
// one place only.
func secondLargest(sorted []int64) int64 { return sorted[len(sorted)-2] }

func cpuOf(r model.Resources) int64    { return r.MilliCPU }
func memoryOf(r model.Resources) int64 { return r.MemoryMB }

func elementwiseMax(a, b model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
