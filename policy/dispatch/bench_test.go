package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/routing"
)

// Routing strategies to compare routing.Pick with. All choose among targets with a
// free slot.

func pickRandom() func(routing.Choice) int {
	return func(c routing.Choice) int {
		free := freeTargets(c)
		if len(free) == 0 {
			return -1
		}
		return free[c.Rand(len(free))]
	}
}

func pickRoundRobin() func(routing.Choice) int {
	next := 0
	return func(c routing.Choice) int {
		for k := range c.Targets {
			i := (next + k) % len(c.Targets)
			if c.Targets[i].Free() > 0 && c.Targets[i].ID != c.Avoid {
				next = i + 1
				return i
			}
		}
		return -1
	}
}

func pickLeastInFlight() func(routing.Choice) int {
	return func(c routing.Choice) int {
		best := -1
		for _, i := range freeTargets(c) {
			if best < 0 || c.Targets[i].InFlight < c.Targets[best].InFlight {
				best = i
			}
		}
		return best
	}
}

func freeTargets(c routing.Choice) []int {
	var free []int
	for i := range c.Targets {
		if c.Targets[i].Free() > 0 && c.Targets[i].ID != c.Avoid {
			free = append(free, i)
		}
	}
	return free
}

var strategies = []struct {
	name string
	pick func() func(routing.Choice) int
}{
	{"pumicestage", nil},
	{"random", pickRandom},
	{"round-robin", pickRoundRobin},
	{"least-in-flight", pickLeastInFlight},
}

func exponential(r *rand.Rand) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(meanService))
}

// occasionallyLong returns a service time of 2 s for one request in fifty; the
// mean over all requests is 100 ms.
func occasionallyLong(r *rand.Rand) time.Duration {
	if r.IntN(50) == 0 {
		return 2 * time.Second
	}
	return time.Duration(61 * float64(time.Millisecond) * (0.5 + r.Float64()))
}

// requestCapacity is how many requests of mean service time ten targets of
// eight slots complete in a second.
const requestCapacity = 80 * float64(time.Second) / float64(meanService)

// overloadScenario loads the service with the given multiple of its capacity: a
// tenth urgent, a tenth deferrable, the rest normal.
func overloadScenario(times float64, span time.Duration) scenario {
	rate := times * requestCapacity
	return scenario{seed: 7, entries: 8, targets: 10, span: span, service: exponential, callers: []simCaller{
		{name: "urgent", class: model.ClassUrgent, rate: 0.1 * rate, timeout: 2 * time.Second},
		{name: "normal", class: model.ClassNormal, rate: 0.8 * rate, timeout: 2 * time.Second},
		{name: "deferrable", class: model.ClassDeferrable, rate: 0.1 * rate, timeout: 20 * time.Second},
	}}
}

// BenchmarkSaturation offers twice the capacity and compares how each routing
// strategy uses the capacity and serves urgent requests.
func BenchmarkSaturation(b *testing.B) {
	const span = 30 * time.Second
	unloaded := run(overloadScenario(0.1, 10*span))
	for _, way := range strategies {
		b.Run(way.name, func(b *testing.B) {
			for b.Loop() {
				sc := overloadScenario(2, span)
				sc.pick = way.pick
				r := run(sc)
				b.ReportMetric(r.capacityShare(span), "useful/capacity")
				b.ReportMetric(ratio(r.callers["urgent"].quantile(0.99), unloaded.callers["urgent"].quantile(0.99)), "urgent-p99/unloaded")
				b.ReportMetric(float64(r.callers["urgent"].useful)/float64(r.callers["urgent"].submitted), "urgent-useful")
				b.ReportMetric(float64(r.peakGranted), "peak-per-target")
			}
		})
	}
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }

// steadyScenario loads the service with the given share of its capacity, by one
// caller of normal class.
func steadyScenario(share float64, span time.Duration) scenario {
	return scenario{seed: 11, entries: 8, targets: 10, span: span, service: exponential, callers: []simCaller{
		{name: "normal", class: model.ClassNormal, rate: share * requestCapacity, timeout: 10 * time.Second},
	}}
}

// withSlowTarget makes the first target slower by the factor after one second.
func withSlowTarget(sc scenario, factor float64) scenario {
	sc.faults = append(sc.faults, simFault{at: time.Second, target: 0, change: func(t *simTarget) { t.slow = factor }})
	return sc
}

// BenchmarkSlowTarget compares the routing strategies by how much latency grows
// when one of ten targets becomes ten times slower.
func BenchmarkSlowTarget(b *testing.B) {
	const span = 60 * time.Second
	for _, way := range strategies {
		b.Run(way.name, func(b *testing.B) {
			for b.Loop() {
				before := steadyScenario(0.6, span)
				before.pick = way.pick
				after := withSlowTarget(before, 10)
				baseline := run(before).callers["normal"]
				slow := run(after).callers["normal"]
				b.ReportMetric(ratio(slow.quantile(0.99), baseline.quantile(0.99)), "p99/sound")
				b.ReportMetric(ratio(slow.quantile(0.5), baseline.quantile(0.5)), "p50/sound")
				b.ReportMetric(float64(baseline.quantile(0.99).Milliseconds()), "sound-p99-ms")
			}
		})
	}
}

// heavyCallerScenario has ten light callers, each asking for a twentieth of the
// capacity, and one that asks for the given share of the capacity.
func heavyCallerScenario(heavy float64, span time.Duration) scenario {
	sc := scenario{seed: 13, entries: 8, targets: 10, span: span, service: exponential}
	for _, name := range []string{"l0", "l1", "l2", "l3", "l4", "l5", "l6", "l7", "l8", "l9"} {
		sc.callers = append(sc.callers, simCaller{name: name, class: model.ClassNormal, rate: 0.05 * requestCapacity, timeout: 2 * time.Second})
	}
	if heavy > 0 {
		sc.callers = append(sc.callers, simCaller{name: "heavy", class: model.ClassNormal, rate: heavy * requestCapacity, timeout: 2 * time.Second})
	}
	return sc
}

// lightStats returns the sum over all callers but the heavy one.
func lightStats(r *simResult) simStats {
	var sum simStats
	for name, s := range r.callers {
		if name == "heavy" {
			continue
		}
		sum.submitted += s.submitted
		sum.useful += s.useful
		sum.latencies = append(sum.latencies, s.latencies...)
	}
	return sum
}

// BenchmarkHeavyCaller compares how light callers are served alone and beside a
// caller that asks for one and a half times the capacity.
func BenchmarkHeavyCaller(b *testing.B) {
	const span = 60 * time.Second
	for b.Loop() {
		alone := lightStats(run(heavyCallerScenario(0, span)))
		with := run(heavyCallerScenario(1.5, span))
		light := lightStats(with)
		heavy := with.callers["heavy"]
		b.ReportMetric(float64(alone.useful)/float64(alone.submitted), "light-alone-useful")
		b.ReportMetric(float64(light.useful)/float64(light.submitted), "light-useful")
		b.ReportMetric(ratio(light.quantile(0.99), alone.quantile(0.99)), "light-p99/alone")
		b.ReportMetric(float64(heavy.useful)/float64(heavy.submitted), "heavy-useful")
		b.ReportMetric(with.capacityShare(span), "useful/capacity")
	}
}

// BenchmarkLongAmongShort compares the routing strategies by the latency of a
// load in which one request in fifty takes 2 s.
func BenchmarkLongAmongShort(b *testing.B) {
	const span = 60 * time.Second
	for _, way := range strategies {
		b.Run(way.name, func(b *testing.B) {
			for b.Loop() {
				sc := steadyScenario(0.7, span)
				sc.service, sc.pick = occasionallyLong, way.pick
				r := run(sc).callers["normal"]
				b.ReportMetric(float64(r.quantile(0.5).Milliseconds()), "p50-ms")
				b.ReportMetric(float64(r.quantile(0.97).Milliseconds()), "p97-ms")
				b.ReportMetric(float64(r.useful)/float64(r.submitted), "useful")
			}
		})
	}
}

// outageScenario applies a fault to half of the targets for the middle half of
// the time.
func outageScenario(span time.Duration, change func(*simTarget)) scenario {
	sc := steadyScenario(0.9, span)
	for i := range 5 {
		sc.faults = append(sc.faults, simFault{at: span / 4, target: i, change: change},
			simFault{at: span * 3 / 4, target: i, change: func(t *simTarget) { t.down, t.refuses, t.fails = false, false, false }})
	}
	return sc
}

// BenchmarkRetryUnderOutage reports the retries per request, and the shares of
// useful and failed requests, for three kinds of fault at half of the targets.
func BenchmarkRetryUnderOutage(b *testing.B) {
	const span = 40 * time.Second
	for _, o := range []struct {
		name   string
		change func(*simTarget)
	}{
		{"down", func(t *simTarget) { t.down = true }},
		{"failing", func(t *simTarget) { t.fails = true }},
		{"refusing", func(t *simTarget) { t.refuses, t.running = true, t.running+8 }},
	} {
		b.Run(o.name, func(b *testing.B) {
			for b.Loop() {
				r := run(outageScenario(span, o.change))
				s := r.callers["normal"]
				b.ReportMetric(float64(r.retries)/float64(r.submitted), "retries/fresh")
				b.ReportMetric(float64(s.useful)/float64(s.submitted), "useful")
				b.ReportMetric(float64(s.failed)/float64(s.submitted), "failed")
			}
		})
	}
}

// withSkewedEntries sends half of the load to one entry VM, as a load balancer
// does that pins the connections of a few callers.
func withSkewedEntries(sc scenario) scenario {
	sc.entryOf = func(r *rand.Rand) int {
		if r.IntN(2) == 0 {
			return 0
		}
		return r.IntN(sc.entries)
	}
	return sc
}

// BenchmarkSlots compares ways to divide the slots of targets among entry VMs,
// with requests spread evenly over the entry VMs and with half of them sent to
// a single one. The number in a load's name is its multiple of the capacity.
func BenchmarkSlots(b *testing.B) {
	const span = 40 * time.Second
	for _, load := range []struct {
		name string
		sc   func() scenario
	}{
		{"even-0.7", func() scenario { return steadyScenario(0.7, span) }},
		{"even-2", func() scenario { return steadyScenario(2, span/2) }},
		{"skewed-0.4", func() scenario { return withSkewedEntries(steadyScenario(0.4, span)) }},
		{"skewed-0.7", func() scenario { return withSkewedEntries(steadyScenario(0.7, span)) }},
	} {
		for _, way := range []struct {
			name  string
			apply func(*scenario)
		}{
			{"loans", func(*scenario) {}},
			{"fixed", func(sc *scenario) { sc.noLoans = true }},
			{"no-digests", func(sc *scenario) { sc.noDigests = true }},
			{"split-no-refusal", func(sc *scenario) { sc.noDigests, sc.split = true, true }},
			{"split", func(sc *scenario) { sc.noDigests, sc.split, sc.refuses = true, true, true }},
			{"optimistic", func(sc *scenario) { sc.noLoans, sc.optimistic, sc.refuses = true, true, true }},
			{"optimistic-no-refusal", func(sc *scenario) { sc.noLoans, sc.optimistic = true, true }},
		} {
			b.Run(load.name+"/"+way.name, func(b *testing.B) {
				for b.Loop() {
					sc := load.sc()
					way.apply(&sc)
					r := run(sc)
					s := r.callers["normal"]
					b.ReportMetric(float64(s.useful)/float64(s.submitted), "useful")
					b.ReportMetric(float64(s.quantile(0.99).Milliseconds()), "p99-ms")
					b.ReportMetric(float64(r.peakGranted), "sent-peak")
					b.ReportMetric(float64(r.peakRunning), "running-peak")
					b.ReportMetric(float64(r.refused)/float64(r.submitted), "refused/fresh")
				}
			})
		}
	}
}
