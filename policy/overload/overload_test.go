package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// measure has a probe wait that long at that time.
func measure(m *Meter, at, wait time.Duration) {
	m.Begin(at - wait)
	m.End(at)
}

// An owner takes a pause of the collector for a queue, and polls less for nothing; or it
// takes a queue for a pause. A queue is what the least of several probes waited.
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
	now += recent
	assert.Equal(t, m.MaxDelay(now), time.Duration(0))
}

// All probes wait for seconds: none has ended, and the meter would tell of the calm before.
func TestAProbeThatStillWaitsCounts(t *testing.T) {
	var m Meter
	now := time.Minute
	measure(&m, now, time.Millisecond)
	m.Begin(now)
	now += 2 * time.Second
	assert.Equal(t, m.MaxDelay(now), 2*time.Second)
	assert.Equal(t, m.MinDelay(now), 2*time.Second)
}

func TestNothingIsMeasuredAtFirst(t *testing.T) {
	var m Meter
	assert.Equal(t, m.MaxDelay(time.Hour), time.Duration(0))
	assert.Equal(t, m.MinDelay(time.Hour), time.Duration(0))
}

// An owner is behind: it does less, by steps, until little waits, and more again after.
// Between the two limits nothing changes, so that the level does not swing.
func TestLessIsDoneUntilLittleWaits(t *testing.T) {
	var g Governor
	now := time.Minute
	step := func(standing time.Duration, times int) {
		for range times {
			now += adjustEvery
			g.Adjust(standing, now)
		}
	}
	usual := 40 * time.Millisecond
	step(little, 3)
	assert.Equal(t, g.Pause(usual), usual)
	assert.Equal(t, g.Starts(50), MaxStarts-50)
	step(2*most, 4)
	assert.Assert(t, g.Pause(usual) > 4*usual)
	assert.Assert(t, g.Starts(0) < MaxStarts/4)
	level := g.Level()
	step((little+most)/2, 5)
	assert.Equal(t, g.Level(), level)
	step(2*most, 50)
	assert.Equal(t, g.Pause(usual), pollsApart, "leases are extended at any level")
	assert.Assert(t, g.Starts(0) >= leastStarts)
	assert.Equal(t, g.Starts(1000), 0)
	step(0, 50)
	assert.Equal(t, g.Level(), 1.0)
}

// A long answer of one pass asks for several changes at once: a change shows later.
func TestOneChangeAtATime(t *testing.T) {
	var g Governor
	for range 10 {
		g.Adjust(time.Second, time.Minute)
	}
	assert.Equal(t, g.Level(), harder)
}

func TestPatienceGrowsWithTheQueueAndIsBounded(t *testing.T) {
	assert.Equal(t, ExtraTimeout(0), time.Duration(0))
	assert.Equal(t, ExtraTimeout(100*time.Millisecond), 300*time.Millisecond)
	assert.Equal(t, ExtraTimeout(time.Minute), mostPatience)
	assert.Assert(t, !AnswerMayBeUnread(ownDoing-1))
	assert.Assert(t, AnswerMayBeUnread(ownDoing))
}

// The owner on a VM that is slow for seconds hands its service over; one with a burst's
// first moment does not, nor one that nobody could relieve, nor two slow ones by turns.
func TestWhenADutyIsHandedOver(t *testing.T) {
	const long = time.Hour
	for _, c := range []struct {
		name     string
		level    float64
		next     Successor
		held     time.Duration
		strained time.Duration
		due      bool
	}{
		{"behind for long", strained, EqualSuccessor, long, strainedFor, true},
		{"a moment", strained, EqualSuccessor, long, strainedFor - 1, false},
		{"a little", strained - 0.1, EqualSuccessor, long, long, false},
		{"nobody else", strained, NoSuccessor, long, long, false},
		{"just taken from one that is slow, too", strained, EqualSuccessor, keepFor - 1, long, false},
		{"taken by a small one", strained, LargerSuccessor, keepSmall, long, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r Handover
			next := func() Successor { return c.next }
			now := time.Minute
			assert.Assert(t, !r.Due(c.level, next, c.held, now))
			assert.Equal(t, r.Due(c.level, next, c.held, now+c.strained), c.due)
		})
	}
}

// Two spells of strain do not add up.
func TestARestBetweenBeginsAnew(t *testing.T) {
	var r Handover
	next := func() Successor { return EqualSuccessor }
	now := time.Minute
	assert.Assert(t, !r.Due(strained, next, time.Hour, now))
	assert.Assert(t, !r.Due(1, next, time.Hour, now+strainedFor/2))
	assert.Assert(t, !r.Due(strained, next, time.Hour, now+strainedFor))
	assert.Assert(t, r.Due(strained, next, time.Hour, now+2*strainedFor))
}

// A small VM that happened to start first has a service of a thousand workers as its burst comes.
func TestAnOwnerAtRestMakesWayForALargerVM(t *testing.T) {
	larger := func() Successor { return LargerSuccessor }
	equal := func() Successor { return EqualSuccessor }
	var r Handover
	now := time.Minute
	assert.Equal(t, r.DueWhenIdle(larger, restEvery-1, now), false, "just taken")
	assert.Equal(t, r.DueWhenIdle(equal, time.Hour, now), false)
	assert.Equal(t, r.DueWhenIdle(larger, time.Hour, now+restEvery-1), false, "looked a moment ago")
	assert.Equal(t, r.DueWhenIdle(larger, time.Hour, now+restEvery), true)
}
