package dev

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/platform/standin"
	"github.com/pumicestage/pumicestage/policy/model"
)

// restFor is how long a deployment at rest is looked at.
const restFor = 20 * time.Second

// BenchmarkRest is what eight entry VMs cost with nothing to do, by the number
// of VMs: the slope of control. Processor time and memory are of the whole
// process, so fake targets and the stand-in are in them: an upper bound.
func BenchmarkRest(b *testing.B) {
	for _, vms := range []int{40, 200, 1000} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			c, err := startCluster(context.Background(), wideFleet(vms), false, logr.Discard())
			if err != nil {
				b.Fatal(err)
			}
			defer c.stop()
			if err := c.bringUp(context.Background(), &report{}); err != nil {
				b.Fatal(err)
			}
			for range b.N {
				c.rest(b)
			}
		})
	}
}

// rest reports what one period at rest cost, per second and entry VM.
func (c *cluster) rest(b *testing.B) {
	c.platform.Counts.Reset()
	sent := c.peerBytes()
	cpu := processorTime()
	time.Sleep(restFor)
	perEntry := restFor.Seconds() * float64(len(c.entries))
	counts := c.platform.Counts.Counts()
	b.ReportMetric(float64(c.peerBytes()-sent)/perEntry, "peer-B/s/entry")
	b.ReportMetric(float64(counts.BytesOut+counts.BytesIn)/perEntry, "platform-B/s/entry")
	b.ReportMetric(100*(processorTime()-cpu).Seconds()/perEntry, "%core/entry")
	for _, kind := range []standin.Kind{standin.KindWrite, standin.KindRange, standin.KindKeepAlive, standin.KindMachines} {
		b.ReportMetric(float64(counts.Calls[kind])/restFor.Seconds(), string(kind)+"/s")
	}
	b.ReportMetric(float64(counts.Waiting), "watches")
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	b.ReportMetric(float64(mem.HeapAlloc)/float64(len(c.entries))/(1<<20), "MB/entry")
}

func (c *cluster) peerBytes() int64 {
	var n int64
	for _, e := range c.entries {
		n += int64(e.PeerTraffic().BytesOut)
	}
	return n
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// wideFleet declares four zones with ten VMs a pool and one service a pool.
func wideFleet(vms int) *model.Declaration {
	d := &model.Declaration{Deployment: "wide", Zones: []model.ZoneName{"za", "zb", "zc", "zd"}, Weights: model.Weights{RollOutTime: 1}}
	for p := range vms / 10 {
		pool := model.Pool{Name: model.PoolName(fmt.Sprintf("p%d", p))}
		for i := range 10 {
			zone := d.Zones[i%len(d.Zones)]
			id := model.VMID(fmt.Sprintf("%s-%d", pool.Name, i))
			pool.VMs = append(pool.VMs, id)
			d.VMs = append(d.VMs, model.VMDecl{ID: id, Zone: zone, Rack: model.RackName(fmt.Sprintf("%s-%d", zone, p/4)), Pool: pool.Name, Capacity: model.Resources{MilliCPU: 32000, MemoryMB: 65536}})
		}
		d.Pools = append(d.Pools, pool)
		d.Services = append(d.Services, model.Service{
			Name: model.ServiceName(pool.Name), Pools: []model.PoolName{pool.Name}, Class: model.ClassNormal, Repeatable: true,
			Timeout: 5 * time.Second, Slots: 8, Conns: 64, Remember: time.Hour, Budget: model.Budget{MinAvailable: model.Quantity{Share: 0.6}},
		})
	}
	return d
}
