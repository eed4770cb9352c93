// Package sleep provides a pause that ends early when its context is done.
package sleep

import (
	"context"
	"time"
)

// For waits until d has passed or ctx is done, whichever comes first. It reports
// whether d has passed.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
