package placement

import (
	"cmp"
	"slices"

	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/quota"
)

const (
	// maxPreemptions bounds the tasks stopped by one plan, so that a burst of a
	// thousand urgent jobs doesn't stop the whole fleet before the first of
	// them is placed.
	maxPreemptions = 64
	// maxReclaimPreemptions bounds the tasks stopped to return borrowed
	// capacity to teams within their guarantee. That is less urgent and may
	// take several passes.
	maxReclaimPreemptions = 16
	// maxVictimsPerJob bounds the tasks stopped for one job.
	maxVictimsPerJob = 8
)

// preempt selects tasks to stop for a job that fits on no worker, and reports
// whether it did. Urgent jobs may preempt deferrable ones; jobs within their
// team's guarantee may preempt what other teams have borrowed. Urgent jobs and
// jobs that are not repeatable are never preempted.
func (p *planner) preempt(k rank, r *Request) bool {
	borrows := p.quotaTracker.Check(r.Job, r.Size) == quota.Borrows
	if p.preemptions >= maxPreemptions || k != urgentRank && p.preemptions >= maxReclaimPreemptions || k != urgentRank && (borrows || !p.anyTeamOverGuarantee()) {
		return false
	}
	key := victimKey(r)
	if p.noVictims[key] {
		return false
	}
	chosen := p.cheapestVictims(r)
	if chosen == nil || p.preemptions+len(chosen) > maxPreemptions {
		p.noVictims[key] = chosen == nil
		return false
	}
	var freed model.Resources
	for _, t := range chosen {
		p.recordPreemption(r, t)
		freed = freed.Add(t.Size)
	}
	p.reserve(r, chosen[0].VM, freed)
	return true
}

// victimKey returns the attributes of a request that the choice of victims
// depends on. The team only matters for urgent jobs: any other job that may
// preempt is within its guarantee, so its own team has borrowed nothing.
func victimKey(r *Request) shape {
	key := shapeOf(r)
	if r.Job.Class != model.ClassUrgent {
		key.team, key.class = "", model.ClassNormal
	}
	return key
}

func (p *planner) anyTeamOverGuarantee() bool {
	for _, t := range p.quotaTeams {
		if p.quotaTracker.OverGuarantee(t.Name) {
			return true
		}
	}
	return false
}

// cheapestVictims returns the tasks of one worker that free enough capacity for
// the request at the lowest preemption cost; nil if no worker has such tasks.
func (p *planner) cheapestVictims(r *Request) []Task {
	var chosen []Task
	cost := 0.0
	for i := range p.workers {
		w := &p.workers[i]
		if !matchesConstraints(r, w) || !accepts(r, w) || w.Probe || !r.Size.Fits(w.Capacity) {
			continue
		}
		victims, c := p.victims(r, w)
		if victims != nil && (chosen == nil || c < cost) {
			chosen, cost = victims, c
		}
		if chosen != nil && cost <= minPreemptionCost {
			break
		}
	}
	return chosen
}

// victims returns the cheapest tasks of the worker that together free enough
// capacity, and the total cost of stopping them; nil if there are none.
func (p *planner) victims(r *Request, w *Worker) ([]Task, float64) {
	var eligible []Task
	for _, t := range p.tasks[w.ID] {
		if !t.Stopping && p.canPreempt(r, &t) {
			eligible = append(eligible, t)
		}
	}
	slices.SortFunc(eligible, func(a, b Task) int {
		return cmp.Or(cmp.Compare(preemptionCost(&a), preemptionCost(&b)), b.Since.Compare(a.Since), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	free, cost := w.free(), 0.0
	chosenByTeam := make(map[model.TeamName]model.Resources)
	var chosen []Task
	for _, t := range eligible {
		if r.Size.Fits(free) || len(chosen) == maxVictimsPerJob {
			break
		}
		if !p.canPreemptAfter(r, &t, chosenByTeam[t.Job.Team]) {
			continue
		}
		chosenByTeam[t.Job.Team] = chosenByTeam[t.Job.Team].Add(t.Size)
		free = free.Add(t.Size)
		cost += preemptionCost(&t)
		chosen = append(chosen, t)
	}
	if !r.Size.Fits(free) || len(chosen) == 0 {
		return nil, 0
	}
	return chosen, cost
}

// canPreempt reports whether the task may be stopped for the request.
func (p *planner) canPreempt(r *Request, t *Task) bool {
	if !quota.Preemptible(t.Job) || t.Job.Class == model.ClassUrgent {
		return false
	}
	if r.Job.Class == model.ClassUrgent && t.Job.Class == model.ClassDeferrable {
		return true
	}
	return t.Job.Team != r.Job.Team && p.quotaTracker.OverGuarantee(t.Job.Team)
}

// canPreemptAfter is canPreempt with the usage of the victims already chosen
// from the task's team subtracted, so that a team isn't cut below its guarantee.
// chosen is the sum of their sizes.
func (p *planner) canPreemptAfter(r *Request, t *Task, chosen model.Resources) bool {
	p.quotaTracker.Release(t.Job.Team, chosen)
	defer p.quotaTracker.Reserve(t.Job.Team, chosen)
	return p.canPreempt(r, t)
}

// preemptionCost is the relative cost of stopping a task: low if a checkpoint
// keeps its progress.
func preemptionCost(t *Task) float64 {
	c := minPreemptionCost
	if !t.Job.Checkpoints {
		c *= noCheckpointFactor
	}
	if t.Job.Class == model.ClassNormal {
		c *= 2
	}
	return c
}

const (
	// minPreemptionCost is the cost of one deferrable task with checkpoints.
	// Nothing is cheaper, so the search for victims stops when it is reached.
	minPreemptionCost = 1.0
	// noCheckpointFactor is how many times more a task without checkpoints costs
	// than one with: stopping it loses all of its work.
	noCheckpointFactor = 10
)

func (p *planner) recordPreemption(r *Request, t Task) {
	p.preemptions++
	p.addUsage(t.Job.Team, model.Resources{}.Sub(t.Size))
	i := slices.IndexFunc(p.tasks[t.VM], func(o Task) bool { return o.Job.ID == t.Job.ID })
	p.tasks[t.VM] = slices.Delete(slices.Clone(p.tasks[t.VM]), i, i+1)
	p.plan.Preemptions = append(p.plan.Preemptions, Preemption{
		Task: t.Job.ID, For: r.Job.ID, VM: t.VM, Checkpoint: t.Job.Checkpoints,
	})
}

// reserve withholds from later jobs of this plan the free capacity that the job
// needs in addition to what its victims will free. The victims' own capacity
// needs no reservation: they still run, and nothing is placed on it until the
// worker has reported it as free.
func (p *planner) reserve(r *Request, vm model.VMID, freed model.Resources) {
	need := r.Size.Sub(freed)
	p.index.allocate(&p.workers[p.byID[vm]], model.Resources{
		MilliCPU: max(need.MilliCPU, 0), MemoryMB: max(need.MemoryMB, 0), Accelerators: max(need.Accelerators, 0),
	})
	p.addUsage(r.Job.Team, r.Size)
}
