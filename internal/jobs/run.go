package jobs

import (
	"context"
	"time"
)

const (
	// passEvery is how often the holder looks at tasks, which bounds how late
	// an end or a lapse is seen. New jobs wake it at once.
	passEvery = time.Second
	// passGap is the least time between two passes, so that a stream of single
	// submits is placed in groups.
	passGap = 20 * time.Millisecond
	// farewell bounds the hand-over when the daemon stops.
	farewell = 2 * time.Second
)

// Run does passes while this entry VM holds the lease, until ctx ends. Errors
// are logged and tried again.
func (j *Jobs) Run(ctx context.Context) error {
	defer j.handOver(ctx)
	for ctx.Err() == nil {
		again, err := j.tend(ctx)
		if err != nil && ctx.Err() == nil {
			j.log.Error(err, "pass over jobs failed, will be tried again")
		}
		j.rest(ctx, again)
	}
	return nil
}

// rest waits until there is reason for another pass.
func (j *Jobs) rest(ctx context.Context, again bool) {
	j.sleep(ctx, passGap)
	if again {
		return
	}
	select {
	case <-ctx.Done():
	case <-j.kick:
	case <-j.clock.After(passEvery):
	}
}

func (j *Jobs) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-j.clock.After(d):
	}
}

func (j *Jobs) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), farewell)
	defer cancel()
	j.step.Lock()
	defer j.step.Unlock()
	j.unfollow()
	j.release(ctx)
}

// tend does a pass where this entry VM holds the lease, and reports whether
// another should follow at once.
func (j *Jobs) tend(ctx context.Context) (again bool, err error) {
	j.step.Lock()
	defer j.step.Unlock()
	held, err := j.claim(ctx)
	if !held {
		j.unfollow()
	}
	if err != nil {
		return false, err
	}
	if !held {
		return false, j.rescueUrgent(ctx)
	}
	again, err = j.pass(ctx)
	if err != nil {
		return again, err
	}
	return again, j.follow(ctx)
}

// follow watches the jobs while this entry VM holds the lease. A waiting watch
// is a call against the service's limits, so the others keep none.
func (j *Jobs) follow(ctx context.Context) error {
	if j.mirror.isWatching() {
		return nil
	}
	j.unfollow()
	ctx, j.unfollow = context.WithCancel(ctx)
	return j.mirror.follow(ctx, j.Wake)
}
