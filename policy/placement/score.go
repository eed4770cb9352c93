package placement

import "github.com/pumicestage/pumicestage/policy/model"

// spreadKey identifies a group of tasks to be kept apart. An empty rack stands
// for the whole zone.
type spreadKey struct {
	team model.TeamName
	kind string
	rack model.RackName
	zone model.ZoneName
}

// spread counts the tasks of each kind in each rack and in each zone.
type spread map[spreadKey]int

// add counts a task of the job on the worker, if the job asks to be spread.
func (s spread) add(j *model.Job, w *Worker) {
	if !j.SpreadByRack {
		return
	}
	s[spreadKey{j.Team, j.Kind, w.Rack, w.Zone}]++
	s[spreadKey{j.Team, j.Kind, "", w.Zone}]++
}

// spreadPenalty grows with the tasks of the same team and kind in the worker's
// rack and, less, with those in its zone, as a rack is more likely to fail than
// a zone.
func (s spread) spreadPenalty(j *model.Job, w *Worker) float64 {
	rack := float64(s[spreadKey{j.Team, j.Kind, w.Rack, w.Zone}])
	zone := float64(s[spreadKey{j.Team, j.Kind, "", w.Zone}])
	return rack + zone/rackWeight
}

// rackWeight is how many tasks in the zone weigh as much as one in the rack. It
// equals the number of workers of a rack, which is four.
const rackWeight = 4

// best returns the feasible worker with the highest score, and among equals the
// one with the lowest ID; nil if no worker is feasible. All feasible workers are
// scored for a job that asks to be spread. For others it is a bounded number of
// the fullest that fit, where packing puts them.
func (p *planner) best(r *Request) *Worker {
	var best *Worker
	topScore := 0.0
	consider := func(w *Worker) {
		score := p.score(r, w)
		if best == nil || score > topScore || score == topScore && w.ID < best.ID {
			best, topScore = w, score
		}
	}
	if i, ok := p.byID[r.LastVM]; ok && feasible(r, &p.workers[i]) {
		consider(&p.workers[i])
	}
	p.index.eachFeasible(r, r.Job.SpreadByRack, consider)
	return best
}

// score rates how well the worker suits the request; the highest score is best. It
// is the sum of the terms of Weights, and of probeBonus for a worker to be probed.
func (p *planner) score(r *Request, w *Worker) float64 {
	score := p.weights.Pack * fullness(w, r.Size)
	if w.MaintenanceSoon {
		score -= p.weights.AvoidMaintenance * maintenancePenalty(r.Job)
	}
	if w.Probe {
		score += probeBonus
	}
	if w.ID == r.LastVM {
		score += p.weights.SameWorker
	}
	if r.Job.SpreadByRack {
		score -= p.weights.Spread * p.spread.spreadPenalty(r.Job, w)
	}
	return score
}

// probeBonus exceeds the default weight of packing. A quarantined worker is
// empty, so packing alone would never choose it and it would never be tested.
const probeBonus = 2

// maintenancePenalty is higher for a job that can't be moved when its worker is
// due for maintenance, as the wave would have to wait for the job.
func maintenancePenalty(j *model.Job) float64 {
	if j.Checkpoints && j.Repeatable {
		return 1
	}
	return 2
}

// fullness rates how full the worker would be with a task of the size added: the
// mean of the used fractions of processors and memory, less half of their
// difference, as free capacity in one is of no use without the other.
func fullness(w *Worker, size model.Resources) float64 {
	cpu := share(w.Used.MilliCPU+size.MilliCPU, w.Capacity.MilliCPU)
	mem := share(w.Used.MemoryMB+size.MemoryMB, w.Capacity.MemoryMB)
	imbalance := max(cpu, mem) - min(cpu, mem)
	full := (cpu + mem) / 2
	if size.Accelerators == 0 && w.Capacity.Accelerators > w.Used.Accelerators {
		full -= 1 // keep accelerators for the jobs that need them
	}
	return full - imbalance/2
}

// share returns used as a fraction of a capacity, and 1 for a capacity of 0.
func share(used, of int64) float64 {
	if of <= 0 {
		return 1
	}
	return float64(used) / float64(of)
}
