package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Load tests on the simulation. Each checks the service that callers get; the
// benchmarks print the figures next to those of other strategies.

// TestOverload offers twice the capacity. Without early rejection all slots
// would work on responses that arrive too late. Admitted requests must be
// answered in time, the latency of urgent callers must hardly change, and no
// target may be granted more requests than it has slots.
func TestOverload(t *testing.T) {
	t.Parallel()
	const span = 8 * time.Second
	r := run(overloadScenario(2, span))
	unloaded := run(overloadScenario(0.1, 8*span))
	assert.Assert(t, r.capacityShare(span) >= 0.93, "useful %.3f of capacity", r.capacityShare(span))
	urgent := r.callers["urgent"]
	assert.Assert(t, float64(urgent.useful) >= 0.98*float64(urgent.submitted))
	assert.Assert(t, ratio(urgent.quantile(0.99), unloaded.callers["urgent"].quantile(0.99)) <= 1.5)
	delays := r.callers["normal"].rejectionDelays
	assert.Equal(t, quantile(delays, 0.5), time.Duration(0), "most rejections are immediate")
	assert.Assert(t, r.callers["deferrable"].inSpan < 50, "deferrable work takes idle slots only")
	assert.Equal(t, r.peakGranted, 8)
}

// TestDeferrableTakesIdleSlots checks that deferrable work gets the idle slots,
// except for the reserve, while other classes leave capacity free.
func TestDeferrableTakesIdleSlots(t *testing.T) {
	t.Parallel()
	sc := overloadScenario(0.3, 10*time.Second)
	r := run(sc)
	d := r.callers["deferrable"]
	assert.Assert(t, float64(d.useful) >= 0.95*float64(d.submitted), "%d of %d", d.useful, d.submitted)
}

// TestHeavyCallerDoesNotAffectLightCallers has one caller ask for one and a
// half times the capacity and ten others together for half of it. In order of
// arrival all would be equally late; with fair shares the ten get what they ask
// for, and the heavy caller the remaining capacity.
func TestHeavyCallerDoesNotAffectLightCallers(t *testing.T) {
	t.Parallel()
	const span = 8 * time.Second
	r := run(heavyCallerScenario(1.5, span))
	light, alone := lightStats(r), lightStats(run(heavyCallerScenario(0, span)))
	assert.Assert(t, float64(light.useful) >= 0.99*float64(light.submitted), "%d of %d", light.useful, light.submitted)
	assert.Assert(t, ratio(light.quantile(0.99), alone.quantile(0.99)) <= 1.3)
	assert.Assert(t, r.capacityShare(span) >= 0.93)
}

// TestFairSharesCountSlotTime has a caller with requests five times as long as
// another's ask for more than its fair share. If shares counted requests, it
// would get five times the slot time.
func TestFairSharesCountSlotTime(t *testing.T) {
	t.Parallel()
	sc := scenario{seed: 3, entries: 8, targets: 10, span: 20 * time.Second, callers: []simCaller{
		{name: "short", class: model.ClassNormal, rate: 1.5 * requestCapacity, timeout: 2 * time.Second, service: 50 * time.Millisecond},
		{name: "long", class: model.ClassNormal, rate: 0.5 * requestCapacity, timeout: 4 * time.Second, service: 250 * time.Millisecond},
	}}
	r := run(sc)
	short := float64(r.callers["short"].useful) * 0.05
	long := float64(r.callers["long"].useful) * 0.25
	assert.Assert(t, short/long > 0.6 && short/long < 1.6, "slot seconds %.0f and %.0f", short, long)
}

// TestBurst sends bursts of three times the slots every few seconds. They must
// be queued and answered in time, without rejections for a short peak, and
// without delaying a steady caller.
func TestBurst(t *testing.T) {
	t.Parallel()
	sc := scenario{seed: 5, entries: 8, targets: 10, span: 20 * time.Second, service: exponential, callers: []simCaller{
		{name: "burst", class: model.ClassNormal, rate: 60, burst: 240, timeout: 3 * time.Second},
		{name: "steady", class: model.ClassNormal, rate: 0.3 * requestCapacity, timeout: 3 * time.Second},
	}}
	r := run(sc)
	for name, s := range r.callers {
		assert.Assert(t, float64(s.useful) >= 0.95*float64(s.submitted), "%s: %d of %d", name, s.useful, s.submitted)
	}
	assert.Assert(t, r.callers["steady"].quantile(0.9) < 700*time.Millisecond, "steady callers do not wait behind a burst")
}

// TestSlowTarget makes one of ten targets ten times slower, and later as fast
// as before. It must get little work while slow, and work again afterwards.
func TestSlowTarget(t *testing.T) {
	t.Parallel()
	const span = 30 * time.Second
	baseline := run(steadyScenario(0.6, span)).callers["normal"]
	sc := withSlowTarget(steadyScenario(0.6, span), 10)
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
	assert.Assert(t, ratio(slow.quantile(0.99), baseline.quantile(0.99)) <= 1.3)
	assert.Assert(t, before < 200, "the slow target answered %d requests", before)
	assert.Assert(t, after > 300, "the recovered target answered %d requests", after)
}

// TestOccasionalLongRequests has one request in fifty take 2 s, about thirty
// times as long as the others. Targets that happen to run one must not be
// considered slow.
func TestOccasionalLongRequests(t *testing.T) {
	t.Parallel()
	sc := steadyScenario(0.6, 15*time.Second)
	sc.service = occasionallyLong
	r := run(sc).callers["normal"]
	assert.Assert(t, float64(r.useful) >= 0.99*float64(r.submitted))
	assert.Assert(t, r.quantile(0.9) < 150*time.Millisecond, "the 0.9 quantile of latency is %v", r.quantile(0.9))
}

// TestPartialOutage lets half of the targets fail in one of three ways under
// nine tenths of the full capacity. Retries must stay within their budget,
// targets that fail fast must not attract the load, and the other half must
// work at its capacity.
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
			r := run(outageScenario(span, tc.change))
			s := r.callers["normal"]
			assert.Assert(t, float64(r.retries) <= 0.1*float64(r.submitted), "%d retries of %d", r.retries, r.submitted)
			assert.Assert(t, float64(s.failed) <= tc.failed*float64(s.submitted), "%d failed of %d", s.failed, s.submitted)
			assert.Assert(t, float64(s.useful) >= 0.70*float64(s.submitted), "%d useful of %d", s.useful, s.submitted)
		})
	}
}

// TestSkewedLoadAcrossEntries sends half of the load to one of eight entry VMs.
// With only its own eighth of the slots, it would reject most requests while
// other slots are idle.
func TestSkewedLoadAcrossEntries(t *testing.T) {
	t.Parallel()
	r := run(withSkewedEntries(steadyScenario(0.4, 20*time.Second)))
	s := r.callers["normal"]
	assert.Assert(t, float64(s.useful) >= 0.97*float64(s.submitted), "%d of %d", s.useful, s.submitted)
	assert.Equal(t, r.peakGranted <= 8, true, "granted at once at one target: %d", r.peakGranted)
}

// TestNoDigestsSlotsNotExceeded has entry VMs that receive no digests. Each
// must keep to its own share, so that together they do not exceed the slots.
func TestNoDigestsSlotsNotExceeded(t *testing.T) {
	t.Parallel()
	sc := overloadScenario(2, 5*time.Second)
	sc.noDigests = true
	r := run(sc)
	assert.Equal(t, r.peakGranted, 8)
	assert.Assert(t, r.capacityShare(5*time.Second) >= 0.9)
}

// TestMoreEntriesThanSlots has twelve entry VMs and one target of eight slots,
// so that four entry VMs have no slot of their own. A load balancer sends them
// requests regardless; these must be served from idle slots of other entry VMs
// and not be rejected for lack of a target.
func TestMoreEntriesThanSlots(t *testing.T) {
	t.Parallel()
	sc := steadyScenario(0.03, 60*time.Second)
	sc.entries, sc.targets = 12, 1
	r := run(sc)
	s := r.callers["normal"]
	assert.Assert(t, float64(s.useful) >= 0.97*float64(s.submitted), "%d of %d, %d rejected", s.useful, s.submitted, s.rejected)
	assert.Assert(t, r.peakGranted <= 8, "%d granted at once", r.peakGranted)
}
