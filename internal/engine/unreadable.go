package engine

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/policy/work"
)

// UnreadableProgress is stored progress of a job that an owner could not read. Tasks may be done, or
// may have failed or crashed workers as often as allowed, that the job's Progress does not tell of.
type UnreadableProgress struct {
	// Value is the stored value, for a later owner that can read it; empty if it is longer than
	// maxUnreadableBytes.
	Value []byte `json:"value,omitempty"`
	// Before is the time of day from which on no occurrence that is due had begun when the value was
	// stored. Occurrences due before it may be done.
	Before time.Time `json:"before"`
}

const (
	// maxUnreadableBytes bounds a value that is kept. A change that the store refuses for its size
	// would keep the ends of other jobs in its transaction from being stored.
	maxUnreadableBytes = 16 << 10
	// maxWallClockError is how far the wall clocks of two owners may differ. An earlier owner with
	// a clock ahead of this one's has begun occurrences that are not due here.
	maxWallClockError = 10 * time.Second
	// unreadableRunOffset is added to run numbers that can't be read. Each take-over adds
	// restoredRunOffset, so that it exceeds those of thousands of owners.
	unreadableRunOffset = 1 << 20
	// maxStoredRun bounds run numbers in stored progress, so that those derived from them don't overflow.
	maxStoredRun = math.MaxInt / 2
)

// readProgress decodes the stored progress of job j at the time of day wall. If the value can't be
// read, the result is what has to be assumed of the job, with Unreadable set, and the error tells
// why. If an earlier owner could not read a value that this one can, the result includes it.
func readProgress(value []byte, j *work.Job, wall time.Time) (*Progress, error) {
	p := new(Progress)
	err := json.Unmarshal(value, p)
	if err == nil {
		err = p.check(j)
	}
	if err != nil {
		return &Progress{Run: unreadableRunOffset, Unreadable: keepUnreadable(value, wall)}, err
	}
	if p.Unreadable == nil {
		return p, nil
	}
	earlier, err := readProgress(p.Unreadable.Value, j, wall)
	if err != nil {
		return p, err
	}
	return mergeProgress(earlier, p), nil
}

// check returns an error if p can't be progress of the job: JSON of another shape, such as null, also
// decodes without an error.
func (p *Progress) check(j *work.Job) error {
	if p.Next < 1 || p.Next > j.Occurrences() {
		return trace.BadParameter("next occurrence %d is not in 1 to %d", p.Next, j.Occurrences())
	}
	if p.Next == j.Occurrences() && len(p.Occurrences) == 0 {
		return trace.BadParameter("all occurrences are finished, and the job has not ended")
	}
	if p.Unreadable != nil && p.Unreadable.Before.IsZero() {
		return trace.BadParameter("the mark of unreadable progress lacks its time")
	}
	if p.Run < 0 || p.Run > maxStoredRun {
		return trace.BadParameter("run number %d is not in 0 to %d", p.Run, maxStoredRun)
	}
	for i := range p.Occurrences {
		o := &p.Occurrences[i]
		if o.Number < 0 || o.Number >= p.Next || p.find(o.Number) != i {
			return trace.BadParameter("occurrence %d has not begun, or is listed twice", o.Number)
		}
		if len(o.Steps) != len(j.Steps) {
			return trace.BadParameter("occurrence %d has %d steps, the job has %d", o.Number, len(o.Steps), len(j.Steps))
		}
		for n := range o.Steps {
			if err := o.Steps[n].check(j.Steps[n].Count); err != nil {
				return trace.Wrap(err, "occurrence %d, step %d", o.Number, n)
			}
		}
	}
	return nil
}

// check returns an error if p can't be progress of a step of so many tasks.
func (p *StepProgress) check(tasks int) error {
	indexes := slices.Concat(p.Done, p.Trials)
	indexes = slices.AppendSeq(indexes, maps.Keys(p.Failed))
	indexes = slices.AppendSeq(indexes, maps.Keys(p.Saved))
	indexes = slices.AppendSeq(indexes, maps.Keys(p.Crashed))
	for _, i := range indexes {
		if i < 0 || i >= tasks {
			return trace.BadParameter("task %d of a step of %d tasks", i, tasks)
		}
	}
	return nil
}

func keepUnreadable(value []byte, wall time.Time) *UnreadableProgress {
	u := &UnreadableProgress{Before: wall.Add(maxWallClockError)}
	if len(value) <= maxUnreadableBytes {
		u.Value = value
	}
	return u
}

// mergeProgress returns the progress of a job of which earlier was stored first, and later by owners
// that could not read it. Both must fit the job, see Progress.check.
func mergeProgress(earlier, later *Progress) *Progress {
	out := &Progress{Next: max(earlier.Next, later.Next), Run: max(earlier.Run, later.Run), Merged: true}
	for _, o := range earlier.Occurrences {
		if i := later.find(o.Number); i >= 0 {
			o = mergeOccurrence(o, later.Occurrences[i])
		} else if o.Number < later.Next {
			continue // it has finished since
		}
		out.Occurrences = append(out.Occurrences, o)
	}
	for _, o := range later.Occurrences {
		// One that had begun and that earlier doesn't list had finished.
		if o.Number >= earlier.Next {
			out.Occurrences = append(out.Occurrences, o)
		}
	}
	return out
}

// find returns the index of the occurrence in p.Occurrences; -1 if it is not there.
func (p *Progress) find(number int) int {
	return slices.IndexFunc(p.Occurrences, func(o OccurrenceProgress) bool { return o.Number == number })
}

func mergeOccurrence(earlier, later OccurrenceProgress) OccurrenceProgress {
	out := OccurrenceProgress{Number: earlier.Number}
	for i, step := range earlier.Steps {
		out.Steps = append(out.Steps, mergeStep(step, later.Steps[i]))
	}
	return out
}

func mergeStep(earlier, later StepProgress) StepProgress {
	out := StepProgress{
		Done:   union(earlier.Done, later.Done),
		Trials: union(earlier.Trials, later.Trials),
	}
	for _, p := range []StepProgress{earlier, later} {
		for i, runs := range p.Failed {
			out.Failed = put(out.Failed, i, union(out.Failed[i], runs))
		}
		for i, checkpoint := range p.Saved {
			out.Saved = put(out.Saved, i, checkpoint)
		}
		for i, record := range p.Crashed {
			merged := out.Crashed[i]
			for _, crash := range record {
				merged = merged.With(crash)
			}
			out.Crashed = put(out.Crashed, i, merged)
		}
	}
	return out
}

func union(a, b []int) []int {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

// holds reports whether those tasks of the step that have no run are held in the occurrence with the
// number: without the job's whole progress it is not known whether they may start once more.
// Long-running tasks have no end after which they may not.
func (j *job) holds(s *work.Step, occurrence int) bool {
	if j.unreadable == nil || s.LongRunning {
		return false
	}
	return !j.Timed() || j.Schedule.Due(occurrence).Before(j.unreadable.Before)
}

// failExhausted fails the job if one of its tasks has failed, or crashed workers, as often as allowed. A
// crash that is only presumed counts once it is known whether it happened, see resolvePresumed.
func (c *Core) failExhausted(j *job, now time.Duration) {
	j.eachTask(func(t *task) {
		if j.final != "" || t.state == taskDone || t.step.spec.LongRunning {
			return
		}
		if j.outOfAttempts(t) {
			c.log.Info("job failed, as its task has failed as often as allowed", "task", t.ref.String(), "failures", len(t.failedRuns))
			c.finish(j, work.Failed)
			return
		}
		if t.crashes.Without(t.presumedRun).Poison(c.kindOf(j).Prior(now)) {
			c.failPoisonTask(t, now)
		}
	})
}
