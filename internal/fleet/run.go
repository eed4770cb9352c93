package fleet

import (
	"context"
	"time"
)

const (
	// busyEvery is how often a pass is done while there is work: a VM then
	// waits a second at most for its next step, against minutes for a boot.
	busyEvery = time.Second
	// restEvery is how often started waves are looked for at rest.
	restEvery = 10 * time.Second
)

// Run does passes until ctx ends. Errors are logged and tried again.
func (f *Fleet) Run(ctx context.Context) error {
	for {
		busy, err := f.tend(ctx)
		if err != nil && ctx.Err() == nil {
			f.log.Error(err, "pass failed, will be tried again")
		}
		wait := restEvery
		if busy {
			wait = busyEvery
		}
		select {
		case <-ctx.Done():
			return nil
		case <-f.kick:
		case <-f.clock.After(wait):
		}
	}
}

// tend does a pass and reports whether there is work to go on with.
func (f *Fleet) tend(ctx context.Context) (busy bool, err error) {
	if err := f.Bootstrap(ctx); err != nil {
		return true, err
	}
	err = f.Step(ctx)
	return f.busy.Load(), err
}
