package dev

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/infra/standin"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// idleDuration is how long an idle deployment is measured.
	idleDuration = 20 * time.Second
	// settleDuration is the wait after the start until the deployment is idle.
	settleDuration = 5 * time.Second
	// changes are applied one after the other, changeInterval apart.
	changes        = 20
	changeInterval = 500 * time.Millisecond
)

// BenchmarkRest measures the cost of eight idle entry VMs by the number of VMs,
// which shows how control traffic scales. Processor time and memory are those of
// the whole process, with fake targets and the stand-in: an upper bound.
func BenchmarkRest(b *testing.B) {
	for _, vms := range []int{40, 200, 1000} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			c := startWide(b, vms)
			for range b.N {
				c.measureIdle(b)
			}
		})
	}
}

// BenchmarkChange measures the cost of one change of the declaration until it is
// in force on all eight entry VMs, beyond their cost when idle.
func BenchmarkChange(b *testing.B) {
	for _, vms := range []int{40, 200, 1000} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			c := startWide(b, vms)
			for range b.N {
				c.changeOften(b)
			}
		})
	}
}

// startWide starts a deployment of the given number of VMs and waits until it is
// idle.
func startWide(b *testing.B, vms int) *cluster {
	b.Helper()
	c, err := startCluster(context.Background(), wideFleet(vms), false, logr.Discard())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.stop)
	if err := c.bringUp(context.Background(), &report{}); err != nil {
		b.Fatal(err)
	}
	time.Sleep(settleDuration)
	return c
}

// usage holds the bytes exchanged with the platform, the bytes sent to peers and
// the processor time that a deployment has used since its start.
type usage struct {
	platform, peer int64
	cpu            time.Duration
}

func (c *cluster) usage() usage {
	n := c.platform.Counts.Counts()
	return usage{n.BytesIn + n.BytesOut, c.peerBytes(), processorTime()}
}

// changeOften reports the cost of a change as the difference from an idle period
// of the same length.
func (c *cluster) changeOften(b *testing.B) {
	before := c.usage()
	time.Sleep(changes * changeInterval)
	rested := c.usage()
	var inForce time.Duration
	for i := range changes {
		began := time.Now()
		c.decl.Services[0].Limit = changedLimit + i + 1
		r := &report{}
		if err := c.changeTo(context.Background(), r, model.ChangeID(fmt.Sprintf("bench-%d", i))); err != nil {
			b.Fatal(err)
		}
		inForce = max(inForce, r.inForce)
		time.Sleep(changeInterval - time.Since(began))
	}
	after := c.usage()
	per := func(rest, busy int64) float64 { return float64(busy-rest) / changes / float64(len(c.entries)) }
	b.ReportMetric(per(rested.platform-before.platform, after.platform-rested.platform), "platform-B/change/entry")
	b.ReportMetric(per(rested.peer-before.peer, after.peer-rested.peer), "peer-B/change/entry")
	b.ReportMetric(per(int64(rested.cpu-before.cpu), int64(after.cpu-rested.cpu))/1e6, "cpu-ms/change/entry")
	b.ReportMetric(inForce.Seconds()*1000, "ms-in-force-max")
}

// measureIdle reports the cost of an idle period per second and entry VM.
func (c *cluster) measureIdle(b *testing.B) {
	c.platform.Counts.Reset()
	sent := c.peerBytes()
	cpu := processorTime()
	time.Sleep(idleDuration)
	perEntry := idleDuration.Seconds() * float64(len(c.entries))
	counts := c.platform.Counts.Counts()
	b.ReportMetric(float64(c.peerBytes()-sent)/perEntry, "peer-B/s/entry")
	b.ReportMetric(float64(counts.BytesOut+counts.BytesIn)/perEntry, "platform-B/s/entry")
	b.ReportMetric(100*(processorTime()-cpu).Seconds()/perEntry, "%core/entry")
	for _, kind := range []standin.Kind{standin.KindWrite, standin.KindRange, standin.KindKeepAlive, standin.KindMachines} {
		b.ReportMetric(float64(counts.Calls[kind])/idleDuration.Seconds(), string(kind)+"/s")
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

// wideFleet declares four zones, pools of ten VMs and one service for each pool.
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
