package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/policy/model"
)

// A VM counts as pending only if it is in a pool of a running wave and this run
// of the wave has not visited it.
func TestMaintenancePendingUntilVisitedByRunningWave(t *testing.T) {
	running := []fleet.WaveRecord{{Name: "spring", Run: "run-2", Pools: []model.PoolName{"weighting"}}}
	cases := []struct {
		name string
		vm   model.VM
		want bool
	}{
		{"not visited", model.VM{Pool: "weighting"}, true},
		{"visited by an earlier run", model.VM{Pool: "weighting", Run: "run-1"}, true},
		{"visited", model.VM{Pool: "weighting", Run: "run-2"}, false},
		{"another pool", model.VM{Pool: "preview"}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := &maintenance{}
			assert.Assert(t, !m.isPending(&tc.vm), "before the waves have been read")
			m.runningWaves.Store(&running)
			assert.Equal(t, m.isPending(&tc.vm), tc.want)
		})
	}
}
