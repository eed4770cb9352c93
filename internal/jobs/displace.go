package jobs

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"github.com/pumicestage/pumicestage/policy/placement"
)

// displace stops the tasks that give way. Their jobs go back to waiting once
// the platform says that the tasks have ended, and the room is planned anew.
func (p *pass) displace(ctx context.Context, all []placement.Displacement) error {
	errs := make([]error, len(all))
	var calls errgroup.Group
	calls.SetLimit(parallelStarts)
	for i, d := range all {
		r, ok := p.mirror.find(d.Task)
		if !ok || r.State != Running || !r.Repeatable {
			continue
		}
		calls.Go(func() error {
			errs[i] = fault("stop task", "", p.machines.StopTask(ctx, r.Attempt, d.Keep))
			return nil
		})
	}
	_ = calls.Wait() // the calls return no errors
	p.again = p.again || len(all) > 0
	return errors.Join(errs...)
}
