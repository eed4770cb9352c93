package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// pausedAt runs node 0 until it waits before a call, and returns its stepper.
// The pass goes on when resume is sent.
func pausedAt(t *testing.T, w *world, call string) *stepper {
	t.Helper()
	s := newStepper(w, w.nodes[0], 0, nil)
	waiting := false
	w.nodes[0].at = func(op string) {
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
	t.Fatalf("never came to %s", call)
	return nil
}

// carryOn lets node 1 alone pass until done.
func (w *world) carryOn(t *testing.T, done func() bool) {
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

func (s *stepper) goOn() {
	s.resume <- struct{}{}
	<-s.ended
}

// An entry VM pauses just before it drains a VM that an operator ordered out.
// Meanwhile the order is taken back and the VM serves again. The late drain
// must not take effect, else the VM would refuse work for good.
func TestLateDrainHasNoEffect(t *testing.T) {
	w, n := orderWorld(t)
	_, err := n.Drain(ctx, v0, order("a"))
	assert.NilError(t, err)
	s := pausedAt(t, w, "drain")
	_, err = w.nodes[1].Undrain(ctx, v0, order("b"))
	assert.NilError(t, err)
	w.carryOn(t, func() bool { return w.vm(v0).State == model.VMInPool })

	s.goOn()

	assert.Assert(t, !w.machines.vms[v0].drained)
	w.audit.verify(t)
}

// An entry VM pauses just before it reboots a VM, and the VM crashes and comes
// up by itself: the list shows the boot that the others wait for. The late
// reboot must not hit it when it serves again.
func TestLateRebootHasNoEffect(t *testing.T) {
	w := newWorld(declare(2, 1, 4, 3), 2)
	w.start(t)
	_, err := w.nodes[1].StartWave(ctx, "spring", nil, order("c1"))
	assert.NilError(t, err)
	s := pausedAt(t, w, "reboot")
	id := w.find(model.VMRebooting)
	w.machines.vms[id].boots++
	w.carryOn(t, func() bool { return w.vm(id).State == model.VMInPool })

	s.goOn()

	assert.Equal(t, w.machines.reboots[id], 1)
	w.audit.verify(t)
}

// The platform takes the order to reboot and begins half a minute later. Until
// then its list shows the VM live and well: that is no proof.
func TestRebootThatBeginsLateIsNotTakenForDone(t *testing.T) {
	d := declare(2, 1, 4, 3)
	d.Waves[0].Probation = 0
	w := newWorld(d, 1)
	w.start(t)
	for _, m := range w.machines.vms {
		m.bootDelay = 30 * time.Second
	}
	id := startWave(t, w, model.VMRebooting)
	for range 25 {
		assert.NilError(t, w.turn(time.Second))
		assert.Equal(t, w.vm(id).State, model.VMRebooting)
	}
	w.finishWave(t)
}

// The list in hand was made before the platform took the order to reboot. A
// boot it shows may be an older one.
func TestListOlderThanTheRebootIsNoProof(t *testing.T) {
	w := newWorld(declare(2, 1, 4, 3), 1)
	w.machines.lag = 20 * time.Second
	w.start(t)
	id := startWave(t, w, model.VMRebooting)
	assert.NilError(t, w.turn(time.Second))
	assert.Equal(t, w.machines.reboots[id], 1)
	w.machines.vms[id].boots++ // it had crashed unseen before
	w.machines.vms[id].bootTime = 0
	w.machines.vms[id].upAt = time.Time{}

	for range 15 {
		assert.NilError(t, w.turn(time.Second))
		assert.Equal(t, w.vm(id).State, model.VMRebooting)
	}
}

// A VM comes back from its reboot and is not healthy. It stays out, and its
// stop stays in the ledger, until it is.
func TestVMStaysOutUntilHealthy(t *testing.T) {
	w := newWorld(declare(2, 1, 4, 3), 1)
	w.start(t)
	id := startWave(t, w, model.VMProbation)
	w.machines.vms[id].failed = true
	for range 200 {
		assert.NilError(t, w.turn(time.Second))
	}
	assert.Equal(t, w.vm(id).State, model.VMProbation)
	b, err := w.nodes[0].Budget(ctx, "s0")
	assert.NilError(t, err)
	assert.Equal(t, len(b.Stops), 1)

	w.machines.vms[id].failed = false

	w.finishWave(t)
}

// An operator pauses the wave between the reconciler's read and its write. The
// pause is in effect when the order returns: nothing starts after it.
func TestPauseWinsAgainstAStepUnderWay(t *testing.T) {
	cases := []struct {
		name  string
		until func(w *world) bool // goes on up to here
		state model.VMState       // that must not be entered
	}{
		{"grant", func(*world) bool { return true }, model.VMLeaving},
		{"reboot intent", func(w *world) bool { return w.find(model.VMLeaving) != "" }, model.VMRebooting},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(declare(2, 1, 4, 3), 2)
			w.start(t)
			w.nodes = w.nodes[:1]
			rival := w.addNode("rival")
			w.sync()
			_, err := rival.StartWave(ctx, "spring", nil, order("c1"))
			assert.NilError(t, err)
			w.until(t, time.Minute, func() bool { return tc.until(w) })
			paused := false
			w.nodes[0].store.Before(func(_ string, txn infra.Txn) {
				if len(txn.If) > 0 && !paused {
					paused = true
					_, err := rival.PauseWave(ctx, "spring", order("c2"))
					assert.NilError(t, err)
				}
			})
			w.nodes = w.nodes[:1]
			for range 30 {
				_ = w.turn(time.Second)
				assert.Equal(t, w.find(tc.state), model.VMID(""))
				if paused && tc.state == model.VMLeaving {
					return
				}
			}
			assert.Assert(t, paused)
		})
	}
}

// A plan made on evidence that changed asks for more than the budget has. The
// grant counts by itself.
func TestGrantTakesNoMoreThanTheBudgetWhateverThePlanSays(t *testing.T) {
	w := newWorld(declare(2, 1, 4, 3), 1)
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

// The view has stood still since the VM began to leave: what has failed since
// is not known here, so the reboot waits.
func TestNoRebootOnAStaleView(t *testing.T) {
	w := newWorld(declare(2, 1, 4, 3), 1)
	w.start(t)
	id := startWave(t, w, model.VMLeaving)
	w.nodes[0].blind = true
	for range 60 {
		_ = w.turn(time.Second)
	}
	assert.Equal(t, w.vm(id).State, model.VMLeaving)

	w.nodes[0].blind = false

	w.finishWave(t)
}

// A move changes how many VMs a service has. It writes that service's ledger,
// so that a stop counted meanwhile by the old number fails.
func TestMoveWritesTheLedgersOfBothServices(t *testing.T) {
	w, n := orderWorld(t)
	_, err := n.Move(ctx, v0, "p1", order("a"))
	assert.NilError(t, err)
	w.until(t, 10*time.Minute, func() bool { return w.vm(v0).Pool == "p1" })
	for _, s := range []model.ServiceName{"s0", "s1"} {
		kv, _, err := w.store.Get(ctx, infra.LedgerKey(s))
		assert.NilError(t, err)
		assert.Equal(t, kv.ModRevision, w.vm(v0).Revision, "ledger of %s", s)
	}
}

// An entry VM pauses between its read and its write. When it wakes, the view it
// counts by is too old: it must look anew.
func TestNoStopOnACountThatWentStaleInAPause(t *testing.T) {
	cases := []struct {
		name  string
		state model.VMState
	}{{"grant", model.VMLeaving}, {"reboot intent", model.VMRebooting}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(declare(2, 1, 4, 3), 1)
			w.start(t)
			n := w.nodes[0]
			_, err := n.StartWave(ctx, "spring", nil, order("c1"))
			assert.NilError(t, err)
			if tc.state == model.VMRebooting {
				w.until(t, time.Minute, func() bool { return w.find(model.VMLeaving) != "" })
			}
			n.at = func(op string) {
				if op == "txn" {
					w.clock.Advance(15 * time.Second)
				}
			}
			for range 60 {
				_ = w.turn(time.Second)
				assert.Equal(t, w.find(tc.state), model.VMID(""))
			}
		})
	}
}

// A VM that drains vanishes from the platform's list. The wave does not wait
// for ever, nor reboot what it can't prove: the VM goes back when its grace is
// over, and is not up until it is listed.
func TestVMThatVanishesWhileDrainingGoesBack(t *testing.T) {
	w := newWorld(declare(2, 1, 4, 3), 1)
	w.start(t)
	id := startWave(t, w, model.VMLeaving)
	w.machines.unlisted = id

	w.until(t, 10*time.Minute, func() bool { return w.vm(id).State == model.VMProbation })

	assert.Equal(t, w.machines.reboots[id], 0)
	w.machines.unlisted = ""
	w.finishWave(t)
}
