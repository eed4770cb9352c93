package dev

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/policy/model"
)

// waitTimeout bounds every wait of these tests. It asserts no latency: tests of
// a guaranteed time have bounds of their own.
const waitTimeout = 45 * time.Second

// smallFleet declares two zones and two services of four VMs each. Requests to
// quick are repeatable, requests to once are not.
func smallFleet() *model.Declaration {
	d := &model.Declaration{Deployment: "small", Zones: []model.ZoneName{"za", "zb"}, Weights: model.Weights{RollOutTime: 1, BufferCost: 1, Moves: 1}}
	for _, name := range []string{"quick", "once"} {
		pool := model.Pool{Name: model.PoolName(name)}
		for i := range 4 {
			zone := d.Zones[i%2]
			id := model.VMID(fmt.Sprintf("%s-%d", name, i))
			pool.VMs = append(pool.VMs, id)
			d.VMs = append(d.VMs, model.VMDecl{ID: id, Zone: zone, Rack: model.RackName(fmt.Sprintf("%s-r%d", zone, i/2)), Pool: pool.Name, Capacity: model.Resources{MilliCPU: 32000, MemoryMB: 65536}})
		}
		d.Pools = append(d.Pools, pool)
		d.Services = append(d.Services, model.Service{
			Name: model.ServiceName(name), Pools: []model.PoolName{pool.Name}, Class: model.ClassNormal, Repeatable: name == "quick",
			Timeout: 5 * time.Second, Slots: 8, Conns: 64, Remember: time.Hour, Budget: model.Budget{MinAvailable: model.Quantity{Count: 2}},
		})
	}
	d.Waves = []model.Wave{{Name: "all", Pools: []model.PoolName{"quick", "once"}, Canary: 1, MaxFailures: 3, Probation: 200 * time.Millisecond, Grace: 20 * time.Second}}
	return d
}

// startSmall starts a cluster of the small fleet and waits until every VM is up.
func startSmall(t *testing.T) *cluster {
	t.Helper()
	c, err := startCluster(context.Background(), smallFleet(), false, logr.Discard())
	assert.NilError(t, err)
	t.Cleanup(c.stop)
	assert.NilError(t, c.bringUp(context.Background(), &report{}))
	return c
}

// await waits until a condition holds and fails the test after waitTimeout.
func (c *cluster) await(t *testing.T, what string, done func() bool) {
	t.Helper()
	assert.NilError(t, c.until(context.Background(), waitTimeout, what, done))
}

// startWave starts the wave named all at the entry VM with index at.
func (c *cluster) startWave(t *testing.T, at int) {
	t.Helper()
	_, err := c.entries[at].Fleet().StartWave(context.Background(), "all", nil, fleet.Order{Change: "test-wave", Actor: "test"})
	assert.NilError(t, err)
}

// awaitWaveEnd waits until the entry VM with index at reports the wave finished.
func (c *cluster) awaitWaveEnd(t *testing.T, at int) {
	t.Helper()
	var last fleet.WaveStatus
	err := c.until(context.Background(), waitTimeout, "end of the wave", func() bool {
		s, err := c.entries[at].Fleet().WaveStatus(context.Background(), "all")
		if err == nil {
			last = s
		}
		return err == nil && s.Record.State == fleet.WaveFinished
	})
	assert.NilError(t, err, "%+v", last)
}

// serving counts the targets of a service that now accept work, as reported by
// the targets themselves.
func (c *cluster) serving(s model.ServiceName) int {
	n := 0
	for _, vm := range c.decl.VMs {
		if vm.Pool == model.PoolName(s) && c.targets[vm.ID].Serving() {
			n++
		}
	}
	return n
}

// isolate cuts a zone off from the platform and every other zone, or reconnects
// it.
func (c *cluster) isolate(zone string, on bool) { c.platform.Network.Isolate(zone, on) }

// resumeUntilEnd waits for the end of the wave and resumes it whenever it has
// paused itself because of injected faults.
func (c *cluster) resumeUntilEnd(t *testing.T) {
	t.Helper()
	ctx := context.Background()
	n := 0
	c.await(t, "end of the wave", func() bool {
		n++
		f := c.entries[1].Fleet()
		s, err := f.WaveStatus(ctx, "all")
		if err == nil && s.Record.State == fleet.WavePaused {
			_, _ = f.ResumeWave(ctx, "all", fleet.Order{Change: model.ChangeID(fmt.Sprintf("resume-%d", n)), Actor: "test"})
		}
		return err == nil && s.Record.State == fleet.WaveFinished
	})
}
