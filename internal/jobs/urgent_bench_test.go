package jobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/gateway"
	"github.com/pumicestage/pumicestage/internal/infra/machineapi"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// deployment is a deployment of production size on the stand-in platform over
// loopback HTTP, in real time: 50 workers, 8 entry VMs, and a store that limits
// writes and reads per second.
type deployment struct {
	server       *standin.Server // the machines, not subject to the store's limits
	service      *standin.Server
	address      string // address of the store
	nodes        []*Jobs
	startLatency *startLatencies
}

// startLatencies holds the latencies from submit to start, in microseconds.
type startLatencies struct {
	mu            sync.Mutex
	histogram     *hdrhistogram.Histogram
	failedSubmits int // number of submits that failed
}

const (
	writesPerSecond = 300
	readsPerSecond  = 2000
)

func newDeployment(b *testing.B, ctx context.Context) *deployment {
	clock := clockwork.NewRealClock()
	d := &deployment{server: standin.New(clock), startLatency: &startLatencies{histogram: hdrhistogram.New(1, 60_000_000, 3)}}
	b.Cleanup(d.server.Close)
	d.service = standin.New(clock)
	b.Cleanup(d.service.Close)
	machines, err := d.server.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	if d.address, err = d.service.Listen("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	d.service.Counts.SetLimits(writesPerSecond, readsPerSecond)
	snap := &view.Snapshot{Revision: 1, Declaration: &model.Declaration{Generation: 1}, VMs: make(map[model.VMID]view.VMRecord)}
	for i := range 50 {
		vm := model.VM{ID: model.VMID(fmt.Sprintf("v%02d", i)), Zone: model.ZoneName(fmt.Sprint("z", i%4)), Rack: model.RackName(fmt.Sprint("r", i/4)),
			Capacity: model.Resources{MilliCPU: 32000, MemoryMB: 65536}, State: model.VMInPool, Pool: "batch"}
		snap.VMs[vm.ID] = view.VMRecord{VM: vm}
		d.server.Machines.Add(vm.ID, vm.Capacity, nil)
	}
	for i := range 8 {
		holder := view.NewHolder()
		holder.Publish(snap)
		j := New(Options{
			Store:    gateway.New(gateway.Options{Endpoints: []string{d.address}, Timeout: 2 * time.Second}),
			Machines: machineapi.New(machineapi.Options{Endpoints: []string{machines}, Timeout: 2 * time.Second}),
			View:     holder, Self: model.EntryID(fmt.Sprint("e", i)), Log: logr.Discard(),
		})
		d.nodes = append(d.nodes, j)
		go func() { _ = j.Run(ctx) }()
	}
	return d
}

// loadStore simulates other clients at peak load: together they write at the store's
// rate limit, and each retries its refused writes.
func (d *deployment) loadStore(ctx context.Context) {
	const clients = 30
	for range clients {
		store := gateway.New(gateway.Options{Endpoints: []string{d.address}, Timeout: time.Second})
		go func() {
			due := time.NewTicker(clients * time.Second / writesPerSecond)
			defer due.Stop()
			for ctx.Err() == nil {
				_, err := store.Txn(ctx, infra.Txn{Then: []infra.Op{infra.Put(infra.Root+"crowd", []byte("x"))}})
				if infra.IsKind(err, infra.KindRateLimited) {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				<-due.C
			}
		}()
	}
}

// BenchmarkUrgentStart submits urgent jobs to random entry VMs among bursts of
// deferrable ones, and reports the latency from the call of Submit until the
// platform has started the task.
func BenchmarkUrgentStart(b *testing.B) {
	for _, c := range []struct {
		name      string
		storeLoad bool
	}{{"store-idle", false}, {"store-at-its-limit", true}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				ctx, cancel := context.WithCancel(context.Background())
				d := newDeployment(b, ctx)
				if c.storeLoad {
					d.loadStore(ctx)
				}
				time.Sleep(3 * time.Second) // the rate limit's burst is used up and the lease is held
				d.drive(ctx, 200)
				d.report(b)
				cancel()
			}
		})
	}
}

// drive submits n urgent jobs at random intervals below 100 ms. Every twentieth
// comes with a burst of 50 deferrable jobs.
func (d *deployment) drive(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(9, 9))
	var pending sync.WaitGroup
	for i := range n {
		job := smallJob()
		job.Class, job.Kind = model.ClassUrgent, "quote"
		change := model.ChangeID(fmt.Sprintf("u%04d", i))
		id := jobID(change, 0)
		d.server.Machines.SetBehaviour(id, standin.Behaviour{RunTime: 2 * time.Second})
		if i%20 == 0 {
			deferrable := smallJob()
			deferrable.Class = model.ClassDeferrable
			pending.Go(func() { _, _ = d.nodes[i%len(d.nodes)].Submit(ctx, "", copiesOf(50, deferrable)) })
		}
		at := time.Now()
		node := d.nodes[rng.IntN(len(d.nodes))]
		pending.Go(func() {
			if _, err := node.Submit(ctx, change, []model.Job{job}); err != nil {
				d.startLatency.mu.Lock()
				d.startLatency.failedSubmits++
				d.startLatency.mu.Unlock()
				return
			}
			d.await(id, at)
		})
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
	}
	pending.Wait()
}

// await polls the stand-in directly, not over HTTP, until the job has started or
// 30 seconds have passed, and records the latency.
func (d *deployment) await(id model.JobID, since time.Time) {
	for time.Since(since) < 30*time.Second {
		if d.server.Machines.Tally().Starts[id] > 0 {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	d.startLatency.mu.Lock()
	defer d.startLatency.mu.Unlock()
	_ = d.startLatency.histogram.RecordValue(time.Since(since).Microseconds())
}

func (d *deployment) report(b *testing.B) {
	startedTwice, starts := 0, d.server.Machines.Tally().Starts
	for _, n := range starts {
		if n > 1 {
			startedTwice++
		}
	}
	var writes, limited int64
	for _, n := range d.nodes {
		writes += n.Counts().Writes
		limited += n.Counts().Limited
	}
	b.ReportMetric(float64(d.startLatency.histogram.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(d.startLatency.histogram.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(d.startLatency.histogram.Max())/1000, "max-ms")
	b.ReportMetric(float64(d.startLatency.failedSubmits), "submits-failed")
	b.ReportMetric(float64(startedTwice), "started-twice")
	b.ReportMetric(float64(writes)/float64(len(starts)), "writes/job")
	b.ReportMetric(float64(limited), "refused-by-rate")
}
