package sizing

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/model"
)

// jobDeclaring returns a job that declares the same number of thousandths of a processor and
// MB of memory, and one accelerator.
func jobDeclaring(declared int64) *model.Job {
	return &model.Job{Kind: "k", Repeatable: true, Declared: model.Resources{MilliCPU: declared, MemoryMB: declared, Accelerators: 1}}
}

// ample is the size given to tasks that are not limited by it.
var ample = model.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40}

// historyOf returns the history of one job for each value of used, which is its use
// of both processors and memory.
func historyOf(used ...int64) *UsageHistory {
	b := NewUsageHistory()
	for i, u := range used {
		b.Report("k", model.JobID(fmt.Sprint(i)), model.Resources{MilliCPU: u, MemoryMB: u}, ample)
	}
	return b
}

func TestSize(t *testing.T) {
	nonRepeatable := jobDeclaring(1000)
	nonRepeatable.Repeatable = false
	for _, tc := range []struct {
		name     string
		history  *UsageHistory
		job      *model.Job
		minMB    int64
		cpu, mem int64
	}{
		{"no report: as declared", NewUsageHistory(), jobDeclaring(1000), 0, 1000, 1000},
		{"too few jobs: as declared", historyOf(300, 300, 300), jobDeclaring(1000), 0, 1000, 1000},
		{"declared too large", historyOf(300, 300, 300, 300), jobDeclaring(1200), 0, 309, 360},
		{"declared too small", historyOf(4000, 4000, 4000, 4000), jobDeclaring(1000), 0, 4120, 4800},
		{"a high outlier changes nothing", historyOf(300, 300, 300, 300, 90000), jobDeclaring(1000), 0, 309, 360},
		{"nor does a stalled job", historyOf(300, 300, 300, 300, 1), jobDeclaring(1000), 0, 309, 360},
		{"memory follows the second largest, processors the median", historyOf(100, 100, 100, 500, 500), jobDeclaring(1000), 0, 103, 600},
		{"never below a tenth of the declaration", historyOf(5, 5, 5, 5), jobDeclaring(10000), 0, 1000, 1000},
		{"a job that is not repeatable gets the larger of the two", historyOf(300, 300, 300, 300), nonRepeatable, 0, 1000, 1000},
		{"at least the memory minimum of a job that ran out of it", historyOf(300, 300, 300, 300), jobDeclaring(1000), 2000, 309, 2000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := tc.history.Size(tc.job, tc.minMB)
			assert.Equal(t, got, model.Resources{MilliCPU: tc.cpu, MemoryMB: tc.mem, Accelerators: 1})
		})
	}
}

func TestLaggingReportsOfOneJobCountOnce(t *testing.T) {
	b := NewUsageHistory()
	for range 100 {
		b.Report("k", "j1", model.Resources{MilliCPU: 50000, MemoryMB: 50000}, ample)
	}
	assert.Equal(t, b.Size(jobDeclaring(1000), 0).MemoryMB, int64(1000))
}

func TestEstimateOfJobsThatUseAllTheyGetDoesNotGrow(t *testing.T) {
	// Guards against jobs that become unplaceable one after the other: if a kind
	// uses all the memory that it is given, a margin on each estimate makes the
	// next larger, until it exceeds every worker. So what a job was given and did
	// not exceed counts as enough.
	b := NewUsageHistory()
	for i := range 100 {
		given := b.Size(jobDeclaring(1000), 0)
		b.Report("k", model.JobID(fmt.Sprint(i)), given, given)
	}
	assert.Equal(t, b.Size(jobDeclaring(1000), 0), jobDeclaring(1000).Declared)
}

func TestEstimateFollowsChangedUsage(t *testing.T) {
	b := historyOf(300, 300, 300, 300, 300, 300)
	for i := range maxPeaks {
		b.Report("k", model.JobID(fmt.Sprint("new", i)), model.Resources{MilliCPU: 600, MemoryMB: 600}, ample)
	}
	assert.Equal(t, b.Size(jobDeclaring(1000), 0).MemoryMB, int64(720))
}

func TestOutOfMemoryBeforeTheFirstUsageReport(t *testing.T) {
	// A worker's memory limit kills each job before its first usage report. The
	// next job must then get twice as much.
	b := NewUsageHistory()
	for i := range minJobs {
		b.ReportExceeded("k", model.JobID(fmt.Sprint(i)), model.Resources{MilliCPU: 1000, MemoryMB: 1000})
	}
	assert.Equal(t, b.Size(jobDeclaring(1000), 0), model.Resources{MilliCPU: 1000, MemoryMB: 2000, Accelerators: 1})
}

func TestKindsAreBounded(t *testing.T) {
	b := NewUsageHistory()
	for i := range maxKinds + 10 {
		b.Report(fmt.Sprint(i), "j", model.Resources{MilliCPU: 1}, ample)
	}
	assert.Equal(t, len(b.Kinds), maxKinds)
	assert.Assert(t, b.Kinds["0"] == nil && b.Kinds[fmt.Sprint(maxKinds+9)] != nil)
}

func TestOverrun(t *testing.T) {
	size := model.Resources{MemoryMB: 1000}
	for _, tc := range []struct {
		name        string
		class       model.Class
		repeatable  bool
		checkpoints bool
		used        int64
		lowMemory   bool
		want        Action
	}{
		{"within its size", model.ClassNormal, true, true, 1000, true, NoAction},
		{"within the tolerance", model.ClassNormal, true, true, 1100, true, NoAction},
		{"over its size, but the worker has enough memory", model.ClassDeferrable, true, false, 2000, false, NoAction},
		{"urgent is throttled", model.ClassUrgent, true, true, 2000, true, Throttle},
		{"normal stops at a checkpoint", model.ClassNormal, true, true, 2000, true, Checkpoint},
		{"normal without one is throttled", model.ClassNormal, true, false, 2000, true, Throttle},
		{"deferrable without one is stopped", model.ClassDeferrable, true, false, 2000, true, Stop},
		{"not repeatable is never stopped", model.ClassDeferrable, false, true, 2000, true, Throttle},
	} {
		t.Run(tc.name, func(t *testing.T) {
			job := &model.Job{Class: tc.class, Repeatable: tc.repeatable, Checkpoints: tc.checkpoints}
			assert.Equal(t, OverrunAction(job, size, model.Resources{MemoryMB: tc.used}, tc.lowMemory), tc.want)
		})
	}
}
