package daemon

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/view"
)

// wakeSpacing is the least time between two passes that changes of the view
// call for. A VM goes through five states in a wave; waiting for the
// reconciler's own period at each would add five periods to its maintenance.
// Four passes a second of all entry VMs stay below a tenth of the store's
// reads.
const wakeSpacing = 250 * time.Millisecond

// wakeFleet lets the reconciler pass as soon as the view shows work for it: a
// new declaration, or a VM that something holds.
func (d *Daemon) wakeFleet(ctx context.Context) {
	var generation uint64
	for ctx.Err() == nil {
		changed := d.view.Changed()
		s := d.view.Load()
		if s.Generation() > generation || anyHeld(s) {
			generation = s.Generation()
			d.fleet.Wake()
		}
		pause(ctx, wakeSpacing)
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func anyHeld(s *view.Snapshot) bool {
	for _, vm := range s.VMs {
		if vm.Holder != "" {
			return true
		}
	}
	return false
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
