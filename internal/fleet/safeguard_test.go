package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// pauseBefore runs node 0 until it is about to make a call, and returns its
// runner. finishPass resumes the pass.
func pauseBefore(t *testing.T, w *simulation, call string) *passRunner {
	t.Helper()
	s := newPassRunner(w, w.nodes[0], 0, nil)
	waiting := false
	w.nodes[0].beforeCall = func(op string) {
		if op == call && !waiting {
			waiting = true
			s.paused <- struct{}{}
			<-s.resume
		}
	}
	for range 100 {
		w.clock.Advance(time.Second)
		w.sync()
		if !s.pass() {
			return s
		}
	}
	t.Fatalf("node 0 never called %s", call)
	return nil
}

// runSecondNodeUntil lets only node 1 do passes until done.
func (w *simulation) runSecondNodeUntil(t *testing.T, done func() bool) {
	t.Helper()
	for range 2000 {
		w.clock.Advance(time.Second)
		w.sync()
		assert.NilError(t, w.nodes[1].Step(ctx))
		w.sync()
		if done() {
			return
		}
	}
	t.Fatal("not done:", w.describe())
}

func (s *passRunner) finishPass() {
	s.resume <- struct{}{}
	<-s.ended
}

// An entry VM pauses just before it drains a VM for an order. Meanwhile the VM is
// undrained and serves again. The late drain must not take effect, or the VM would
// refuse work for good.
func TestLateDrainHasNoEffect(t *testing.T) {
	w, n := orderWorld(t)
	_, err := n.Drain(ctx, v0, order("a"))
	assert.NilError(t, err)
	s := pauseBefore(t, w, "drain")
	_, err = w.nodes[1].Undrain(ctx, v0, order("b"))
	assert.NilError(t, err)
	w.runSecondNodeUntil(t, func() bool { return w.vm(v0).State == model.VMInPool })

	s.finishPass()

	assert.Assert(t, !w.machines.vms[v0].drained)
	w.audit.verify(t)
}

// An entry VM pauses just before it reboots a VM. Meanwhile the VM crashes and
// restarts by itself, so that the list shows the boot that the other entry VMs
// wait for. The late reboot must not hit the VM when it serves again.
func TestLateRebootHasNoEffect(t *testing.T) {
	w := newSimulation(declare(2, 1, 4, 3), 2)
	w.start(t)
	_, err := w.nodes[1].StartWave(ctx, "spring", nil, order("c1"))
	assert.NilError(t, err)
	s := pauseBefore(t, w, "reboot")
	id := w.find(model.VMRebooting)
	w.machines.vms[id].boots++
	w.runSecondNodeUntil(t, func() bool { return w.vm(id).State == model.VMInPool })

	s.finishPass()

	assert.Equal(t, w.machines.reboots[id], 1)
	w.audit.verify(t)
}

// The platform accepts a reboot and begins it half a minute later. Until then its
// list shows the VM as live, which must not count as proof of the reboot.
func TestRebootThatBeginsLateIsNotTakenForDone(t *testing.T) {
	d := declare(2, 1, 4, 3)
	d.Waves[0].Probation = 0
	w := newSimulation(d, 1)
	w.start(t)
	for _, m := range w.machines.vms {
		m.bootDelay = 30 * time.Second
	}
	id := startWave(t, w, model.VMRebooting)
	for range 25 {
		assert.NilError(t, w.advance(time.Second))
		assert.Equal(t, w.vm(id).State, model.VMRebooting)
	}
	w.finishWave(t)
}

// The list of VMs was made before the platform accepted the reboot, so a boot that
// it shows may be an earlier one and must not count as proof.
func TestListOlderThanTheRebootIsNoProof(t *testing.T) {
	w := newSimulation(declare(2, 1, 4, 3), 1)
	w.machines.listAge = 20 * time.Second
	w.start(t)
	id := startWave(t, w, model.VMRebooting)
	assert.NilError(t, w.advance(time.Second))
	assert.Equal(t, w.machines.reboots[id], 1)
	w.machines.vms[id].boots++ // an earlier crash that was not noticed
	w.machines.vms[id].bootTime = 0
	w.machines.vms[id].upAt = time.Time{}

	for range 15 {
		assert.NilError(t, w.advance(time.Second))
		assert.Equal(t, w.vm(id).State, model.VMRebooting)
	}
}

// A VM that is not healthy after its reboot must stay out of its pool, with its
// stop in the ledger, until it is healthy.
func TestVMStaysOutUntilHealthy(t *testing.T) {
	w := newSimulation(declare(2, 1, 4, 3), 1)
	w.start(t)
	id := startWave(t, w, model.VMProbation)
	w.machines.vms[id].failed = true
	for range 200 {
		assert.NilError(t, w.advance(time.Second))
	}
	assert.Equal(t, w.vm(id).State, model.VMProbation)
	b, err := w.nodes[0].Budget(ctx, "s0")
	assert.NilError(t, err)
	assert.Equal(t, len(b.Stops), 1)

	w.machines.vms[id].failed = false

	w.finishWave(t)
}

// An operator pauses the wave between a reconciler's read and its write. The pause
// is in effect when the order returns, so the write must fail.
func TestPauseWinsAgainstAStepUnderWay(t *testing.T) {
	cases := []struct {
		name  string
		until func(w *simulation) bool // the pause comes after this is true
		state model.VMState            // the state that no VM may enter
	}{
		{"grant", func(*simulation) bool { return true }, model.VMLeaving},
		{"reboot intent", func(w *simulation) bool { return w.find(model.VMLeaving) != "" }, model.VMRebooting},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newSimulation(declare(2, 1, 4, 3), 2)
			w.start(t)
			w.nodes = w.nodes[:1]
			rival := w.addNode("rival")
			w.sync()
			_, err := rival.StartWave(ctx, "spring", nil, order("c1"))
			assert.NilError(t, err)
			w.runUntil(t, time.Minute, func() bool { return tc.until(w) })
			paused := false
			w.nodes[0].store.BeforeWrite(func(_ string, txn infra.Txn) {
				if len(txn.If) > 0 && !paused {
					paused = true
					_, err := rival.PauseWave(ctx, "spring", order("c2"))
					assert.NilError(t, err)
				}
			})
			w.nodes = w.nodes[:1]
			for range 30 {
				_ = w.advance(time.Second)
				assert.Equal(t, w.find(tc.state), model.VMID(""))
				if paused && tc.state == model.VMLeaving {
					return
				}
			}
			assert.Assert(t, paused)
		})
	}
}

// A plan based on outdated evidence requests more stops than the budget allows.
// The grant must count the budget itself.
func TestGrantTakesNoMoreThanTheBudgetWhateverThePlanSays(t *testing.T) {
	w := newSimulation(declare(2, 1, 4, 3), 1)
	w.start(t)
	n := w.nodes[0]
	_, err := n.StartWave(ctx, "spring", nil, order("c1"))
	assert.NilError(t, err)
	assert.NilError(t, n.refreshList(ctx, 0))
	c, err := n.readWave(ctx, "spring")
	assert.NilError(t, err)

	g, err := n.newPass().grantStops(ctx, stopRequest{
		vms: []model.VMID{"v0-00", "v0-02", "v0-01"}, holder: "wave spring", wave: c, change: "plan",
	})

	assert.NilError(t, err)
	assert.Equal(t, len(g.vms), 1)
}

// The view is not updated after the VM begins to leave. Failures since then are
// unknown to this entry VM, so the reboot must wait.
func TestNoRebootOnAStaleView(t *testing.T) {
	w := newSimulation(declare(2, 1, 4, 3), 1)
	w.start(t)
	id := startWave(t, w, model.VMLeaving)
	w.nodes[0].isolated = true
	for range 60 {
		_ = w.advance(time.Second)
	}
	assert.Equal(t, w.vm(id).State, model.VMLeaving)

	w.nodes[0].isolated = false

	w.finishWave(t)
}

// A move changes the number of VMs of both services. It must write both ledgers,
// so that a concurrent stop that counted the old number fails.
func TestMoveWritesTheLedgersOfBothServices(t *testing.T) {
	w, n := orderWorld(t)
	_, err := n.Move(ctx, v0, "p1", order("a"))
	assert.NilError(t, err)
	w.runUntil(t, 10*time.Minute, func() bool { return w.vm(v0).Pool == "p1" })
	for _, s := range []model.ServiceName{"s0", "s1"} {
		kv, _, err := w.store.Get(ctx, infra.LedgerKey(s))
		assert.NilError(t, err)
		assert.Equal(t, kv.ModRevision, w.vm(v0).Revision, "ledger of %s", s)
	}
}

// An entry VM pauses before each transaction for so long that its view is too old
// to count a budget by. It must not start a stop or a reboot.
func TestNoStopOnACountThatWentStaleInAPause(t *testing.T) {
	cases := []struct {
		name  string
		state model.VMState
	}{{"grant", model.VMLeaving}, {"reboot intent", model.VMRebooting}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newSimulation(declare(2, 1, 4, 3), 1)
			w.start(t)
			n := w.nodes[0]
			_, err := n.StartWave(ctx, "spring", nil, order("c1"))
			assert.NilError(t, err)
			if tc.state == model.VMRebooting {
				w.runUntil(t, time.Minute, func() bool { return w.find(model.VMLeaving) != "" })
			}
			n.beforeCall = func(op string) {
				if op == "txn" {
					w.clock.Advance(15 * time.Second)
				}
			}
			for range 60 {
				_ = w.advance(time.Second)
				assert.Equal(t, w.find(tc.state), model.VMID(""))
			}
		})
	}
}

// A draining VM disappears from the platform's list, so a reboot could not be
// proven. The wave must neither wait forever nor reboot it: the VM returns to its
// pool after the grace period, and counts as up only once it is listed again.
func TestVMThatVanishesWhileDrainingGoesBack(t *testing.T) {
	w := newSimulation(declare(2, 1, 4, 3), 1)
	w.start(t)
	id := startWave(t, w, model.VMLeaving)
	w.machines.unlisted = id

	w.runUntil(t, 10*time.Minute, func() bool { return w.vm(id).State == model.VMProbation })

	assert.Equal(t, w.machines.reboots[id], 0)
	w.machines.unlisted = ""
	w.finishWave(t)
}
