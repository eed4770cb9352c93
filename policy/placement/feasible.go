package placement

import (
	"fmt"
	"slices"

	"github.com/pumicestage/pumicestage/policy/model"
)

// matchesConstraints reports whether the worker is in the pool and zone that the
// job asks for. It doesn't consider capacity.
func matchesConstraints(r *Request, w *Worker) bool {
	return (r.Job.Pool == "" || r.Job.Pool == w.Pool) && (r.Job.Zone == "" || r.Job.Zone == w.Zone)
}

// accepts reports whether the worker takes new tasks such as this job now. It
// doesn't consider capacity.
func accepts(r *Request, w *Worker) bool {
	return w.ClosedReason == "" && (!w.Probe || canProbe(r.Job)) && !slices.Contains(r.Avoid, w.ID)
}

// canProbe reports whether the job may be used to test a quarantined worker. The
// test may fail, so the job must be repeatable and not urgent.
func canProbe(j *model.Job) bool { return j.Repeatable && j.Class != model.ClassUrgent }

func feasible(r *Request, w *Worker) bool {
	return matchesConstraints(r, w) && accepts(r, w) && r.Size.Fits(w.free())
}

// explain returns the refusal of a job that no worker takes now. It names either
// a constraint that no worker of the fleet can ever meet, or what the job waits
// for.
func (p *planner) explain(r *Request) Refusal {
	var inPool, inZone, largeEnough, notAvoided, accepting int
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
		largeEnough++
		if slices.Contains(r.Avoid, w.ID) {
			continue
		}
		notAvoided++
		if accepts(r, w) {
			accepting++
		}
	}
	out := Refusal{Job: r.Job.ID, Permanent: true}
	switch {
	case inPool == 0:
		out.Constraint, out.Detail = ConstraintPool, fmt.Sprintf("no worker is in pool %s", r.Job.Pool)
	case inZone == 0:
		out.Constraint, out.Detail = ConstraintZone, fmt.Sprintf("no worker of pool %q is in zone %s", r.Job.Pool, r.Job.Zone)
	case largeEnough == 0:
		p.explainTooLarge(r, &out)
	case notAvoided == 0:
		out.Constraint, out.Detail = ConstraintFailures, "it failed on every worker that is large enough"
	case accepting == 0:
		out.Permanent, out.Constraint = false, ConstraintWorkersClosed
		p.nearestFree(r, &out)
		out.Detail = fmt.Sprintf("waits for one of %d workers to take tasks again", notAvoided)
		if i, ok := p.byID[out.Nearest]; ok {
			out.Detail += fmt.Sprintf("; %s: %s", out.Nearest, p.workers[i].ClosedReason)
		}
	default:
		out.Permanent, out.Constraint = false, ConstraintFreeCapacity
		p.nearestFree(r, &out)
		out.Detail = fmt.Sprintf("waits for room on one of %d workers; %s comes closest", accepting, out.Nearest)
	}
	return out
}

// explainTooLarge completes the refusal of a job that exceeds the capacity of
// every worker: it names the worker with the smallest shortfall.
func (p *planner) explainTooLarge(r *Request, out *Refusal) {
	var best *Worker
	minLack := 0.0
	for i := range p.workers {
		w := &p.workers[i]
		if !matchesConstraints(r, w) {
			continue
		}
		if lack, _ := shortfall(r.Size, w.Capacity); best == nil || lack < minLack {
			best, minLack = w, lack
		}
	}
	_, out.Constraint = shortfall(r.Size, best.Capacity)
	out.Nearest = best.ID
	out.Detail = fmt.Sprintf("needs %s, the nearest worker %s has %s",
		formatAmount(r.Size, out.Constraint), best.ID, formatAmount(best.Capacity, out.Constraint))
}

func (p *planner) nearestFree(r *Request, out *Refusal) {
	minLack := -1.0
	for i := range p.workers {
		w := &p.workers[i]
		if !matchesConstraints(r, w) || !r.Size.Fits(w.Capacity) {
			continue
		}
		if lack, _ := shortfall(r.Size, w.free()); minLack < 0 || lack < minLack {
			out.Nearest, minLack = w.ID, lack
		}
	}
}

func (p *planner) overQuota(r *Request) Refusal {
	share, _ := p.quotaTracker.Guaranteed(r.Job.Team)
	if p.quotaTracker.NeverFits(r.Job, r.Size) {
		_, constraint := shortfall(r.Size, share)
		return Refusal{Job: r.Job.ID, Permanent: true, Constraint: ConstraintQuota, Detail: fmt.Sprintf(
			"needs %s, team %s is guaranteed %s, and work that is not repeatable can't borrow",
			formatAmount(r.Size, constraint), r.Job.Team, formatAmount(share, constraint))}
	}
	return Refusal{Job: r.Job.ID, Constraint: ConstraintQuota, Detail: fmt.Sprintf(
		"waits for team %s to use less of its guarantee; work that is not repeatable can't borrow", r.Job.Team)}
}

// shortfall returns the largest relative shortfall over all dimensions, as a
// fraction of size (0 to 1), and the dimension that has it.
func shortfall(size, have model.Resources) (float64, Constraint) {
	lack, constraint := shortfallRatio(size.MilliCPU, have.MilliCPU), ConstraintCPU
	if l := shortfallRatio(size.MemoryMB, have.MemoryMB); l > lack {
		lack, constraint = l, ConstraintMemory
	}
	if l := shortfallRatio(size.Accelerators, have.Accelerators); l > lack {
		lack, constraint = l, ConstraintAccelerators
	}
	return lack, constraint
}

func shortfallRatio(need, have int64) float64 {
	if need <= have {
		return 0
	}
	return float64(need-have) / float64(need)
}

// formatAmount returns the amount of r in the dimension that c constrains, with its unit:
// memory, accelerators, or else processors.
func formatAmount(r model.Resources, c Constraint) string {
	switch c {
	case ConstraintMemory:
		return fmt.Sprintf("%d MB of memory", r.MemoryMB)
	case ConstraintAccelerators:
		return fmt.Sprintf("%d accelerators", r.Accelerators)
	}
	return fmt.Sprintf("%g processors", float64(r.MilliCPU)/1000)
}
