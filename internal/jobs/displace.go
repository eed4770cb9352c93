package jobs

import (
	"context"
	"errors"

	"github.com/pumicestage/pumicestage/policy/placement"
)

// displace stops the tasks that give way. Their jobs go back to waiting once
// the platform says that the tasks have ended, and the room is planned anew.
func (p *pass) displace(ctx context.Context, all []placement.Preemption) error {
	errs := make([]error, len(all))
	p.inParallel(len(all), func(i int) {
		r, ok := p.mirror.find(all[i].Task)
		if ok && r.State == Running && r.Repeatable {
			errs[i] = wrapError("stop task", "", p.machines.StopTask(ctx, r.Attempt, all[i].Checkpoint))
		}
	})
	p.again = p.again || len(all) > 0
	return errors.Join(errs...)
}
