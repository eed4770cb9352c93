package engine

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/policy/work"
)

// BenchmarkTakeOver measures what a new owner does before its first order: it reads the open jobs of its cell,
// polls every worker and plans. The store answers at once, so that only processor time is measured.
func BenchmarkTakeOver(b *testing.B) {
	for _, size := range []struct{ workers, jobs int }{{130, 1500}, {1000, 5000}, {1000, 20000}} {
		b.Run(fmt.Sprintf("workers=%d/jobs=%d", size.workers, size.jobs), func(b *testing.B) {
			store := memstore.New(clockwork.NewFakeClock())
			stored := storeJobs(b, store, size.jobs)
			var workers []WorkerInfo
			for i := range size.workers {
				w := info(work.WorkerID(fmt.Sprintf("w%d", i)))
				w.Capacity = work.Resources{MilliCPU: 32000, MemoryMB: 65536}
				workers = append(workers, w)
			}
			b.ReportAllocs()
			for b.Loop() {
				takeOver(b, store, workers)
			}
			b.ReportMetric(float64(stored)/1e6, "stored-MB")
		})
	}
}

// storeJobs stores open jobs and returns the bytes of their records.
func storeJobs(b *testing.B, store infra.Store, n int) (stored int) {
	b.Helper()
	for i := range n {
		second := short(8)
		second.After = []int{0}
		j := &work.Job{ID: work.JobID(fmt.Sprintf("%016x", i)), Queue: queue, Spec: "spec", Steps: []work.Step{short(8), second}}
		ops, err := CreateOps(service, j, Queue{Name: queue, Service: service})
		if err != nil {
			b.Fatal(err)
		}
		for _, op := range ops {
			stored += len(op.Value)
		}
		if _, err := store.Txn(context.Background(), infra.Txn{Then: ops}); err != nil {
			b.Fatal(err)
		}
	}
	return stored
}

// takeOver restores an engine from the store and makes its first plan.
func takeOver(b *testing.B, store infra.Store, workers []WorkerInfo) {
	b.Helper()
	e := New(Options{
		Cell: service, Store: store, Clock: fixedClock{}, Log: logr.Discard(), Term: &fakeTerm{certain: true},
		Registry: func() []WorkerInfo { return workers }, Declared: func() Declared { return Declared{} },
	})
	if err := e.restore(context.Background()); err != nil {
		b.Fatal(err)
	}
	now := e.Clock.Now()
	e.updateAuthority()
	for _, w := range workers {
		_, h, _ := e.core.NextPoll(w.ID, now)
		e.core.PollAnswered(w.ID, h, Listing{Clock: now}, now, now)
	}
	e.core.SetFleet(nil)
	e.core.LimitStarts(0)
	if starts := e.core.Plan(now, epoch).Starts; len(starts) == 0 {
		b.Fatal("nothing is started")
	}
}
