package crashes

import (
	"math"
	"slices"
	"time"
)

const (
	// trialShare limits the part of a pool that may be lost to suspects at a time: one worker in
	// trialShare, and at least one.
	trialShare = 12
	// idleShare limits the part of the idle workers that suspects may use: one in idleShare.
	idleShare = 2
	// maxAway is how long a worker that was lost to a suspect counts as away. It may never
	// return, because its VM may join another pool.
	maxAway = 4 * time.Second
)

// Trials limits how many workers of a pool suspects may take down. A worker that a suspect
// crashed counts as used until it returns. The zero value is ready for use and has lost none.
type Trials struct {
	away map[string]time.Duration // when the worker at each address was lost
}

// Lost records that a suspect on trial crashed the worker at the address.
func (t *Trials) Lost(address string, now time.Duration) {
	if t.away == nil {
		t.away = make(map[string]time.Duration)
	}
	t.away[address] = now
}

// Returned records that the worker at the address is available again.
func (t *Trials) Returned(address string) { delete(t.away, address) }

// Available returns the number of further workers on which suspects may be tried. workers is
// the size of the pool, idle the number of its workers that run nothing and that no other work
// waits for, and trying the number on which suspects are tried now. The result is
// negative if more are in use than allowed.
func (t *Trials) Available(workers, idle, trying int, now time.Duration) int {
	for address, at := range t.away {
		if now > at+maxAway {
			delete(t.away, address)
		}
	}
	inUse := trying + len(t.away)
	return max(1, (workers+len(t.away))/trialShare, (idle+inUse)/idleShare) - inUse
}

const (
	// typicalAway is how long the VM of a crashed worker is usually away.
	typicalAway = 3 * time.Second
	// trialDeadline is the time within which all waiting suspects are to have been tried.
	trialDeadline = 8 * time.Second
)

// WorkersForSuspects returns the number of workers needed to try the given number of suspects
// within trialDeadline if each of them crashes one.
func WorkersForSuspects(suspects int) int {
	return int(math.Ceil(float64(suspects) * typicalAway.Seconds() / trialDeadline.Seconds()))
}

const (
	// minTrial is the shortest duration of a trial: long enough for the worker to report at least
	// once that it still runs the suspect.
	minTrial = 50 * time.Millisecond
	// trialMargin is the ratio of the duration of a trial to the longest recent time to crash.
	trialMargin = 4
	// timesKept is how many times to crash are remembered. With fewer than minTimes of them a
	// trial takes MaxTrialDuration and the spacing is defaultSpacing.
	timesKept, minTimes = 8, 3

	// Bounds and default of the time between the starts of two jobs' tasks on a worker (see
	// JobSpacing), and its ratio to the longest recent time to crash.
	minSpacing, defaultSpacing, maxSpacing = 20 * time.Millisecond, 40 * time.Millisecond, 100 * time.Millisecond
	spacingMargin                          = 2
)

// TimesToCrash keeps how long after their start tasks crashed their workers, from tasks that
// were given up. The zero value is ready for use and holds none.
type TimesToCrash struct {
	seen []time.Duration
}

// Add adds the crashes under a task that was given up.
func (o *TimesToCrash) Add(r Record) {
	for _, c := range r {
		if c.MaxRunTime > 0 {
			o.seen = append(o.seen, c.MaxRunTime)
		}
	}
	o.seen = o.seen[max(0, len(o.seen)-timesKept):]
}

// JobSpacing returns how long the tasks of one job must have run on a worker before those of
// another may start there, so that a crash can be attributed to one of the two.
func (o *TimesToCrash) JobSpacing() time.Duration {
	if len(o.seen) < minTimes {
		return defaultSpacing
	}
	return min(maxSpacing, max(minSpacing, spacingMargin*slices.Max(o.seen)))
}

// TrialDuration returns how long a suspect must be seen running until its start is taken not to
// crash the worker.
func (o *TimesToCrash) TrialDuration() time.Duration {
	if len(o.seen) < minTimes {
		return MaxTrialDuration
	}
	return min(MaxTrialDuration, max(minTrial, trialMargin*slices.Max(o.seen)))
}
