package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/policy/work"
)

// grown is a cell of a grown deployment in the middle of a burst: its workers
// are full and several hundred jobs wait.
func grown(b *testing.B, workers, jobs int) (*Core, time.Duration) {
	b.Helper()
	now := time.Hour
	c := NewCore(service, token, Bounds{MaxHold: 10 * time.Second}, logr.Discard())
	c.Declare(Declared{Version: 1, Queues: map[string]Queue{queue: {Name: queue, Service: service, MaxAttempts: 3, Stretch: 1.6}}})
	c.AllowUntil(now + 1000*time.Hour)
	c.SetCertain(true)
	for i := range workers {
		id := work.WorkerID(fmt.Sprintf("w%d", i))
		w := info(id)
		w.Capacity = work.Resources{MilliCPU: 32000, MemoryMB: 65536}
		c.WorkerSeen(w)
		c.HoldAnswered(id, Hold{}, Listing{Clock: now}, now, now)
	}
	for i := range jobs {
		second := short(8)
		second.After = []int{0}
		j := &work.Job{ID: work.JobID(fmt.Sprintf("%016x", i)), Queue: queue, Steps: []work.Step{short(8), second}}
		c.Accept(j, c.declared.Queues[queue], now)
	}
	return c, now
}

// BenchmarkPlanWhileFull is what each plan costs while nothing fits: it is made
// at every answer of a worker.
func BenchmarkPlanWhileFull(b *testing.B) {
	c, now := grown(b, 70, 500)
	c.Plan(now, epoch)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		c.Plan(now, epoch)
	}
}

// BenchmarkReport is what the fleet's owner asks of each cell several times a
// second.
func BenchmarkReport(b *testing.B) {
	c, now := grown(b, 70, 500)
	c.Plan(now, epoch)
	b.ReportAllocs()
	for b.Loop() {
		c.report(now)
	}
}
