package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/model"
)

// waveRefreshInterval is how often the running waves are read for the placement
// of jobs. A wave takes minutes, and a read every ten seconds from each entry
// VM is a negligible load on the platform.
const waveRefreshInterval = 10 * time.Second

// maintenance tells which VMs a running wave has yet to visit. The wave would
// have to move a job placed on such a VM, or wait for it.
type maintenance struct {
	fleet        *fleet.Fleet
	runningWaves atomic.Pointer[[]fleet.WaveRecord]
}

// run reads the running waves periodically until ctx ends. If they can't be
// read, the last known ones are kept: at worst, a job is moved once more.
func (m *maintenance) run(ctx context.Context) {
	for ctx.Err() == nil {
		if statuses, err := m.fleet.WaveStatuses(ctx); err == nil {
			var running []fleet.WaveRecord
			for _, s := range statuses {
				if s.Record.State == fleet.WaveRunning {
					running = append(running, s.Record)
				}
			}
			m.runningWaves.Store(&running)
		}
		sleep.For(ctx, waveRefreshInterval)
	}
}

// isPending reports whether a running wave has yet to visit the VM; false until
// the waves have been read once.
func (m *maintenance) isPending(vm *model.VM) bool {
	waves := m.runningWaves.Load()
	if waves == nil {
		return false
	}
	for _, w := range *waves {
		for _, pool := range w.Pools {
			if pool == vm.Pool && vm.Run != w.Run {
				return true
			}
		}
	}
	return false
}
