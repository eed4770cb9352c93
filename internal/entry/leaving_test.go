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

// fakeLoads is what peers' digests say.
type fakeLoads struct {
	mu      sync.Mutex
	leaving map[model.VMID]bool
}

func (l *fakeLoads) set(vm model.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving[vm] = true
}

// PeerInFlight implements peer.Loads.
func (*fakeLoads) PeerInFlight(model.VMID) int { return 0 }

// PeerSaysLeaving implements peer.Loads.
func (l *fakeLoads) PeerSaysLeaving(vm model.VMID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving[vm]
}

// LiveEntries implements peer.Loads.
func (*fakeLoads) LiveEntries(model.ZoneName) int { return 1 }

// A target leaves, and this entry VM learns it by one way only. Work sent
// after that would be cut by the target's reboot: callers would see "unknown".
// From then on no request may start there, and all callers get their answers.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	cases := []struct {
		name  string
		leave func(*stage, *fakeLoads)
	}{
		{"view", func(s *stage, _ *fakeLoads) {
			s.publish(2, func(v *view.Snapshot) {
				vm := v.VMs["v0"]
				vm.State = model.VMLeaving
				v.VMs["v0"] = vm
			})
		}},
		{"peer's digest", func(_ *stage, l *fakeLoads) { l.set("v0") }},
		{"health answer", func(s *stage, _ *fakeLoads) {
			s.targets[0].Drain()
			s.server.prober.step(context.Background())
			s.server.prober.wait()
		}},
		{"refusal", func(s *stage, _ *fakeLoads) { s.targets[0].Drain() }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			loads := &fakeLoads{leaving: make(map[model.VMID]bool)}
			s := newIdleStage(t, 3, faketarget.Options{}, func(o *Options) { o.Loads = loads })
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

// A target is rebooted after its drain. While it is down nothing reaches it;
// once its health answer is ok again it gets work, though less at first.
func TestTargetComesBack(t *testing.T) {
	s := newIdleStage(t, 2, faketarget.Options{}, nil)
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
	assert.Assert(t, got > 0 && got < 40, "a tenth of its half of 200 is right, not %d", got)
}
