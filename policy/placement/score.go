package placement

import "github.com/pumicestage/pumicestage/policy/model"

// spreadKey names tasks that should not stand together.
type spreadKey struct {
	team model.TeamName
	kind string
	rack model.RackName
	zone model.ZoneName
}

// spread counts the tasks of each kind in each rack and in each zone.
type spread map[spreadKey]int

func (s spread) add(j *model.Job, w *Worker) {
	if !j.SpreadByRack {
		return
	}
	s[spreadKey{j.Team, j.Kind, w.Rack, w.Zone}]++
	s[spreadKey{j.Team, j.Kind, "", w.Zone}]++
}

// spreadPenalty grows with what stands in the worker's rack and, less, in its zone.
// A rack is lost sooner than a zone.
func (s spread) spreadPenalty(j *model.Job, w *Worker) float64 {
	rack := float64(s[spreadKey{j.Team, j.Kind, w.Rack, w.Zone}])
	zone := float64(s[spreadKey{j.Team, j.Kind, "", w.Zone}])
	return rack + zone/rackWeight
}

// rackWeight is how many tasks in the zone weigh as one in the rack: racks of
// four workers, so a task in the rack is met by a quarter of its peers.
const rackWeight = 4

// best returns the feasible worker with the highest score; of equals that with
// the lowest ID. Jobs that ask to be spread look at every worker, others at
// the fullest ones that fit, which is where packing wants them.
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

// probeBonus is more than packing weighs: a worker in quarantine is empty, so
// packing alone would never show whether it works again.
const probeBonus = 2

// maintenancePenalty is higher for work that can't be moved when the worker's turn
// comes: a wave would have to wait for it.
func maintenancePenalty(j *model.Job) float64 {
	if j.Checkpoints && j.Repeatable {
		return 1
	}
	return 2
}

// fullness is how full the worker would be, 0 to 1, by its scarcer of
// processors and memory, and lower where the two would be used unevenly: what
// is left of one without the other is of no use to anybody.
func fullness(w *Worker, size model.Resources) float64 {
	cpu := share(w.Used.MilliCPU+size.MilliCPU, w.Capacity.MilliCPU)
	mem := share(w.Used.MemoryMB+size.MemoryMB, w.Capacity.MemoryMB)
	imbalance := max(cpu, mem) - min(cpu, mem)
	full := (cpu + mem) / 2
	if size.Accelerators == 0 && w.Capacity.Accelerators > w.Used.Accelerators {
		full -= 1 // accelerators are kept for the jobs that need them
	}
	return full - imbalance/2
}

func share(used, of int64) float64 {
	if of <= 0 {
		return 1
	}
	return float64(used) / float64(of)
}
