package shift

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// steps feeds the costs ten times a second for the span.
func steps(s *Shifter, home, elsewhere, span time.Duration, now *time.Time) float64 {
	share := 0.0
	for range int(span / (100 * ms)) {
		*now = now.Add(100 * ms)
		share = s.Step(home, elsewhere, *now)
	}
	return share
}

func TestStep(t *testing.T) {
	cases := []struct {
		name            string
		home, elsewhere time.Duration
		span            time.Duration
		least, most     float64
	}{
		{"alike", 100 * ms, 100 * ms, time.Minute, 0, 0},
		{"a difference of noise", 190 * ms, 100 * ms, time.Minute, 0, 0},
		{"slow at home, at first", 300 * ms, 100 * ms, time.Second, 0.2, 0.26},
		{"slow at home, later", 300 * ms, 100 * ms, time.Minute, maxShare, maxShare},
		{"nothing known at home", 0, 100 * ms, time.Minute, 0, 0},
		{"nothing known elsewhere", 300 * ms, 0, time.Minute, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			got := steps(&Shifter{}, tc.home, tc.elsewhere, tc.span, &now)
			assert.Assert(t, got >= tc.least-1e-9 && got <= tc.most+1e-9, "%v", got)
		})
	}
}

// A zone grows slow, its work leaves, it is better for a while, then sound.
// Work stays away while the zone is between the two thresholds, and comes back
// slower than it left.
func TestHysteresis(t *testing.T) {
	now := time.Unix(0, 0)
	s := &Shifter{}
	assert.Equal(t, steps(s, 500*ms, 100*ms, 10*time.Second, &now), maxShare)
	assert.Equal(t, steps(s, 150*ms, 100*ms, time.Minute, &now), maxShare)
	after := steps(s, 100*ms, 100*ms, 4*time.Second, &now)
	assert.Assert(t, after > 0.65 && after < 0.75, "%v", after)
	assert.Equal(t, steps(s, 100*ms, 100*ms, 30*time.Second, &now), 0.0)
	now = now.Add(time.Hour)
	assert.Assert(t, s.Step(500*ms, 100*ms, now) <= leaveRate, "a quiet hour is no reason to leave at once")
}
