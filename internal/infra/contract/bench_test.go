package contract_test

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/gateway"
	"github.com/pumicestage/pumicestage/internal/infra/machineapi"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
	"github.com/pumicestage/pumicestage/policy/model"
)

// The benchmarks give the cost per call that capacity planning relies on: bytes
// sent and received, including HTTP headers, and processor time of client and
// stand-in together. Compare times within one run only.

// vmBytes is the approximate size of a VM's record in the store.
const vmBytes = 300

// bench is a gateway client of a stand-in whose traffic is measured.
type bench struct {
	srv    *standin.Server
	client *gateway.Store
	url    string
}

func newBench(b *testing.B) bench {
	b.Helper()
	srv := standin.New(clockwork.NewRealClock())
	b.Cleanup(srv.Close)
	url, err := srv.Listen("127.0.0.1:0")
	assert.NilError(b, err)
	client := gateway.New(gateway.Options{
		Endpoints: []string{url}, Zone: zone, Timeout: 10 * time.Second, HTTPClient: srv.Network.Client(zone),
	})
	return bench{srv: srv, client: client, url: url}
}

// measure runs call b.N times and reports the average bytes and processor time
// of one.
func (w bench) measure(b *testing.B, call func(n int) error) {
	b.Helper()
	assert.NilError(b, call(-1)) // opens the connection
	sent, received := w.srv.Network.Bytes()
	before := processorTime(b)
	b.ResetTimer()
	for n := range b.N {
		if err := call(n); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	spent := processorTime(b) - before
	sentAfter, receivedAfter := w.srv.Network.Bytes()
	b.ReportMetric(float64(sentAfter-sent)/float64(b.N), "B-sent/op")
	b.ReportMetric(float64(receivedAfter-received)/float64(b.N), "B-received/op")
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-µs/op")
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func putVMs(b *testing.B, s infra.Store, n int) {
	b.Helper()
	for i := range n {
		_, err := s.Txn(context.Background(), infra.Txn{Then: []infra.Op{
			infra.Put(fmt.Sprintf("%sv%04d", infra.VMPrefix, i), bytes.Repeat([]byte("x"), vmBytes)),
		}})
		assert.NilError(b, err)
	}
}

func BenchmarkStoreCall(b *testing.B) {
	ctx := context.Background()
	value := bytes.Repeat([]byte("x"), vmBytes)
	get := func(s infra.Store) func(int) error {
		return func(int) error { _, _, err := s.Get(ctx, infra.VMPrefix+"v0001"); return err }
	}
	b.Run("get/memstore", func(b *testing.B) {
		s := memstore.New(clockwork.NewRealClock())
		putVMs(b, s, 50)
		call := get(s)
		for n := range b.N {
			assert.NilError(b, call(n))
		}
	})
	b.Run("get/gateway", func(b *testing.B) {
		w := newBench(b)
		putVMs(b, w.srv.Store, 50)
		w.measure(b, get(w.client))
	})
	b.Run("keepalive/gateway", func(b *testing.B) {
		w := newBench(b)
		lease, err := w.client.Grant(ctx, time.Hour)
		assert.NilError(b, err)
		w.measure(b, func(int) error { return w.client.KeepAlive(ctx, lease) })
	})
	for _, vms := range []int{50, 500, 3600} {
		b.Run(fmt.Sprintf("range/gateway/%d", vms), func(b *testing.B) {
			w := newBench(b)
			putVMs(b, w.srv.Store, vms)
			w.measure(b, func(int) error { _, _, err := w.client.Range(ctx, infra.VMPrefix); return err })
		})
	}
	for _, claims := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("commit/gateway/%d", claims), func(b *testing.B) {
			w := newBench(b)
			w.measure(b, func(n int) error {
				var txn infra.Txn
				for i := range claims {
					key := infra.ClaimPrefix + strconv.Itoa(n) + "/" + strconv.Itoa(i)
					txn.If = append(txn.If, infra.Cond{Key: key})
					txn.Then = append(txn.Then, infra.Put(key, value))
				}
				_, err := infra.Commit(ctx, w.client, txn)
				return err
			})
		})
	}
}

// BenchmarkWatchFanOut measures the delivery of one change of a VM to a number
// of watches.
func BenchmarkWatchFanOut(b *testing.B) {
	value := bytes.Repeat([]byte("x"), vmBytes)
	for _, watches := range []int{1, 8, 32} {
		b.Run(strconv.Itoa(watches), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			w := newBench(b)
			var all []<-chan infra.WatchBatch
			for range watches {
				ch, err := w.client.Watch(ctx, infra.VMPrefix, 1)
				assert.NilError(b, err)
				all = append(all, ch)
			}
			w.measure(b, func(int) error {
				_, err := w.srv.Store.Txn(ctx, infra.Txn{Then: []infra.Op{infra.Put(infra.VMPrefix+"v0001", value)}})
				for _, ch := range all {
					<-ch
				}
				return err
			})
		})
	}
}

// BenchmarkWaitingWatch measures the memory of one open watch, of client and
// stand-in together.
func BenchmarkWaitingWatch(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := newBench(b)
	before := memoryInUse()
	for range b.N {
		_, err := w.client.Watch(ctx, infra.VMPrefix, 1)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(memoryInUse()-before)/float64(b.N), "B-memory/watch")
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func BenchmarkMachineList(b *testing.B) {
	for _, vms := range []int{50, 3600} {
		b.Run(strconv.Itoa(vms), func(b *testing.B) {
			w := newBench(b)
			for i := range vms {
				w.srv.Machines.Add(model.VMID(fmt.Sprintf("v%04d", i)), model.Resources{}, nil)
			}
			m := machineapi.New(machineapi.Options{Endpoints: []string{w.url}, Zone: zone, HTTPClient: w.srv.Network.Client(zone)})
			w.measure(b, func(int) error { _, err := m.List(context.Background()); return err })
		})
	}
}
