package engine

import (
	"math"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/guard"
	"github.com/pumicestage/pumicestage/policy/crashes"
	"github.com/pumicestage/pumicestage/policy/overload"
	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Bounds are limits of the deployment that the engine relies on.
type Bounds struct {
	MaxLease  time.Duration // longest lease that a worker grants
	PaceDelay time.Duration // until a change of a run's pace takes effect
	StopGrace time.Duration // longest time that stopping a run takes
	// MaxConfigDelay is the time within which a configuration is in force on all entry VMs;
	// 0: not bounded.
	MaxConfigDelay time.Duration
	// MaxCapacityAge is how old the known capacity of unguarded workers may be (see
	// Service.Unguarded); 0: not bounded.
	MaxCapacityAge time.Duration
	// KeepJobsInZone keeps the short tasks of a job in one availability zone where that has capacity.
	KeepJobsInZone bool
}

// Core is the engine's state machine for one cell: a service's workers and the jobs on
// them, owned by one entry VM at a time. It has no clock, network or goroutine: time and
// answers are passed in, and Plan returns the orders to carry out. It is not safe for
// concurrent use.
type Core struct {
	cell    string // name of the service
	advice  adviceCalls
	token   int64
	bounds  Bounds
	log     logr.Logger
	metrics *Metrics
	memory  *guard.Budget // nil: not counted

	declared          Declared
	jobs              map[work.JobID]*job
	unconfirmed       map[work.JobID]*unconfirmedJob // jobs being created
	open              []*job                         // jobs that have not ended, oldest first
	workers           map[work.WorkerID]*worker
	sorted            []*worker                            // workers by ID; nil: has to be rebuilt
	endedIncarnations map[work.WorkerID][]work.Incarnation // incarnations that have ended
	endedJobs         []endedJob                           // ended jobs, oldest first
	durationRatios    estimateRatios
	sizes             map[string]*meanSize
	limits            *limits
	cells             []string  // cells among which the limits of workspaces are divided
	arrivals          []arrival // recent ones

	dirty             map[work.JobID]*job   // jobs with a change to store
	storing           map[work.JobID]int64  // jobs whose change is being stored, with their dirtySinceEnd
	endsSeen          int64                 // ends of runs that were received so far, from all workers
	now               time.Duration         // time of the last plan or answer
	wall              time.Time             // time of day as of the last plan or restore
	explainedAt       time.Duration         // when waiting work was last logged
	busyWorkers       int                   // workers with tasks, as of the last plan
	progressCheckedAt time.Duration         // when the progress of running tasks was last checked
	orphaned          map[work.TaskRef]bool // tasks with an orphaned run still to be stopped, as of the last plan
	deposed           bool
	// ordersUntil is the time after which no orders are given: the owner's lease is no
	// longer certain then, and a successor may rely on this owner giving none.
	ordersUntil       time.Duration
	inherited         time.Duration // see InheritLeases
	ranAt             time.Duration // see ObserveRunning
	silenceCountsFrom time.Duration // silence before tells nothing, as this owner did not run
	fleetKnown        bool          // the platform's list of VMs has been read
	capacityKnownAt   time.Duration // see CapacityKnownAt
	crashRate         crashes.Rate  // of workers, by causes other than a task
	kinds             map[kindKey]*crashes.Kind
	unattributed      []crash // crashes whose cause is not decided yet
	correlatedLosses  crashes.CorrelatedLosses
	losses            lossSeries // of workers, the latest
	trials            crashes.Trials
	othersWaitedAt    time.Duration // when short tasks that are not suspects last waited
	timesToCrash      crashes.TimesToCrash
	lostUnpolled      bool                     // a worker crashed before it answered a poll of this owner
	presumedResolved  bool                     // see resolvePresumed
	upWorkers         map[work.WorkerID]string // workers that the list of VMs shows as up, with their pools
	largestVM         work.Resources           // for each kind of resource, the most that any VM of that list has
	certain           bool                     // no later owner can exist, see SetCertain
	governor          overload.Governor
	unreadPolls       int                      // polls whose answer was not read in time because this owner was overloaded
	startsLeft        int                      // starts that the next plan may order
	startsDeferred    bool                     // the last plan ordered fewer starts than it could, see LimitStarts
	labelWantedAt     map[string]time.Duration // labels that waiting steps require, with the last time of each
	plans             int64                    // planWaiting calls that had workers, to recognize results of the current one
}

// NewCore returns a core of the service named cell. Its orders carry the fencing token.
func NewCore(cell string, token int64, bounds Bounds, log logr.Logger) *Core {
	return &Core{
		cell: cell, token: token, bounds: bounds, log: log,
		jobs:              make(map[work.JobID]*job),
		unconfirmed:       make(map[work.JobID]*unconfirmedJob),
		workers:           make(map[work.WorkerID]*worker),
		endedIncarnations: make(map[work.WorkerID][]work.Incarnation),
		durationRatios:    make(estimateRatios),
		sizes:             make(map[string]*meanSize),
		kinds:             make(map[kindKey]*crashes.Kind),
		limits:            newLimits(),
		labelWantedAt:     make(map[string]time.Duration),

		startsLeft: math.MaxInt,

		dirty:    make(map[work.JobID]*job),
		storing:  make(map[work.JobID]int64),
		orphaned: make(map[work.TaskRef]bool),
	}
}

// Configure applies the operator's configuration. A job stays with the service that its
// queue was assigned to when the job was accepted.
func (c *Core) Configure(d Declared) {
	if c.declared.Version == d.Version {
		return
	}
	c.declared = d
	c.cells = cellNames(d)
	for _, j := range c.open {
		if q, known := d.Queues[j.Queue]; known {
			q.Service = c.cell
			j.queue = q
		}
	}
}

// AllowUntil sets the time until which the core may give orders. A time earlier than the
// previous one withdraws permission.
func (c *Core) AllowUntil(t time.Duration) { c.ordersUntil = t }

// SetCertain sets whether it is certain that no later owner exists. While it is not
// certain, tasks of unreachable workers are not restarted: a successor on the other side of
// a network partition may have adopted their runs and may be extending their leases.
func (c *Core) SetCertain(certain bool) { c.certain = certain }

// Deposed reports whether a worker or the store has shown that a later owner exists.
func (c *Core) Deposed() bool { return c.deposed }

// Accept adds a stored job. A job that is already known is left unchanged, and one that was
// cancelled in the store meanwhile is not added.
func (c *Core) Accept(j *work.Job, q Queue, now time.Duration) {
	if c.jobs[j.ID] != nil {
		return
	}
	if c.cancelledUnconfirmed(j.ID) {
		c.log.Info("job was cancelled before its creation was confirmed", "job", j.ID)
		return
	}
	added := newJob(j, q, now)
	c.add(added)
	if a := added.account; a != nil {
		added.overShare = !a.arrivals.Take(c.declared.Workspaces[a.name].Weight, now)
	}
	c.recordArrival(added, now)
}

func (c *Core) add(j *job) {
	c.jobs[j.ID] = j
	c.countMemory(j)
	if j.Workspace != "" {
		j.account = c.limits.account(j.Workspace)
	}
	if j.final != "" {
		return
	}
	c.open = append(c.open, j)
	c.queueSize(j.Queue).add(j.size)
}

// Known reports whether the job belongs to this cell and has not been forgotten.
func (c *Core) Known(id work.JobID) bool { return c.jobs[id] != nil }

// isOf reports whether the job is known and belongs to the workspace.
func (c *Core) isOf(id work.JobID, workspace work.WorkspaceName) bool {
	j := c.jobs[id]
	return j != nil && j.Workspace == workspace
}

// checkRepeat returns nil if the known job is of j's workspace, so that j repeats its submission, and
// ErrOtherWorkspace otherwise.
func (c *Core) checkRepeat(j *work.Job) error {
	if !c.isOf(j.ID, j.Workspace) {
		return ErrOtherWorkspace
	}
	return nil
}

// shows reports whether callers of the workspace may see and cancel the job.
func (c *Core) shows(id work.JobID, workspace work.WorkspaceName) bool {
	j := c.jobs[id]
	return j != nil && MayAccess(j.Workspace, workspace)
}

// State returns the job's state as callers see it, and whether the job is known.
func (c *Core) State(id work.JobID) (work.State, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	return j.state(), true
}

// Waiting returns the number of the queue's jobs of which no task has started.
func (c *Core) Waiting(queue string) int {
	n := 0
	for _, j := range c.open {
		if j.Queue == queue && !j.begun {
			n++
		}
	}
	return n
}

// Cancel cancels the job if it has not ended, and reports whether the job is known. done is
// called once the job's end is stored, which is immediately if it was stored before.
func (c *Core) Cancel(id work.JobID, done func(error)) bool {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	if j.stored {
		done(nil)
		return true
	}
	if j.final == "" {
		c.finish(j, work.Cancelled)
	}
	j.onEnd = append(j.onEnd, done)
	return true
}

// finish sets the job's final state and marks its runs to be stopped. Callers see the final
// state only once it is stored.
func (c *Core) finish(j *job, state work.State) {
	j.final = state
	if state == work.Completed {
		c.kindOf(j).Completed(c.now)
	}
	c.markDirty(j)
	c.open = slices.DeleteFunc(c.open, func(o *job) bool { return o == j })
	j.eachTask(func(t *task) {
		switch t.state {
		case taskActive, taskStarting, taskUncertain:
			t.step.set(t, taskStopping)
		}
	})
	c.log.Info("job ended", "job", j.ID, "state", state, "queue", j.Queue, "after", (c.now - j.accepted).String(), "config", c.declared.Version)
}

// markDirty records that the job has a change to store.
func (c *Core) markDirty(j *job) {
	if c.dirty[j.ID] == nil {
		c.dirty[j.ID] = j
		j.dirtySinceEnd = c.endsSeen
	}
}

// release removes the task from its worker and resets the state of its run.
func (c *Core) release(t *task) {
	if t.worker != nil {
		t.worker.remove(t)
		t.worker.full = false
		t.worker.emptySince = c.now
		t.worker = nil
		if t.step.job.stored {
			c.dropEndedWork(t.step.job)
		}
	}
	t.stopsListedFrom = 0
	t.stopSentAt, t.stopAnsweredAt, t.percent, t.gauge, t.pace = 0, 0, 0, 0, fullPercent
}

// requeue releases the task and makes it pending again, or held.
func (c *Core) requeue(t *task) {
	c.release(t)
	t.step.set(t, t.step.stateWithoutRun())
}

// attach records that the given run of the task is, or may be, on the worker.
func (c *Core) attach(t *task, w *worker, run int, state taskState, now time.Duration) {
	if t.worker != nil && t.worker != w {
		t.worker.remove(t)
	}
	t.worker, t.run = w, run
	t.progressedAt = now
	t.trialDuration = c.timesToCrash.TrialDuration()
	w.add(t)
	t.step.set(t, state)
	if state == taskActive {
		t.answeredAt = now
		t.step.job.begun = true
	}
}

func (c *Core) find(ref work.TaskRef) *task {
	j := c.jobs[ref.Job]
	if j == nil {
		return nil
	}
	return j.task(ref)
}

// findListed returns the task of a run that a worker lists; nil if there is none. If the run is of an
// occurrence that has not begun here, an earlier owner with a clock ahead of this one has begun it,
// and it begins here too; its tasks start once it is due by this owner's clock.
func (c *Core) findListed(ref work.TaskRef, now time.Duration) *task {
	j := c.jobs[ref.Job]
	if j == nil {
		return nil
	}
	if j.final == "" && j.Timed() && ref.Occurrence < j.Occurrences() {
		for j.nextOccurrence <= ref.Occurrence {
			c.log.Info("occurrence was begun by an earlier owner", "job", j.ID, "occurrence", j.nextOccurrence)
			j.addOccurrence(now + max(0, j.Schedule.Due(j.nextOccurrence).Sub(c.wall)))
			c.countMemory(j)
		}
	}
	return j.task(ref)
}

func (c *Core) queueSize(queue string) *meanSize {
	m := c.sizes[queue]
	if m == nil {
		m = &meanSize{}
		c.sizes[queue] = m
	}
	return m
}

// meanSize accumulates the sizes of a queue's jobs, in core-seconds, for their mean.
type meanSize struct {
	sum float64
	n   int
}

func (m *meanSize) add(size float64) { m.sum += size; m.n++ }

func (m *meanSize) mean() float64 {
	if m.n == 0 {
		return 0
	}
	return m.sum / float64(m.n)
}

// estimateRatios holds the ratio of actual to estimated run time, averaged per image or, for
// steps without an image, per queue (see learnKey).
type estimateRatios map[string]float64

// learnWeight is the weight of the newest task in the moving averages of estimateRatios. Run
// times within one queue differ from their estimates by half and more; with a weight of a tenth
// the average follows a change within about thirty tasks, and a single outlier hardly moves it.
const learnWeight = 0.1

// Bounds of estimateRatios, whose keys callers choose.
const (
	maxRatios       = 10_000
	maxLearnKeySize = 200 // bytes
)

// learnKey returns the key of estimateRatios that the step's tasks share: the image or the queue.
func learnKey(t *step) string {
	if t.spec.Image != "" && len(t.spec.Image) <= maxLearnKeySize {
		return t.spec.Image
	}
	return t.job.Queue
}

// ratio returns the average for the step's key; 1 if nothing is known.
func (d estimateRatios) ratio(s *step) float64 {
	if r, known := d[learnKey(s)]; known {
		return r
	}
	return 1
}

// learn adds the run time of a completed task to the average. Steps without an estimate and
// long-running ones are ignored.
func (d estimateRatios) learn(s *step, took time.Duration) {
	if s.spec.Estimate <= 0 || s.spec.LongRunning {
		return
	}
	ratio := float64(took) / float64(s.spec.Estimate)
	key := learnKey(s)
	if old, known := d[key]; known {
		ratio = old + learnWeight*(ratio-old)
	} else if len(d) >= maxRatios {
		d.forgetOne()
	}
	d[key] = ratio
}

// forgetOne drops an arbitrary key.
func (d estimateRatios) forgetOne() {
	for key := range d {
		delete(d, key)
		return
	}
}

// estimate returns the caller's estimate of the run time of a task, corrected by the ratio.
func (d estimateRatios) estimate(s *step) time.Duration {
	return time.Duration(float64(s.spec.Estimate) * d.ratio(s))
}

// reserved returns the resources of a worker that a task of the step reserves.
func (s *step) reserved() work.Resources { return taskplan.Reserved(s.spec) }

func (t *task) reserved() work.Resources { return t.step.reserved() }
