package fleet

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWavePassesThroughEveryVMOnce(t *testing.T) {
	w := newSimulation(declare(2, 2, 4, 3), 3)
	w.start(t)
	_, err := w.nodes[0].StartWave(context.Background(), "spring", nil, order("c1"))
	assert.NilError(t, err)

	w.runUntil(t, time.Hour, func() bool { return w.waveState(t, "spring") == WaveFinished })

	for id := range w.machines.vms {
		assert.Equal(t, w.machines.reboots[id], 1, "VM %s", id)
		assert.Equal(t, w.vm(id).Holder, "")
	}
	assert.Equal(t, len(w.machines.rebootedWithWork), 0)
	budgets, err := w.nodes[0].Budgets(context.Background())
	assert.NilError(t, err)
	for _, b := range budgets {
		assert.Assert(t, b.Holds)
		assert.Equal(t, len(b.Stops), 0)
	}
}
