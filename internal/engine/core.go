package engine

import (
	"math"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/policy/crashes"
	"github.com/pumicestage/pumicestage/policy/overload"
	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Bounds are the deployment's figures that the engine keeps to.
type Bounds struct {
	MaxHold   time.Duration // longest lease a worker grants
	PaceDelay time.Duration // until a change of pace shows
	StopGrace time.Duration // a stop takes at most
	// ConfigWithin is the time within which a configuration is in force everywhere; 0: not
	// bounded.
	ConfigWithin time.Duration
	// RoomWithin is how old what unguarded workers say of their room may be; 0: not bounded.
	RoomWithin time.Duration
}

// Core is the engine's state machine. It has no clock, network or goroutine:
// time and answers come in, orders go out. It is not safe for concurrent use.
type Core struct {
	cell    string // the service
	token   int64
	bounds  Bounds
	log     logr.Logger
	metrics *Metrics

	declared Declared
	jobs     map[work.JobID]*job
	open     []*job // not ended, oldest first
	workers  map[work.WorkerID]*worker
	sorted   []*worker                            // these by ID; nil: to be sorted anew
	over     map[work.WorkerID][]work.Incarnation // lives that have ended
	stale    []staleJob                           // ended jobs, oldest first
	learned  durations
	sizes    map[string]*meanSize
	limits   *limits
	cells    []string  // among which limits are divided
	arrivals []arrival // of late

	dirty     map[work.JobID]*job
	flying    map[work.JobID]int64  // jobs with a change under way to the store, and when each was touched
	endings   int64                 // ends taken in so far, of all workers
	now       time.Duration         // of the last plan or answer
	explained time.Duration         // when work that waits was last logged
	busy      int                   // workers with tasks, as of the last plan
	judged    time.Duration         // when running tasks were last judged
	astray    map[work.TaskRef]bool // tasks with a run that is to be stopped, as of this plan
	deposed   bool
	// startsUntil: no orders beyond it, as the owner's lease is no longer
	// certain and a successor may rely on our silence.
	startsUntil      time.Duration
	inherited        time.Duration // see InheritLeases
	fleetKnown       bool          // the platform's list of VMs was read
	roomKnown        time.Duration // see RoomKnown
	crashRate        crashes.Rate  // of workers, by themselves
	kinds            map[kindKey]*crashes.Kind
	unjudged         []crash
	silences         crashes.CorrelatedLosses
	trials           crashes.Trials
	othersWaited     time.Duration // when short work other than suspects last waited
	onsets           crashes.TimesToCrash
	lostUnheard      bool                     // a worker crashed that this owner never heard
	presumedResolved bool                     // see resolvePresumed
	alive            map[work.WorkerID]string // pools of the workers that it says are up
	largestVM        work.Resources           // the most that any VM of that list has, by kind
	certain          bool                     // no later owner can exist, see SetCertain
	governor         overload.Governor
	unread           int                      // polls without an answer while this owner was behind
	mayStart         int                      // starts in a plan
	held             bool                     // the last plan kept starts back
	sought           map[string]time.Duration // labels that steps asked for, and when last
}

// NewCore returns a core of the service that gives its orders under token.
func NewCore(cell string, token int64, bounds Bounds, log logr.Logger) *Core {
	return &Core{
		cell: cell, token: token, bounds: bounds, log: log,
		jobs:    make(map[work.JobID]*job),
		workers: make(map[work.WorkerID]*worker),
		over:    make(map[work.WorkerID][]work.Incarnation),
		learned: make(durations),
		sizes:   make(map[string]*meanSize),
		kinds:   make(map[kindKey]*crashes.Kind),
		limits:  newLimits(),
		sought:  make(map[string]time.Duration),

		mayStart: math.MaxInt,

		dirty:  make(map[work.JobID]*job),
		flying: make(map[work.JobID]int64),
		astray: make(map[work.TaskRef]bool),
	}
}

// Declare takes the operator's configuration over. A job stays with the service
// that its queue led to when it was accepted.
func (c *Core) Declare(d Declared) {
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

// AllowUntil lets the core give orders until then; an earlier time than before
// takes permission back.
func (c *Core) AllowUntil(t time.Duration) { c.startsUntil = t }

// SetCertain says whether it is certain that no later owner exists. While it is
// not, what ran on unreachable workers is not restarted: a successor on the
// other side of a cut may have adopted it and extend its leases.
func (c *Core) SetCertain(certain bool) { c.certain = certain }

// Deposed reports whether a worker or the store knows a later owner.
func (c *Core) Deposed() bool { return c.deposed }

// Accept adds a stored job. A job known already stays as it is.
func (c *Core) Accept(j *work.Job, q Queue, now time.Duration) {
	if c.jobs[j.ID] != nil {
		return
	}
	added := newJob(j, q, now)
	c.add(added)
	if a := added.account; a != nil {
		added.beyond = !a.arrivals.Take(c.declared.Workspaces[a.name].Weight, now)
	}
	c.arrived(added, now)
}

func (c *Core) add(j *job) {
	c.jobs[j.ID] = j
	if j.Workspace != "" {
		j.account = c.limits.account(j.Workspace)
	}
	if j.final != "" {
		return
	}
	c.open = append(c.open, j)
	c.size(j.Queue).add(j.size)
}

// Known reports whether the job is one of ours.
func (c *Core) Known(id work.JobID) bool { return c.jobs[id] != nil }

// isOf reports whether the job is the workspace's.
func (c *Core) isOf(id work.JobID, workspace work.WorkspaceName) bool {
	j := c.jobs[id]
	return j != nil && j.Workspace == workspace
}

// shows reports whether callers of the workspace may see and cancel the job.
func (c *Core) shows(id work.JobID, workspace work.WorkspaceName) bool {
	j := c.jobs[id]
	return j != nil && Shows(j.Workspace, workspace)
}

// State returns what a caller is told of the job.
func (c *Core) State(id work.JobID) (work.State, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	return j.state(), true
}

// Waiting counts the queue's accepted jobs of which no task has started.
func (c *Core) Waiting(queue string) int {
	n := 0
	for _, j := range c.open {
		if j.Queue == queue && !j.begun {
			n++
		}
	}
	return n
}

// Cancel ends the job. done is called once that is stored; at once where the
// job had ended before. It reports whether the job is known.
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

// finish decides the job's end. Its tasks stop; callers see the end once it is
// stored.
func (c *Core) finish(j *job, state work.State) {
	j.final = state
	if state == work.Completed {
		c.kindOf(j).Completed(c.now)
	}
	c.touch(j)
	c.open = slices.DeleteFunc(c.open, func(o *job) bool { return o == j })
	j.eachTask(func(t *task) {
		switch t.state {
		case taskActive, taskStarting, taskDoubtful:
			t.step.set(t, taskStopping)
		}
	})
	c.log.Info("job ends", "job", j.ID, "state", state, "queue", j.Queue, "after", (c.now - j.accepted).String(), "config", c.declared.Version)
}

// touch notes that the job has something to store.
func (c *Core) touch(j *job) {
	if c.dirty[j.ID] == nil {
		c.dirty[j.ID] = j
		j.touched = c.endings
	}
}

// release takes the task off its worker.
func (c *Core) release(t *task) {
	if t.where != nil {
		t.where.remove(t)
		t.where.full = false
		t.where.emptySince = c.now
		t.where = nil
	}
	t.stopsOver = 0
	t.stopSent, t.stopOK, t.percent, t.gauge, t.pace = 0, 0, 0, 0, fullPercent
}

// requeue lets the task start anew, if its job goes on.
func (c *Core) requeue(t *task) {
	c.release(t)
	t.step.set(t, taskPending)
}

// attach notes that the task is, or may be, on the worker.
func (c *Core) attach(t *task, w *worker, run int, state taskState, now time.Duration) {
	if t.where != nil && t.where != w {
		t.where.remove(t)
	}
	t.where, t.run = w, run
	t.movedAt = now
	t.trialLasts = c.onsets.TrialDuration()
	w.add(t)
	t.step.set(t, state)
	if state == taskActive {
		t.answered = now
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

func (c *Core) size(queue string) *meanSize {
	m := c.sizes[queue]
	if m == nil {
		m = &meanSize{}
		c.sizes[queue] = m
	}
	return m
}

// meanSize is the mean size of a queue's jobs in core-seconds.
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

// durations holds how long tasks really take against their estimates, by what
// they run.
type durations map[string]float64

// learnShare is the weight of the newest task. Jobs of one queue differ by half
// their estimate and more; a tenth follows a change within some thirty tasks
// and is not thrown by one.
const learnShare = 0.1

func learnKey(t *step) string {
	if t.spec.Image != "" {
		return t.spec.Image
	}
	return t.job.Queue
}

func (d durations) ratio(s *step) float64 {
	if r, known := d[learnKey(s)]; known {
		return r
	}
	return 1
}

func (d durations) learn(s *step, took time.Duration) {
	if s.spec.Estimate <= 0 || s.spec.LongRunning {
		return
	}
	ratio := float64(took) / float64(s.spec.Estimate)
	key := learnKey(s)
	if old, known := d[key]; known {
		ratio = old + learnShare*(ratio-old)
	}
	d[key] = ratio
}

func (d durations) estimate(s *step) time.Duration {
	return time.Duration(float64(s.spec.Estimate) * d.ratio(s))
}

// reserved returns what a task of the step holds of a worker.
func (s *step) reserved() work.Resources { return taskplan.Reserved(s.spec) }

func (t *task) reserved() work.Resources { return t.step.reserved() }
