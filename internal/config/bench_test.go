package config

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra/faulty"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/policy/model"
)

// declarationOfSize returns a declaration with the given number of VMs and
// pools over six zones. Each pool has one service.
func declarationOfSize(vms, pools int) *model.Declaration {
	d := &model.Declaration{Deployment: "large", Zones: []model.ZoneName{"z0", "z1", "z2", "z3", "z4", "z5"}}
	for p := range pools {
		pool := model.PoolName(fmt.Sprintf("pool-%03d", p))
		d.Pools = append(d.Pools, model.Pool{Name: pool})
		d.Services = append(d.Services, model.Service{
			Name: model.ServiceName(fmt.Sprintf("service-%03d", p)), Pools: []model.PoolName{pool}, Class: model.ClassNormal,
			Repeatable: true, Timeout: 10 * time.Second, Slots: 8, Conns: 64, Remember: 24 * time.Hour,
			Budget: model.Budget{MinAvailable: model.Quantity{Share: 0.7}},
		})
	}
	for i := range vms {
		zone := i % len(d.Zones)
		d.VMs = append(d.VMs, model.VMDecl{
			ID: model.VMID(fmt.Sprintf("worker-%04d", i)), Zone: d.Zones[zone], Rack: model.RackName(fmt.Sprintf("z%d-r%03d", zone, i/24)),
			Pool: d.Pools[i%pools].Name, Address: fmt.Sprintf("10.%d.%d.%d:8080", zone, i/250, i%250),
			Capacity: model.Resources{MilliCPU: 32000, MemoryMB: 65536},
		})
	}
	addPoolVMs(d)
	return d
}

// BenchmarkApply measures one accepted change: the processor time of the entry
// VM that handles it, its reads and writes of the store, and the size of the
// stored value in bytes.
func BenchmarkApply(b *testing.B) {
	for _, size := range []struct{ vms, pools int }{{50, 5}, {900, 87}, {3600, 347}} {
		b.Run(fmt.Sprintf("vms=%d", size.vms), func(b *testing.B) {
			ctx := context.Background()
			store := faulty.Wrap(memstore.New(clockwork.NewFakeClockAt(testTime)))
			d := declarationOfSize(size.vms, size.pools)
			assert.Equal(b, len(Validate(d)), 0)
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				d.Services[0].Limit = n
				if _, err := Apply(ctx, store, d, testOptions(model.ChangeID(fmt.Sprintf("c-%026d", n)), "ana")); err != nil {
					b.Fatal(err)
				}
			}
			calls := store.Calls()
			kv, _, err := store.Get(ctx, "/pumicestage/config")
			assert.NilError(b, err)
			b.ReportMetric(float64(calls.Reads)/float64(n), "reads/op")
			b.ReportMetric(float64(calls.Writes)/float64(n), "writes/op")
			b.ReportMetric(float64(len(kv.Value)), "value-bytes")
		})
	}
}
