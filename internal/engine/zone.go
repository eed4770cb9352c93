package engine

import "github.com/pumicestage/pumicestage/policy/taskplan"

// preferredZone returns the zone in which the step's tasks are preferably placed; empty if there is none.
// It is computed once per job and plan: a job may have hundreds of waiting steps.
func (c *Core) preferredZone(s *step, planner *taskplan.Planner) string {
	if !c.bounds.KeepJobsInZone || !taskplan.MayPreferZone(s.spec) {
		return ""
	}
	j := s.job
	if j.zonePlan != c.plans {
		j.zone, j.zonePlan = planner.PreferredZone(s.spec, j.ID, j.shortTasksByZone()), c.plans
	}
	return j.zone
}

// explainZone returns the zone that the job's short tasks prefer now; empty if there is none.
func (c *Core) explainZone(j *job, workers []*taskplan.Worker) string {
	if !c.bounds.KeepJobsInZone {
		return ""
	}
	for _, o := range j.liveOccurrences {
		for _, s := range o.steps {
			if s.done < len(s.tasks) && taskplan.MayPreferZone(s.spec) {
				return taskplan.NewPlanner(workers).PreferredZone(s.spec, j.ID, j.shortTasksByZone())
			}
		}
	}
	return ""
}

// shortTasksByZone returns the number of the job's short tasks that are on workers, by zone.
func (j *job) shortTasksByZone() map[string]int {
	out := make(map[string]int)
	j.eachTask(func(t *task) {
		if t.worker != nil && !t.step.spec.LongRunning {
			out[t.worker.info.Zone]++
		}
	})
	return out
}
