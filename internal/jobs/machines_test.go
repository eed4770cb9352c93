package jobs

import (
	"context"

	"github.com/pumicestage/pumicestage/internal/platform"
	"github.com/pumicestage/pumicestage/internal/platform/standin"
)

// machines is one entry VM's way to the platform's machines, with faults.
type machines struct {
	*standin.Machines
	// before is called before each start; a test pauses the entry VM in it, or
	// lets others act first.
	before func(t platform.Task)
	// loseReplies and loseRequests make the next starts report KindUnknown
	// with and without effect.
	loseReplies, loseRequests int
}

// StartTask implements platform.Machines.
func (m *machines) StartTask(ctx context.Context, t platform.Task) error {
	if m.before != nil {
		m.before(t)
	}
	if m.loseRequests > 0 {
		m.loseRequests--
		return platform.Errorf("start task", platform.KindUnknown, "connection lost")
	}
	err := m.Machines.StartTask(ctx, t)
	if m.loseReplies > 0 && err == nil {
		m.loseReplies--
		return platform.Errorf("start task", platform.KindUnknown, "reply lost")
	}
	return err
}
