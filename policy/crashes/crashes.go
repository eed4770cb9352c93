// Package crashes judges tasks by the workers that crashed while they ran there.
//
// Load pattern: one job in ten of a burst has a task that crashes each worker that starts
// it. All that runs beside it is lost as well, and were each of those neighbours suspected
// as much as the task that had just begun, the pool would be taken up with trying sound
// tasks apart from others. So every crash is weighed by how long each run had gone on, by
// how often workers crash by themselves, and by how many jobs of the kind were given up of
// late: the few runs that explain it are suspects, the others start anew as if nothing had
// happened.
package crashes

import (
	"math"
	"slices"
	"time"
)

const (
	// MaxTrialDuration is how long a run is seen to go on until it is taken not to crash its worker by
	// being started.
	MaxTrialDuration = 500 * time.Millisecond
	// ClearedAfter is how long a lasting task is seen to go on until earlier crashes say nothing
	// of it any more. It runs for weeks, and many workers crash by themselves meanwhile.
	ClearedAfter = 3 * time.Second
)

const (
	// mostCrashes is how many workers may crash under a task, whatever the odds are that it
	// is sound: the platform allows no further start.
	mostCrashes = 5
	// certainCrashes is how many crashes that are not presumed a task is given up for at the
	// least, but for mostCrashes.
	certainCrashes = 2
	// poisonOdds are the odds at which a task is given up. A cell judges some hundred crashes
	// on a bad day.
	poisonOdds = 1e3
	// suspectOdds are the odds from which on a task is tried apart from others.
	suspectOdds = 0.5
	// presumedFactor is how much a presumed crash speaks against its task.
	presumedFactor = 25
	// unratedFactor stands for a crash that an owner of an older version noted.
	unratedFactor = 30
	// leastFactor is how much a crash must speak against a run to be noted.
	leastFactor = 1.1
)

// A task that crashes its worker does so within these times of its start; each order of
// magnitude between is as likely as another.
const (
	shortestOnset = 1 * time.Millisecond
	longestOnset  = 10 * time.Second
)

// timingSlack is how exactly the moment of a crash and that of a start are known.
const timingSlack = 5 * time.Millisecond

// Crash is one run of a task that ended with a crash of its worker.
type Crash struct {
	Run         int    `json:"run"`
	Incarnation string `json:"life,omitempty"` // of the worker
	// Factor is how many times likelier the crash is if the task causes it than if not.
	Factor float64 `json:"factor,omitempty"`
	// MaxRunTime is how long the run had gone on at the most.
	MaxRunTime time.Duration `json:"within_ns,omitempty"`
	// Presumed: it is not known whether the worker lived to see the run.
	Presumed bool `json:"presumed,omitempty"`
	// ExplainedByOther: another task, known for what it is, explains the crash.
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

// Record holds the crashes under a task, each run once.
type Record []Crash

// odds are those that the task crashes its workers, where prior is the share of such jobs
// among those of its kind.
func (r Record) odds(prior float64) float64 {
	odds := prior / (1 - prior)
	for _, c := range r {
		odds *= c.factor()
	}
	return odds
}

// chance is the same as a probability.
func (r Record) chance(prior float64) float64 {
	odds := r.odds(prior)
	return odds / (1 + odds)
}

// Suspect reports whether the task is to be tried apart from others.
func (r Record) Suspect(prior float64) bool {
	return r.count(Crash.counts) > 0 && r.odds(prior) >= suspectOdds
}

// Poison reports whether the task crashes whatever starts it. It is to be given up. Crashes that
// another task explains count for a suspect all the same as far as the platform's bound goes: of
// two faulty tasks on one worker only one can be known to have caused its crash.
func (r Record) Poison(prior float64) bool {
	switch {
	case r.count(Crash.counts) >= mostCrashes:
		return true
	case len(r) >= mostCrashes && r.Suspect(prior):
		return true
	}
	return r.count(Crash.certain) >= certainCrashes && r.odds(prior) >= poisonOdds
}

func (c Crash) counts() bool { return !c.ExplainedByOther }

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

// With returns the record with the crash added, and no more than the latest mostCrashes: a lasting
// task is never given up. One that is known already, as two observers tell of it or an owner
// learns of it again, changes nothing.
func (r Record) With(c Crash) Record {
	if slices.ContainsFunc(r, func(known Crash) bool { return known.Run == c.Run }) {
		return r
	}
	out := append(slices.Clone(r), c)
	return out[max(0, len(out)-mostCrashes):]
}

// Without returns the record without the run's crash.
func (r Record) Without(run int) Record {
	return slices.DeleteFunc(slices.Clone(r), func(c Crash) bool { return c.Run == run })
}

// Incarnations returns the lives of workers that ended so.
func (r Record) Incarnations() []string {
	var out []string
	for _, c := range r {
		if c.Incarnation != "" {
			out = append(out, c.Incarnation)
		}
	}
	return out
}

// MarkExplained takes the crashes of those lives as explained, and reports whether that changes any.
func (r Record) MarkExplained(lives []string) (Record, bool) {
	out, changed := slices.Clone(r), false
	for i := range out {
		if c := &out[i]; c.Incarnation != "" && !c.ExplainedByOther && slices.Contains(lives, c.Incarnation) {
			c.ExplainedByOther, changed = true, true
		}
	}
	return out, changed
}

// LatestRun returns the highest run in the record.
func (r Record) LatestRun() int {
	latest := 0
	for _, c := range r {
		latest = max(latest, c.Run)
	}
	return latest
}

// LostRun is a run that ended with a crash of its worker.
type LostRun struct {
	Job string // whose run it is: a job is given up as a whole
	// MinRunTime and MaxRunTime bound how long it had gone on: as last seen, and as the worker fell silent.
	MinRunTime, MaxRunTime time.Duration
	// SilentBeforeStart is how long before its start the worker may have crashed already; 0 where it
	// answered the start.
	SilentBeforeStart time.Duration
	// StartUnconfirmed: the worker did not answer the start, nor anything else for long before.
	StartUnconfirmed bool
	LongRunning      bool
	Record           Record  // of its task before
	Prior            float64 // the share of jobs of its kind that crash workers
}

// ProvenSound reports whether the run shows that its task does not crash its workers.
func (v *LostRun) ProvenSound() bool { return v.LongRunning && v.MinRunTime >= ClearedAfter }

// density is how likely the run is to crash its worker at that moment if its task is one
// that does, a second: the mean over the time in which it may have happened, with that
// before its start.
func (v *LostRun) density() float64 {
	if v.ProvenSound() || v.StartUnconfirmed {
		return 0
	}
	from := max(v.MinRunTime, shortestOnset)
	to := max(v.MaxRunTime, from+timingSlack)
	return math.Log(float64(to)/float64(from)) / math.Log(float64(longestOnset)/float64(shortestOnset)) / (v.SilentBeforeStart + to - from).Seconds()
}

// Attribution is what the crash of one worker says.
type Attribution struct {
	// Blamed are the crashes to be noted of the runs, in their order; with factor 0 none is.
	Blamed []Crash
	// FirstCrash is, by run, how likely it is that its job caused this crash and none before; of
	// the runs of one job the first bears it.
	FirstCrash []float64
	// Spontaneous is how likely it is that none of the runs caused it.
	Spontaneous float64
}

// Attribute says what the crash of one worker says of each of the runs there, where workers crash
// by themselves so often a second each.
func Attribute(lostRuns []LostRun, rate float64) Attribution {
	byJob := make(map[string]float64)
	for i := range lostRuns {
		v := &lostRuns[i]
		byJob[v.Job] = max(byJob[v.Job], v.Record.chance(v.Prior)*v.density())
	}
	all := rate
	for _, d := range byJob {
		all += d
	}
	out := Attribution{Blamed: make([]Crash, len(lostRuns)), FirstCrash: make([]float64, len(lostRuns)), Spontaneous: rate / all}
	counted := make(map[string]bool)
	for i := range lostRuns {
		v := &lostRuns[i]
		others := all - byJob[v.Job]
		factor := (v.density() + others) / others
		switch {
		case v.StartUnconfirmed:
			out.Blamed[i] = Crash{Presumed: true, Factor: presumedFactor}
		case factor >= leastFactor:
			out.Blamed[i] = Crash{Factor: factor, MaxRunTime: v.MaxRunTime}
		}
		if !counted[v.Job] {
			counted[v.Job] = true
			out.FirstCrash[i] = byJob[v.Job] / all * (1 - v.Record.chance(v.Prior))
		}
	}
	return out
}
