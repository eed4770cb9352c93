package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// measure records a probe that ran at the time at, after the wait.
func measure(m *Meter, at, wait time.Duration) {
	m.Begin(at - wait)
	m.End(at)
}

// An owner that took a pause of the garbage collector for a queue would shed load for no reason,
// and one that took a queue for a pause would shed none. In a queue every recent probe waits, so
// the minimum delay rises; a pause delays a single one.
func TestAPauseIsNoStandingQueue(t *testing.T) {
	var m Meter
	now := time.Minute
	for range 6 {
		now += ProbeInterval
		measure(&m, now, time.Millisecond)
	}
	now += ProbeInterval
	measure(&m, now, 300*time.Millisecond)
	assert.Equal(t, m.MinDelay(now), time.Millisecond)
	assert.Equal(t, m.MaxDelay(now), 300*time.Millisecond, "an answer may have waited as long")
	now += maxDelayWindow
	assert.Equal(t, m.MaxDelay(now), time.Duration(0))
}

// While a probe waits for seconds, none ends. If only ended probes counted, the meter would
// report the small delays from before the overload.
func TestAPendingProbeCounts(t *testing.T) {
	var m Meter
	now := time.Minute
	measure(&m, now, time.Millisecond)
	m.Begin(now)
	now += 2 * time.Second
	assert.Equal(t, m.MaxDelay(now), 2*time.Second)
	assert.Equal(t, m.MinDelay(now), 2*time.Second)
}

func TestNoDelayBeforeTheFirstProbe(t *testing.T) {
	var m Meter
	assert.Equal(t, m.MaxDelay(time.Hour), time.Duration(0))
	assert.Equal(t, m.MinDelay(time.Hour), time.Duration(0))
}

// An overloaded owner sheds load step by step until the scheduling delay is low, and restores it
// afterwards. Between the two limits the level stays, so that it does not oscillate.
func TestLoadIsShedUntilTheDelayIsLow(t *testing.T) {
	var g Governor
	now := time.Minute
	step := func(minDelay time.Duration, times int) {
		for range times {
			now += adjustInterval
			g.Adjust(minDelay, now)
		}
	}
	usual := 40 * time.Millisecond
	step(lowDelay, 3)
	assert.Equal(t, g.PollPause(usual), usual)
	assert.Equal(t, g.StartsLeft(50), MaxStarts-50)
	step(2*highDelay, 4)
	assert.Assert(t, g.PollPause(usual) > 4*usual)
	assert.Assert(t, g.StartsLeft(0) < MaxStarts/4)
	level := g.Level()
	step((lowDelay+highDelay)/2, 5)
	assert.Equal(t, g.Level(), level)
	step(2*highDelay, 50)
	assert.Equal(t, g.PollPause(usual), maxPollInterval, "leases are extended at any level")
	assert.Assert(t, g.StartsLeft(0) >= minStarts)
	assert.Equal(t, g.StartsLeft(1000), 0)
	step(0, 50)
	assert.Equal(t, g.Level(), 1.0)
}

// Several calls of Adjust may follow each other at once. The level changes only once, since the
// effect of a change shows later.
func TestTheLevelChangesOncePerInterval(t *testing.T) {
	var g Governor
	for range 10 {
		g.Adjust(time.Second, time.Minute)
	}
	assert.Equal(t, g.Level(), increaseFactor)
}

func TestExtraTimeoutGrowsWithTheDelayAndIsBounded(t *testing.T) {
	assert.Equal(t, ExtraTimeout(0), time.Duration(0))
	assert.Equal(t, ExtraTimeout(100*time.Millisecond), 300*time.Millisecond)
	assert.Equal(t, ExtraTimeout(time.Minute), maxExtraTimeout)
	assert.Assert(t, !AnswerMayBeUnread(unreadAnswerDelay-1))
	assert.Assert(t, AnswerMayBeUnread(unreadAnswerDelay))
}

// An owner on a VM that is slow for seconds hands its service over. It keeps the service in the
// first moment of a burst, where there is no successor, and where it took the service only just
// now: two slow VMs would hand it to each other in turns.
func TestWhenADutyIsHandedOver(t *testing.T) {
	const long = time.Hour
	for _, c := range []struct {
		name         string
		level        float64
		next         Successor
		held         time.Duration
		overloadTime time.Duration
		due          bool
	}{
		{"overloaded for long", overloadedLevel, EqualSuccessor, long, overloadedFor, true},
		{"overloaded for a moment", overloadedLevel, EqualSuccessor, long, overloadedFor - 1, false},
		{"a level below the limit", overloadedLevel - 0.1, EqualSuccessor, long, long, false},
		{"no successor", overloadedLevel, NoSuccessor, long, long, false},
		{"just taken from a VM that is slow, too", overloadedLevel, EqualSuccessor, minHeld - 1, long, false},
		{"taken by a small VM while a larger one is free", overloadedLevel, LargerSuccessor, minHeldForLarger, long, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h Handover
			next := func() Successor { return c.next }
			now := time.Minute
			assert.Assert(t, !h.Due(c.level, next, c.held, now))
			assert.Equal(t, h.Due(c.level, next, c.held, now+c.overloadTime), c.due)
		})
	}
}

// Two periods of overload with a normal one between them don't add up to a long one.
func TestANormalLevelRestartsTheOverloadPeriod(t *testing.T) {
	var h Handover
	next := func() Successor { return EqualSuccessor }
	now := time.Minute
	assert.Assert(t, !h.Due(overloadedLevel, next, time.Hour, now))
	assert.Assert(t, !h.Due(1, next, time.Hour, now+overloadedFor/2))
	assert.Assert(t, !h.Due(overloadedLevel, next, time.Hour, now+overloadedFor))
	assert.Assert(t, h.Due(overloadedLevel, next, time.Hour, now+2*overloadedFor))
}

// A small VM that was the first to start would still own a service of a thousand workers when a
// burst comes, if it did not hand it over while idle.
func TestAnIdleOwnerHandsOverToALargerVM(t *testing.T) {
	larger := func() Successor { return LargerSuccessor }
	equal := func() Successor { return EqualSuccessor }
	var h Handover
	now := time.Minute
	assert.Equal(t, h.DueWhenIdle(larger, idleCheckInterval-1, now), false, "just taken")
	assert.Equal(t, h.DueWhenIdle(equal, time.Hour, now), false)
	assert.Equal(t, h.DueWhenIdle(larger, time.Hour, now+idleCheckInterval-1), false, "checked a moment ago")
	assert.Equal(t, h.DueWhenIdle(larger, time.Hour, now+idleCheckInterval), true)
}
