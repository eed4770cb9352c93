package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func newTarget(id string, local bool) Target {
	return Target{ID: "v", Local: local, Slots: 8, Limit: 8, Latency: 100 * ms}
}

func TestPick(t *testing.T) {
	with := func(t Target, change func(*Target)) Target { change(&t); return t }
	local, remote := newTarget("h", true), newTarget("a", false)
	full := with(local, func(t *Target) { t.InFlight = 8 })
	fullByPeers := with(local, func(t *Target) { t.PeerInFlight = 8 })
	overShare := with(local, func(t *Target) { t.Limit, t.InFlight = 1, 1 })
	out := with(local, func(t *Target) { t.Unavailable = true })
	slow := with(local, func(t *Target) { t.Latency = time.Second })
	cases := []struct {
		name    string
		targets []Target
		change  func(*Choice)
		want    int
	}{
		{"own zone first", []Target{remote, local}, nil, 1},
		{"other zone if the own is full", []Target{remote, full}, nil, 0},
		{"waits if the hop costs more", []Target{remote, full}, func(c *Choice) { c.LocalWait = ms }, -1},
		{"prefers another zone", []Target{remote, local}, func(c *Choice) { c.PreferRemote = true }, 0},
		{"full by peers", []Target{fullByPeers}, nil, -1},
		{"own limit reached", []Target{overShare}, nil, -1},
		{"leaving", []Target{out, local}, nil, 1},
		{"slow target is left idle", []Target{slow, full, full}, nil, -1},
		{"slow target is faster than waiting", []Target{slow, full, full}, func(c *Choice) { c.Wait = 2 * time.Second }, 0},
		{"less loaded of two", []Target{with(local, func(t *Target) { t.PeerInFlight = 4 }), local}, nil, 1},
		{"faster of two", []Target{local, with(local, func(t *Target) { t.Latency = 50 * ms })}, nil, 1},
		{"no estimate counts as typical", []Target{with(local, func(t *Target) { t.Latency = 0 }), full, full}, nil, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(20) {
				c := Choice{Targets: tc.targets, Wait: ms, LocalWait: time.Second, Rand: rand.New(rand.NewPCG(seed, 0)).IntN}
				if tc.change != nil {
					tc.change(&c)
				}
				assert.Equal(t, Pick(c), tc.want)
			}
		})
	}
}

func TestPickAvoidsRefusingTarget(t *testing.T) {
	a, b := newTarget("a", true), newTarget("b", true)
	a.ID, b.ID = "a", "b"
	for seed := range uint64(20) {
		c := Choice{Targets: []Target{a, b}, Avoid: "a", Rand: rand.New(rand.NewPCG(seed, 0)).IntN}
		assert.Equal(t, Pick(c), 1)
	}
}

func TestPickHonorsRampUpWeight(t *testing.T) {
	a, b := newTarget("a", true), newTarget("b", true)
	a.Weight = 0.2
	rnd := rand.New(rand.NewPCG(1, 1))
	n := 0
	for range 1000 {
		if Pick(Choice{Targets: []Target{a, b}, Rand: rnd.IntN}) == 0 {
			n++
		}
	}
	assert.Assert(t, n > 50 && n < 150, "picked %d times of 1000, expected about 100", n)
}

// TestLatencyEstimate checks that a single long sample doesn't make a target look
// slow, that a target slow for all requests does, and that without samples the
// estimate returns to the typical latency, so that the target is tried again.
func TestLatencyEstimate(t *testing.T) {
	now := time.Unix(0, 0)
	feed := func(samples ...time.Duration) *LatencyEstimate {
		l := &LatencyEstimate{}
		for _, s := range samples {
			l.Observe(s, now)
		}
		return l
	}
	many := func(d time.Duration, n int) []time.Duration {
		s := make([]time.Duration, n)
		for i := range s {
			s[i] = d
		}
		return s
	}
	const typical = 100 * ms
	cases := []struct {
		name               string
		l                  *LatencyEstimate
		after              time.Duration
		minValue, maxValue time.Duration
	}{
		{"nothing known", &LatencyEstimate{}, 0, 0, 0},
		{"one long sample gives no estimate", feed(time.Minute), 0, 0, 0},
		{"one long among short", feed(append(many(typical, 50), 100*typical)...), 0, typical, 2 * typical},
		{"ten times slower shows", feed(append(many(typical, 50), many(10*typical, 12)...)...), 0, SlowFactor * typical, 10 * typical},
		{"a slow target is tried again later", feed(many(10*typical, 50)...), 25 * time.Second, typical, SlowFactor * typical},
		{"a slow target is not tried again at once", feed(many(10*typical, 50)...), 10 * time.Second, SlowFactor * typical, 10 * typical},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := tc.l.Value(now.Add(tc.after), typical)
			assert.Assert(t, got >= tc.minValue-time.Microsecond && got <= tc.maxValue, "%v", got)
		})
	}
}
