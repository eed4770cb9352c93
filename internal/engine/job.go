package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/crashes"
	"github.com/pumicestage/pumicestage/policy/joborder"
	"github.com/pumicestage/pumicestage/policy/work"
)

// taskState is the state of one task as the owner knows it.
type taskState uint8

const (
	taskPending   taskState = iota
	taskStarting            // a start was ordered and is not answered yet
	taskUncertain           // a start was ordered and its answer was lost: the run may exist, or may yet start
	taskActive              // its worker confirmed that it runs
	taskStopping            // it runs and is to be stopped
	taskDone
	// taskHeld is the state of a task that has no run, and must not start, because it is not known
	// whether it is done; see UnreadableProgress.
	taskHeld
)

// task is one task of a step.
type task struct {
	ref    work.TaskRef
	step   *step
	state  taskState
	run    int     // number of the last run that was ordered or seen
	worker *worker // that has the run, or may have it; nil: none

	orderedAt      time.Duration // when the start was ordered
	sentAt         time.Duration // when the start was sent to the worker; 0: not yet
	confirmed      bool          // the current incarnation of its worker is known to have the run
	answeredAt     time.Duration // when the worker was first known to have the run, or the start was given up
	ranBefore      time.Duration // how long the run had certainly lasted when this owner first learned of it
	deadline       time.Duration // of the start order, on the worker's clock
	stopSentAt     time.Duration // when a stop was last ordered; 0: never
	stopAnsweredAt time.Duration // when a stop was answered; 0: not yet
	checkpoint     string
	checkpointRun  int // number of the run that wrote the checkpoint
	percent        int
	listedAt       time.Duration // when a poll last reported percent
	progressedAt   time.Duration // when percent last rose
	gauge          int
	// stopsListedFrom is the time from which polls are certain to show any stop that an
	// earlier owner ordered.
	stopsListedFrom time.Duration
	pace            int // percent of its share of the processor that it may use; 100 at its start
	paceSentAt      time.Duration

	// failedRuns holds the numbers of the runs that failed. An end that was stored but not
	// acknowledged is listed again to the next owner: if it were counted twice, a job with
	// attempts left would fail.
	failedRuns []int
	avoid      []work.WorkerID
	notBefore  time.Duration // no start before this time: the backoff of tasks that keep failing
	losses     int           // runs in this term that ended with their worker's incarnation or lease

	crashes crashes.Record // crashes of workers while the task ran on them
	// trial is the number of the job's evidence by which the next start may crash a worker;
	// 0: none.
	trial int
	// trialDuration is how long the run must be seen running until the task is trusted.
	trialDuration time.Duration
	suspected     bool     // by the known crashes, the task may be their cause
	crashedAt     []string // addresses of the workers that crashed while it ran on them
	// presumedRun is the run under which a crash is recorded that is presumed to be caused by a
	// start of an earlier owner; 0: none.
	presumedRun int
}

// serving reports whether a long-running task is certain to serve: its start-up is over, its
// worker answers, and no stop by an earlier owner can be under way there. A worker lists a
// run that is being stopped like any other; a new owner that counted such a run as serving
// would stop a second task of the step at the same time.
func (t *task) serving() bool {
	return t.state == taskActive && t.percent >= fullPercent && t.worker.missedPolls == 0 && t.worker.listedAt >= t.stopsListedFrom
}

// fullPercent is 100 percent. It is what a worker reports as the progress of a long-running
// task whose start-up is over.
const fullPercent = 100

// step is one step of an occurrence of a job.
type step struct {
	job     *job
	occ     *occurrence
	number  int
	spec    *work.Step
	tasks   []*task
	done    int
	pending int
	held    bool // its tasks are taskHeld instead of taskPending
	// noTurnUntil is the time before which the step gets no turn in its workspace's ledger, turnLimit
	// how long its next turn lasts at most; 0: firstTurnLimit.
	noTurnUntil, turnLimit time.Duration
	unplaceableUntil       time.Duration // the pool could not take the step when last checked; see placeable
	advice                 stepAdvice
}

func (s *step) ref() work.StepRef {
	return work.StepRef{Job: s.job.ID, Occurrence: s.occ.number, Step: s.number}
}

// ready reports whether all steps that it depends on are done.
func (s *step) ready() bool {
	for _, before := range s.spec.After {
		if b := s.occ.steps[before]; b.done < len(b.tasks) {
			return false
		}
	}
	return true
}

// stateWithoutRun returns the state of the step's tasks that are not known to be done and have no run.
func (s *step) stateWithoutRun() taskState {
	if s.held {
		return taskHeld
	}
	return taskPending
}

// set sets the state of a task and updates the step's counts.
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

// occurrence is one execution of a job's steps; repeated jobs have several. It is live from when it is
// due until all of its steps are done.
type occurrence struct {
	number int
	due    time.Duration
	steps  []*step
	tier   joborder.Tier // as of the last plan in which a step of it was waiting
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
	queue     Queue    // as last configured
	account   *account // of its workspace; nil: it has no workspace
	overShare bool     // its workspace had submitted more than its weight allows when the job came
	accepted  time.Duration
	// restored is set on jobs that were accepted before this owner took over: tasks that
	// an earlier owner started may be running.
	restored bool
	// baseRun is less than the numbers of all runs that this owner starts, and not less than
	// the number of any run that an earlier owner started.
	baseRun int
	begun   bool    // a task of it has started
	size    float64 // total core-seconds, by estimate

	// Memory in bytes: of the job without its occurrences, of one occurrence, and what is counted.
	ownBytes, bytesPerOccurrence, countedBytes int64

	liveOccurrences []*occurrence // have become due and are not finished
	nextOccurrence  int           // number of the next occurrence

	// final is the state that the job ended in; callers see it only once it is stored.
	final  work.State
	stored bool
	onEnd  []func(error) // called when the final state is stored

	// evidence is how many facts this owner has recorded, in order, about tasks of the job that
	// crash workers or may do so. The first evidenceSent of them were sent to the store, the
	// first evidenceStored are stored.
	evidence, evidenceSent, evidenceStored int

	unreadable *UnreadableProgress // progress of it that could not be read; nil: none

	progressStored bool  // progress of it may be in the store
	dirtySinceEnd  int64 // Core.endsSeen when it became dirty

	// zone is the zone that its short tasks prefer, as computed in the plan with the number
	// zonePlan.
	zone     string
	zonePlan int64
}

// newJob returns a job without occurrences; these are added when they are due.
func newJob(j *work.Job, q Queue, now time.Duration) *job {
	out := &job{Job: *j, queue: q, accepted: now, ownBytes: jobBytes + submittedSize(j), bytesPerOccurrence: occurrenceSize(j)}
	for i := range j.Steps {
		out.size += stepWork(&j.Steps[i])
	}
	return out
}

// stepWork returns the estimated work of the step in core-seconds.
func stepWork(s *work.Step) float64 {
	return float64(s.Count) * s.Estimate.Seconds() * s.Size.Cores()
}

func (j *job) addOccurrence(due time.Duration) *occurrence {
	o := &occurrence{number: j.nextOccurrence, due: due}
	j.nextOccurrence++
	for i := range j.Steps {
		s := &step{job: j, occ: o, number: i, spec: &j.Steps[i], held: j.holds(&j.Steps[i], o.number)}
		for n := range s.spec.Count {
			t := &task{ref: work.TaskRef{StepRef: s.ref(), Index: n}, step: s, pace: fullPercent, state: s.stateWithoutRun()}
			s.tasks = append(s.tasks, t)
		}
		if !s.held {
			s.pending = len(s.tasks)
		}
		o.steps = append(o.steps, s)
	}
	j.liveOccurrences = append(j.liveOccurrences, o)
	return o
}

func (j *job) occurrence(number int) *occurrence {
	for _, o := range j.liveOccurrences {
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

// outOfAttempts reports whether the task, which is not long-running, has failed as often as allowed.
func (j *job) outOfAttempts(t *task) bool {
	return j.queue.MaxAttempts > 0 && len(t.failedRuns) >= j.queue.MaxAttempts
}

// state returns the job's state as callers see it.
func (j *job) state() work.State {
	if j.final != "" && j.stored {
		return j.final
	}
	if j.begun {
		return work.Running
	}
	return work.Queued
}

// eachTask calls f for every task of the job's live occurrences.
func (j *job) eachTask(f func(*task)) {
	for _, o := range j.liveOccurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				f(t)
			}
		}
	}
}
