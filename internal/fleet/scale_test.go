package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/model"
)

// The size of fleet that the project is designed for.
const (
	scaleVMs   = 3600
	scalePools = 347
	scaleZones = 6
)

// scaleDeclaration returns a declaration with one service per pool and the VMs
// spread evenly over the pools: ten or eleven per pool at full size.
func scaleDeclaration(vms, pools int) *model.Declaration {
	d := declare(scaleZones, pools, 0, 0)
	for i := range d.Services {
		d.Services[i].Budget.MinAvailable = model.Quantity{Share: 0.7}
	}
	for i := range vms {
		pool, k := i%pools, i/pools
		zone := d.Zones[(pool+k)%scaleZones]
		vm := model.VMDecl{ID: model.VMID(fmt.Sprintf("v%04d", i)), Zone: zone, Pool: d.Pools[pool].Name}
		vm.Rack = model.RackName(fmt.Sprintf("%s-r%d", zone, i/scaleZones/4))
		d.VMs = append(d.VMs, vm)
	}
	d.Waves[0].Canary = 5
	return d
}

// BenchmarkPlan reports the time and the allocations of one plan over the whole
// fleet, and of a reconciler's pass while there is no work.
func BenchmarkPlan(b *testing.B) {
	w := newSimulation(scaleDeclaration(scaleVMs, scalePools), 1)
	w.audit.off = true
	w.start(b)
	n := w.nodes[0]
	assert.NilError(b, n.refreshList(ctx, 0))
	b.Run("plan", func(b *testing.B) {
		p := n.newPass()
		record := &WaveRecord{Name: "spring", Run: "r", Pools: w.decl.Waves[0].Pools}
		b.ReportAllocs()
		for b.Loop() {
			plan, ok := p.plan(record)
			assert.Assert(b, ok && len(plan.Stops) > 0)
		}
	})
	b.Run("pass at rest", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			assert.NilError(b, n.Step(ctx))
		}
	})
}

// usage is the duration of one wave and the calls it made.
type usage struct {
	took            time.Duration
	store, machines float64 // calls per VM, without the one per pass that reads the started waves
	storeRate       float64 // all calls per second
}

func maintainAll(t testing.TB, vms, pools int) usage {
	w := newSimulation(scaleDeclaration(vms, pools), 1)
	w.audit.off = true
	w.start(t)
	n := w.nodes[0]
	store, machines := n.store.Calls(), w.machines.calls
	_, err := n.StartWave(ctx, "spring", nil, order("c1"))
	assert.NilError(t, err)
	passes := 0
	for w.waveState(t, "spring") != WaveFinished {
		w.clock.Advance(busyPassInterval)
		w.sync()
		assert.NilError(t, n.Step(ctx))
		passes++
		assert.Assert(t, passes < 20000)
	}
	after := n.store.Calls()
	calls := after.Reads + after.Writes - store.Reads - store.Writes
	return usage{
		took:      time.Duration(passes) * busyPassInterval,
		store:     per(calls-passes, vms),
		machines:  per(w.machines.calls-machines, vms),
		storeRate: per(calls, passes),
	}
}

func per(n, of int) float64 { return float64(n) / float64(of) }

// BenchmarkWholeFleet maintains all 3,600 VMs in one wave:
//
//	go test ./internal/fleet -run xxx -bench WholeFleet -benchtime 1x
func BenchmarkWholeFleet(b *testing.B) {
	for b.Loop() {
		u := maintainAll(b, scaleVMs, scalePools)
		b.ReportMetric(u.took.Minutes(), "fleet-minutes")
		b.ReportMetric(u.store, "store-calls/VM")
		b.ReportMetric(u.machines, "machine-calls/VM")
		b.ReportMetric(u.storeRate, "store-calls/s")
	}
}

// Bounds the calls to the store and the platform per maintained VM, polling
// included, in a fleet small enough for every run.
func TestCallsPerMaintainedVM(t *testing.T) {
	u := maintainAll(t, 120, 12)
	t.Logf("%+v", u)
	assert.Assert(t, u.store < 7)
	assert.Assert(t, u.machines < 30)
}
