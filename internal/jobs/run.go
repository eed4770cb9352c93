package jobs

import (
	"context"
	"time"
)

const (
	// passInterval is how often the lease holder polls the platform's tasks. It
	// bounds how late the end of a task or the expiry of its lease is noticed.
	// New jobs trigger a pass without waiting for it.
	passInterval = time.Second
	// minPassInterval is the pause between two passes. It makes a stream of
	// single submits be placed in batches.
	minPassInterval = 20 * time.Millisecond
	// handOverTimeout bounds the release of the lease when the daemon stops.
	handOverTimeout = 2 * time.Second
)

// Run does passes while this entry VM holds the lease, until ctx is cancelled.
// Errors of a pass are logged and the pass is retried. It returns nil.
func (j *Jobs) Run(ctx context.Context) error {
	defer j.handOver(ctx)
	for ctx.Err() == nil {
		again, err := j.passIfHolder(ctx)
		if err != nil && ctx.Err() == nil {
			j.log.Error(err, "reconciliation pass over jobs failed, retrying")
		}
		j.waitForWork(ctx, again)
	}
	return nil
}

// waitForWork returns after minPassInterval if another pass should follow
// immediately, otherwise on Wake or after passInterval more.
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

// sleep waits for d or until ctx ends.
func (j *Jobs) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-j.clock.After(d):
	}
}

// handOver ends the watch and releases the lease, also after ctx is cancelled, so
// that another entry VM can acquire it at once.
func (j *Jobs) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer cancel()
	j.passMu.Lock()
	defer j.passMu.Unlock()
	j.stopWatch()
	j.releaseLease(ctx)
}

// passIfHolder does a pass if this entry VM holds the lease or can acquire it,
// and reports whether another pass should follow immediately. Without the lease
// it only places urgent jobs that are overdue.
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

// watchJobs keeps the mirror up to date by a watch while this entry VM holds the
// lease. An open watch counts against the store's limits, so entry VMs
// without the lease have none.
func (j *Jobs) watchJobs(ctx context.Context) error {
	if j.mirror.isWatching() {
		return nil
	}
	j.stopWatch()
	ctx, j.stopWatch = context.WithCancel(ctx)
	return j.mirror.startWatch(ctx, j.Wake)
}
