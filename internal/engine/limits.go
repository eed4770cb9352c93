package engine

import (
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

// account holds what the cell knows about one workspace: the resources that its tasks use in
// this cell, and how much of the workspace's limit the cell may use.
type account struct {
	name       work.WorkspaceName
	used       work.Resources // by tasks on workers, including tasks that are being stopped
	limit      work.Resources // in force; the zero value is no limit
	nonBinding bool           // the limit exceeds what all VMs can run
	// needKnown says that a plan has computed need. A new owner that gave parts back earlier would
	// give back parts that its predecessor's running tasks still use.
	needKnown bool

	arrivals workspace.TokenBucket

	ledger workspace.Ledger // as last read or written
	rev    infra.Revision   // of the ledger's key; 0 if there is no ledger
	// usable is the part of the limit that certainly belongs to this cell. It is valid if explicit
	// is set; otherwise the cell has its even share.
	usable           workspace.Parts
	explicit         bool
	ledgerUnreadable bool // the stored ledger is malformed; the cell keeps its last share

	// The following are as of the last plan.
	remaining     work.Resources // what the cell may still start
	heldBack      work.Resources // needed by tasks that the cell's share kept from starting
	poolExhausted bool           // the pool has no free capacity beyond heldBack
	// awaitingTickets is needed by tasks that the share allows and the advisor has not answered for.
	awaitingTickets work.Resources
	need            workspace.Parts // for running tasks and those in heldBack and awaitingTickets
	longRunning     workspace.Parts // for long-running tasks of jobs that have begun
	// indivisible is the step in heldBack that is to start next, as a whole if it is a gang: the one
	// that has a turn, else the first one that the pool could take. nil: none.
	indivisible *step

	// turn is the step for which the cell has a turn in the ledger; nil: none. turnGranted tells that
	// the other cells leave the cell what the step needs, turnSince since when they do.
	turn        *step
	turnGranted bool
	turnSince   time.Duration

	// peakNeed is the largest need since the last review, previousPeakNeed that of the interval
	// before.
	peakNeed, previousPeakNeed workspace.Parts
	reviewedAt                 time.Duration
	ledgerPolledAt             time.Duration // when the ledger was last read to see the other cells' parts
	ledgerPollRequested        bool          // another cell announced that it waits or has given parts back
	inFlight                   bool          // a ledger transaction is in flight
	// outcomeUnknown says that a ledger transaction was not answered. It may still be applied until
	// a later one has been stored.
	outcomeUnknown bool
}

// share returns the cell's parts of the limit, which is divided among so many cells.
func (a *account) share(cells int) workspace.Parts {
	if a.explicit {
		return a.usable
	}
	return workspace.EvenShare(cells)
}

// lowerShare limits the cell's share to at most the given parts.
func (a *account) lowerShare(to workspace.Parts, cells int) {
	a.usable, a.explicit = min(a.share(cells), to), true
}

// needsLargerShare reports whether tasks wait that a larger share would allow to start.
func (a *account) needsLargerShare(cells int) bool {
	return a.heldBack != work.Resources{} && a.need > a.share(cells)
}

// limited reports whether the workspace has a limit that can bind.
func (a *account) limited() bool { return a.limit != work.Resources{} && !a.nonBinding }

// limits holds the accounts of the cell's workspaces.
type limits struct {
	accounts    map[work.WorkspaceName]*account
	confirmedAt time.Duration // when the configuration was last known to be the newest
	// fleetCapacity is the total capacity of the VMs that the platform lists.
	fleetCapacity work.Resources
}

func newLimits() *limits { return &limits{accounts: make(map[work.WorkspaceName]*account)} }

// account returns the workspace's account, which it creates if there is none.
func (l *limits) account(name work.WorkspaceName) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name}
		l.accounts[name] = a
	}
	return a
}

// addUsage adds the task's size, n times, to its workspace's usage: n is 1 when the task is assigned
// to a worker and -1 when it leaves it.
func (t *task) addUsage(n int64) {
	if a := t.step.job.account; a != nil {
		a.used = a.used.Plus(t.step.spec.Size.Times(n))
	}
}

// nonBindingMargin is the factor by which a limit must exceed the capacity of all VMs to be treated as
// no limit. The margin is needed because VMs are added and the list of VMs is seconds old.
const nonBindingMargin = 1.25

// nonBinding reports whether the limit can't be reached, whatever runs in all cells.
func (l *limits) nonBinding(limit work.Resources) bool {
	above := func(limit, all int64) bool {
		return limit == 0 || all > 0 && float64(limit) >= nonBindingMargin*float64(all)
	}
	return above(limit.MilliCPU, l.fleetCapacity.MilliCPU) && above(limit.MemoryMB, l.fleetCapacity.MemoryMB) &&
		(limit.GPU == 0 || float64(limit.GPU) >= nonBindingMargin*float64(l.fleetCapacity.GPU) && l.fleetCapacity.MilliCPU > 0)
}

// cellNames returns the sorted names of the cells that limits are divided among: all services but
// those on standby.
func cellNames(d Declared) []string {
	var out []string
	for name, s := range d.Services {
		if !s.Standby {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Confirm records when the configuration was last known to be the newest. An earlier time than the one
// recorded is ignored.
func (c *Core) Confirm(at time.Duration) { c.limits.confirmedAt = max(c.limits.confirmedAt, at) }

// share returns the parts of the workspace's limit that the cell may use. It is capped at the
// provisional share unless the configuration was confirmed within MaxConfigDelay: an owner that was
// partitioned or suspended may have missed that the limit was lowered, and would start work far
// above it.
func (c *Core) share(a *account, now time.Duration) workspace.Parts {
	share := a.share(len(c.cells))
	if within := c.bounds.MaxConfigDelay; within > 0 && now > c.limits.confirmedAt+within {
		return min(share, workspace.ProvisionalShare(len(c.cells)))
	}
	return share
}

// beginPlanAccounting computes, at the beginning of a plan, what may still be started for each
// workspace.
func (c *Core) beginPlanAccounting(now time.Duration) {
	hidden := c.unassignedUsage(now)
	for name, a := range c.limits.accounts {
		a.limit = c.declared.Workspaces[name].Limit
		a.nonBinding = c.limits.nonBinding(a.limit)
		a.needKnown = true
		a.remaining = c.share(a, now).Of(a.limit).Minus(a.used).Minus(hidden[name])
		a.heldBack, a.poolExhausted = work.Resources{}, false
		a.awaitingTickets, a.indivisible = work.Resources{}, nil
	}
}

// unassignedUsage returns, by workspace, the usage that counts towards limits in addition to the tasks
// that are assigned to workers.
func (c *Core) unassignedUsage(now time.Duration) map[work.WorkspaceName]work.Resources {
	out := c.possibleInheritedUsage(now)
	for name, r := range c.orphanedUsage() {
		out[name] = out[name].Plus(r)
	}
	return out
}

// orphanedUsage returns, by workspace, what orphaned runs use. They count until they have ended. A run
// whose job is no longer known can't be counted; it ends within the time that a stop takes.
func (c *Core) orphanedUsage() map[work.WorkspaceName]work.Resources {
	out := make(map[work.WorkspaceName]work.Resources)
	for _, w := range c.workers {
		for ref := range w.orphanedRuns {
			if t := c.find(ref); t != nil && t.worker != w {
				name := t.step.job.Workspace
				out[name] = out[name].Plus(t.step.spec.Size)
			}
		}
	}
	return out
}

// possibleInheritedUsage returns, by workspace, an upper bound of what an earlier owner may have
// running on workers that have not answered yet: the capacity of those workers, or the size of the
// pending and held tasks of restored jobs if that is less.
func (c *Core) possibleInheritedUsage(now time.Duration) map[work.WorkspaceName]work.Resources {
	out := make(map[work.WorkspaceName]work.Resources)
	if c.settled(now) {
		return out
	}
	for _, j := range c.open {
		if j.Workspace == "" || !j.restored {
			continue
		}
		j.eachTask(func(t *task) {
			if t.state == taskPending || t.state == taskHeld {
				out[j.Workspace] = out[j.Workspace].Plus(t.step.spec.Size)
			}
		})
	}
	if capacity, known := c.unheardCapacity(); known {
		for name, r := range out {
			out[name] = r.Min(capacity)
		}
	}
	return out
}

// unheardCapacity returns the total capacity of the workers that have not answered yet. known is
// false while the list of workers is not known.
func (c *Core) unheardCapacity() (capacity work.Resources, known bool) {
	for id, pool := range c.upWorkers {
		if w := c.workers[id]; pool == c.cell && w == nil && len(c.endedIncarnations[id]) == 0 {
			capacity = capacity.Plus(c.largestVM)
		}
	}
	for _, w := range c.workers {
		if !w.contacted {
			capacity = capacity.Plus(w.info.Capacity)
		}
	}
	return capacity, c.fleetKnown
}

// startableWithinLimit returns how many of the step's waiting tasks the workspace's share allows to
// start now: for a gang, all or none.
func (s *step) startableWithinLimit(waiting int) int {
	a := s.job.account
	if a == nil || !a.limited() {
		return waiting
	}
	n := workspace.Fitting(s.spec.Size, a.remaining, a.limit, waiting)
	if s.spec.Gang && n < waiting {
		return 0
	}
	return n
}

// shareExhausted reports whether the workspace's share allows none of the step's tasks to start.
func (s *step) shareExhausted() bool {
	a := s.job.account
	return a != nil && a.limited() && workspace.Fitting(s.spec.Size, a.remaining, a.limit, 1) == 0
}

// exceedsLimit reports whether a task, or the whole gang, is larger than the workspace's limit.
func (s *step) exceedsLimit() bool {
	n := s.unit()
	return workspace.Fitting(s.spec.Size, s.job.account.limit, s.job.account.limit, n) < n
}

// unit returns the number of tasks that have to start together.
func (s *step) unit() int {
	if s.spec.Gang {
		return len(s.tasks)
	}
	return 1
}

// holdBack records that the share of the step's workspace keeps so many of its waiting tasks from
// starting. A gang that could not start anyway is not recorded: the cell would keep parts of the limit
// for it that other cells can use.
func (c *Core) holdBack(s *step, waiting int, planner *taskplan.Planner, workers []*taskplan.Worker, now time.Duration) {
	a := s.job.account
	if s.exceedsLimit() || s.spec.Gang && !c.placeable(s, planner, workers, now) {
		return
	}
	a.recordHeldBack(s.spec.Size.Times(int64(waiting)), planner)
	if (a.indivisible == nil || a.turn == s) && c.needsTurn(s, now) && (s.spec.Gang || c.placeable(s, planner, workers, now)) {
		a.indivisible = s
	}
}

// needsTurn reports whether the step may be unable to start within the cell's fair share of the
// limit, and no turn for it has just passed.
func (c *Core) needsTurn(s *step, now time.Duration) bool {
	a := s.job.account
	unit := workspace.PartsFor(s.spec.Size.Times(int64(s.unit())), a.limit)
	return now >= s.noTurnUntil && (len(a.ledger.Turns) > 0 || unit > workspace.EvenShare(len(c.cells)))
}

// placementRetryInterval is the time between two checks whether a step that can't be placed could use
// a larger share.
const placementRetryInterval = 500 * time.Millisecond

// placeable reports whether the pool could take the whole gang, or one task of the step, now. An
// advised step is taken to have all tickets, as the advisor is asked only once the share suffices.
func (c *Core) placeable(s *step, planner *taskplan.Planner, workers []*taskplan.Worker, now time.Duration) bool {
	if now < s.unplaceableUntil {
		return false
	}
	if ps := c.planStep(s, workers, now); ps != nil {
		ps.Permitted = nil
		if planner.CanPlace(ps) {
			return true
		}
	}
	s.unplaceableUntil = now + placementRetryInterval
	return false
}

// recordHeldBack adds size to heldBack, the resources needed by tasks that can't start because the cell's
// share of the workspace's limit is used up. The sum is bounded by the pool's free capacity: a larger share
// would not let tasks start that the pool can't hold.
func (a *account) recordHeldBack(size work.Resources, pool *taskplan.Planner) {
	if a.poolExhausted {
		return
	}
	before := a.heldBack
	a.heldBack = before.Plus(size)
	if free := pool.FreeCapacity(); !a.heldBack.Fits(free) {
		a.heldBack, a.poolExhausted = before.Max(a.heldBack.Min(free)), true
	}
}

// recordAwaitingTickets records that so many of the step's tasks, which the share allows, wait for
// tickets of the advisor. The cell would otherwise give their part of the limit back meanwhile.
func (s *step) recordAwaitingTickets(waiting int) {
	if a := s.job.account; a != nil {
		a.awaitingTickets = a.awaitingTickets.Plus(s.spec.Size.Times(int64(waiting))).Min(a.remaining.Max(work.Resources{}))
	}
}

// keepTurns keeps the turns of steps that a plan has not come to before it ended.
func (c *Core) keepTurns() {
	for _, a := range c.limits.accounts {
		if a.turn != nil && a.turn.pending > 0 && a.turn.job.final == "" {
			a.indivisible = a.turn
		}
	}
}

// waitsForLimit reports whether the step waits because all of its workspace's limit is in use.
// Additional VMs would stay idle.
func (c *Core) waitsForLimit(s *step) bool {
	a := s.job.account
	return a != nil && a.limited() && a.needsLargerShare(len(c.cells)) && a.ledger.UnmetNeeds[c.cell] > 0
}

// chargeStart subtracts the start of one of the step's tasks from what its workspace may still start.
func (s *step) chargeStart() {
	if a := s.job.account; a != nil {
		a.remaining = a.remaining.Minus(s.spec.Size)
	}
}

// endPlanAccounting computes, at the end of a plan, how much of its limit each workspace needs in
// this cell.
func (c *Core) endPlanAccounting() {
	for _, a := range c.limits.accounts {
		if !a.limited() {
			a.need, a.heldBack = 0, work.Resources{}
			continue
		}
		a.longRunning = 0
		if a.indivisible != nil || len(a.ledger.Turns) > 0 || a.ledger.LongRunning[c.cell] > 0 {
			a.longRunning = min(workspace.Whole, workspace.PartsFor(c.longRunningSize(a), a.limit))
		}
		inUse := c.share(a, c.now).Of(a.limit).Minus(a.remaining)
		a.need = min(workspace.Whole, workspace.PartsFor(inUse.Plus(a.heldBack).Plus(a.awaitingTickets), a.limit))
		a.peakNeed = max(a.peakNeed, a.need)
	}
}

// longRunningSize returns the total size of the workspace's long-running tasks in jobs that have begun.
func (c *Core) longRunningSize(a *account) (sum work.Resources) {
	for _, j := range c.open {
		if j.account != a || !j.begun {
			continue
		}
		for i := range j.Steps {
			if spec := &j.Steps[i]; spec.LongRunning {
				sum = sum.Plus(spec.Size.Times(int64(spec.Count)))
			}
		}
	}
	return sum
}
