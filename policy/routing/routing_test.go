package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func sound(id string, local bool) Target {
	return Target{ID: "v", Local: local, Slots: 8, Limit: 8, Latency: 100 * ms}
}

func TestPick(t *testing.T) {
	with := func(t Target, change func(*Target)) Target { change(&t); return t }
	home, away := sound("h", true), sound("a", false)
	full := with(home, func(t *Target) { t.InFlight = 8 })
	fullByPeers := with(home, func(t *Target) { t.PeerInFlight = 8 })
	overShare := with(home, func(t *Target) { t.Limit, t.InFlight = 1, 1 })
	out := with(home, func(t *Target) { t.Unavailable = true })
	slow := with(home, func(t *Target) { t.Latency = time.Second })
	cases := []struct {
		name    string
		targets []Target
		change  func(*Choice)
		want    int
	}{
		{"own zone first", []Target{away, home}, nil, 1},
		{"other zone where the own is full", []Target{away, full}, nil, 0},
		{"waits where the hop costs more", []Target{away, full}, func(c *Choice) { c.LocalWait = ms }, -1},
		{"work that shifts goes away first", []Target{away, home}, func(c *Choice) { c.PreferRemote = true }, 0},
		{"full by peers", []Target{fullByPeers}, nil, -1},
		{"own share used", []Target{overShare}, nil, -1},
		{"leaving", []Target{out, home}, nil, 1},
		{"slow target is left free", []Target{slow, full, full}, nil, -1},
		{"slow target is sooner than waiting", []Target{slow, full, full}, func(c *Choice) { c.Wait = 2 * time.Second }, 0},
		{"less loaded of two", []Target{with(home, func(t *Target) { t.PeerInFlight = 4 }), home}, nil, 1},
		{"quicker of two", []Target{home, with(home, func(t *Target) { t.Latency = 50 * ms })}, nil, 1},
		{"unmeasured counts as typical", []Target{with(home, func(t *Target) { t.Latency = 0 }), full, full}, nil, 0},
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

func TestAvoidsTheTargetThatRefused(t *testing.T) {
	a, b := sound("a", true), sound("b", true)
	a.ID, b.ID = "a", "b"
	for seed := range uint64(20) {
		c := Choice{Targets: []Target{a, b}, Avoid: "a", Rand: rand.New(rand.NewPCG(seed, 0)).IntN}
		assert.Equal(t, Pick(c), 1)
	}
}

func TestReturningTargetGetsItsWeight(t *testing.T) {
	a, b := sound("a", true), sound("b", true)
	a.Weight = 0.2
	rnd := rand.New(rand.NewPCG(1, 1))
	n := 0
	for range 1000 {
		if Pick(Choice{Targets: []Target{a, b}, Rand: rnd.IntN}) == 0 {
			n++
		}
	}
	assert.Assert(t, n > 50 && n < 150, "%d of 1000, a tenth is right", n)
}

func TestLatency(t *testing.T) {
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
		name        string
		l           *LatencyEstimate
		after       time.Duration
		least, most time.Duration
	}{
		{"nothing known", &LatencyEstimate{}, 0, 0, 0},
		{"one long sample says nothing", feed(time.Minute), 0, 0, 0},
		{"one long among short", feed(append(many(typical, 50), 100*typical)...), 0, typical, 2 * typical},
		{"ten times slower shows", feed(append(many(typical, 50), many(10*typical, 12)...)...), 0, SlowFactor * typical, 10 * typical},
		{"a slow target is asked again", feed(many(10*typical, 50)...), 25 * time.Second, typical, SlowFactor * typical},
		{"not at once", feed(many(10*typical, 50)...), 10 * time.Second, SlowFactor * typical, 10 * typical},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := tc.l.Value(now.Add(tc.after), typical)
			assert.Assert(t, got >= tc.least-time.Microsecond && got <= tc.most, "%v", got)
		})
	}
}
