package placement

import (
	"cmp"
	"slices"

	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/quota"
)

const (
	// maxStops bounds the tasks stopped by one plan, so that a burst of a
	// thousand urgent jobs doesn't stop the fleet before the first is placed.
	maxStops = 64
	// maxReclaims bounds those stopped to give teams back their share, which
	// may take some passes.
	maxReclaims = 16
	// maxVictims bounds the tasks stopped for one job.
	maxVictims = 8
)

// displace chooses tasks to stop for a job that finds no room and has a claim
// to some: urgent work on what deferrable work uses, work within its team's
// guarantee on what others have borrowed. Work that is not repeatable is never
// stopped, urgent work neither.
func (p *planner) displace(k rank, r *Request) bool {
	borrows := p.book.Check(r.Job, r.Size) == quota.Borrows
	if p.stops >= maxStops || k != urgentRank && p.stops >= maxReclaims || k != urgentRank && (borrows || !p.anyOver()) {
		return false
	}
	key := victimKey(r)
	if p.firm[key] {
		return false
	}
	chosen := p.cheapest(r)
	if chosen == nil || p.stops+len(chosen) > maxStops {
		p.firm[key] = chosen == nil
		return false
	}
	var made model.Resources
	for _, t := range chosen {
		p.stop(r, t)
		made = made.Add(t.Size)
	}
	p.reserve(r, chosen[0].VM, made)
	return true
}

// victimKey is all of a request that the choice of victims looks at. The team
// only matters to urgent work: other work that may displace is within its
// guarantee, so its own team has borrowed nothing.
func victimKey(r *Request) shape {
	key := shapeOf(r)
	if r.Job.Class != model.ClassUrgent {
		key.team, key.class = "", model.ClassNormal
	}
	return key
}

func (p *planner) anyOver() bool {
	for _, t := range p.declared {
		if p.book.OverGuarantee(t.Name) {
			return true
		}
	}
	return false
}

// cheapest returns the tasks of one worker that make room at the least price.
func (p *planner) cheapest(r *Request) []Task {
	var chosen []Task
	cost := 0.0
	for i := range p.workers {
		w := &p.workers[i]
		if !may(r, w) || !open(r, w) || w.Probe || !r.Size.Fits(w.Capacity) {
			continue
		}
		victims, c := p.victims(r, w)
		if victims != nil && (chosen == nil || c < cost) {
			chosen, cost = victims, c
		}
		if chosen != nil && cost <= leastPrice {
			break
		}
	}
	return chosen
}

// victims returns the cheapest tasks of the worker that together make room,
// and what stopping them costs; nil if they can't.
func (p *planner) victims(r *Request, w *Worker) ([]Task, float64) {
	var may []Task
	for _, t := range p.tasks[w.ID] {
		if !t.Leaving && p.yields(r, &t) {
			may = append(may, t)
		}
	}
	slices.SortFunc(may, func(a, b Task) int {
		return cmp.Or(cmp.Compare(price(&a), price(&b)), b.Since.Compare(a.Since), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	free, cost := w.free(), 0.0
	over := make(map[model.TeamName]model.Resources)
	var chosen []Task
	for _, t := range may {
		if r.Size.Fits(free) || len(chosen) == maxVictims {
			break
		}
		if !p.yieldsStill(r, &t, over[t.Job.Team]) {
			continue
		}
		over[t.Job.Team] = over[t.Job.Team].Add(t.Size)
		free = free.Add(t.Size)
		cost += price(&t)
		chosen = append(chosen, t)
	}
	if !r.Size.Fits(free) || len(chosen) == 0 {
		return nil, 0
	}
	return chosen, cost
}

// yields reports whether the task may be stopped for the job.
func (p *planner) yields(r *Request, t *Task) bool {
	if !quota.Preemptible(t.Job) || t.Job.Class == model.ClassUrgent {
		return false
	}
	if r.Job.Class == model.ClassUrgent && t.Job.Class == model.ClassDeferrable {
		return true
	}
	return t.Job.Team != r.Job.Team && p.book.OverGuarantee(t.Job.Team)
}

// yieldsStill asks again after others of the same team were chosen: what its
// team then has left within the guarantee is not taken from it.
func (p *planner) yieldsStill(r *Request, t *Task, chosen model.Resources) bool {
	p.book.Release(t.Job.Team, chosen)
	defer p.book.Reserve(t.Job.Team, chosen)
	return p.yields(r, t)
}

// price is what stopping a task loses: little where it keeps its progress.
func price(t *Task) float64 {
	c := leastPrice
	if !t.Job.Checkpoints {
		c *= lostWork
	}
	if t.Job.Class == model.ClassNormal {
		c *= 2
	}
	return c
}

const (
	// leastPrice is that of one deferrable task that keeps its progress.
	// Nothing is cheaper, so the search for victims ends with it.
	leastPrice = 1.0
	// lostWork is how many tasks are better stopped at a checkpoint than one
	// without.
	lostWork = 10
)

func (p *planner) stop(r *Request, t Task) {
	p.stops++
	p.take(t.Job.Team, model.Resources{}.Sub(t.Size))
	i := slices.IndexFunc(p.tasks[t.VM], func(o Task) bool { return o.Job.ID == t.Job.ID })
	p.tasks[t.VM] = slices.Delete(slices.Clone(p.tasks[t.VM]), i, i+1)
	p.plan.Displacements = append(p.plan.Displacements, Displacement{
		Task: t.Job.ID, For: r.Job.ID, VM: t.VM, Keep: t.Job.Checkpoints,
	})
}

// reserve keeps the room that the job needs beside what its victims use from
// the jobs that come later in this plan. What the victims use is given to
// nobody: they still run, and the worker has yet to say that it is free.
func (p *planner) reserve(r *Request, vm model.VMID, made model.Resources) {
	need := r.Size.Sub(made)
	p.index.use(&p.workers[p.byID[vm]], model.Resources{
		MilliCPU: max(need.MilliCPU, 0), MemoryMB: max(need.MemoryMB, 0), Accelerators: max(need.Accelerators, 0),
	})
	p.take(r.Job.Team, r.Size)
}
