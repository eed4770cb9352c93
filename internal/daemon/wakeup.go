package daemon

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/sleep"
)

// minWakeInterval is the minimum time between two wake-ups of the reconciler,
// in case new declarations arrive continuously.
const minWakeInterval = 250 * time.Millisecond

// wakeFleet triggers a pass of the reconciler as soon as a new declaration is
// applied; an idle reconciler would otherwise find newly declared VMs only some
// seconds later. Other changes of the view need no wake-up: while there is work
// the reconciler runs every second, and one step of a VM takes minutes.
func (d *Daemon) wakeFleet(ctx context.Context) {
	var generation uint64
	for ctx.Err() == nil {
		changed := d.view.Changed()
		if g := d.view.Load().Generation(); g > generation {
			generation = g
			d.fleet.Wake()
		}
		sleep.For(ctx, minWakeInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}
