package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/crashes"
	"github.com/pumicestage/pumicestage/policy/joborder"
	"github.com/pumicestage/pumicestage/policy/work"
)

// taskState is where one task stands for the engine.
type taskState uint8

const (
	taskPending  taskState = iota
	taskStarting           // ordered, no answer yet
	taskDoubtful           // ordered, the answer was lost: it may run, or may yet start
	taskActive             // its worker said that it runs
	taskStopping           // it runs, and is to be stopped
	taskDone
)

// task is one task of a step.
type task struct {
	ref   work.TaskRef
	step  *step
	state taskState
	run   int // number of the last run that was ordered or seen
	where *worker

	sent       time.Duration // when the start was ordered
	left       time.Duration // when the start was sent; 0: not yet
	shown      bool          // its worker's present life is known to have the run
	answered   time.Duration // when the worker was first known to have it, or the start given up
	ranBefore  time.Duration // how long it had run for certain as this owner first heard of the run
	deadline   time.Duration // of the start order, on the worker's clock
	stopSent   time.Duration // last stop order; 0: none
	stopOK     time.Duration // when a stop was answered; 0: not yet
	checkpoint string
	savedRun   int // the run the checkpoint is of
	percent    int
	listedAt   time.Duration // when a poll last told its percent
	movedAt    time.Duration // when percent last rose
	gauge      int
	// stopsOver: a list asked for after it tells of any stop by an earlier owner.
	stopsOver time.Duration
	pace      int // percent of its share it may use; 100 at its start
	paceSent  time.Duration

	// failed holds the numbers of the runs that failed. An end that was stored
	// and not acknowledged is listed again to the next owner: counted twice it
	// would fail a good job with attempts left.
	failed    []int
	avoid     []work.WorkerID
	notBefore time.Duration // pause before the next start, for tasks that keep failing
	losses    int           // runs of this term that ended with their worker's life or lease

	crashes crashes.Record // of workers under the task
	// trial is the job's evidence that says that the next start may crash a worker; 0: none.
	trial int
	// trialLasts is how long its run must be seen to go on to be trusted.
	trialLasts time.Duration
	suspected  bool     // what is known of the crashes makes it a suspect
	crashedAt  []string // addresses of the workers that crashed under it
	// presumed is the run by which the crash is noted that a start by an earlier owner is
	// taken to have caused; 0: none.
	presumed int
}

// atWork reports whether a lasting task serves for certain: its start-up is over,
// its worker answers, and no stop of an earlier owner can be under way there. A
// worker lists a run that is being stopped as it lists any other; a new owner that
// took it to be at work stopped a second one beside it.
func (t *task) atWork() bool {
	return t.state == taskActive && t.percent >= fullPercent && t.where.missedPolls == 0 && t.where.listedAt >= t.stopsOver
}

// fullPercent is what a worker lists for a lasting task once it is at work.
const fullPercent = 100

// step is a step of one occurrence.
type step struct {
	job     *job
	occ     *occurrence
	number  int
	spec    *work.Step
	tasks   []*task
	done    int
	pending int
	tickets map[work.WorkerID]ticket
	asked   time.Duration // when the advisor was last asked; 0: never
	asking  bool
}

type ticket struct {
	text    string
	expires time.Duration
}

func (s *step) ref() work.StepRef {
	return work.StepRef{Job: s.job.ID, Occurrence: s.occ.number, Step: s.number}
}

// ready reports whether all steps it waits for are done.
func (s *step) ready() bool {
	for _, before := range s.spec.After {
		if b := s.occ.steps[before]; b.done < len(b.tasks) {
			return false
		}
	}
	return true
}

// set moves the task to a state and keeps the step's counts.
func (s *step) set(t *task, state taskState) {
	if t.state == taskPending {
		s.pending--
	}
	if state == taskPending {
		s.pending++
	}
	if state == taskDone && t.state != taskDone {
		s.done++
	}
	t.state = state
}

// occurrence is one run through a job's steps.
type occurrence struct {
	number int
	due    time.Duration
	steps  []*step
	tier   joborder.Tier // as of the last plan in which a step of it waited
}

func (o *occurrence) finished() bool {
	for _, s := range o.steps {
		if s.done < len(s.tasks) {
			return false
		}
	}
	return true
}

// job is an accepted job.
type job struct {
	work.Job
	queue    Queue    // as last configured
	account  *account // of its workspace; nil: it has none
	beyond   bool     // its workspace had handed in more than its weight when it came
	accepted time.Duration
	// restored is set on jobs that were accepted before this owner took over:
	// an earlier owner may have tasks of theirs running.
	restored bool
	// baseRun is below the numbers of runs that this owner starts, and not below
	// any that an earlier one did.
	baseRun int
	begun   bool
	size    float64 // core-seconds in all, by estimate

	live []*occurrence
	next int // number of the next occurrence

	// final is the state the job ended in; it is shown only once it is stored.
	final  work.State
	stored bool
	onEnd  []func(error) // told when the final state is stored

	// evidence counts what this owner noted of its tasks that crash workers, or may, in order;
	// of that so much is under way to the store, and stored.
	evidence, evidenceSent, evidenceStored int

	kept    bool  // some progress of it may be stored
	touched int64 // ends taken in when it first had something to store
}

// newJob returns a job at rest; its occurrences are added when they are due.
func newJob(j *work.Job, q Queue, now time.Duration) *job {
	out := &job{Job: *j, queue: q, accepted: now}
	for i := range j.Steps {
		out.size += stepWork(&j.Steps[i])
	}
	return out
}

func stepWork(s *work.Step) float64 {
	return float64(s.Count) * s.Estimate.Seconds() * s.Size.Cores()
}

func (j *job) addOccurrence(due time.Duration) *occurrence {
	o := &occurrence{number: j.next, due: due}
	j.next++
	for i := range j.Steps {
		s := &step{job: j, occ: o, number: i, spec: &j.Steps[i]}
		for n := range s.spec.Count {
			t := &task{ref: work.TaskRef{StepRef: s.ref(), Index: n}, step: s, pace: fullPercent}
			s.tasks = append(s.tasks, t)
		}
		s.pending = len(s.tasks)
		o.steps = append(o.steps, s)
	}
	j.live = append(j.live, o)
	return o
}

func (j *job) occurrence(number int) *occurrence {
	for _, o := range j.live {
		if o.number == number {
			return o
		}
	}
	return nil
}

func (j *job) task(ref work.TaskRef) *task {
	o := j.occurrence(ref.Occurrence)
	if o == nil || ref.Step >= len(o.steps) || ref.Index >= len(o.steps[ref.Step].tasks) {
		return nil
	}
	return o.steps[ref.Step].tasks[ref.Index]
}

// state is what a caller is told.
func (j *job) state() work.State {
	if j.final != "" && j.stored {
		return j.final
	}
	if j.begun {
		return work.Running
	}
	return work.Queued
}

// tasks calls f for every task of the live occurrences.
func (j *job) eachTask(f func(*task)) {
	for _, o := range j.live {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				f(t)
			}
		}
	}
}
