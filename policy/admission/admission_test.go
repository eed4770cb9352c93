package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

var t0 = time.Unix(1_000_000, 0)

func TestDecide(t *testing.T) {
	idle := Load{Live: 2, Slots: 10, Free: 10, Mean: 100 * ms, HighQuantile: 300 * ms}
	busy := Load{Live: 2, Slots: 10, Mean: 100 * ms, HighQuantile: 300 * ms, InFlight: 10}
	with := func(l Load, change func(*Load)) Load { change(&l); return l }
	cases := []struct {
		name    string
		load    Load
		timeout time.Duration
		verdict Verdict
		retry   time.Duration
	}{
		{"a free slot", idle, time.Second, Admit, 0},
		{"a free slot and less time than requests take", idle, 10 * ms, Admit, 0},
		{"no live target", Load{}, time.Second, NoTargets, noTargetRetry},
		{"no slot, time for a loan", Load{Live: 2}, 3 * time.Second, Admit, 0},
		{"no slot, no time for a loan", Load{Live: 2}, time.Second, WouldBeLate, borrowTime},
		{"the wait leaves enough time", with(busy, func(l *Load) { l.CostAhead = 50 }), time.Second, Admit, 0},
		{"would be late", with(busy, func(l *Load) { l.CostAhead = 99 }), time.Second, WouldBeLate, 300 * ms},
		{"the margin is half of a short timeout", with(busy, func(l *Load) { l.CostAhead = 4 }), 100 * ms, Admit, 0},
		{"the wait leaves less than half of a short timeout", with(busy, func(l *Load) { l.CostAhead = 9 }), 100 * ms, WouldBeLate, 50 * ms},
		{"nothing known of the service", Load{Live: 2, Slots: 10, InFlight: 10, CostAhead: 99}, time.Second, Admit, 0},
		{"the limit is reached though slots are free", with(idle, func(l *Load) { l.Limit, l.InFlight, l.CostAhead = 2, 2, 20 }), time.Second, WouldBeLate, 350 * ms},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := Decide(tc.load, Request{Arrived: t0, Deadline: t0.Add(tc.timeout)}, t0)
			assert.Equal(t, d.Verdict, tc.verdict)
			assert.Equal(t, d.RetryAfter, tc.retry)
		})
	}
}

func TestCannotMeetDeadline(t *testing.T) {
	r := Request{Arrived: t0, Deadline: t0.Add(time.Second)}
	assert.Assert(t, !CannotMeetDeadline(r, 2*time.Second, t0), "a request that has not waited may be sent")
	assert.Assert(t, !CannotMeetDeadline(r, 300*ms, t0.Add(700*ms)))
	assert.Assert(t, CannotMeetDeadline(r, 300*ms, t0.Add(701*ms)))
	assert.Assert(t, CannotMeetDeadline(r, 2*time.Second, t0.Add(501*ms)))
}

func TestDeferrableWorkLeavesAReserve(t *testing.T) {
	cases := []struct {
		free, slots int
		want        bool
	}{{10, 10, true}, {3, 10, true}, {2, 10, false}, {0, 10, false}, {1, 1, true}, {0, 1, false}, {1, 8, false}}
	for _, tc := range cases {
		assert.Equal(t, DeferrableMayStart(tc.free, tc.slots), tc.want, "%d of %d", tc.free, tc.slots)
	}
}

func TestEntryLimit(t *testing.T) {
	cases := []struct{ limit, entries, want int }{{0, 8, 0}, {40, 8, 5}, {41, 8, 6}, {3, 8, 1}, {5, 0, 5}}
	for _, tc := range cases {
		assert.Equal(t, EntryLimit(tc.limit, tc.entries), tc.want, "%d among %d", tc.limit, tc.entries)
	}
}

func TestHoldTime(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	var h HoldTime
	for range 5000 {
		h.Observe(time.Duration(rnd.ExpFloat64() * float64(100*ms)))
	}
	assert.Assert(t, h.Mean() > 70*ms && h.Mean() < 130*ms, "%v", h.Mean())
	assert.Assert(t, h.HighQuantile() > 200*ms && h.HighQuantile() < 450*ms, "95%% of exponential times are within 300 ms, not %v", h.HighQuantile())
	before := h.HighQuantile()
	h.Observe(time.Hour)
	assert.Assert(t, h.HighQuantile() < before*11/10, "the size of one sample does not matter: %v", h.HighQuantile())
	assert.Assert(t, h.Mean() < 200*ms, "one sample changes the mean little: %v", h.Mean())
	for range 200 {
		h.Observe(time.Second)
	}
	assert.Assert(t, h.Mean() > 800*ms, "the mean follows longer requests: %v", h.Mean())
}

// One caller takes half of the slot time while thousands of callers send a single
// request each. It must be found and its cost estimated in bounded memory.
func TestCostsFindHeavyCallers(t *testing.T) {
	c := NewCosts()
	for i := range 20000 {
		c.Observe(fmt.Sprint("once", i), 10*ms, 10*ms)
		if i%10 == 0 {
			c.Observe("heavy", 100*ms, 10*ms)
		}
	}
	heavy := c.Heaviest(0.3)
	assert.Equal(t, len(heavy), 1)
	assert.Equal(t, heavy[0].Caller, "heavy")
	assert.Assert(t, heavy[0].Share > 0.35 && heavy[0].Share < 0.55, "%v", heavy[0].Share)
	assert.Assert(t, len(c.callers) <= trackedCallers)
	assert.Assert(t, c.Cost("heavy", 10*ms) > 9.9)
	assert.Equal(t, c.Cost("never seen", 10*ms), 1.0)
}
