package fleet

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pumicestage/pumicestage/policy/model"
)

// tick is one turn of the failure tables; every wait of the life of a VM takes
// several.
const tick = 10 * time.Second

// outage is how long the platform is out in the failure tables.
const outage = 4 * time.Minute

// stepper runs one node's passes in a goroutine of its own, so that a fault can
// stop it in the middle of one.
type stepper struct {
	w      *world
	n      *node
	calls  int
	point  int // the call at which the fault strikes; 0 for never
	strike func(s *stepper, op string)
	struck string // the call it struck at

	paused chan struct{}
	resume chan struct{}
	ended  chan struct{} // closed when the pass under way is over
	dead   bool
}

func newStepper(w *world, n *node, point int, strike func(*stepper, string)) *stepper {
	s := &stepper{w: w, n: n, point: point, strike: strike}
	s.paused = make(chan struct{})
	s.resume = make(chan struct{})
	n.at = func(op string) {
		s.calls++
		if s.calls == s.point {
			s.struck = op
			s.strike(s, op)
		}
	}
	return s
}

// pass runs a pass until it is over, or paused in the middle.
func (s *stepper) pass() (over bool) {
	s.ended = make(chan struct{})
	go func() {
		defer close(s.ended)
		_ = s.n.Step(ctx) // what fails is tried again; the table checks the end
	}()
	select {
	case <-s.ended:
		return true
	case <-s.paused:
		return false
	}
}

// The faults that strike one entry VM, or the platform, at one call.
var strikes = []struct {
	name   string
	strike func(s *stepper, op string)
}{
	{"killed", func(s *stepper, _ string) {
		s.dead = true
		runtime.Goexit()
	}},
	{"paused past everything", func(s *stepper, _ string) {
		s.paused <- struct{}{}
		<-s.resume
	}},
	{"replies lost", func(s *stepper, _ string) {
		s.n.store.LoseReplies(2)
		s.w.machines.loseReplies(2)
	}},
	{"request lost", func(s *stepper, _ string) { s.n.store.LoseRequests(1) }},
	{"store out for minutes", func(s *stepper, _ string) { s.w.storeOut(outage) }},
	{"machines out for minutes", func(s *stepper, _ string) { s.w.machines.outFor(outage) }},
	{"cut off with its zone for minutes", func(s *stepper, _ string) {
		s.n.blind = true
		s.n.store.SetDown(true)
		s.w.outUntil = s.w.clock.Now().Add(outage)
	}},
}

// An entry VM carries a wave. At one call to the platform, every one in turn,
// it is killed, paused until all is over, its replies are lost, or the platform
// goes out. Another entry VM carries on. The operator sees the wave finish, every
// VM rebooted once, none with work on it, and no VM left drained: each step is
// bound to the record it was made from and each effect to its attempt.
func TestWaveSurvivesAFaultAtEveryCall(t *testing.T) {
	for _, tc := range strikes {
		t.Run(tc.name, func(t *testing.T) {
			for point := 1; ; point++ {
				if !surviveFault(t, point, tc.strike) {
					t.Logf("struck at %d calls", point-1)
					assert.Assert(t, point > 20, "the wave took only %d calls", point)
					return
				}
			}
		})
	}
}

// surviveFault runs a wave with one fault and reports whether it struck before
// the wave was over.
func surviveFault(t *testing.T, point int, strike func(*stepper, string)) bool {
	d := declare(2, 1, 2, 1)
	w := newWorld(d, 2)
	w.start(t)
	_, err := w.nodes[1].StartWave(ctx, "spring", nil, order("c1"))
	assert.NilError(t, err)
	w.sync()
	s := newStepper(w, w.nodes[0], point, strike)
	paused := w.carry(t, s)
	if paused {
		s.resume <- struct{}{}
		<-s.ended
		w.carry(t, s)
	}
	if t.Failed() {
		t.Fatalf("fault at call %d (%s)", point, s.struck)
	}
	w.whole(t, 1)
	return s.struck != ""
}

// carry lets the node of s pass, and the other one while it is out, until the
// wave is over. It reports whether s is paused in the middle of a pass.
func (w *world) carry(t *testing.T, s *stepper) (paused bool) {
	const most = 400
	for range most {
		w.clock.Advance(tick)
		w.heal()
		w.sync()
		if !s.dead && !paused {
			paused = !s.pass()
		}
		w.sync()
		if s.dead || paused || s.n.blind {
			_ = w.nodes[1].Step(ctx)
			w.sync()
		}
		if w.settled() {
			return paused
		}
	}
	t.Errorf("not over at call %d (%s):%s", s.point, s.struck, w.describe())
	return paused
}

// settled reports whether no wave runs and nothing holds a VM.
func (w *world) settled() bool {
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

// whole checks the end of a run: each VM rebooted so often, nothing cut, none
// left drained, and no invariant broken on the way.
func (w *world) whole(t rapid.TB, reboots int) {
	t.Helper()
	w.audit.verify(t)
	for id, m := range w.machines.vms {
		assert.Equal(t, w.machines.reboots[id], reboots, "reboots of VM %s", id)
		assert.Assert(t, !m.drained, "VM %s was left drained", id)
	}
	assert.DeepEqual(t, w.machines.cut, []model.VMID(nil))
}
