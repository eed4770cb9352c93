package crashes_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/crashes"
)

// Shares of jobs that crash workers, of a kind of which nothing is known and of one of which
// many were given up of late, and crashes of one worker a second.
const (
	usual, hot   = 0.001, 0.05
	calm, stormy = 0.01, 0.15
)

// under returns what is known of a task after so many crashes, each of a worker with the task
// alone, after it had run for so long.
func under(ran time.Duration, prior, rate float64, crashed int) (r crashes.Record) {
	for run := range crashed {
		blamed := crashes.Attribute([]crashes.LostRun{{Job: "j", MinRunTime: ran, MaxRunTime: ran + 10*time.Millisecond, Record: r, Prior: prior}}, rate).Blamed
		blamed[0].Run = run + 1
		if blamed[0].Factor > 0 {
			r = r.With(blamed[0])
		}
	}
	return r
}

func presumed(runs ...int) (r crashes.Record) {
	for _, run := range runs {
		r = r.With(crashes.Crash{Run: run, Presumed: true})
	}
	return r
}

func TestVerdictsFollowTheCrashes(t *testing.T) {
	for _, c := range []struct {
		name            string
		prior           float64
		record          crashes.Record
		suspect, poison bool
	}{
		{"none", usual, nil, false, false},
		{"none, of a hot kind", hot, nil, false, false},
		{"one at its start", usual, under(0, usual, calm, 1), true, false},
		{"two at its start", usual, under(0, usual, calm, 2), true, true},
		{"three at its start", usual, under(0, usual, calm, 3), true, true},
		{"one at its start, of a hot kind", hot, under(0, hot, calm, 1), true, false},
		{"two at its start, of a hot kind", hot, under(0, hot, calm, 2), true, true},
		{"one later", usual, under(time.Second, usual, calm, 1), false, false},
		{"two later", usual, under(time.Second, usual, calm, 2), false, false},
		{"four later", usual, under(time.Second, usual, calm, 4), true, false},
		{"five later", usual, under(time.Second, usual, calm, 5), true, true},
		{"two at its start, where workers crash by themselves", usual, under(0, usual, stormy, 2), true, false},
		{"four later, where workers crash by themselves", usual, under(time.Second, usual, stormy, 4), false, false},
		{"five later, where workers crash by themselves", usual, under(time.Second, usual, stormy, 5), false, true},
		{"one presumed", usual, presumed(1), false, false},
		{"two presumed", usual, presumed(1, 2), true, false},
		{"four presumed", usual, presumed(1, 2, 3, 4), true, false},
		{"five presumed", usual, presumed(1, 2, 3, 4, 5), true, true},
		{"one at its start, three presumed", usual, append(under(0, usual, calm, 1), presumed(7, 8, 9)...), true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.record.Suspect(c.prior), c.suspect)
			assert.Equal(t, c.record.Poison(c.prior), c.poison)
		})
	}
}

func TestTheRateFollowsCrashesThatNoRunExplains(t *testing.T) {
	var r crashes.Rate
	quiet := r.PerWorker(time.Hour)
	for i := range 6 {
		r.Crashed(1, 10, time.Hour+time.Duration(i)*time.Second)
		r.Crashed(0, 10, time.Hour+time.Duration(i)*time.Second)
	}
	got := r.PerWorker(time.Hour + 6*time.Second)
	assert.Assert(t, got > quiet+0.059 && got < quiet+0.061, "6 crashes of 10 workers in 10 s: %f", got)
	assert.Equal(t, r.PerWorker(time.Hour+time.Minute), quiet)
}

// A sound task is given up after one crash that a list, a call and the next owner told of.
func TestACrashCountsOnce(t *testing.T) {
	r := under(0, usual, calm, 1)
	for range 3 {
		r = r.With(r[0])
	}
	assert.Equal(t, len(r), 1)
	assert.Equal(t, r.Poison(hot), false)
}

// A whole pool is taken up with trying sound tasks apart, as each crash makes suspects of all
// that ran there.
func TestACrashBlamesWhatHadJustBegun(t *testing.T) {
	began := crashes.LostRun{Job: "began", MaxRunTime: 12 * time.Millisecond, Prior: hot}
	lost := []crashes.LostRun{began}
	for i := range 12 {
		ran := time.Duration(i+1) * 50 * time.Millisecond
		lost = append(lost, crashes.LostRun{Job: string(rune('a' + i)), MinRunTime: ran, MaxRunTime: ran + 10*time.Millisecond, Prior: hot})
	}
	verdict := crashes.Attribute(lost, calm)
	blamed := verdict.Blamed
	assert.Check(t, verdict.Spontaneous < 0.05)
	assert.Check(t, verdict.FirstCrash[0] > 0.7)
	for i := range blamed {
		record := crashes.Record{}
		if blamed[i].Factor > 0 {
			record = record.With(blamed[i])
		}
		assert.Equal(t, record.Suspect(hot), i == 0, "run %d: factor %f", i, blamed[i].Factor)
	}
}

func TestACrashBlamesThoseThatMayHaveCausedIt(t *testing.T) {
	const fresh, older, old = 20 * time.Millisecond, 600 * time.Millisecond, crashes.ClearedAfter
	known := under(0, usual, calm, 1)
	for _, c := range []struct {
		name     string
		lostRuns []crashes.LostRun
		blamed   []bool // by more than twofold odds
	}{
		{"a fresh run, an older one, a lasting one", []crashes.LostRun{{Job: "a", MaxRunTime: fresh}, {Job: "b", MinRunTime: older, MaxRunTime: older}, {Job: "c", MinRunTime: old, MaxRunTime: old, LongRunning: true}}, []bool{true, true, false}},
		{"a suspect clears an older run", []crashes.LostRun{{Job: "a", MaxRunTime: fresh, Record: known}, {Job: "b", MinRunTime: older, MaxRunTime: older}}, []bool{true, false}},
		{"but not a fresh one altogether", []crashes.LostRun{{Job: "a", MaxRunTime: fresh, Record: known}, {Job: "b", MaxRunTime: fresh}}, []bool{true, true}},
		{"a suspect that went on for long clears nobody", []crashes.LostRun{{Job: "a", MinRunTime: 5 * time.Second, MaxRunTime: 5 * time.Second, Record: known}, {Job: "b", MaxRunTime: fresh}}, []bool{false, true}},
		{"a run that the worker may not have seen", []crashes.LostRun{{Job: "a", StartUnconfirmed: true}}, []bool{true}},
		{"a lasting task that has just begun", []crashes.LostRun{{Job: "a", MinRunTime: older, MaxRunTime: older, LongRunning: true}}, []bool{true}},
		{"runs of one job are blamed together", []crashes.LostRun{{Job: "a", MaxRunTime: fresh}, {Job: "a", MaxRunTime: fresh}}, []bool{true, true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i := range c.lostRuns {
				c.lostRuns[i].Prior = usual
			}
			blamed := crashes.Attribute(c.lostRuns, calm).Blamed
			for i := range blamed {
				assert.Equal(t, blamed[i].Factor > 2, c.blamed[i], "run %d: factor %f", i, blamed[i].Factor)
			}
		})
	}
}

// Neighbours of a task that is given up stay suspects for what it did.
func TestWhatAnotherTaskExplainsIsTakenBack(t *testing.T) {
	bad := crashes.Record{{Run: 1, Incarnation: "w1", Factor: 900}, {Run: 2, Incarnation: "w2", Factor: 900}}
	beside := crashes.Record{{Run: 1, Incarnation: "w1", Factor: 20}, {Run: 2, Incarnation: "w9", Factor: 5}}
	left, changed := beside.MarkExplained(bad.Incarnations())
	assert.Assert(t, changed)
	assert.DeepEqual(t, left, crashes.Record{{Run: 1, Incarnation: "w1", Factor: 20, ExplainedByOther: true}, {Run: 2, Incarnation: "w9", Factor: 5}})
	assert.Assert(t, !left.Suspect(0.02))
	_, changed = left.MarkExplained(bad.Incarnations())
	assert.Assert(t, !changed)
}

// Of two faulty tasks that crash the same workers one is given up first, which takes its crashes
// off the other: that one was started three times more than the platform allows.
func TestTheBoundOnCrashesCountsThoseThatAnotherExplains(t *testing.T) {
	r := crashes.Record{{Run: 1, Incarnation: "w1", Factor: 3}, {Run: 2, Incarnation: "w2", Factor: 30}, {Run: 3, Incarnation: "w3", Factor: 6}}
	r, _ = r.MarkExplained([]string{"w1", "w2"})
	r = r.With(crashes.Crash{Run: 4, Incarnation: "w4", Factor: 5})
	assert.Assert(t, !r.Poison(0.1))
	r = r.With(crashes.Crash{Run: 5, Incarnation: "w5", Factor: 27})
	assert.Assert(t, r.Poison(0.1))
	sound, _ := r.MarkExplained([]string{"w3", "w4", "w5"})
	assert.Assert(t, !sound.Poison(0.1), "all were another's doing")
}

// A kind of job that crashed many workers counts as dangerous long after it was mended, or a
// dangerous one as usual while its jobs are given up.
func TestAKindIsJudgedByHowItsJobsEndedOfLate(t *testing.T) {
	var k crashes.Kind
	now := time.Hour
	assert.Equal(t, k.Hazardous(now), false)
	for range 3 {
		k.Crashed(0.9, now)
	}
	assert.Check(t, k.Hazardous(now))
	for i := range 200 {
		k.Completed(now + time.Duration(i)*time.Second)
	}
	assert.Equal(t, k.Hazardous(now+200*time.Second), false)
}

// Workers are lost to suspects faster than they come back.
func TestSuspectsTakeDownAPartOfAPool(t *testing.T) {
	var trials crashes.Trials
	assert.Equal(t, trials.Available(24, 0, 0, 0), 2)
	assert.Equal(t, trials.Available(24, 0, 1, 0), 1)
	trials.Lost("a", 0)
	trials.Lost("b", 0)
	assert.Equal(t, trials.Available(22, 0, 0, 0), 0)
	trials.Returned("a")
	assert.Equal(t, trials.Available(23, 0, 0, 0), 1)
	assert.Equal(t, trials.Available(23, 0, 0, time.Minute), 1, "a worker that does not come back is not waited for")
	assert.Equal(t, trials.Available(3, 0, 0, time.Minute), 1)
	assert.Equal(t, trials.Available(24, 10, 0, time.Minute), 5, "half of what nothing else needs")
}

// A trial lasts as long where tasks crash their workers at once as where they do so late.
func TestATrialLastsAsLongAsCrashesTake(t *testing.T) {
	var o crashes.TimesToCrash
	assert.Equal(t, o.TrialDuration(), crashes.MaxTrialDuration)
	for range 4 {
		o.Add(crashes.Record{{Run: 1, MaxRunTime: 30 * time.Millisecond}})
	}
	assert.Equal(t, o.TrialDuration(), 120*time.Millisecond)
	o.Add(crashes.Record{{Run: 1, MaxRunTime: 400 * time.Millisecond}})
	assert.Equal(t, o.TrialDuration(), crashes.MaxTrialDuration)
}

// A rack that is lost makes suspects of all that had just begun on its workers.
func TestWorkersLostTogetherAreToldFromThoseLostToTasks(t *testing.T) {
	const rack = time.Minute
	var s crashes.CorrelatedLosses
	for i := range 5 {
		s.Record(time.Duration(i)*400*time.Millisecond+rack-3*time.Second, rack)
	}
	assert.Equal(t, s.Rate(rack-3*time.Second, 8), 0.0)
	for i := range 4 {
		s.Record(rack+time.Duration(i)*10*time.Millisecond, rack)
	}
	assert.Check(t, s.Rate(rack, 8) > 0.5)
	common := s.Rate(rack+30*time.Millisecond, 8)
	assert.Check(t, common > 0.5)
	lost := []crashes.LostRun{{Job: "a", MaxRunTime: 20 * time.Millisecond, Prior: usual}}
	blamed := crashes.Attribute(lost, calm+common).Blamed[0]
	assert.Equal(t, crashes.Record{blamed}.Suspect(usual), false)
	assert.Equal(t, crashes.Record{crashes.Attribute(lost, calm).Blamed[0]}.Suspect(usual), true)
}

// All workers of a small pool are lost at once, and what had just begun there is given up.
func TestAllWorkersOfASmallPoolAreLostTogether(t *testing.T) {
	var s crashes.CorrelatedLosses
	for range 3 {
		s.Record(time.Minute, time.Minute)
	}
	assert.Check(t, s.Rate(time.Minute, 3) > 1)
	assert.Equal(t, s.Rate(time.Minute, 12), 0.0, "a part of a larger one")
	var one crashes.CorrelatedLosses
	one.Record(time.Minute, time.Minute)
	assert.Equal(t, one.Rate(time.Minute, 1), 0.0)
}

// The record of a lasting task, which is never given up, outgrows the store, and its odds any number.
func TestARecordHoldsTheLatestCrashes(t *testing.T) {
	r := under(0, hot, calm, 400)
	assert.Equal(t, len(r), 5)
	assert.Equal(t, r.LatestRun(), 400)
	verdict := crashes.Attribute([]crashes.LostRun{{Job: "j", MaxRunTime: time.Millisecond, Record: r, Prior: hot}}, calm)
	assert.Check(t, verdict.Spontaneous > 0 && verdict.Spontaneous < 1)
}

// A worker crashes by itself, the next start there finds no connection, and is blamed as if the
// worker had crashed right under it.
func TestAStartThatMayHaveComeTooLateIsBlamedLess(t *testing.T) {
	factor := func(before time.Duration) float64 {
		return crashes.Attribute([]crashes.LostRun{{Job: "j", MaxRunTime: time.Millisecond, SilentBeforeStart: before, Prior: 0.02}}, 0.01).Blamed[0].Factor
	}
	assert.Assert(t, factor(300*time.Millisecond) < factor(0)/30)
}
