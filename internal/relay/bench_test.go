package relay

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/faulty"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// benchFleet runs entry VMs on loopback sockets with the real clock.
type benchFleet struct {
	store *memstore.Store
	nodes []*benchNode
	stop  func()
}

type benchNode struct {
	relay    *Relay
	registry *Registry
	mesh     *peer.Mesh
	view     *view.Holder
	store    *faulty.Store
}

func startFleet(tb testing.TB, zones, perZone int, loads []peer.TargetLoad) *benchFleet {
	f := &benchFleet{store: memstore.New(clockwork.NewRealClock())}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	f.stop = func() { cancel(); tasks.Wait() }
	var seeds []string
	for i := range zones * perZone {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(tb, err)
		self := view.EntryRecord{
			ID: model.EntryID(fmt.Sprint("entry-", i)), Zone: zoneName(i / perZone), Peer: ln.Addr().String(), Incarnation: 1,
		}
		n := &benchNode{view: view.NewHolder(), store: faulty.Wrap(f.store)}
		n.mesh = peer.New(peer.Options{
			Self: self, Seeds: seeds, View: n.view, Listener: ln,
			FillDigest: func(d *peer.Digest) { d.Loads = loads },
			Watching:   func() bool { return n.relay.Watching() }, Log: logr.Discard(),
		})
		opts := Options{Self: self, Store: n.store, View: n.view, Peers: n.mesh, Log: logr.Discard()}
		n.relay, n.registry = New(opts), NewRegistry(opts)
		seeds = append(seeds, self.Peer)
		f.nodes = append(f.nodes, n)
		tasks.Go(func() { n.mesh.Run(ctx) })
		tasks.Go(func() { n.relay.Run(ctx) })
	}
	return f
}

func (f *benchFleet) put(tb testing.TB, ops ...infra.Op) infra.Revision {
	res, err := f.store.Txn(context.Background(), infra.Txn{Then: ops})
	assert.NilError(tb, err)
	return res.Revision
}

func declarationOp(generation uint64, vms int) infra.Op {
	d := model.Declaration{Generation: generation}
	for i := range vms {
		d.VMs = append(d.VMs, fullVMDecl(i))
	}
	raw, _ := json.Marshal(d)
	return infra.Put(infra.ConfigKey, raw)
}

func fullVMDecl(i int) model.VMDecl {
	vm := fullVM(i)
	return model.VMDecl{ID: vm.ID, Zone: vm.Zone, Rack: vm.Rack, Pool: vm.Pool, Address: vm.Address, Capacity: vm.Capacity}
}

// fullVM returns a VM record with all fields that are set during a wave.
func fullVM(i int) model.VM {
	return model.VM{
		ID: model.VMID(fmt.Sprintf("worker-%04d", i)), Zone: zoneName(i % 6), Rack: model.RackName(fmt.Sprintf("rack-%03d", i/4)),
		Pool: model.PoolName(fmt.Sprintf("pool-%03d", i%347)), Address: fmt.Sprintf("10.%d.%d.%d:8080", i%6, i/250, i%250),
		Capacity: model.Resources{MilliCPU: 32000, MemoryMB: 64 << 10}, State: model.VMInPool,
		Since: time.Unix(1764706000+int64(i)*7919, int64(i)*104729).UTC(), Change: model.ChangeID(fmt.Sprintf("c-%x", uint32(i)*2654435761)), Reason: "maintained by wave spring", Wave: "spring",
	}
}

func vmOp(i int) infra.Op {
	raw, _ := json.Marshal(fullVM(i))
	return infra.Put(infra.VMKey(fullVM(i).ID), raw)
}

func (f *benchFleet) await(tb testing.TB, ok func() bool) time.Duration {
	started := time.Now()
	for !ok() {
		if time.Since(started) > 30*time.Second {
			tb.Fatal("condition not met within 30 s")
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(started)
}

// allApplied reports whether every entry VM's view has the declaration of the given
// generation or a later one.
func (f *benchFleet) allApplied(generation uint64) bool {
	for _, n := range f.nodes {
		if n.view.Load().Generation() < generation {
			return false
		}
	}
	return true
}

// BenchmarkInForce measures the time from the write of a declaration until all
// entry VMs have applied it, and until the registry of one of them reports so.
func BenchmarkInForce(b *testing.B) {
	for _, size := range []struct{ zones, perZone, vms int }{{4, 2, 50}, {6, 4, 50}, {4, 2, 3600}, {6, 8, 3600}} {
		b.Run(fmt.Sprintf("entries=%d/vms=%d", size.zones*size.perZone, size.vms), func(b *testing.B) {
			f := startFleet(b, size.zones, size.perZone, nil)
			defer f.stop()
			f.put(b, declarationOp(1, size.vms))
			f.await(b, func() bool { return f.allApplied(1) })
			time.Sleep(3 * time.Second)
			inForce := hdrhistogram.New(1, 60_000_000, 3)
			reported := hdrhistogram.New(1, 60_000_000, 3)
			g := uint64(1)
			for b.Loop() {
				g++
				f.put(b, declarationOp(g, size.vms))
				took := f.await(b, func() bool { return f.allApplied(g) })
				inForce.RecordValue(took.Microseconds())
				took += f.await(b, func() bool {
					_, missing, err := f.nodes[0].registry.InForce(context.Background(), g)
					return err == nil && len(missing) == 0
				})
				reported.RecordValue(took.Microseconds())
				time.Sleep(time.Duration(g%7) * 50 * time.Millisecond)
			}
			b.ReportMetric(float64(inForce.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(inForce.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(float64(reported.ValueAtQuantile(50))/1000, "reported-p50-ms")
			b.ReportMetric(float64(reported.ValueAtQuantile(99))/1000, "reported-p99-ms")
		})
	}
}

// BenchmarkPeerLink measures the traffic per second on the peer links of one
// entry VM, and the calls to the platform, by zones, entry VMs and busy targets.
func BenchmarkPeerLink(b *testing.B) {
	for _, size := range []struct{ zones, perZone, targets int }{{4, 2, 0}, {4, 2, 13}, {4, 2, 50}, {6, 4, 50}, {6, 8, 50}} {
		b.Run(fmt.Sprintf("zones=%d/entries=%d/targets=%d", size.zones, size.zones*size.perZone, size.targets), func(b *testing.B) {
			var loads []peer.TargetLoad
			for i := range size.targets {
				loads = append(loads, peer.TargetLoad{VM: fullVM(i).ID})
			}
			f := startFleet(b, size.zones, size.perZone, loads)
			defer f.stop()
			f.put(b, declarationOp(1, 50))
			f.await(b, func() bool { return f.allApplied(1) })
			time.Sleep(3 * time.Second)
			const window = 10 * time.Second
			before, callsBefore, cpuBefore := f.nodes[0].mesh.Traffic(), f.calls(), cpuTime()
			for b.Loop() {
				for end := time.Now().Add(window); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					for i := range loads {
						loads[i].InFlight = uint16(time.Now().UnixNano()>>10) % 8
					}
				}
			}
			seconds := window.Seconds() * float64(b.N)
			after, calls := f.nodes[0].mesh.Traffic(), f.calls()
			b.ReportMetric(float64(after.BytesOut-before.BytesOut)/seconds, "B-out/s")
			b.ReportMetric(float64(after.BytesIn-before.BytesIn)/seconds, "B-in/s")
			b.ReportMetric(float64(after.FramesOut-before.FramesOut)/seconds, "frames-out/s")
			b.ReportMetric(float64(calls.Writes-callsBefore.Writes)/seconds, "writes/s")
			b.ReportMetric(float64(calls.Reads-callsBefore.Reads)/seconds, "reads/s")
			b.ReportMetric(float64(calls.KeepAlives-callsBefore.KeepAlives)/seconds, "keepalives/s")
			b.ReportMetric(float64(f.store.Watches()), "watches")
			b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/seconds/float64(len(f.nodes)), "cpu-%/entry")
		})
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (f *benchFleet) calls() faulty.Calls {
	var sum faulty.Calls
	for _, n := range f.nodes {
		c := n.store.Calls()
		sum.Reads += c.Reads
		sum.Writes += c.Writes
		sum.KeepAlives += c.KeepAlives
	}
	return sum
}

// BenchmarkApplyVMChange measures the cost of merging one change of a VM, by
// the number of VMs in the view.
func BenchmarkApplyVMChange(b *testing.B) {
	for _, vms := range []int{50, 900, 3600} {
		b.Run(fmt.Sprint("vms=", vms), func(b *testing.B) {
			s := newState(view.NewHolder(), logr.Discard())
			s.merge(fullView(vms), time.Time{})
			b.ReportAllocs()
			rev := infra.Revision(vms)
			for b.Loop() {
				rev++
				r := recordOf(infra.KV{Key: infra.VMKey(fullVM(7).ID), Value: vmOp(7).Value, ModRevision: rev})
				s.merge(update{fromStore: true, Puts: []record{r}, Versions: versions{Revision: rev}}, time.Time{})
			}
		})
	}
}

func fullView(vms int) update {
	u := update{Full: true, Versions: versions{Revision: infra.Revision(vms), Generation: 1}}
	for i := range vms {
		op := vmOp(i)
		u.Puts = append(u.Puts, record{Key: op.Key, Value: op.Value, ModRevision: infra.Revision(i + 1)})
	}
	config := declarationOp(1, vms)
	u.Config = &record{Key: config.Key, Value: config.Value, ModRevision: 1}
	return u
}

// BenchmarkWholeView measures the size of a complete view on the wire and the
// time to decode and merge it.
func BenchmarkWholeView(b *testing.B) {
	for _, vms := range []int{50, 900, 3600} {
		b.Run(fmt.Sprint("vms=", vms), func(b *testing.B) {
			u := fullView(vms)
			body, err := msgpack.Marshal(u)
			assert.NilError(b, err)
			for b.Loop() {
				var got update
				assert.NilError(b, msgpack.Unmarshal(body, &got))
				newState(view.NewHolder(), logr.Discard()).merge(got, time.Time{})
			}
			config := declarationOp(1, vms).Value
			b.ReportMetric(float64(len(body))/float64(vms), "B/vm")
			b.ReportMetric(float64(compressedSize(b, body))/float64(vms), "B-sent/vm")
			b.ReportMetric(float64(len(config))/float64(vms), "B-config/vm")
			b.ReportMetric(float64(compressedSize(b, config))/float64(vms), "B-config-sent/vm")
		})
	}
}

// compressedSize returns the size in bytes of the body, compressed as in a
// frame between peers.
func compressedSize(b *testing.B, body []byte) int {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	assert.NilError(b, err)
	_, err = w.Write(body)
	assert.NilError(b, err)
	assert.NilError(b, w.Close())
	return out.Len()
}

// BenchmarkViewMemory measures the memory used by one view, including the
// stored bytes that it was decoded from.
func BenchmarkViewMemory(b *testing.B) {
	for _, vms := range []int{50, 900, 3600} {
		b.Run(fmt.Sprint("vms=", vms), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := newState(view.NewHolder(), logr.Discard())
				s.merge(fullView(vms), time.Time{})
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(s)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
		})
	}
}
