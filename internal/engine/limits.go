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
	remaining     work.Resources  // what the cell may still start
	heldBack      work.Resources  // needed by tasks that the cell's share kept from starting
	poolExhausted bool            // the pool has no free capacity beyond heldBack
	need          workspace.Parts // for running tasks and those in heldBack

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
// start now: for a gang, all or none. Tasks that it doesn't allow are recorded as held back from the
// pool, unless pool is nil.
func (s *step) startableWithinLimit(waiting int, pool *taskplan.Planner) int {
	a := s.job.account
	if a == nil || !a.limited() {
		return waiting
	}
	n := workspace.Fitting(s.spec.Size, a.remaining, a.limit, waiting)
	if n < waiting {
		a.recordHeldBack(s.spec.Size.Times(int64(waiting-n)), pool)
	}
	if s.spec.Gang && n < waiting {
		return 0
	}
	return n
}

// shareExhausted reports whether the workspace's share allows none of the step's tasks to start, and
// records them as startableWithinLimit does.
func (s *step) shareExhausted(pool *taskplan.Planner) bool {
	a := s.job.account
	if a == nil || !a.limited() || workspace.Fitting(s.spec.Size, a.remaining, a.limit, 1) == 1 {
		return false
	}
	a.recordHeldBack(s.spec.Size.Times(int64(s.pending)), pool)
	return true
}

// recordHeldBack adds size to heldBack, the resources needed by tasks that can't start because the cell's
// share of the workspace's limit is used up. The sum is bounded by the pool's free capacity: a larger share
// would not let tasks start that the pool can't hold.
func (a *account) recordHeldBack(size work.Resources, pool *taskplan.Planner) {
	if pool == nil || a.poolExhausted {
		return
	}
	before := a.heldBack
	a.heldBack = before.Plus(size)
	if free := pool.FreeCapacity(); !a.heldBack.Fits(free) {
		a.heldBack, a.poolExhausted = before.Max(a.heldBack.Min(free)), true
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
		inUse := c.share(a, c.now).Of(a.limit).Minus(a.remaining)
		a.need = min(workspace.Whole, workspace.PartsFor(inUse.Plus(a.heldBack), a.limit))
		a.peakNeed = max(a.peakNeed, a.need)
	}
}
