package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// urgentTakeoverDelay is how long an urgent job waits for the lease holder. The
// lease of an entry VM that has crashed is valid for up to leaseTTL, but urgent
// jobs must start within 2.2 s. The entry VM that accepted the job therefore does
// a pass without the lease. Concurrent passes are safe, because of two
// conflicting compare-and-swaps only one succeeds.
const urgentTakeoverDelay = 700 * time.Millisecond

// acceptedJob is an urgent job that was submitted to this entry VM.
type acceptedJob struct {
	job model.JobID
	at  time.Time
}

// urgentJobs holds the urgent jobs submitted to this entry VM until they have been
// checked once after urgentTakeoverDelay. Jobs that wait longer do so for free
// capacity, not for a lease holder.
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

// due removes and returns the jobs that were accepted at least
// urgentTakeoverDelay ago.
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

// placeOverdueUrgent does a pass without the lease if an urgent job accepted by
// this entry VM is overdue and the lease holder has not yet considered it.
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
			j.log.Info("urgent job not considered by the lease holder, doing a pass without the lease", "job", id)
			_, err := j.pass(ctx)
			return err
		}
	}
	return nil
}
