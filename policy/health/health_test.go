package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var t0 = time.Unix(1_000_000, 0)

// history is a target with ok successes, then failed failures.
func history(ok, failed int) *Target {
	t := &Target{}
	for range ok {
		t.Observe(true, t0)
	}
	for range failed {
		t.Observe(false, t0)
	}
	return t
}

func TestJudge(t *testing.T) {
	good, bad := history(50, 0), history(0, 50)
	cases := []struct {
		name   string
		target *Target
		peers  []*Target
		may    bool
		want   bool
	}{
		{"fails in a row", history(20, 5), []*Target{good, good}, true, true},
		{"a few failures", history(20, 4), []*Target{good, good}, true, false},
		{"the budget keeps it", history(0, 50), []*Target{good, good}, false, false},
		{"its peers fail as well", history(0, 50), []*Target{bad, bad}, true, false},
		{"half of its requests fail", mixed(20), []*Target{good, good}, true, true},
		{"half fail everywhere", mixed(20), []*Target{mixed(20), mixed(20)}, true, false},
		{"too few to tell a rate", mixed(4), []*Target{good, good}, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, EjectOutlier(tc.target, tc.peers, tc.may, t0), tc.want)
			assert.Equal(t, tc.target.Ejected(t0), tc.want)
		})
	}
}

func mixed(n int) *Target {
	t := &Target{}
	for i := range n {
		t.Observe(i%2 == 0, t0)
	}
	return t
}

func TestEjectionsGrowAndAreForgiven(t *testing.T) {
	target, peers := history(0, 0), []*Target{history(50, 0)}
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
	assert.Assert(t, target.Weight(now) < 0.2, "comes back slowly")
	for range 20 {
		now = now.Add(forgiveAfter)
		target.Observe(true, now)
	}
	assert.Equal(t, target.Weight(now), 1.0)
	assert.Equal(t, eject(), EjectionBase)
}

func TestOldFailuresAreForgotten(t *testing.T) {
	target := mixed(40)
	now := t0.Add(windowSpan + time.Second)
	for range rateSamples {
		target.Observe(true, now)
	}
	assert.Assert(t, !EjectOutlier(target, []*Target{history(50, 0)}, true, now))
}

func TestMayLeave(t *testing.T) {
	cases := []struct {
		name            string
		total, out, min int
		want            bool
	}{
		{"within the budget", 10, 0, 8, true},
		{"at the budget", 10, 2, 8, false},
		{"no budget, up to a third", 10, 2, 0, true},
		{"no budget, beyond a third", 10, 3, 0, false},
		{"the only one", 1, 0, 0, false},
		{"one of two", 2, 0, 0, false},
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
		{"one fast failure takes as long as a request", history(5, 1), time.Millisecond, 99 * time.Millisecond},
		{"one slow failure has taken its time", history(5, 1), time.Second, 0},
		{"many", history(0, 100), 0, time.Second},
		{"a success ends it", history(0, 0), 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, tc.target.Penalty(tc.held, typical), tc.want)
		})
	}
}

func TestLeaving(t *testing.T) {
	type event func(*Readiness)
	probe := func(a ProbeResult) event { return func(l *Readiness) { l.RecordProbe(a, t0) } }
	refuse := func(l *Readiness) { l.RecordRefusal(0, t0) }
	cases := []struct {
		name   string
		events []event
		after  time.Duration
		out    bool
		says   bool
	}{
		{"says so", []event{probe(ProbeLeaving)}, time.Hour, true, true},
		{"takes it back", []event{probe(ProbeLeaving), probe(ProbeOK)}, 0, false, false},
		{"no answer after saying so", []event{probe(ProbeLeaving), probe(ProbeNoAnswer)}, 0, true, true},
		{"refused", []event{refuse}, refusedBase - 1, true, false},
		{"refused some time ago", []event{refuse}, refusedBase, false, false},
		{"refused twice, twice as long", []event{refuse, refuse}, 2*refusedBase - 1, true, false},
		{"refused for being full, health is ok", []event{refuse, probe(ProbeOK)}, 0, false, false},
		{"refused ever again, at most", []event{refuse, refuse, refuse, refuse, refuse, refuse}, refusedMax, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l := &Readiness{}
			for _, e := range tc.events {
				e(l)
			}
			assert.Equal(t, l.Unready(t0.Add(tc.after)), tc.out)
			assert.Equal(t, l.ReportsLeaving(), tc.says)
		})
	}
}
