package fleet

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pumicestage/pumicestage/policy/model"
)

// tick is the time between two passes in the fault injection tests. Every wait in
// the lifecycle of a VM lasts several ticks.
const tick = 10 * time.Second

// outage is the duration of an outage in the fault injection tests.
const outage = 4 * time.Minute

// stepper runs one node's passes in a goroutine of their own, so that a fault can
// stop the node in the middle of a pass.
type stepper struct {
	w          *simulation
	n          *node
	calls      int
	faultCall  int // the number of the call at which the fault is injected; 0 for never
	inject     func(s *stepper, op string)
	injectedAt string // the operation at which the fault was injected; empty if it was not

	paused chan struct{}
	resume chan struct{}
	ended  chan struct{} // closed when the current pass is over
	dead   bool
}

func newStepper(w *simulation, n *node, point int, strike func(*stepper, string)) *stepper {
	s := &stepper{w: w, n: n, faultCall: point, inject: strike}
	s.paused = make(chan struct{})
	s.resume = make(chan struct{})
	n.beforeCall = func(op string) {
		s.calls++
		if s.calls == s.faultCall {
			s.injectedAt = op
			s.inject(s, op)
		}
	}
	return s
}

// pass runs a pass until it is over, and returns true, or until it is paused.
func (s *stepper) pass() (over bool) {
	s.ended = make(chan struct{})
	go func() {
		defer close(s.ended)
		_ = s.n.Step(ctx) // failed steps are retried; the test checks the final state
	}()
	select {
	case <-s.ended:
		return true
	case <-s.paused:
		return false
	}
}

// faultCases are the faults injected into one entry VM, the store or the platform
// at one call.
var faultCases = []struct {
	name   string
	strike func(s *stepper, op string)
}{
	{"killed", func(s *stepper, _ string) {
		s.dead = true
		runtime.Goexit()
	}},
	{"paused until the wave is over", func(s *stepper, _ string) {
		s.paused <- struct{}{}
		<-s.resume
	}},
	{"replies lost", func(s *stepper, _ string) {
		s.n.store.LoseReplies(2)
		s.w.machines.loseReplies(2)
	}},
	{"request lost", func(s *stepper, _ string) { s.n.store.LoseRequests(1) }},
	{"store unavailable for minutes", func(s *stepper, _ string) { s.w.startStoreOutage(outage) }},
	{"platform unavailable for minutes", func(s *stepper, _ string) { s.w.machines.startOutage(outage) }},
	{"isolated with its zone for minutes", func(s *stepper, _ string) {
		s.n.isolated = true
		s.n.store.SetDown(true)
		s.w.outageEnd = s.w.clock.Now().Add(outage)
	}},
}

// A fault is injected at each call in turn that an entry VM makes while it runs a
// wave: the entry VM is killed, paused or isolated, replies or requests are lost,
// or the store or the platform is unavailable. Another entry VM continues. The
// wave must still finish with every VM rebooted exactly once, none with work on
// it, and none left drained. A write that is not conditional on the record it is
// based on, or an effect that is not bound to its attempt, would break this.
func TestWaveSurvivesAFaultAtEveryCall(t *testing.T) {
	for _, tc := range faultCases {
		t.Run(tc.name, func(t *testing.T) {
			for point := 1; ; point++ {
				if !runWaveWithFault(t, point, tc.strike) {
					t.Logf("fault injected at %d calls", point-1)
					assert.Assert(t, point > 20, "the wave took only %d calls", point)
					return
				}
			}
		})
	}
}

// runWaveWithFault runs a wave with one fault and reports whether the fault was
// injected before the wave was over.
func runWaveWithFault(t *testing.T, point int, strike func(*stepper, string)) bool {
	d := declare(2, 1, 2, 1)
	w := newSimulation(d, 2)
	w.start(t)
	_, err := w.nodes[1].StartWave(ctx, "spring", nil, order("c1"))
	assert.NilError(t, err)
	w.sync()
	s := newStepper(w, w.nodes[0], point, strike)
	paused := w.runToEnd(t, s)
	if paused {
		s.resume <- struct{}{}
		<-s.ended
		w.runToEnd(t, s)
	}
	if t.Failed() {
		t.Fatalf("fault at call %d (%s)", point, s.injectedAt)
	}
	w.checkFinalState(t, 1)
	return s.injectedAt != ""
}

// runToEnd lets the node of s do passes, and the other node while that one is
// dead, paused or isolated, until the wave is over. It reports whether s is paused
// in the middle of a pass.
func (w *simulation) runToEnd(t *testing.T, s *stepper) (paused bool) {
	const maxPasses = 400
	for range maxPasses {
		w.clock.Advance(tick)
		w.endOutage()
		w.sync()
		if !s.dead && !paused {
			paused = !s.pass()
		}
		w.sync()
		if s.dead || paused || s.n.isolated {
			_ = w.nodes[1].Step(ctx)
			w.sync()
		}
		if w.settled() {
			return paused
		}
	}
	t.Errorf("not over at call %d (%s):%s", s.faultCall, s.injectedAt, w.describe())
	return paused
}

// settled reports whether no wave runs and no VM is held.
func (w *simulation) settled() bool {
	ws, err := w.nodes[1].loadWaves(ctx)
	if err != nil || len(ws.running()) > 0 {
		return false
	}
	for _, vm := range w.snapshot().VMs {
		if vm.Holder != "" {
			return false
		}
	}
	return true
}

// checkFinalState checks that each VM was rebooted so many times and never with
// work on it, that none is left drained, and that no invariant was violated.
func (w *simulation) checkFinalState(t rapid.TB, reboots int) {
	t.Helper()
	w.audit.verify(t)
	for id, m := range w.machines.vms {
		assert.Equal(t, w.machines.reboots[id], reboots, "reboots of VM %s", id)
		assert.Assert(t, !m.drained, "VM %s was left drained", id)
	}
	assert.DeepEqual(t, w.machines.rebootedWithWork, []model.VMID(nil))
}
