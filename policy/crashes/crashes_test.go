package crashes_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/crashes"
)

// Shares of jobs that crash workers, for a kind without any history and for one of which many
// jobs were given up of late, and spontaneous crashes per worker and second.
const (
	usual, hazardous  = 0.001, 0.05
	lowRate, highRate = 0.01, 0.15
)

// recordAfter returns the record of a task after the given number of crashes, each of a worker
// that ran only this task and for the given time. prior is the share of jobs of the task's kind
// that crash workers, rate the number of spontaneous crashes per worker and second.
func recordAfter(ran time.Duration, prior, rate float64, crashed int) (r crashes.Record) {
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

func TestSuspectAndPoisonByRecord(t *testing.T) {
	for _, c := range []struct {
		name            string
		prior           float64
		record          crashes.Record
		suspect, poison bool
	}{
		{"none", usual, nil, false, false},
		{"none, of a hazardous kind", hazardous, nil, false, false},
		{"one at its start", usual, recordAfter(0, usual, lowRate, 1), true, false},
		{"two at its start", usual, recordAfter(0, usual, lowRate, 2), true, true},
		{"three at its start", usual, recordAfter(0, usual, lowRate, 3), true, true},
		{"one at its start, of a hazardous kind", hazardous, recordAfter(0, hazardous, lowRate, 1), true, false},
		{"two at its start, of a hazardous kind", hazardous, recordAfter(0, hazardous, lowRate, 2), true, true},
		{"one later", usual, recordAfter(time.Second, usual, lowRate, 1), false, false},
		{"two later", usual, recordAfter(time.Second, usual, lowRate, 2), false, false},
		{"four later", usual, recordAfter(time.Second, usual, lowRate, 4), true, false},
		{"five later", usual, recordAfter(time.Second, usual, lowRate, 5), true, true},
		{"two at its start, where workers crash spontaneously", usual, recordAfter(0, usual, highRate, 2), true, false},
		{"four later, where workers crash spontaneously", usual, recordAfter(time.Second, usual, highRate, 4), false, false},
		{"five later, where workers crash spontaneously", usual, recordAfter(time.Second, usual, highRate, 5), false, true},
		{"one presumed", usual, presumed(1), false, false},
		{"two presumed", usual, presumed(1, 2), true, false},
		{"four presumed", usual, presumed(1, 2, 3, 4), true, false},
		{"five presumed", usual, presumed(1, 2, 3, 4, 5), true, true},
		{"one at its start, three presumed", usual, append(recordAfter(0, usual, lowRate, 1), presumed(7, 8, 9)...), true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.record.Suspect(c.prior), c.suspect)
			assert.Equal(t, c.record.Poison(c.prior), c.poison)
		})
	}
}

func TestTheRateCountsCrashesThatNoRunExplains(t *testing.T) {
	var r crashes.Rate
	base := r.PerWorker(time.Hour)
	for i := range 6 {
		r.Crashed(1, 10, time.Hour+time.Duration(i)*time.Second)
		r.Crashed(0, 10, time.Hour+time.Duration(i)*time.Second)
	}
	got := r.PerWorker(time.Hour + 6*time.Second)
	assert.Assert(t, got > base+0.059 && got < base+0.061, "6 crashes of 10 workers in 10 s: %f", got)
	assert.Equal(t, r.PerWorker(time.Hour+time.Minute), base)
}

// A sound task would be given up after one crash if the reports of it by a listing, a call and
// the next owner were counted separately.
func TestACrashCountsOnce(t *testing.T) {
	r := recordAfter(0, usual, lowRate, 1)
	for range 3 {
		r = r.With(r[0])
	}
	assert.Equal(t, len(r), 1)
	assert.Equal(t, r.Poison(hazardous), false)
}

// If each crash made suspects of all tasks on the worker, a whole pool would be taken up with
// trying sound tasks apart from others.
func TestACrashBlamesWhatHadJustStarted(t *testing.T) {
	started := crashes.LostRun{Job: "began", MaxRunTime: 12 * time.Millisecond, Prior: hazardous}
	lost := []crashes.LostRun{started}
	for i := range 12 {
		ran := time.Duration(i+1) * 50 * time.Millisecond
		lost = append(lost, crashes.LostRun{Job: string(rune('a' + i)), MinRunTime: ran, MaxRunTime: ran + 10*time.Millisecond, Prior: hazardous})
	}
	attribution := crashes.Attribute(lost, lowRate)
	blamed := attribution.Blamed
	assert.Check(t, attribution.Spontaneous < 0.05)
	assert.Check(t, attribution.FirstCrash[0] > 0.7)
	for i := range blamed {
		record := crashes.Record{}
		if blamed[i].Factor > 0 {
			record = record.With(blamed[i])
		}
		assert.Equal(t, record.Suspect(hazardous), i == 0, "run %d: factor %f", i, blamed[i].Factor)
	}
}

func TestACrashBlamesThoseThatMayHaveCausedIt(t *testing.T) {
	const fresh, older, old = 20 * time.Millisecond, 600 * time.Millisecond, crashes.ClearedAfter
	known := recordAfter(0, usual, lowRate, 1)
	for _, c := range []struct {
		name     string
		lostRuns []crashes.LostRun
		blamed   []bool // by a factor of more than 2
	}{
		{"a fresh run, an older one, a long-running one", []crashes.LostRun{{Job: "a", MaxRunTime: fresh}, {Job: "b", MinRunTime: older, MaxRunTime: older}, {Job: "c", MinRunTime: old, MaxRunTime: old, LongRunning: true}}, []bool{true, true, false}},
		{"a suspect clears an older run", []crashes.LostRun{{Job: "a", MaxRunTime: fresh, Record: known}, {Job: "b", MinRunTime: older, MaxRunTime: older}}, []bool{true, false}},
		{"a suspect clears a fresh run only in part", []crashes.LostRun{{Job: "a", MaxRunTime: fresh, Record: known}, {Job: "b", MaxRunTime: fresh}}, []bool{true, true}},
		{"a suspect that had run for long clears no other run", []crashes.LostRun{{Job: "a", MinRunTime: 5 * time.Second, MaxRunTime: 5 * time.Second, Record: known}, {Job: "b", MaxRunTime: fresh}}, []bool{false, true}},
		{"a run whose start was not confirmed", []crashes.LostRun{{Job: "a", StartUnconfirmed: true}}, []bool{true}},
		{"a long-running task that has just started", []crashes.LostRun{{Job: "a", MinRunTime: older, MaxRunTime: older, LongRunning: true}}, []bool{true}},
		{"runs of one job are blamed together", []crashes.LostRun{{Job: "a", MaxRunTime: fresh}, {Job: "a", MaxRunTime: fresh}}, []bool{true, true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i := range c.lostRuns {
				c.lostRuns[i].Prior = usual
			}
			blamed := crashes.Attribute(c.lostRuns, lowRate).Blamed
			for i := range blamed {
				assert.Equal(t, blamed[i].Factor > 2, c.blamed[i], "run %d: factor %f", i, blamed[i].Factor)
			}
		})
	}
}

// Neighbours of a task that is given up would stay suspects for the crashes that it caused.
func TestCrashesExplainedByAnotherTaskDontCount(t *testing.T) {
	bad := crashes.Record{{Run: 1, Worker: "w1", Factor: 900}, {Run: 2, Worker: "w2", Factor: 900}}
	beside := crashes.Record{{Run: 1, Worker: "w1", Factor: 20}, {Run: 2, Worker: "w9", Factor: 5}}
	left, changed := beside.MarkExplained(bad.Workers())
	assert.Assert(t, changed)
	assert.DeepEqual(t, left, crashes.Record{{Run: 1, Worker: "w1", Factor: 20, ExplainedByOther: true}, {Run: 2, Worker: "w9", Factor: 5}})
	assert.Assert(t, !left.Suspect(0.02))
	_, changed = left.MarkExplained(bad.Workers())
	assert.Assert(t, !changed)
}

// Of two faulty tasks that crash the same workers, one is given up first, and its crashes are
// marked as explained in the record of the other. If these no longer counted at all, the other
// would be started three times more than the platform allows.
func TestTheLimitOnCrashesCountsExplainedOnes(t *testing.T) {
	r := crashes.Record{{Run: 1, Worker: "w1", Factor: 3}, {Run: 2, Worker: "w2", Factor: 30}, {Run: 3, Worker: "w3", Factor: 6}}
	r, _ = r.MarkExplained([]string{"w1", "w2"})
	r = r.With(crashes.Crash{Run: 4, Worker: "w4", Factor: 5})
	assert.Assert(t, !r.Poison(0.1))
	r = r.With(crashes.Crash{Run: 5, Worker: "w5", Factor: 27})
	assert.Assert(t, r.Poison(0.1))
	sound, _ := r.MarkExplained([]string{"w3", "w4", "w5"})
	assert.Assert(t, !sound.Poison(0.1), "another task explains all of its crashes")
}

// A kind whose fault was fixed would count as hazardous for long after, or a hazardous kind as
// usual while its jobs are being given up.
func TestAKindIsRatedByRecentJobs(t *testing.T) {
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

// Without the limit, suspects would crash workers faster than these return.
func TestSuspectsTakeDownAPartOfAPool(t *testing.T) {
	var trials crashes.Trials
	assert.Equal(t, trials.Available(24, 0, 0, 0), 2)
	assert.Equal(t, trials.Available(24, 0, 1, 0), 1)
	trials.Lost("a", 0)
	trials.Lost("b", 0)
	assert.Equal(t, trials.Available(22, 0, 0, 0), 0)
	trials.Returned("a")
	assert.Equal(t, trials.Available(23, 0, 0, 0), 1)
	assert.Equal(t, trials.Available(23, 0, 0, time.Minute), 1, "a worker that does not return is not waited for")
	assert.Equal(t, trials.Available(3, 0, 0, time.Minute), 1)
	assert.Equal(t, trials.Available(24, 10, 0, time.Minute), 5, "half of the idle workers")
}

// Trials would take too long where tasks crash their workers at once, if they lasted as long as
// where tasks crash them late.
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

// The loss of a rack would make suspects of all tasks that had just started on its workers.
func TestWorkersLostTogetherAreToldFromThoseLostToTasks(t *testing.T) {
	const rackLostAt = time.Minute
	var s crashes.CorrelatedLosses
	for i := range 5 {
		s.Record(time.Duration(i)*400*time.Millisecond+rackLostAt-3*time.Second, rackLostAt)
	}
	assert.Equal(t, s.Rate(rackLostAt-3*time.Second, 8), 0.0)
	for i := range 4 {
		s.Record(rackLostAt+time.Duration(i)*10*time.Millisecond, rackLostAt)
	}
	assert.Check(t, s.Rate(rackLostAt, 8) > 0.5)
	common := s.Rate(rackLostAt+30*time.Millisecond, 8)
	assert.Check(t, common > 0.5)
	lost := []crashes.LostRun{{Job: "a", MaxRunTime: 20 * time.Millisecond, Prior: usual}}
	blamed := crashes.Attribute(lost, lowRate+common).Blamed[0]
	assert.Equal(t, crashes.Record{blamed}.Suspect(usual), false)
	assert.Equal(t, crashes.Record{crashes.Attribute(lost, lowRate).Blamed[0]}.Suspect(usual), true)
}

// If all workers of a small pool are lost at once, the tasks that had just started there must
// not be given up.
func TestAllWorkersOfASmallPoolAreLostTogether(t *testing.T) {
	var s crashes.CorrelatedLosses
	for range 3 {
		s.Record(time.Minute, time.Minute)
	}
	assert.Check(t, s.Rate(time.Minute, 3) > 1)
	assert.Equal(t, s.Rate(time.Minute, 12), 0.0, "a part of a larger pool")
	var one crashes.CorrelatedLosses
	one.Record(time.Minute, time.Minute)
	assert.Equal(t, one.Rate(time.Minute, 1), 0.0)
}

// The record of a long-running task, which is never given up, would outgrow the store, and its
// odds the range of a float64.
func TestARecordHoldsTheLatestCrashes(t *testing.T) {
	r := recordAfter(0, hazardous, lowRate, 400)
	assert.Equal(t, len(r), 5)
	assert.Equal(t, r.LatestRun(), 400)
	attribution := crashes.Attribute([]crashes.LostRun{{Job: "j", MaxRunTime: time.Millisecond, Record: r, Prior: hazardous}}, lowRate)
	assert.Check(t, attribution.Spontaneous > 0 && attribution.Spontaneous < 1)
}

// A worker crashes spontaneously and the next start there can't connect: that start must not be
// blamed as if the worker had crashed right after it.
func TestAStartThatMayHaveComeTooLateIsBlamedLess(t *testing.T) {
	factor := func(before time.Duration) float64 {
		return crashes.Attribute([]crashes.LostRun{{Job: "j", MaxRunTime: time.Millisecond, SilentBeforeStart: before, Prior: 0.02}}, 0.01).Blamed[0].Factor
	}
	assert.Assert(t, factor(300*time.Millisecond) < factor(0)/30)
}
