package jobs

import (
	"context"
	"errors"

	"github.com/pumicestage/pumicestage/policy/placement"
)

// preempt stops the tasks that give way. Their jobs go back to waiting once
// the platform says that the tasks have ended, and the room is planned anew.
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
