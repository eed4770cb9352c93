package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/model"
)

// startWave starts the wave and runs until a VM is in the state. It returns that
// VM.
func startWave(t *testing.T, w *simulation, state model.VMState) model.VMID {
	t.Helper()
	_, err := w.nodes[0].StartWave(ctx, "spring", nil, order("c1"))
	assert.NilError(t, err)
	var id model.VMID
	w.runUntil(t, 10*time.Minute, func() bool {
		id = w.find(state)
		return id != ""
	})
	return id
}

func (w *simulation) find(state model.VMState) model.VMID {
	snap := w.snapshot()
	for i := range w.decl.VMs {
		if id := w.decl.VMs[i].ID; snap.VMs[id].State == state {
			return id
		}
	}
	return ""
}

func (w *simulation) finishWave(t *testing.T) {
	t.Helper()
	w.runUntil(t, 4*time.Hour, func() bool { return w.waveState(t, "spring") == WaveFinished })
	w.checkFinalState(t, 1)
}

// While a VM drains, another VM of its service fails; with both down the budget
// would be violated. The draining VM still works, so it must return to its pool
// and be maintained after the other has recovered.
func TestVMGoesBackWhenAFailureNeedsIt(t *testing.T) {
	w := newSimulation(declare(2, 1, 4, 3), 2)
	w.start(t)
	id := startWave(t, w, model.VMLeaving)
	failed := w.machines.vms["v0-03"]
	failed.failed = true

	w.runUntil(t, 5*time.Minute, func() bool { return w.vm(id).State == model.VMInPool })

	assert.Equal(t, w.machines.reboots[id], 0)
	assert.Equal(t, w.vm(id).Wave, model.WaveName(""))
	failed.failed = false
	w.finishWave(t)
}

// A VM's requests take longer than the wave's grace period. They must not be
// interrupted: the VM returns to its pool with the reason in its record, and the
// wave maintains it later.
func TestGraceOverMeansPostponedNotCut(t *testing.T) {
	w := newSimulation(declare(2, 1, 4, 3), 2)
	w.start(t)
	slow := w.machines.vms["v0-00"]
	slow.drainTime = time.Hour
	_, err := w.nodes[0].StartWave(ctx, "spring", nil, order("c1"))
	assert.NilError(t, err)

	w.runUntil(t, time.Hour, func() bool { return !w.vm("v0-00").Postponed.IsZero() })
	w.runUntil(t, time.Minute, func() bool { return w.vm("v0-00").State == model.VMInPool })

	assert.Assert(t, !slow.drained)
	assert.Equal(t, w.vm("v0-00").Reason, "given back: the drain took longer than the wave's grace")
	slow.drainTime = time.Minute
	w.finishWave(t)
}

// The wave's image is bad, so that VMs do not return from their reboot. The wave
// must pause at the declared number of failures with a reason, and take no more
// VMs out.
func TestCorrelatedFailuresPauseTheWave(t *testing.T) {
	d := declare(2, 1, 10, 2)
	w := newSimulation(d, 2)
	w.start(t)
	for _, m := range w.machines.vms {
		m.bootTime = 100 * time.Hour
	}
	d.Waves[0].Canary = 0
	_, err := w.nodes[0].StartWave(ctx, "spring", nil, order("c1"))
	assert.NilError(t, err)

	w.runUntil(t, time.Hour, func() bool { return w.waveState(t, "spring") == WavePaused })

	s, err := w.nodes[0].WaveStatus(ctx, "spring")
	assert.NilError(t, err)
	assert.Equal(t, s.BlockReason, s.Record.Reason)
	assert.Assert(t, s.Progress.Failed >= 2)
	out := s.Progress.Out
	for range 30 {
		assert.NilError(t, w.advance(time.Minute))
	}
	s, err = w.nodes[0].WaveStatus(ctx, "spring")
	assert.NilError(t, err)
	assert.Equal(t, s.Progress.Out, out)
	w.audit.verify(t)
}

// An entry VM's view is older than the drain, so it may still send to the VM. The
// VM must not be rebooted until that entry VM has acknowledged the drain.
func TestRebootWaitsForEveryAcknowledgement(t *testing.T) {
	w := newSimulation(declare(2, 1, 4, 3), 2)
	w.start(t)
	id := startWave(t, w, model.VMLeaving)
	lagging := w.addNode("lagging")
	behind := *w.snapshot()
	behind.Revision = w.vm(id).Revision - 1
	lagging.view.Publish(&behind)
	w.nodes = w.nodes[:2]
	acks := &acksWithExtraNode{simulation: w, extra: lagging}
	for _, n := range w.nodes {
		n.acks = acks
	}
	for range 10 {
		assert.NilError(t, w.advance(10*time.Second))
	}
	assert.Equal(t, w.machines.reboots[id], 0)

	lagging.view.Publish(w.snapshot())

	w.runUntil(t, time.Minute, func() bool { return w.machines.reboots[id] == 1 })
}

func TestPausedWaveTakesNothingAndGivesBackWhatDrains(t *testing.T) {
	w := newSimulation(declare(2, 1, 4, 3), 2)
	w.start(t)
	id := startWave(t, w, model.VMLeaving)
	_, err := w.nodes[1].PauseWave(ctx, "spring", order("c2"))
	assert.NilError(t, err)

	w.runUntil(t, time.Minute, func() bool { return w.vm(id).State == model.VMInPool })
	for range 10 {
		assert.NilError(t, w.advance(time.Minute))
	}

	assert.Equal(t, w.find(model.VMLeaving), model.VMID(""))
	s, err := w.nodes[0].WaveStatus(ctx, "spring")
	assert.NilError(t, err)
	assert.Equal(t, s.Record.Actor, "test")
	assert.Equal(t, w.machines.reboots[id], 0)
	_, err = w.nodes[0].ResumeWave(ctx, "spring", order("c3"))
	assert.NilError(t, err)
	w.finishWave(t)
}

func TestCancelledWaveBringsBackWhatReboots(t *testing.T) {
	w := newSimulation(declare(2, 1, 4, 3), 2)
	w.start(t)
	id := startWave(t, w, model.VMRebooting)
	_, err := w.nodes[1].CancelWave(ctx, "spring", order("c2"))
	assert.NilError(t, err)

	w.runUntil(t, 10*time.Minute, func() bool { return w.vm(id).State == model.VMInPool })

	assert.Equal(t, w.machines.reboots[id], 1)
	assert.Equal(t, len(w.machines.rebootedWithWork), 0)
	_, err = w.nodes[0].StartWave(ctx, "spring", nil, order("c3"))
	assert.NilError(t, err)
	w.runUntil(t, time.Hour, func() bool { return w.waveState(t, "spring") == WaveFinished })
	assert.Equal(t, w.machines.reboots[id], 2)
}

// The platform's list of VMs is not updated, so it may show VMs as live that are
// gone. The wave must start no stops, report why, and continue when the list is
// recent again.
func TestWaveHoldsOnAStaleList(t *testing.T) {
	w := newSimulation(declare(2, 1, 4, 3), 1)
	w.start(t)
	w.machines.listAge = time.Hour
	_, err := w.nodes[0].StartWave(ctx, "spring", nil, order("c1"))
	assert.NilError(t, err)
	for range 10 {
		assert.NilError(t, w.advance(time.Minute))
	}
	s, err := w.nodes[0].WaveStatus(ctx, "spring")
	assert.NilError(t, err)
	assert.Equal(t, s.Progress.Remaining, 4)
	assert.Equal(t, s.BlockReason, "the platform's list of VMs is 1h0m0s old")

	w.machines.listAge = 5 * time.Second

	w.finishWave(t)
}

// Two waves run over the same pool. Each VM must have one holder at a time, and
// both waves must finish.
func TestTwoWavesOverOnePool(t *testing.T) {
	d := declare(2, 1, 4, 3)
	second := d.Waves[0]
	second.Name = "autumn"
	d.Waves = append(d.Waves, second)
	w := newSimulation(d, 2)
	w.start(t)
	_, err := w.nodes[0].StartWave(ctx, "spring", nil, order("c1"))
	assert.NilError(t, err)
	_, err = w.nodes[1].StartWave(ctx, "autumn", nil, order("c2"))
	assert.NilError(t, err)

	w.runUntil(t, 4*time.Hour, func() bool {
		return w.waveState(t, "spring") == WaveFinished && w.waveState(t, "autumn") == WaveFinished
	})

	w.checkFinalState(t, 2)
}
