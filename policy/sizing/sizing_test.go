package sizing

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/model"
)

func job(declared int64) *model.Job {
	return &model.Job{Kind: "k", Repeatable: true, Declared: model.Resources{MilliCPU: declared, MemoryMB: declared, Accelerators: 1}}
}

// ample is given to tasks that use what they need.
var ample = model.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40}

// learned is a book of jobs that used so much processor and memory each.
func learned(used ...int64) *UsageHistory {
	b := NewUsageHistory()
	for i, u := range used {
		b.Report("k", model.JobID(fmt.Sprint(i)), model.Resources{MilliCPU: u, MemoryMB: u}, ample)
	}
	return b
}

func TestSize(t *testing.T) {
	once := job(1000)
	once.Repeatable = false
	for _, tc := range []struct {
		name     string
		book     *UsageHistory
		job      *model.Job
		least    int64
		cpu, mem int64
	}{
		{"nothing known: as declared", NewUsageHistory(), job(1000), 0, 1000, 1000},
		{"too few jobs: as declared", learned(300, 300, 300), job(1000), 0, 1000, 1000},
		{"declared too large", learned(300, 300, 300, 300), job(1200), 0, 309, 360},
		{"declared too small", learned(4000, 4000, 4000, 4000), job(1000), 0, 4120, 4800},
		{"one wild report moves nothing", learned(300, 300, 300, 300, 90000), job(1000), 0, 309, 360},
		{"nor does one that stands still", learned(300, 300, 300, 300, 1), job(1000), 0, 309, 360},
		{"memory follows the largest, processors the middle", learned(100, 100, 100, 500, 500), job(1000), 0, 103, 600},
		{"never below a tenth of the declaration", learned(5, 5, 5, 5), job(10000), 0, 1000, 1000},
		{"one run gets the safer of the two", learned(300, 300, 300, 300), once, 0, 1000, 1000},
		{"what it had too little of is the least", learned(300, 300, 300, 300), job(1000), 2000, 309, 2000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := tc.book.Size(tc.job, tc.least)
			assert.Equal(t, got, model.Resources{MilliCPU: tc.cpu, MemoryMB: tc.mem, Accelerators: 1})
		})
	}
}

func TestLaggingReportsOfOneJobCountOnce(t *testing.T) {
	b := NewUsageHistory()
	for range 100 {
		b.Report("k", "j1", model.Resources{MilliCPU: 50000, MemoryMB: 50000}, ample)
	}
	assert.Equal(t, b.Size(job(1000), 0).MemoryMB, int64(1000))
}

func TestJobsThatFillWhatTheyGet(t *testing.T) {
	// The operator sees jobs become unplaceable one after the other. A kind
	// uses all the memory it is given, and a margin on top of each estimate
	// makes the next larger, until no worker has as much. What a job got by
	// with is therefore enough.
	b := NewUsageHistory()
	for i := range 100 {
		given := b.Size(job(1000), 0)
		b.Report("k", model.JobID(fmt.Sprint(i)), given, given)
	}
	assert.Equal(t, b.Size(job(1000), 0), job(1000).Declared)
}

func TestAKindThatChangesIsFollowed(t *testing.T) {
	b := learned(300, 300, 300, 300, 300, 300)
	for i := range window {
		b.Report("k", model.JobID(fmt.Sprint("new", i)), model.Resources{MilliCPU: 600, MemoryMB: 600}, ample)
	}
	assert.Equal(t, b.Size(job(1000), 0).MemoryMB, int64(720))
}

func TestMemoryThatNoReportShows(t *testing.T) {
	// A worker's guard ends each job before its first usage report. What it
	// was given then says that the next needs twice as much.
	b := NewUsageHistory()
	for i := range enough {
		b.ReportExceeded("k", model.JobID(fmt.Sprint(i)), model.Resources{MilliCPU: 1000, MemoryMB: 1000})
	}
	assert.Equal(t, b.Size(job(1000), 0), model.Resources{MilliCPU: 1000, MemoryMB: 2000, Accelerators: 1})
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
		short       bool
		want        Action
	}{
		{"within", model.ClassNormal, true, true, 1000, true, Leave},
		{"within the slack", model.ClassNormal, true, true, 1100, true, Leave},
		{"over, but the worker has enough", model.ClassDeferrable, true, false, 2000, false, Leave},
		{"urgent is slowed", model.ClassUrgent, true, true, 2000, true, Throttle},
		{"normal stops at a checkpoint", model.ClassNormal, true, true, 2000, true, Checkpoint},
		{"normal without one is slowed", model.ClassNormal, true, false, 2000, true, Throttle},
		{"deferrable without one is stopped", model.ClassDeferrable, true, false, 2000, true, Stop},
		{"not repeatable is never stopped", model.ClassDeferrable, false, true, 2000, true, Throttle},
	} {
		t.Run(tc.name, func(t *testing.T) {
			job := &model.Job{Class: tc.class, Repeatable: tc.repeatable, Checkpoints: tc.checkpoints}
			assert.Equal(t, Overrun(job, size, model.Resources{MemoryMB: tc.used}, tc.short), tc.want)
		})
	}
}
