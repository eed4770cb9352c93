package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// urgentTakeoverDelay is how long urgent work waits for the holder of the lease. An
// entry VM that dies takes the lease with it for leaseTTL, but urgent work has
// 2.2 s to start: whoever accepted it then does one pass itself. Two placers
// at once collide in their compare-and-swap and do no harm.
const urgentTakeoverDelay = 700 * time.Millisecond

// acceptedJob is an urgent job that was submitted here.
type acceptedJob struct {
	job model.JobID
	at  time.Time
}

// urgentJobs remembers the urgent jobs submitted here until they are looked after
// once. What then still waits does so for room, not for a holder.
type urgentJobs struct {
	mu   sync.Mutex
	jobs []acceptedJob
}

func (s *urgentJobs) add(ids []model.JobID, all []model.Job, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, job := range all {
		if job.Class == model.ClassUrgent {
			s.jobs = append(s.jobs, acceptedJob{ids[i], now})
		}
	}
}

// due takes the jobs out that have waited for long enough.
func (s *urgentJobs) due(now time.Time) []model.JobID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []model.JobID
	n := 0
	for n < len(s.jobs) && now.Sub(s.jobs[n].at) >= urgentTakeoverDelay {
		ids = append(ids, s.jobs[n].job)
		n++
	}
	s.jobs = s.jobs[n:]
	return ids
}

// placeOverdueUrgent does a pass without the lease where urgent jobs accepted here
// were not taken up.
func (j *Jobs) placeOverdueUrgent(ctx context.Context) error {
	ids := j.urgent.due(j.clock.Now())
	if len(ids) == 0 {
		return nil
	}
	if err := j.fetch(ctx, ids); err != nil {
		return err
	}
	for _, id := range ids {
		if r, ok := j.mirror.find(id); ok && r.State == Waiting && r.Reason == "" {
			j.log.Info("urgent job not taken up by the holder of the lease", "job", id)
			_, err := j.pass(ctx)
			return err
		}
	}
	return nil
}
