package jobs

import (
	"context"
	"errors"

	"github.com/pumicestage/pumicestage/policy/placement"
)

// preempt stops the tasks that the plan preempts, if they are still running and
// repeatable. Their jobs wait again once the platform reports that the tasks
// have ended, and the next pass plans the freed capacity.
func (p *pass) preempt(ctx context.Context, preemptions []placement.Preemption) error {
	errs := make([]error, len(preemptions))
	p.inParallel(len(preemptions), func(i int) {
		r, ok := p.mirror.find(preemptions[i].Task)
		if ok && r.State == Running && r.Repeatable {
			errs[i] = wrapError("stop task", "", p.machines.StopTask(ctx, r.Attempt, preemptions[i].Checkpoint))
		}
	})
	p.again = p.again || len(preemptions) > 0
	return errors.Join(errs...)
}
