package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/joborder"
	"github.com/pumicestage/pumicestage/policy/overload"
	"github.com/pumicestage/pumicestage/policy/work"
)

// CellReport is the report of a cell's owner to the fleet's owner, which decides by it which VMs
// the cell's pool needs.
type CellReport struct {
	Used           float64        `msgpack:"u"`           // cores in use
	Backlog        float64        `msgpack:"b"`           // waiting core-seconds of jobs that are still of use
	ExpiredBacklog float64        `msgpack:"o,omitempty"` // waiting core-seconds of jobs that are too late to be of use
	ArrivalRate    float64        `msgpack:"a"`           // recently submitted core-seconds per second
	MissingVMs     int            `msgpack:"s"`           // additional VMs that long-running tasks without a label need, whatever is free on the others
	Workers        []WorkerReport `msgpack:"w"`
	// TrialVMs is how many empty VMs the cell could use for tasks that may crash their worker,
	// as long as no other cell lacks VMs.
	TrialVMs int `msgpack:"p,omitempty"`
	// SerialMoves is how many moves, one after the other, are needed until no long-running task
	// is on a VM that the current wave of maintenance has yet to take.
	SerialMoves int `msgpack:"m,omitempty"`
	// ByLabel is, by label, the part of the load that only workers with the label can take.
	ByLabel map[string]LabelLoad `msgpack:"l,omitempty"`
}

// LabelLoad is the load of tasks that require a label.
type LabelLoad struct {
	Used           float64 `msgpack:"u"`           // cores in use
	Backlog        float64 `msgpack:"b"`           // waiting core-seconds of jobs that are still of use
	ExpiredBacklog float64 `msgpack:"o,omitempty"` // waiting core-seconds of jobs that are too late to be of use
	MissingVMs     int     `msgpack:"s,omitempty"` // additional VMs with the label that long-running tasks need
}

// WorkerReport is the state of one worker of a cell.
type WorkerReport struct {
	ID          work.WorkerID `msgpack:"i"`
	Tasks       int           `msgpack:"t"` // including orphaned runs
	LongRunning int           `msgpack:"l"` // long-running tasks
	EmptyFor    time.Duration `msgpack:"e"` // 0 while it has tasks
	Cordon      Cordon        `msgpack:"c"`
	Draining    bool          `msgpack:"d"`
	Polled      bool          `msgpack:"h"` // it has answered a poll of this owner
	// CordonBlocked means that the worker must not be cordoned to be emptied: tasks that can run only
	// on it may not all be stopped, or wait for it.
	CordonBlocked bool `msgpack:"b,omitempty"`
	// Silent means that the worker is polled and does not answer, see silentAfter.
	Silent bool `msgpack:"s,omitempty"`
	// Zone is the zone of its registration, if CellSync.Zones asks for it.
	Zone string `msgpack:"z,omitempty"`
}

// Cordon is the fleet owner's restriction on the tasks that a worker gets. The zero value is none.
type Cordon struct {
	Kind CordonKind `msgpack:"k"`
	// Token is the fencing token of the fleet owner that set it.
	Token int64 `msgpack:"t"`
}

// CordonKind is how far a cordon closes a worker.
type CordonKind uint8

// The kinds of cordon.
const (
	CordonNone           CordonKind = iota
	CordonVacate                    // gets no new tasks; long-running ones are moved away
	CordonClaimed                   // is empty and gets no tasks: an order for its VM may be under way
	CordonMaintenanceDue            // gets tasks, but long-running ones preferably elsewhere, as its VM's maintenance is due
)

// Closes reports whether the worker gets no new tasks.
func (c Cordon) Closes() bool { return c.Kind == CordonVacate || c.Kind == CordonClaimed }

// CellOrderKind is what the fleet's owner orders a cell's owner to do with a worker.
type CellOrderKind uint8

// The kinds of CellOrder.
const (
	OrderVacate         CellOrderKind = iota + 1 // set CordonVacate
	OrderEvict                                   // stop its tasks other than long-running ones
	OrderClaim                                   // set CordonClaimed; fails unless the worker is certain to be empty
	OrderUncordon                                // remove the cordon
	OrderWorkerRemoved                           // its incarnation has ended, as its VM was taken away
	OrderMaintenanceDue                          // set CordonMaintenanceDue
)

// CellOrder is an order about one worker.
type CellOrder struct {
	Kind   CellOrderKind `msgpack:"k"`
	Worker work.WorkerID `msgpack:"w"`
}

// CellSync is a request of the fleet's owner to a cell's owner. The report in the answer is made
// after the orders were carried out.
type CellSync struct {
	Token  int64       `msgpack:"t"` // fencing token of the fleet's owner
	Orders []CellOrder `msgpack:"o"`
	// Joined are workers that run in the cell's pool by the platform's list of VMs, but are
	// missing in the cell's reports.
	Joined []work.WorkerID `msgpack:"j,omitempty"`
	// Zones asks for the zones of the workers, as the list of VMs lacks some. Reports go out
	// several times a second, so they carry the zones only on request.
	Zones bool `msgpack:"z,omitempty"`
}

// CellAnswer is the answer to a CellSync.
type CellAnswer struct {
	Executed []bool     `msgpack:"t"` // whether each order was carried out
	Report   CellReport `msgpack:"r"`
}

// Sync carries out the fleet owner's orders and returns a report. It returns ErrNotReady if the
// orders are of an earlier owner of the fleet, and also while a later owner of this cell can
// exist: a worker that is empty to this owner may be in use by the later one.
func (e *Engine) Sync(s CellSync) (CellAnswer, error) {
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.restored || s.Token < e.fleetToken || !e.Term.Certain() {
		return CellAnswer{}, ErrNotReady
	}
	e.fleetToken = s.Token
	var a CellAnswer
	for _, o := range s.Orders {
		a.Executed = append(a.Executed, e.core.applyOrder(o, s.Token, now))
	}
	if len(s.Orders) > 0 {
		kick(e.planKick)
	}
	if unknown := e.core.unknownWorkers(s.Joined); len(unknown) > 0 && e.Lookup != nil {
		e.Lookup(unknown)
	}
	a.Report = e.core.report(now)
	behind := overload.AnswerMayBeUnread(e.maxSchedulingDelay())
	for i := range a.Report.Workers {
		w := &a.Report.Workers[i]
		w.Silent = w.Silent && !behind
		if s.Zones {
			w.Zone = e.core.workers[w.ID].info.Zone
		}
	}
	return a, nil
}

// unknownWorkers returns those of the workers that this owner has never seen, in any incarnation.
func (c *Core) unknownWorkers(ids []work.WorkerID) []work.WorkerID {
	var out []work.WorkerID
	for _, id := range ids {
		if c.workers[id] == nil && len(c.endedIncarnations[id]) == 0 {
			out = append(out, id)
		}
	}
	return out
}

// applyOrder carries out an order of the fleet owner with the token and reports whether it could.
func (c *Core) applyOrder(o CellOrder, token int64, now time.Duration) bool {
	w := c.workers[o.Worker]
	if w == nil {
		return o.Kind == OrderWorkerRemoved || o.Kind == OrderUncordon
	}
	switch o.Kind {
	case OrderVacate:
		c.setCordon(w, Cordon{Kind: CordonVacate, Token: token}, now)
	case OrderEvict:
		c.evict(w)
	case OrderClaim:
		// An owner that has just taken over knows of a worker before it knows what runs
		// there. And ends of runs that are not stored yet are known only to the worker and
		// this owner: if the worker was taken away, a successor would repeat finished work.
		if !w.contacted || w.missedPolls > 0 || len(w.tasks)+len(w.orphanedRuns) > 0 || w.stored < w.seen {
			return false
		}
		c.setCordon(w, Cordon{Kind: CordonClaimed, Token: token}, now)
	case OrderUncordon:
		c.setCordon(w, Cordon{}, now)
	case OrderMaintenanceDue:
		c.setCordon(w, Cordon{Kind: CordonMaintenanceDue, Token: token}, now)
	case OrderWorkerRemoved:
		c.endIncarnation(w, "its VM is taken away", lossPlanned, now)
	}
	return true
}

func (c *Core) setCordon(w *worker, to Cordon, now time.Duration) {
	if w.cordon == to {
		return
	}
	switch {
	case to.Kind != CordonVacate:
		w.vacateSince, w.wantedSince = 0, 0
	case w.vacateSince == 0:
		w.vacateSince = now
	}
	w.cordon = to
	c.log.Info("cordon", "worker", w.info.ID, "kind", int(to.Kind), "tasks", len(w.tasks))
}

// evict stops all tasks on the worker except long-running ones, which leave as their steps'
// limits on unavailable tasks allow.
func (c *Core) evict(w *worker) {
	for _, t := range w.tasks {
		if t.state == taskActive && !t.step.spec.LongRunning {
			c.log.Info("run evicted", "task", t.ref.String(), "run", t.run, "worker", w.info.ID, "percent", t.percent)
			t.step.set(t, taskStopping)
		}
	}
}

func (c *Core) report(now time.Duration) CellReport {
	r := CellReport{ArrivalRate: c.arrivalRate(now), TrialVMs: c.vmsForTrials(now), SerialMoves: c.serialMoves(), ByLabel: make(map[string]LabelLoad)}
	for _, w := range c.workers {
		r.addWorker(w, now, c.reportsSilent(w, now), c.cordonBlocked(w, now))
	}
	for label, n := range c.missingVMs(now) {
		r.addMissingVMs(label, n)
	}
	largest := c.maxCapacity()
	settled := c.settled(now)
	for _, j := range c.open {
		// Jobs that may not start yet wait for workers that have not been polled, not for
		// capacity. A pool with a backlog keeps its VMs: counting these jobs kept 18 idle VMs
		// from a pool with a burst for five seconds.
		if j.restored && !settled {
			continue
		}
		for _, o := range j.liveOccurrences {
			for _, s := range o.steps {
				// Tasks that fit on no VM would make the pool request VMs forever.
				if n := s.pending - s.suspects(); n > 0 && s.ready() && s.reserved().Fits(largest) && !c.waitsForLimit(s) {
					r.addBacklog(s, o.tier, float64(n)*c.expectedHoldTime(s, now).Seconds()*s.spec.Size.Cores())
				}
			}
		}
	}
	return r
}

// addMissingVMs adds that n VMs with the label are missing; any VM will do if it is empty.
func (r *CellReport) addMissingVMs(label string, n int) {
	if label == "" || n == 0 {
		r.MissingVMs += n
		return
	}
	if !r.mayReport(label) {
		return
	}
	b := r.ByLabel[label]
	b.MissingVMs += n
	r.ByLabel[label] = b
}

// Bounds of the labels in a report, which callers choose, so that it fits in a message.
const (
	maxReportedLabels = 1000
	maxLabelSize      = 200 // bytes
)

// mayReport reports whether the report may have an entry for the label.
func (r *CellReport) mayReport(label string) bool {
	_, known := r.ByLabel[label]
	return known || len(r.ByLabel) < maxReportedLabels && len(label) <= maxLabelSize
}

func (r *CellReport) addWorker(w *worker, now time.Duration, silent, cordonBlocked bool) {
	wr := WorkerReport{
		ID: w.info.ID, Tasks: len(w.tasks) + len(w.orphanedRuns), LongRunning: w.load.longRunning, Cordon: w.cordon, Draining: w.info.Draining, Polled: w.contacted,
		Silent: silent, CordonBlocked: cordonBlocked,
	}
	if wr.Tasks == 0 {
		wr.EmptyFor = now - w.emptySince
	}
	for _, t := range w.tasks {
		if label := t.step.spec.Requires; label != "" {
			b := r.ByLabel[label]
			b.Used += t.reserved().Cores()
			r.ByLabel[label] = b
		}
	}
	r.Used += w.load.reserved.Cores()
	r.Workers = append(r.Workers, wr)
}

func (r *CellReport) addBacklog(s *step, tier joborder.Tier, coreSeconds float64) {
	useful, expired := coreSeconds, 0.0
	if tier == joborder.TierExpired {
		useful, expired = 0, coreSeconds
	}
	r.Backlog += useful
	r.ExpiredBacklog += expired
	if label := s.spec.Requires; label != "" && r.mayReport(label) {
		b := r.ByLabel[label]
		b.Backlog += useful
		b.ExpiredBacklog += expired
		r.ByLabel[label] = b
	}
}

// HasBacklog reports whether any task waits for capacity.
func (r *CellReport) HasBacklog() bool { return r.Backlog > 0 || r.ExpiredBacklog > 0 }

// maxCapacity returns, for each kind of resource by itself, the most that any known VM or worker
// has.
func (c *Core) maxCapacity() work.Resources {
	largest := c.largestVM
	for _, w := range c.workers {
		largest = largest.Max(w.info.Capacity)
	}
	return largest
}

// placementGrace is how long a long-running task waits before it counts as one that can't be
// placed: the next plan comes within milliseconds.
const placementGrace = 200 * time.Millisecond

// missingVMs returns how many more VMs the long-running tasks need, by the label that the VMs must
// have; empty stands for any VM. The number of free cores does not show it: a step's limit of tasks on
// one VM asks for different VMs, and a task that is to leave a VM for maintenance needs a place
// elsewhere before it may be stopped.
func (c *Core) missingVMs(now time.Duration) map[string]int {
	pending, blocked := make(map[string]int), make(map[string]int)
	for _, j := range c.open {
		if !j.LongRunning() {
			continue
		}
		for _, o := range j.liveOccurrences {
			for _, s := range o.steps {
				label := s.spec.Requires
				if now >= j.accepted+placementGrace {
					pending[label] = max(pending[label], s.vmsForPending(now))
				}
				blocked[label] = max(blocked[label], c.vmsForBlockedMoves(s, now))
			}
		}
	}
	for label, n := range blocked {
		pending[label] += n
	}
	return pending
}

// vmsForPending returns how many VMs the step's pending tasks need if no present VM has free
// capacity; 0 for steps that are not long-running.
func (s *step) vmsForPending(now time.Duration) int {
	if !s.spec.LongRunning || s.pending == 0 || !s.ready() {
		return 0
	}
	waiting := 0
	for _, t := range s.tasks {
		if t.state == taskPending && now >= t.notBefore+placementGrace {
			waiting++
		}
	}
	each := max(1, s.spec.AntiAffinity)
	return (waiting + each - 1) / each
}

// serialMoves returns the greatest number of consecutive moves that a maintenance wave requires of
// one step. As many tasks of a step as its limit on unavailable tasks allows move at a time.
func (c *Core) serialMoves() int {
	largest := 0
	for _, j := range c.open {
		if !j.LongRunning() {
			continue
		}
		for _, o := range j.liveOccurrences {
			for _, s := range o.steps {
				largest = max(largest, s.serialMoves())
			}
		}
	}
	return largest
}

func (s *step) serialMoves() int {
	if !s.spec.LongRunning {
		return 0
	}
	n := 0
	for _, t := range s.tasks {
		if t.worker != nil && (t.worker.cordon.Kind == CordonMaintenanceDue || t.worker.cordon.Kind == CordonVacate) {
			n++
		}
	}
	each := s.maxUnavailable()
	return (n + each - 1) / each
}

// vmsForBlockedMoves returns how many additional VMs would let long-running tasks of the step leave
// the VMs that are to be emptied: as many as may be on the move at a time. If only one VM was
// requested at a time, a wave over a large pool would be late, as each VM takes seconds to start.
// Steps share the VMs that come.
func (c *Core) vmsForBlockedMoves(s *step, now time.Duration) int {
	return min(c.blockedMoves(s, now), s.maxUnavailable())
}

// blockedMoves returns the number of the step's long-running tasks that are to leave their VMs and
// can't be placed elsewhere.
func (c *Core) blockedMoves(s *step, now time.Duration) int {
	if s.job.queue.Advised && s.advice.incomplete {
		return 0
	}
	n := 0
	for _, t := range s.tasks {
		if !s.spec.LongRunning || t.state != taskActive || t.worker.cordon.Kind != CordonVacate {
			continue
		}
		if n == 0 && c.canBePlaced(t, now) {
			return 0
		}
		n++
	}
	return n
}
