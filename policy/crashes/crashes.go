// Package crashes estimates which tasks crash their workers, from the runs that were in
// progress when a worker crashed.
//
// Load pattern: one job in ten of a burst has a task that crashes every worker that starts
// it. All that runs beside it is lost as well. If each of those neighbours were suspected as
// much as the task that had just started, the pool would be taken up with trying sound tasks
// one by one. Each crash is therefore weighed by how long each run had been in progress, by
// how often workers crash spontaneously, and by how many jobs of the kind were given up of
// late. The few runs that explain the crash become suspects; the others are restarted as if
// nothing had happened.
package crashes

import (
	"math"
	"slices"
	"time"
)

const (
	// MaxTrialDuration is the longest time that a suspect must be seen running until its start is
	// taken not to crash the worker.
	MaxTrialDuration = 500 * time.Millisecond
	// ClearedAfter is how long a long-running task must be seen running until earlier crashes no
	// longer count against it. Such a task runs for weeks, and many workers crash spontaneously
	// in that time.
	ClearedAfter = 3 * time.Second
)

const (
	// maxCrashes is the number of workers that may crash under a task, however likely it is to
	// be sound: the platform allows no further start.
	maxCrashes = 5
	// minCertainCrashes is the number of crashes that are not presumed which a task must have
	// before it is given up, except by maxCrashes.
	minCertainCrashes = 2
	// poisonOdds are the odds at which a task is given up. They are high because a cell
	// evaluates some hundred crashes on a bad day.
	poisonOdds = 1e3
	// suspectOdds are the odds from which on a task is tried apart from others.
	suspectOdds = 0.5
	// presumedFactor is the likelihood ratio of a presumed crash.
	presumedFactor = 25
	// unratedFactor is the likelihood ratio of a crash that was stored without one, by an owner
	// of an older version.
	unratedFactor = 30
	// minFactor is the smallest likelihood ratio at which a crash is recorded against a run.
	minFactor = 1.1
)

// A task that crashes its worker does so within these times of its start. The time is taken
// to be distributed evenly over its logarithm.
const (
	minTimeToCrash = 1 * time.Millisecond
	maxTimeToCrash = 10 * time.Second
)

// timingPrecision is how precisely the times of a crash and of a start are known.
const timingPrecision = 5 * time.Millisecond

// Crash is one run of a task that ended with a crash of its worker.
type Crash struct {
	Run    int    `json:"run"`
	Worker string `json:"life,omitempty"` // the worker's incarnation, as the owner names it; empty if unknown
	// Factor is the likelihood ratio: how many times likelier the crash is if the task causes
	// crashes than if it doesn't. 0 stands for unratedFactor.
	Factor float64 `json:"factor,omitempty"`
	// MaxRunTime is the longest time for which the run may have been in progress.
	MaxRunTime time.Duration `json:"within_ns,omitempty"`
	// Presumed: it isn't known whether the worker was still alive when the run was started.
	Presumed bool `json:"presumed,omitempty"`
	// ExplainedByOther: another task, which is known to crash workers, explains the crash.
	ExplainedByOther bool `json:"acquitted,omitempty"`
}

func (c Crash) factor() float64 {
	switch {
	case c.ExplainedByOther:
		return 1
	case c.Presumed:
		return presumedFactor
	case c.Factor == 0:
		return unratedFactor
	}
	return c.Factor
}

// Record holds the crashes under one task, with each run at most once.
type Record []Crash

// odds returns the odds that the task crashes its workers. prior is the share of such jobs
// among those of its kind.
func (r Record) odds(prior float64) float64 {
	odds := prior / (1 - prior)
	for _, c := range r {
		odds *= c.factor()
	}
	return odds
}

// probability returns the probability that the task crashes its workers.
func (r Record) probability(prior float64) float64 {
	odds := r.odds(prior)
	return odds / (1 + odds)
}

// Suspect reports whether the task is to be tried apart from others.
func (r Record) Suspect(prior float64) bool {
	return r.count(Crash.counts) > 0 && r.odds(prior) >= suspectOdds
}

// Poison reports whether the task crashes every worker that starts it, and is to be given up.
// Crashes that another task explains still count towards the platform's limit on starts if the
// task is a suspect: of two faulty tasks on one worker, only one can be known to have caused
// the crash.
func (r Record) Poison(prior float64) bool {
	switch {
	case r.count(Crash.counts) >= maxCrashes:
		return true
	case len(r) >= maxCrashes && r.Suspect(prior):
		return true
	}
	return r.count(Crash.certain) >= minCertainCrashes && r.odds(prior) >= poisonOdds
}

// counts reports whether the crash counts as evidence that the task crashes workers.
func (c Crash) counts() bool { return !c.ExplainedByOther }

// certain reports whether the crash counts and is certain to have happened during the run: a
// presumed one may have come before the run's start.
func (c Crash) certain() bool { return c.counts() && !c.Presumed }

func (r Record) count(which func(Crash) bool) int {
	n := 0
	for _, c := range r {
		if which(c) {
			n++
		}
	}
	return n
}

// With returns the record with the crash added, cut to the latest maxCrashes, because the record
// of a long-running task, which is never given up, would grow without limit. A run that is in the
// record already is not added again: two observers may report it, or an owner may learn of it
// twice.
func (r Record) With(c Crash) Record {
	if slices.ContainsFunc(r, func(known Crash) bool { return known.Run == c.Run }) {
		return r
	}
	out := append(slices.Clone(r), c)
	return out[max(0, len(out)-maxCrashes):]
}

// Without returns the record without the crash of the given run.
func (r Record) Without(run int) Record {
	return slices.DeleteFunc(slices.Clone(r), func(c Crash) bool { return c.Run == run })
}

// Workers returns the known incarnations of workers that crashed.
func (r Record) Workers() []string {
	var out []string
	for _, c := range r {
		if c.Worker != "" {
			out = append(out, c.Worker)
		}
	}
	return out
}

// MarkExplained returns the record with the crashes of the given workers marked as explained by
// another task, and reports whether that changed any of them.
func (r Record) MarkExplained(workers []string) (Record, bool) {
	out, changed := slices.Clone(r), false
	for i := range out {
		if c := &out[i]; c.Worker != "" && !c.ExplainedByOther && slices.Contains(workers, c.Worker) {
			c.ExplainedByOther, changed = true, true
		}
	}
	return out, changed
}

// LatestRun returns the highest run number in the record, or 0 if the record is empty.
func (r Record) LatestRun() int {
	latest := 0
	for _, c := range r {
		latest = max(latest, c.Run)
	}
	return latest
}

// LostRun is a run that ended with a crash of its worker.
type LostRun struct {
	Job string // the job that the run belongs to; a job is given up as a whole
	// MinRunTime and MaxRunTime bound how long the run had been in progress at the crash: until
	// it was last seen, and until the worker was last heard from.
	MinRunTime, MaxRunTime time.Duration
	// SilentBeforeStart is how long before the start the worker may already have crashed; 0 if it
	// answered the start.
	SilentBeforeStart time.Duration
	// StartUnconfirmed: the worker did not answer the start, and nothing else for long before it.
	StartUnconfirmed bool
	LongRunning      bool
	Record           Record  // of the task, before this crash
	Prior            float64 // share of the jobs of its kind that crash workers
}

// ProvenSound reports whether the run shows that its task does not crash its workers.
func (v *LostRun) ProvenSound() bool { return v.LongRunning && v.MinRunTime >= ClearedAfter }

// density returns the probability per second that the run crashes its worker at the time of the
// crash, given that its task crashes workers. It is the mean over the time in which the crash
// may have happened, which includes SilentBeforeStart.
func (v *LostRun) density() float64 {
	if v.ProvenSound() || v.StartUnconfirmed {
		return 0
	}
	from := max(v.MinRunTime, minTimeToCrash)
	to := max(v.MaxRunTime, from+timingPrecision)
	return math.Log(float64(to)/float64(from)) / math.Log(float64(maxTimeToCrash)/float64(minTimeToCrash)) / (v.SilentBeforeStart + to - from).Seconds()
}

// Attribution says how far each of the runs on a crashed worker is to blame.
type Attribution struct {
	// Blamed holds the crash to be recorded against each run, in the order of the runs. A Factor
	// of 0 means that none is to be recorded.
	Blamed []Crash
	// FirstCrash is, for each run, the probability that its job caused this crash and none before.
	// Of several runs of one job only the first has it; it is 0 for the others.
	FirstCrash []float64
	// Spontaneous is the probability that none of the runs caused the crash.
	Spontaneous float64
}

// Attribute divides the blame for the crash of one worker among the runs that were in progress
// on it. rate is how often a worker crashes by other causes, in crashes per second.
func Attribute(lostRuns []LostRun, rate float64) Attribution {
	byJob := make(map[string]float64)
	for i := range lostRuns {
		v := &lostRuns[i]
		byJob[v.Job] = max(byJob[v.Job], v.Record.probability(v.Prior)*v.density())
	}
	total := rate
	for _, d := range byJob {
		total += d
	}
	out := Attribution{Blamed: make([]Crash, len(lostRuns)), FirstCrash: make([]float64, len(lostRuns)), Spontaneous: rate / total}
	counted := make(map[string]bool)
	for i := range lostRuns {
		v := &lostRuns[i]
		others := total - byJob[v.Job]
		factor := (v.density() + others) / others
		switch {
		case v.StartUnconfirmed:
			out.Blamed[i] = Crash{Presumed: true, Factor: presumedFactor}
		case factor >= minFactor:
			out.Blamed[i] = Crash{Factor: factor, MaxRunTime: v.MaxRunTime}
		}
		if !counted[v.Job] {
			counted[v.Job] = true
			out.FirstCrash[i] = byJob[v.Job] / total * (1 - v.Record.probability(v.Prior))
		}
	}
	return out
}
