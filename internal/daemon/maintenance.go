package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/model"
)

// soonEvery is how often the running waves are looked at for the placement of
// jobs: a wave takes minutes, and a read every ten seconds from each entry VM
// is nothing to the platform.
const soonEvery = 10 * time.Second

// maintenance tells which VMs a running wave has yet to visit. A job placed on
// one would be moved or waited for within the wave.
type maintenance struct {
	fleet *fleet.Fleet
	runs  atomic.Pointer[[]fleet.WaveRecord]
}

// run follows the running waves until ctx ends. Where they can't be read the
// last ones stay: a wrong guess costs a job a move, no more.
func (m *maintenance) run(ctx context.Context) {
	for ctx.Err() == nil {
		if statuses, err := m.fleet.WaveStatuses(ctx); err == nil {
			var running []fleet.WaveRecord
			for _, s := range statuses {
				if s.Record.State == fleet.WaveRunning {
					running = append(running, s.Record)
				}
			}
			m.runs.Store(&running)
		}
		sleep.For(ctx, soonEvery)
	}
}

// soon reports whether a running wave has yet to visit the VM.
func (m *maintenance) soon(vm *model.VM) bool {
	runs := m.runs.Load()
	if runs == nil {
		return false
	}
	for _, w := range *runs {
		for _, pool := range w.Pools {
			if pool == vm.Pool && vm.Run != w.Run {
				return true
			}
		}
	}
	return false
}
