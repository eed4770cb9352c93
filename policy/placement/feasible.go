package placement

import (
	"fmt"
	"slices"

	"github.com/pumicestage/pumicestage/policy/model"
)

// may reports whether the worker is one the job may ever run on, room aside.
func may(r *Request, w *Worker) bool {
	return (r.Job.Pool == "" || r.Job.Pool == w.Pool) && (r.Job.Zone == "" || r.Job.Zone == w.Zone)
}

// open reports whether the worker takes the job now, room aside.
func open(r *Request, w *Worker) bool {
	return w.Closed == "" && (!w.Probe || probes(r.Job)) && !slices.Contains(r.Avoid, w.ID)
}

// probes reports whether a job may show if a quarantined worker works again: a
// failure must cost neither a run that can't be had twice nor an urgent start.
func probes(j *model.Job) bool { return j.Repeatable && j.Class != model.ClassUrgent }

func feasible(r *Request, w *Worker) bool {
	return may(r, w) && open(r, w) && r.Size.Fits(w.free())
}

// explain says what binds a job that no worker takes now: a constraint that
// no worker of the fleet could ever meet, or what it waits for.
func (p *planner) explain(r *Request) Refusal {
	var inPool, inZone, large, fresh, opened int
	for i := range p.workers {
		w := &p.workers[i]
		if r.Job.Pool != "" && w.Pool != r.Job.Pool {
			continue
		}
		inPool++
		if r.Job.Zone != "" && w.Zone != r.Job.Zone {
			continue
		}
		inZone++
		if !r.Size.Fits(w.Capacity) {
			continue
		}
		large++
		if slices.Contains(r.Avoid, w.ID) {
			continue
		}
		fresh++
		if open(r, w) {
			opened++
		}
	}
	out := Refusal{Job: r.Job.ID, Never: true}
	switch {
	case inPool == 0:
		out.Binds, out.Detail = BindsPool, fmt.Sprintf("no worker is in pool %s", r.Job.Pool)
	case inZone == 0:
		out.Binds, out.Detail = BindsZone, fmt.Sprintf("no worker of pool %q is in zone %s", r.Job.Pool, r.Job.Zone)
	case large == 0:
		p.tooLarge(r, &out)
	case fresh == 0:
		out.Binds, out.Detail = BindsFailures, "it failed on every worker that is large enough"
	case opened == 0:
		out.Never, out.Binds = false, BindsClosed
		p.nearestFree(r, &out)
		out.Detail = fmt.Sprintf("waits for one of %d workers to take tasks again", fresh)
		if i, ok := p.byID[out.Nearest]; ok {
			out.Detail += fmt.Sprintf("; %s: %s", out.Nearest, p.workers[i].Closed)
		}
	default:
		out.Never, out.Binds = false, BindsRoom
		p.nearestFree(r, &out)
		out.Detail = fmt.Sprintf("waits for room on one of %d workers; %s comes closest", opened, out.Nearest)
	}
	return out
}

// tooLarge finds the worker that meets the largest part of the size.
func (p *planner) tooLarge(r *Request, out *Refusal) {
	var best *Worker
	least := 0.0
	for i := range p.workers {
		w := &p.workers[i]
		if !may(r, w) {
			continue
		}
		if lack, _ := lacking(r.Size, w.Capacity); best == nil || lack < least {
			best, least = w, lack
		}
	}
	_, out.Binds = lacking(r.Size, best.Capacity)
	out.Nearest = best.ID
	out.Detail = fmt.Sprintf("needs %s, the nearest worker %s has %s",
		amount(r.Size, out.Binds), best.ID, amount(best.Capacity, out.Binds))
}

func (p *planner) nearestFree(r *Request, out *Refusal) {
	least := -1.0
	for i := range p.workers {
		w := &p.workers[i]
		if !may(r, w) || !r.Size.Fits(w.Capacity) {
			continue
		}
		if lack, _ := lacking(r.Size, w.free()); least < 0 || lack < least {
			out.Nearest, least = w.ID, lack
		}
	}
}

func (p *planner) overQuota(r *Request) Refusal {
	share, _ := p.book.Guaranteed(r.Job.Team)
	if p.book.NeverFits(r.Job, r.Size) {
		_, binds := lacking(r.Size, share)
		return Refusal{Job: r.Job.ID, Never: true, Binds: BindsQuota, Detail: fmt.Sprintf(
			"needs %s, team %s is guaranteed %s, and work that is not repeatable can't borrow",
			amount(r.Size, binds), r.Job.Team, amount(share, binds))}
	}
	return Refusal{Job: r.Job.ID, Binds: BindsQuota, Detail: fmt.Sprintf(
		"waits for team %s to use less of its guarantee; work that is not repeatable can't borrow", r.Job.Team)}
}

// lacking returns by how much, as a share of the size, have falls short in the
// dimension that is shortest, and which that is. An accelerator that isn't
// there can't be made up for and counts whole.
func lacking(size, have model.Resources) (float64, Constraint) {
	lack, binds := short(size.MilliCPU, have.MilliCPU), BindsCPU
	if l := short(size.MemoryMB, have.MemoryMB); l > lack {
		lack, binds = l, BindsMemory
	}
	if l := short(size.Accelerators, have.Accelerators); l > lack {
		lack, binds = l, BindsAccelerators
	}
	return lack, binds
}

func short(need, have int64) float64 {
	if need <= have {
		return 0
	}
	return float64(need-have) / float64(need)
}

func amount(r model.Resources, c Constraint) string {
	switch c {
	case BindsMemory:
		return fmt.Sprintf("%d MB of memory", r.MemoryMB)
	case BindsAccelerators:
		return fmt.Sprintf("%d accelerators", r.Accelerators)
	}
	return fmt.Sprintf("%g processors", float64(r.MilliCPU)/1000)
}
