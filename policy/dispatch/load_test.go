package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Patterns of load on the step model. Each checks what callers get; figures
// with baselines are printed by the benchmarks.

// Twice as much is asked as the targets can do. Without early refusal all
// slots would work on answers that come too late. What is let in is answered
// in time, urgent callers hardly notice, nobody is sent more than its slots.
func TestSaturationTwice(t *testing.T) {
	t.Parallel()
	const span = 8 * time.Second
	r := run(saturated(2, span))
	unloaded := run(saturated(0.1, 8*span))
	assert.Assert(t, r.ofCapacity(span) >= 0.93, "useful %.3f of capacity", r.ofCapacity(span))
	urgent := r.callers["urgent"]
	assert.Assert(t, float64(urgent.useful) >= 0.98*float64(urgent.asked))
	assert.Assert(t, ratio(urgent.quantile(0.99), unloaded.callers["urgent"].quantile(0.99)) <= 1.5)
	refused := r.callers["normal"].refusals
	assert.Equal(t, quantile(refused, 0.5), time.Duration(0), "most of what is given up is told at once")
	assert.Assert(t, r.callers["deferrable"].inSpan < 50, "deferrable work takes idle slots only")
	assert.Equal(t, r.capped, 8)
}

// Deferrable work alone gets the idle slots, short of the reserve, and waits
// while others need them.
func TestDeferrableTakesIdleSlots(t *testing.T) {
	t.Parallel()
	sc := saturated(0.3, 10*time.Second)
	r := run(sc)
	d := r.callers["deferrable"]
	assert.Assert(t, float64(d.useful) >= 0.95*float64(d.asked), "%d of %d", d.useful, d.asked)
}

// One caller asks for one and a half times the capacity, ten others together
// for half of it. In order of arrival all would be late alike; by shares the
// ten get what they ask for, and the heavy one what is left.
func TestHeavyCallerTakesNothingFromLightOnes(t *testing.T) {
	t.Parallel()
	const span = 8 * time.Second
	r := run(oneHeavy(1.5, span))
	light, alone := lightStats(r), lightStats(run(oneHeavy(0, span)))
	assert.Assert(t, float64(light.useful) >= 0.99*float64(light.asked), "%d of %d", light.useful, light.asked)
	assert.Assert(t, ratio(light.quantile(0.99), alone.quantile(0.99)) <= 1.3)
	assert.Assert(t, r.ofCapacity(span) >= 0.93)
}

// A caller of requests five times as long as the others' asks for all there
// is. Shares of requests would give it five times the slot time.
func TestSharesAreOfSlotTime(t *testing.T) {
	t.Parallel()
	sc := scenario{seed: 3, entries: 8, targets: 10, span: 20 * time.Second, callers: []simCaller{
		{name: "short", class: model.ClassNormal, rate: 1.5 * capacity80, timeout: 2 * time.Second, service: 50 * time.Millisecond},
		{name: "long", class: model.ClassNormal, rate: 0.5 * capacity80, timeout: 4 * time.Second, service: 250 * time.Millisecond},
	}}
	r := run(sc)
	short := float64(r.callers["short"].useful) * 0.05
	long := float64(r.callers["long"].useful) * 0.25
	assert.Assert(t, short/long > 0.6 && short/long < 1.6, "slot seconds %.0f and %.0f", short, long)
}

// A burst of three times the slots comes at once, every few seconds. It waits
// and is answered in time; nobody is turned away for a peak that passes.
func TestBurst(t *testing.T) {
	t.Parallel()
	sc := scenario{seed: 5, entries: 8, targets: 10, span: 20 * time.Second, service: exponential, callers: []simCaller{
		{name: "burst", class: model.ClassNormal, rate: 60, burst: 240, timeout: 3 * time.Second},
		{name: "steady", class: model.ClassNormal, rate: 0.3 * capacity80, timeout: 3 * time.Second},
	}}
	r := run(sc)
	for name, s := range r.callers {
		assert.Assert(t, float64(s.useful) >= 0.95*float64(s.asked), "%s: %d of %d", name, s.useful, s.asked)
	}
	assert.Assert(t, r.callers["steady"].quantile(0.9) < 700*time.Millisecond, "steady callers do not wait behind a burst")
}

// One target of ten becomes ten times slower, and later sound again.
func TestSlowTarget(t *testing.T) {
	t.Parallel()
	const span = 30 * time.Second
	sound := run(steady(0.6, span)).callers["normal"]
	sc := slowed(steady(0.6, span), 10)
	sc.faults = append(sc.faults, simFault{at: span / 3, target: 0, change: func(t *simTarget) { t.slow = 1 }})
	before, after := 0, 0
	sc.answered = func(at time.Duration, vm int) {
		switch {
		case vm != 0:
		case at < span/3:
			before++
		default:
			after++
		}
	}
	slow := run(sc).callers["normal"]
	assert.Assert(t, ratio(slow.quantile(0.99), sound.quantile(0.99)) <= 1.3)
	assert.Assert(t, before < 200, "the slow target answered %d requests", before)
	assert.Assert(t, after > 300, "it got work again: %d", after)
}

// One request in fifty takes 2 s, thirty times the others. Targets that
// happen to have one must not be taken for slow.
func TestLongAmongShort(t *testing.T) {
	t.Parallel()
	sc := steady(0.6, 15*time.Second)
	sc.service = longAmongShort
	r := run(sc).callers["normal"]
	assert.Assert(t, float64(r.useful) >= 0.99*float64(r.asked))
	assert.Assert(t, r.quantile(0.9) < 150*time.Millisecond, "short ones wait %v", r.quantile(0.9))
}

// Half of the targets fail, in three ways, under nine tenths of the load the
// whole could carry. Retries stay within their budget, targets that fail fast
// do not draw the load, and the other half works at its capacity.
func TestPartialOutage(t *testing.T) {
	t.Parallel()
	const span = 20 * time.Second
	cases := []struct {
		name   string
		change func(*simTarget)
		failed float64
	}{
		{"down", func(t *simTarget) { t.down = true }, 0.01},
		{"failing fast", func(t *simTarget) { t.fails = true }, 0.06},
		{"refusing", func(t *simTarget) { t.refuses, t.running = true, t.running+8 }, 0.01},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := run(outage(span, tc.change))
			s := r.callers["normal"]
			assert.Assert(t, float64(r.retries) <= 0.1*float64(r.fresh), "%d retries of %d", r.retries, r.fresh)
			assert.Assert(t, float64(s.failed) <= tc.failed*float64(s.asked), "%d failed of %d", s.failed, s.asked)
			assert.Assert(t, float64(s.useful) >= 0.70*float64(s.asked), "%d useful of %d", s.useful, s.asked)
		})
	}
}

// Half of the load comes to one of eight entry VMs. With its own eighth of the
// slots it would turn most of it away while other slots lie idle.
func TestSkewedEntries(t *testing.T) {
	t.Parallel()
	r := run(skewed(steady(0.4, 20*time.Second)))
	s := r.callers["normal"]
	assert.Assert(t, float64(s.useful) >= 0.97*float64(s.asked), "%d of %d", s.useful, s.asked)
	assert.Equal(t, r.capped <= 8, true, "sent at once: %d", r.capped)
}

// The entry VMs hear nothing of each other. Each keeps to its own share.
func TestDeafEntriesKeepTheSlots(t *testing.T) {
	t.Parallel()
	sc := saturated(2, 5*time.Second)
	sc.deaf = true
	r := run(sc)
	assert.Equal(t, r.capped, 8)
	assert.Assert(t, r.ofCapacity(5*time.Second) >= 0.9)
}

// A service has one target of eight slots, and there are twelve entry VMs: four
// have no slot of it. A balancer sends them callers all the same; these must be
// served from slots that lie idle elsewhere, and not be told that there is no
// target.
func TestMoreEntriesThanSlots(t *testing.T) {
	t.Parallel()
	sc := steady(0.03, 60*time.Second)
	sc.entries, sc.targets = 12, 1
	r := run(sc)
	s := r.callers["normal"]
	assert.Assert(t, float64(s.useful) >= 0.97*float64(s.asked), "%d of %d, %d turned away", s.useful, s.asked, s.turnedAway)
	assert.Assert(t, r.capped <= 8, "%d at once", r.capped)
}
