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

// passRunner runs the passes of one node in a goroutine each, so that a fault can
// stop the node in the middle of a pass.
type passRunner struct {
	w          *simulation
	n          *node
	calls      int
	faultCall  int // the number of the call at which the fault is injected; 0 for never
	inject     func(s *passRunner, op string)
	injectedAt string // the operation at which the fault was injected; empty if it was not

	paused chan struct{}
	resume chan struct{}
	ended  chan struct{} // closed when the current pass is over
	dead   bool
}

func newPassRunner(w *simulation, n *node, faultCall int, inject func(*passRunner, string)) *passRunner {
	s := &passRunner{w: w, n: n, faultCall: faultCall, inject: inject}
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
func (s *passRunner) pass() (over bool) {
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
	inject func(s *passRunner, op string)
}{
	{"killed", func(s *passRunner, _ string) {
		s.dead = true
		runtime.Goexit()
	}},
	{"paused until the wave is over", func(s *passRunner, _ string) {
		s.paused <- struct{}{}
		<-s.resume
	}},
	{"replies lost", func(s *passRunner, _ string) {
		s.n.store.LoseReplies(2)
		s.w.machines.loseReplies(2)
	}},
	{"request lost", func(s *passRunner, _ string) { s.n.store.LoseRequests(1) }},
	{"store unavailable for minutes", func(s *passRunner, _ string) { s.w.startStoreOutage(outage) }},
	{"platform unavailable for minutes", func(s *passRunner, _ string) { s.w.machines.startOutage(outage) }},
	{"isolated with its zone for minutes", func(s *passRunner, _ string) {
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
			for faultCall := 1; ; faultCall++ {
				if !runWaveWithFault(t, faultCall, tc.inject) {
					t.Logf("fault injected at %d calls", faultCall-1)
					assert.Assert(t, faultCall > 20, "the wave took only %d calls", faultCall)
					return
				}
			}
		})
	}
}

// runWaveWithFault runs a wave with one fault and reports whether the fault was
// injected before the wave was over.
func runWaveWithFault(t *testing.T, faultCall int, inject func(*passRunner, string)) bool {
	d := declare(2, 1, 2, 1)
	w := newSimulation(d, 2)
	w.start(t)
	_, err := w.nodes[1].StartWave(ctx, "spring", nil, order("c1"))
	assert.NilError(t, err)
	w.sync()
	s := newPassRunner(w, w.nodes[0], faultCall, inject)
	paused := w.runToEnd(t, s)
	if paused {
		s.resume <- struct{}{}
		<-s.ended
		w.runToEnd(t, s)
	}
	if t.Failed() {
		t.Fatalf("fault at call %d (%s)", faultCall, s.injectedAt)
	}
	w.checkFinalState(t, 1)
	return s.injectedAt != ""
}

// runToEnd lets the node of s do passes, and the other node while that one is
// dead, paused or isolated, until the wave is over. It reports whether s is paused
// in the middle of a pass.
func (w *simulation) runToEnd(t *testing.T, s *passRunner) (paused bool) {
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
