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
	// maxVictims bounds the tasks stopped for one job.
	maxVictims = 8
)

// displace chooses tasks to stop for a job that finds no room and has a claim
// to some: urgent work on what deferrable work uses, work within its team's
// guarantee on what others have borrowed. Work that is not repeatable is never
// stopped, urgent work neither.
func (p *planner) displace(k rank, r *Request) bool {
	if p.stops >= maxStops || p.book.Stand(r.Job, r.Size) == quota.Borrows && k != urgentRank {
		return false
	}
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
	}
	if chosen == nil || p.stops+len(chosen) > maxStops {
		return false
	}
	for _, t := range chosen {
		p.stop(r, t)
	}
	p.reserve(r, chosen[0].VM)
	return true
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
	if !quota.TakesBack(t.Job) || t.Job.Class == model.ClassUrgent {
		return false
	}
	if r.Job.Class == model.ClassUrgent && t.Job.Class == model.ClassDeferrable {
		return true
	}
	return t.Job.Team != r.Job.Team && p.book.Over(t.Job.Team)
}

// yieldsStill asks again after others of the same team were chosen: what its
// team then has left within the guarantee is not taken from it.
func (p *planner) yieldsStill(r *Request, t *Task, chosen model.Resources) bool {
	p.book.Give(t.Job.Team, chosen)
	defer p.book.Take(t.Job.Team, chosen)
	return p.yields(r, t)
}

// price is what stopping a task loses: little where it keeps its progress.
func price(t *Task) float64 {
	c := 1.0
	if !t.Job.Checkpoints {
		c = 10
	}
	if t.Job.Class == model.ClassNormal {
		c *= 2
	}
	return c
}

func (p *planner) stop(r *Request, t Task) {
	p.stops++
	p.book.Give(t.Job.Team, t.Size)
	i := slices.IndexFunc(p.tasks[t.VM], func(o Task) bool { return o.Job.ID == t.Job.ID })
	p.tasks[t.VM] = slices.Delete(slices.Clone(p.tasks[t.VM]), i, i+1)
	w := &p.workers[p.byID[t.VM]]
	p.index.use(w, model.Resources{}.Sub(t.Size))
	p.plan.Displacements = append(p.plan.Displacements, Displacement{
		Task: t.Job.ID, For: r.Job.ID, VM: t.VM, Keep: t.Job.Checkpoints,
	})
}

// reserve keeps the room that was made from the jobs that come later in this
// plan; the worker still has to say that it is there.
func (p *planner) reserve(r *Request, vm model.VMID) {
	p.index.use(&p.workers[p.byID[vm]], r.Size)
	p.book.Take(r.Job.Team, r.Size)
}
