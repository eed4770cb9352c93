package taskplan

import (
	"math"

	"github.com/pumicestage/pumicestage/policy/rendezvous"
	"github.com/pumicestage/pumicestage/policy/work"
)

// zoneCapacity is the free capacity of the open workers of one zone. The planner keeps it up to date.
type zoneCapacity struct {
	name   string
	free   work.Resources
	inUsed work.Resources // the part of free that is on workers with tasks
}

// zoneCapacities returns the free capacity of the workers by zone. Workers without a zone are left out.
func zoneCapacities(open []*Worker) []zoneCapacity {
	out := make([]zoneCapacity, 0)
	for _, w := range open {
		if w.Zone == "" {
			continue
		}
		i := 0
		for i < len(out) && out[i].name != w.Zone {
			i++
		}
		if i == len(out) {
			out = append(out, zoneCapacity{name: w.Zone})
		}
		out[i].free = out[i].free.Plus(w.Free)
		if w.Tasks > 0 {
			out[i].inUsed = out[i].inUsed.Plus(w.Free)
		}
	}
	return out
}

// MayPreferZone reports whether the step's tasks may prefer a zone. Long-running tasks are spread
// for their own availability. A step with a data rack, a required label or a gang that is faster in
// one rack is placed by these.
func MayPreferZone(s *work.Step) bool {
	return !s.LongRunning && s.DataRack == "" && s.Requires == "" && !(s.Gang && s.RackSensitive)
}

// PreferredZone returns the zone in which tasks of the step are preferably placed; empty if there is
// none. running holds the number of the job's tasks by zone.
//
// Only zones whose open workers have the free capacity of a task count. The one with the most of the
// job's tasks is preferred, so that a job uses few zones. Among equals, weighted rendezvous hashing of
// the job's ID decides, see weight.
func (p *Planner) PreferredZone(s *work.Step, job work.JobID, running map[string]int) string {
	if !MayPreferZone(s) {
		return ""
	}
	if p.zones == nil {
		p.zones = zoneCapacities(p.open)
	}
	if len(p.zones) < 2 {
		return ""
	}
	best, bestTasks, bestScore := "", -1, math.Inf(-1)
	for i := range p.zones {
		z, size := &p.zones[i], Reserved(s)
		if tasksFitting(size, z.free) < 1 {
			continue
		}
		tasks, score := running[z.name], weightedScore(job, z.name, z.weight(size))
		if tasks > bestTasks || tasks == bestTasks && score > bestScore {
			best, bestTasks, bestScore = z.name, tasks, score
		}
	}
	return best
}

// emptyWorkersShare is the share of the free capacity of empty workers that counts in the weight of a zone.
// It decides while few workers have tasks.
const emptyWorkersShare = 0.01

// weight returns the weight of the zone for jobs with tasks of the size. It is the square of the number
// of tasks that fit on workers with tasks: in a zone without such capacity a job needs an empty worker,
// although one of another zone may have capacity for it. In a simulated burst (see runZoneBurst) this
// costs up to 2.7 of 72 workers more with tasks, against 3.6 without the square and 4.8 if empty workers
// count in full. A zone that is nearly full gets few jobs.
func (z *zoneCapacity) weight(size work.Resources) float64 {
	n := max(tasksFitting(size, z.inUsed), emptyWorkersShare*tasksFitting(size, z.free))
	return n * n
}

// maxTasksFitting is the result of tasksFitting for tasks that reserve nothing.
const maxTasksFitting = 1e6

// tasksFitting returns how many tasks of the size the free capacity holds, with fractions.
func tasksFitting(size, free work.Resources) float64 {
	n := float64(maxTasksFitting)
	for _, r := range [...][2]int64{{size.MilliCPU, free.MilliCPU}, {size.MemoryMB, free.MemoryMB}, {size.GPU, free.GPU}} {
		if r[0] > 0 {
			n = min(n, float64(r[1])/float64(r[0]))
		}
	}
	return n
}

// weightedScore returns the score of the zone for the job in weighted rendezvous hashing. The zone with the
// highest score is chosen, each with a probability proportional to its weight.
func weightedScore(job work.JobID, zone string, weight float64) float64 {
	u := (float64(rendezvous.Score(string(job), zone)>>11) + 0.5) / (1 << 53) // above 0 and below 1
	return -weight / math.Log(u)
}

// reserveInZone updates the free capacity of the worker's zone after a task of the step was placed on it.
// wasEmpty says that the worker had no task before.
func (p *Planner) reserveInZone(w *Worker, s *Step, wasEmpty bool) {
	for i := range p.zones {
		z := &p.zones[i]
		if z.name != w.Zone {
			continue
		}
		z.free = z.free.Minus(Reserved(s.Step))
		if wasEmpty {
			z.inUsed = z.inUsed.Plus(w.Free)
		} else {
			z.inUsed = z.inUsed.Minus(Reserved(s.Step))
		}
		return
	}
}
