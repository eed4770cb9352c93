// Package sleep holds the pause that ends early with its context.
package sleep

import (
	"context"
	"time"
)

// For waits for d or until ctx is done. It reports whether all of d went by.
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
