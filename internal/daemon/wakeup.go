package daemon

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/sleep"
)

// wakeSpacing bounds how often new declarations wake the reconciler, should
// they follow each other without end.
const wakeSpacing = 250 * time.Millisecond

// wakeFleet lets the reconciler pass as soon as a new declaration is in force:
// at rest it would else look for newly declared VMs some seconds later. Other
// changes of the view need no waking: while there is work it passes every
// second, and a step of a VM takes minutes.
func (d *Daemon) wakeFleet(ctx context.Context) {
	var generation uint64
	for ctx.Err() == nil {
		changed := d.view.Changed()
		if g := d.view.Load().Generation(); g > generation {
			generation = g
			d.fleet.Wake()
		}
		sleep.For(ctx, wakeSpacing)
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}
