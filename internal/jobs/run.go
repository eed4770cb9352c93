package jobs

import (
	"context"
	"time"
)

const (
	// passInterval is how often the holder looks at tasks, which bounds how late
	// an end or a lapse is seen. New jobs wake it at once.
	passInterval = time.Second
	// minPassInterval is the least time between two passes, so that a stream of single
	// submits is placed in groups.
	minPassInterval = 20 * time.Millisecond
	// handOverTimeout bounds the hand-over when the daemon stops.
	handOverTimeout = 2 * time.Second
)

// Run does passes while this entry VM holds the lease, until ctx ends. Errors
// are logged and tried again.
func (j *Jobs) Run(ctx context.Context) error {
	defer j.handOver(ctx)
	for ctx.Err() == nil {
		again, err := j.passIfHolder(ctx)
		if err != nil && ctx.Err() == nil {
			j.log.Error(err, "pass over jobs failed, will be tried again")
		}
		j.waitForWork(ctx, again)
	}
	return nil
}

// waitForWork waits until there is reason for another pass.
func (j *Jobs) waitForWork(ctx context.Context, again bool) {
	j.sleep(ctx, minPassInterval)
	if again {
		return
	}
	select {
	case <-ctx.Done():
	case <-j.wakeup:
	case <-j.clock.After(passInterval):
	}
}

func (j *Jobs) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-j.clock.After(d):
	}
}

func (j *Jobs) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer cancel()
	j.passMu.Lock()
	defer j.passMu.Unlock()
	j.stopWatch()
	j.releaseLease(ctx)
}

// passIfHolder does a pass where this entry VM holds the lease, and reports whether
// another should follow at once.
func (j *Jobs) passIfHolder(ctx context.Context) (again bool, err error) {
	j.passMu.Lock()
	defer j.passMu.Unlock()
	held, err := j.ensureLease(ctx)
	if !held {
		j.stopWatch()
	}
	if err != nil {
		return false, err
	}
	if !held {
		return false, j.placeOverdueUrgent(ctx)
	}
	again, err = j.pass(ctx)
	if err != nil {
		return again, err
	}
	return again, j.watchJobs(ctx)
}

// watchJobs watches the jobs while this entry VM holds the lease. A waiting watch
// is a call against the service's limits, so the others keep none.
func (j *Jobs) watchJobs(ctx context.Context) error {
	if j.mirror.isWatching() {
		return nil
	}
	j.stopWatch()
	ctx, j.stopWatch = context.WithCancel(ctx)
	return j.mirror.startWatch(ctx, j.Wake)
}
