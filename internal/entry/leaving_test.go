package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/faketarget"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// fakeLoads implements peer.Loads; leavingVMs are the targets that peers report
// as leaving.
type fakeLoads struct {
	mu         sync.Mutex
	leavingVMs map[model.VMID]bool
}

func (l *fakeLoads) set(vm model.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leavingVMs[vm] = true
}

// PeerInFlight implements peer.Loads.
func (*fakeLoads) PeerInFlight(model.VMID) int { return 0 }

// PeerSaysLeaving implements peer.Loads.
func (l *fakeLoads) PeerSaysLeaving(vm model.VMID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leavingVMs[vm]
}

// LiveEntries implements peer.Loads.
func (*fakeLoads) LiveEntries(model.ZoneName) int { return 1 }

// A target is leaving, and the entry VM learns of it in one way only. A request
// sent there afterwards would be interrupted by the target's reboot, and its
// caller told "unknown". No request may start there from then on, and all callers
// must get a response.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	cases := []struct {
		name  string
		leave func(*testEnv, *fakeLoads)
	}{
		{"view", func(s *testEnv, _ *fakeLoads) {
			s.publish(2, func(v *view.Snapshot) {
				vm := v.VMs["v0"]
				vm.State = model.VMLeaving
				v.VMs["v0"] = vm
			})
		}},
		{"peer's digest", func(_ *testEnv, l *fakeLoads) { l.set("v0") }},
		{"health answer", func(s *testEnv, _ *fakeLoads) {
			s.targets[0].Drain()
			s.server.prober.startDue(context.Background())
			s.server.prober.wait()
		}},
		{"refusal", func(s *testEnv, _ *fakeLoads) { s.targets[0].Drain() }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			loads := &fakeLoads{leavingVMs: make(map[model.VMID]bool)}
			s := newIdleTestEnv(t, 3, faketarget.Options{}, func(o *Options) { o.Loads = loads })
			tc.leave(s, loads)
			before := s.targets[0].Counts().Started
			for i := range 60 {
				r := s.do("GET", "/services/tabulation/x", "")
				assert.Equal(t, r.outcome, Ran, "request %d: %s", i, r.body)
			}
			assert.Equal(t, s.targets[0].Counts().Started, before)
			assert.Assert(t, s.targets[0].Counts().Refused <= 2)
		})
	}
}

// A target is rebooted after it was drained. It must get no requests until a
// probe finds it healthy, and then fewer than its share at first.
func TestTargetGetsWorkAfterReboot(t *testing.T) {
	s := newIdleTestEnv(t, 2, faketarget.Options{}, nil)
	s.targets[0].Drain()
	s.probe()
	assert.NilError(t, s.targets[0].Reboot())
	for range 20 {
		assert.Equal(t, s.do("GET", "/services/tabulation/x", "").outcome, Ran)
	}
	assert.Equal(t, s.targets[0].Counts().Started, 0)
	s.clock.Advance(2 * probeWait)
	s.probe()
	for i := range 200 {
		r := s.do("GET", "/services/tabulation/x", "")
		assert.Equal(t, r.outcome, Ran, fmt.Sprint(i, r.body))
	}
	got := s.targets[0].Counts().Started
	assert.Assert(t, got > 0 && got < 40, "expected about 10 requests, a tenth of its half of 200, got %d", got)
}
