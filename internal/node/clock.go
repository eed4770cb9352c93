package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock returns the time since the VM booted, including time spent suspended. The
// monotonic clock stops while a VM is suspended, so an owner that is resumed would take
// a lease that has expired for a valid one.
type bootClock struct{}

// Now implements engine.Clock.
func (bootClock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has CLOCK_BOOTTIME since 2.6.39. Without it the expiry of a lease
		// can't be determined.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// Wall implements engine.Clock.
func (bootClock) Wall() time.Time { return time.Now() }
