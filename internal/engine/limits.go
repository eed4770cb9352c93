package engine

import (
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

// account is what the cell knows of one workspace: what runs here, and how much of the
// workspace's limit it may use.
type account struct {
	name  work.WorkspaceName
	used  work.Resources // by tasks on workers, those that are being stopped among them
	limit work.Resources // in force; all 0: none
	loose bool           // the limit is above what all VMs can run
	// planned: a plan has found what runs and is needed. A successor that gave back before that
	// would give back what its predecessor's work still uses.
	planned bool

	arrivals workspace.TokenBucket

	ledger workspace.Ledger // as last read or written
	rev    infra.Revision   // of its key; 0: there is none
	// granted is what is certain to be this cell's, where explicit is set; else it has its even
	// share.
	granted    workspace.Parts
	explicit   bool
	unreadable bool // the ledger: the cell goes on with what it had

	// As of the last plan.
	left   work.Resources  // of what the cell may use
	wanted work.Resources  // by tasks that its share held back
	filled bool            // no more would find room in the pool
	need   workspace.Parts // for what runs and what was wanted

	// peak is the greatest need since the last review, and lastPeak that before.
	peak, lastPeak workspace.Parts
	reviewed       time.Duration
	looked         time.Duration // when the ledger was last read to see what others have
	lookNow        bool          // another cell said that it waits, or that it gave back
	inFlight       bool          // a change of the ledger is under way
	// inDoubt: one was not answered and may be carried out late, until another has been stored.
	inDoubt bool
}

// share is what the cell has, of so many.
func (a *account) share(cells int) workspace.Parts {
	if a.explicit {
		return a.granted
	}
	return workspace.EvenShare(cells)
}

// lower bounds what the cell has from here on.
func (a *account) lower(to workspace.Parts, cells int) {
	a.granted, a.explicit = min(a.share(cells), to), true
}

// short reports whether work waits that a larger share would let start.
func (a *account) short(cells int) bool {
	return a.wanted != work.Resources{} && a.need > a.share(cells)
}

func (a *account) limited() bool { return a.limit != work.Resources{} && !a.loose }

// limits are the accounts of the cell's workspaces.
type limits struct {
	accounts  map[work.WorkspaceName]*account
	confirmed time.Duration // when the configuration was last known to be the newest
	// fleet is what all VMs of the platform's list can run.
	fleet work.Resources
}

func newLimits() *limits { return &limits{accounts: make(map[work.WorkspaceName]*account)} }

func (l *limits) of(name work.WorkspaceName) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name}
		l.accounts[name] = a
	}
	return a
}

// count notes in its workspace's account that the task came to a worker (1) or left it (-1).
func (t *task) count(n int64) {
	if a := t.step.job.account; a != nil {
		a.used = a.used.Plus(t.step.spec.Size.Times(n))
	}
}

// looseMargin is by how much a limit must exceed all VMs to be no limit: VMs are added, and the
// list of them is seconds old.
const looseMargin = 1.25

// loose reports whether the limit binds nowhere, whatever runs.
func (l *limits) loose(limit work.Resources) bool {
	above := func(limit, all int64) bool {
		return limit == 0 || all > 0 && float64(limit) >= looseMargin*float64(all)
	}
	return above(limit.MilliCPU, l.fleet.MilliCPU) && above(limit.MemoryMB, l.fleet.MemoryMB) &&
		(limit.GPU == 0 || float64(limit.GPU) >= looseMargin*float64(l.fleet.GPU) && l.fleet.MilliCPU > 0)
}

// cellsOf names the cells among which limits are divided.
func cellsOf(d Declared) []string {
	var out []string
	for name, s := range d.Services {
		if !s.Standby {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Confirm says when the configuration was last known to be the newest.
func (c *Core) Confirm(at time.Duration) { c.limits.confirmed = max(c.limits.confirmed, at) }

// share is what the cell may use of the workspace's limit. More than a little of it only while
// the configuration is certain to be in force: an owner that is cut off or was frozen may have
// missed that the limit was cut, and would begin work far above it.
func (c *Core) share(a *account, now time.Duration) workspace.Parts {
	share := a.share(len(c.cells))
	if within := c.bounds.MaxConfigDelay; within > 0 && now > c.limits.confirmed+within {
		return min(share, workspace.ProvisionalShare(len(c.cells)))
	}
	return share
}

// openAccounts begins a plan: what may still be started for each workspace.
func (c *Core) openAccounts(now time.Duration) {
	hidden := c.hiddenUse(now)
	for name, a := range c.limits.accounts {
		a.limit = c.declared.Workspaces[name].Limit
		a.loose = c.limits.loose(a.limit)
		a.planned = true
		a.left = c.share(a, now).Of(a.limit).Minus(a.used).Minus(hidden[name])
		a.wanted, a.filled = work.Resources{}, false
	}
}

// hiddenUse is what counts towards limits beside the tasks on workers.
func (c *Core) hiddenUse(now time.Duration) map[work.WorkspaceName]work.Resources {
	out := c.unseen(now)
	for name, r := range c.strayUse() {
		out[name] = out[name].Plus(r)
	}
	return out
}

// strayUse is what runs that nobody wants hold of each workspace's limit until they have ended.
// Of one whose job has been forgotten nothing is known; it ends within a stop's time.
func (c *Core) strayUse() map[work.WorkspaceName]work.Resources {
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

// unseen is what an earlier owner may have running for each workspace on workers that were not
// heard yet: no more than those can run, nor than the tasks that wait of the jobs it knew.
func (c *Core) unseen(now time.Duration) map[work.WorkspaceName]work.Resources {
	out := make(map[work.WorkspaceName]work.Resources)
	if c.settled(now) {
		return out
	}
	for _, j := range c.open {
		if j.Workspace == "" || !j.restored {
			continue
		}
		j.eachTask(func(t *task) {
			if t.state == taskPending {
				out[j.Workspace] = out[j.Workspace].Plus(t.step.spec.Size)
			}
		})
	}
	if room, known := c.unheardRoom(); known {
		for name, r := range out {
			out[name] = r.Min(room)
		}
	}
	return out
}

// unheardRoom is what the workers that were not heard can run; false while it is not known
// which there are.
func (c *Core) unheardRoom() (room work.Resources, known bool) {
	for id, pool := range c.upWorkers {
		if w := c.workers[id]; pool == c.cell && w == nil && len(c.endedIncarnations[id]) == 0 {
			room = room.Plus(c.largestVM)
		}
	}
	for _, w := range c.workers {
		if !w.contacted {
			room = room.Plus(w.info.Capacity)
		}
	}
	return room, c.fleetKnown
}

// allowed returns how many of so many waiting tasks of the step its workspace's share lets start
// now.
func (s *step) allowed(waiting int, pool *taskplan.Planner) int {
	a := s.job.account
	if a == nil || !a.limited() {
		return waiting
	}
	n := workspace.Fitting(s.spec.Size, a.left, a.limit, waiting)
	if n < waiting {
		a.want(s.spec.Size.Times(int64(waiting-n)), pool)
	}
	if s.spec.Gang && n < waiting {
		return 0
	}
	return n
}

// exhausted reports whether the share of the step's workspace lets none of its tasks start.
func (s *step) exhausted(pool *taskplan.Planner) bool {
	a := s.job.account
	if a == nil || !a.limited() || workspace.Fitting(s.spec.Size, a.left, a.limit, 1) == 1 {
		return false
	}
	a.want(s.spec.Size.Times(int64(s.pending)), pool)
	return true
}

// want notes tasks that the share held back. What finds no room in the pool is not wanted of the
// limit.
func (a *account) want(size work.Resources, pool *taskplan.Planner) {
	if a.filled {
		return
	}
	before := a.wanted
	a.wanted = before.Plus(size)
	if room := pool.FreeCapacity(); !a.wanted.Fits(room) {
		a.wanted, a.filled = before.Max(a.wanted.Min(room)), true
	}
}

// atLimit reports whether the step waits for its workspace's limit, all of which is in use: more
// VMs would stand idle beside it.
func (c *Core) atLimit(s *step) bool {
	a := s.job.account
	return a != nil && a.limited() && a.short(len(c.cells)) && a.ledger.UnmetNeeds[c.cell] > 0
}

// spend notes a start of the step in its workspace's account.
func (s *step) spend() {
	if a := s.job.account; a != nil {
		a.left = a.left.Minus(s.spec.Size)
	}
}

// closeAccounts ends a plan: what each workspace needs of its limit here.
func (c *Core) closeAccounts() {
	for _, a := range c.limits.accounts {
		if !a.limited() {
			a.need, a.wanted = 0, work.Resources{}
			continue
		}
		runs := c.share(a, c.now).Of(a.limit).Minus(a.left)
		a.need = min(workspace.Whole, workspace.PartsFor(runs.Plus(a.wanted), a.limit))
		a.peak = max(a.peak, a.need)
	}
}
