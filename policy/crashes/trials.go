package crashes

import (
	"math"
	"slices"
	"time"
)

const (
	// trialShare is the part of a pool that may be lost to suspects at a time: one worker in so
	// many, and one at the least.
	trialShare = 12
	// idleShare is the part of the workers that nothing else needs that suspects may have.
	idleShare = 2
	// mostAway is for how long a worker lost to a suspect is waited for: its VM may come back to
	// another pool.
	mostAway = 4 * time.Second
)

// Trials bounds how much of a pool suspects may take down: while a worker that one of them
// crashed is away, there is one less for the next. The zero value has lost none.
type Trials struct {
	away map[string]time.Duration // when the worker at the address was lost
}

// Lost notes that a suspect on trial crashed the worker at the address.
func (t *Trials) Lost(address string, now time.Duration) {
	if t.away == nil {
		t.away = make(map[string]time.Duration)
	}
	t.away[address] = now
}

// Returned notes that a worker is there again.
func (t *Trials) Returned(address string) { delete(t.away, address) }

// Available is on how many more workers suspects may be tried, of so many in the pool, while they are
// tried on so many. So many are idle and nothing else waits for them.
func (t *Trials) Available(workers, idle, trying int, now time.Duration) int {
	for address, at := range t.away {
		if now > at+mostAway {
			delete(t.away, address)
		}
	}
	held := trying + len(t.away)
	return max(1, (workers+len(t.away))/trialShare, (idle+held)/idleShare) - held
}

const (
	// usualAway is how long a crashed worker's VM is away.
	usualAway = 3 * time.Second
	// triedWithin is the time within which what waits for a trial is to have had it.
	triedWithin = 8 * time.Second
)

// WorkersForSuspects is how many workers so many suspects need, if each takes one down.
func WorkersForSuspects(suspects int) int {
	return int(math.Ceil(float64(suspects) * usualAway.Seconds() / triedWithin.Seconds()))
}

const (
	// leastTrial is the shortest trial: an answer of the worker in between must be seen.
	leastTrial = 50 * time.Millisecond
	// onsetMargin is how much longer than the longest onset of late a trial lasts.
	onsetMargin = 4
	// onsetsKept is how many onsets are remembered; with fewer than leastOnsets nothing is
	// concluded from them.
	onsetsKept, leastOnsets = 8, 3

	// Bounds of the spacing of jobs on a worker, and how much longer it is than the longest
	// onset of late.
	leastSpacing, usualSpacing, mostSpacing = 20 * time.Millisecond, 40 * time.Millisecond, 100 * time.Millisecond
	spacingMargin                           = 2
)

// TimesToCrash learns how long after their starts tasks crash their workers, from those that were
// given up. The zero value has seen none.
type TimesToCrash struct {
	seen []time.Duration
}

// Add notes the crashes under a task that was given up.
func (o *TimesToCrash) Add(r Record) {
	for _, c := range r {
		if c.MaxRunTime > 0 {
			o.seen = append(o.seen, c.MaxRunTime)
		}
	}
	o.seen = o.seen[max(0, len(o.seen)-onsetsKept):]
}

// JobSpacing is how long the tasks of one job run on a worker before those of another begin there,
// for a crash to tell whose doing it was.
func (o *TimesToCrash) JobSpacing() time.Duration {
	if len(o.seen) < leastOnsets {
		return usualSpacing
	}
	return min(mostSpacing, max(leastSpacing, spacingMargin*slices.Max(o.seen)))
}

// TrialDuration is how long a suspect is seen to go on until it is taken not to crash its worker by
// being started.
func (o *TimesToCrash) TrialDuration() time.Duration {
	if len(o.seen) < leastOnsets {
		return MaxTrialDuration
	}
	return min(MaxTrialDuration, max(leastTrial, onsetMargin*slices.Max(o.seen)))
}
