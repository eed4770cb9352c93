package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var t0 = time.Unix(1_000_000, 0)

// newTarget returns a target with ok successes, followed by failed failures.
func newTarget(ok, failed int) *Target {
	t := &Target{}
	for range ok {
		t.Observe(true, t0)
	}
	for range failed {
		t.Observe(false, t0)
	}
	return t
}

func TestEjectOutlier(t *testing.T) {
	healthy, failing := newTarget(50, 0), newTarget(0, 50)
	cases := []struct {
		name     string
		target   *Target
		peers    []*Target
		mayEject bool
		want     bool
	}{
		{"consecutive failures", newTarget(20, 5), []*Target{healthy, healthy}, true, true},
		{"fewer consecutive failures than the threshold", newTarget(20, 4), []*Target{healthy, healthy}, true, false},
		{"the budget permits no ejection", newTarget(0, 50), []*Target{healthy, healthy}, false, false},
		{"the peers fail as well", newTarget(0, 50), []*Target{failing, failing}, true, false},
		{"half of its requests fail", newAlternatingTarget(20), []*Target{healthy, healthy}, true, true},
		{"half of all targets' requests fail", newAlternatingTarget(20), []*Target{newAlternatingTarget(20), newAlternatingTarget(20)}, true, false},
		{"too few samples for a rate", newAlternatingTarget(4), []*Target{healthy, healthy}, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, EjectOutlier(tc.target, tc.peers, tc.mayEject, t0), tc.want)
			assert.Equal(t, tc.target.Ejected(t0), tc.want)
		})
	}
}

// newAlternatingTarget returns a target with n requests, of which every other one
// failed.
func newAlternatingTarget(n int) *Target {
	t := &Target{}
	for i := range n {
		t.Observe(i%2 == 0, t0)
	}
	return t
}

func TestEjectionsGrowAndDecay(t *testing.T) {
	target, peers := newTarget(0, 0), []*Target{newTarget(50, 0)}
	now := t0
	eject := func() time.Duration {
		for range ConsecutiveFailureThreshold {
			target.Observe(false, now)
		}
		assert.Assert(t, EjectOutlier(target, peers, true, now))
		start := now
		for target.Ejected(now) {
			now = now.Add(time.Second)
		}
		return now.Sub(start)
	}
	for _, want := range []time.Duration{5, 10, 20, 40, 60, 60} {
		assert.Equal(t, eject(), want*time.Second)
	}
	assert.Assert(t, target.Weight(now) < 0.2, "a slow start follows the ejection")
	for range 20 {
		now = now.Add(ejectionDecay)
		target.Observe(true, now)
	}
	assert.Equal(t, target.Weight(now), 1.0)
	assert.Equal(t, eject(), EjectionBase)
}

func TestOldFailuresLeaveTheRateWindow(t *testing.T) {
	target := newAlternatingTarget(40)
	now := t0.Add(rateWindow + time.Second)
	for range minRateSamples {
		target.Observe(true, now)
	}
	assert.Assert(t, !EjectOutlier(target, []*Target{newTarget(50, 0)}, true, now))
}

func TestMayEject(t *testing.T) {
	cases := []struct {
		name            string
		total, out, min int
		want            bool
	}{
		{"within the budget", 10, 0, 8, true},
		{"at the budget", 10, 2, 8, false},
		{"no budget, up to a third", 10, 2, 0, true},
		{"no budget, beyond a third", 10, 3, 0, false},
		{"the only target", 1, 0, 0, false},
		{"one of two targets", 2, 0, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, MayEject(tc.total, tc.out, tc.min), tc.want)
		})
	}
}

func TestPenaltyGrowsWithFailuresInARow(t *testing.T) {
	const typical = 100 * time.Millisecond
	cases := []struct {
		name   string
		target *Target
		held   time.Duration
		want   time.Duration
	}{
		{"a fast failure occupies the slot as long as a request", newTarget(5, 1), time.Millisecond, 99 * time.Millisecond},
		{"a slow failure has occupied the slot long enough", newTarget(5, 1), time.Second, 0},
		{"many failures, up to the maximum", newTarget(0, 100), 0, time.Second},
		{"no failure", newTarget(0, 0), 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, tc.target.Penalty(tc.held, typical), tc.want)
		})
	}
}

func TestReadiness(t *testing.T) {
	type event func(*Readiness)
	probe := func(a ProbeResult) event { return func(r *Readiness) { r.RecordProbe(a, t0) } }
	refuse := func(r *Readiness) { r.RecordRefusal(0, t0) }
	cases := []struct {
		name           string
		events         []event
		after          time.Duration
		unready        bool
		reportsLeaving bool
	}{
		{"reports that it is leaving", []event{probe(ProbeLeaving)}, time.Hour, true, true},
		{"leaving, then ready again", []event{probe(ProbeLeaving), probe(ProbeOK)}, 0, false, false},
		{"leaving, then no answer", []event{probe(ProbeLeaving), probe(ProbeNoAnswer)}, 0, true, true},
		{"within the backoff after a refusal", []event{refuse}, refusalBackoffBase - 1, true, false},
		{"after the backoff", []event{refuse}, refusalBackoffBase, false, false},
		{"backoff doubles with a second refusal", []event{refuse, refuse}, 2*refusalBackoffBase - 1, true, false},
		{"successful probe ends the backoff", []event{refuse, probe(ProbeOK)}, 0, false, false},
		{"backoff is bounded", []event{refuse, refuse, refuse, refuse, refuse, refuse}, refusalBackoffMax, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := &Readiness{}
			for _, e := range tc.events {
				e(r)
			}
			assert.Equal(t, r.Unready(t0.Add(tc.after)), tc.unready)
			assert.Equal(t, r.ReportsLeaving(), tc.reportsLeaving)
		})
	}
}
