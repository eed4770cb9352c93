package shift

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// runSteps calls Step ten times a second for the span, with constant latencies of
// the own zone and of the others, and returns the last share of work that prefers
// other zones. It advances now by the span.
func runSteps(s *Shifter, local, remote, span time.Duration, now *time.Time) float64 {
	share := 0.0
	for range int(span / (100 * ms)) {
		*now = now.Add(100 * ms)
		share = s.Step(local, remote, *now)
	}
	return share
}

func TestStep(t *testing.T) {
	cases := []struct {
		name               string
		local, remote      time.Duration
		span               time.Duration
		minShare, maxShare float64
	}{
		{"equal latency", 100 * ms, 100 * ms, time.Minute, 0, 0},
		{"difference within noise", 190 * ms, 100 * ms, time.Minute, 0, 0},
		{"own zone slow, after 1 s", 300 * ms, 100 * ms, time.Second, 0.2, 0.26},
		{"own zone slow, after 1 min", 300 * ms, 100 * ms, time.Minute, maxRemoteShare, maxRemoteShare},
		{"own zone unknown", 0, 100 * ms, time.Minute, 0, 0},
		{"other zones unknown", 300 * ms, 0, time.Minute, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			got := runSteps(&Shifter{}, tc.local, tc.remote, tc.span, &now)
			assert.Assert(t, got >= tc.minShare-1e-9 && got <= tc.maxShare+1e-9, "%v", got)
		})
	}
}

// TestHysteresis lets a zone become slow, then somewhat better, then normal.
// Work must stay away while the cost ratio is between the two thresholds, and
// return more slowly than it left.
func TestHysteresis(t *testing.T) {
	now := time.Unix(0, 0)
	s := &Shifter{}
	assert.Equal(t, runSteps(s, 500*ms, 100*ms, 10*time.Second, &now), maxRemoteShare)
	assert.Equal(t, runSteps(s, 150*ms, 100*ms, time.Minute, &now), maxRemoteShare)
	after := runSteps(s, 100*ms, 100*ms, 4*time.Second, &now)
	assert.Assert(t, after > 0.65 && after < 0.75, "%v", after)
	assert.Equal(t, runSteps(s, 100*ms, 100*ms, 30*time.Second, &now), 0.0)
	now = now.Add(time.Hour)
	assert.Assert(t, s.Step(500*ms, 100*ms, now) <= leaveRate, "a pause of an hour must not let work leave in one step")
}
