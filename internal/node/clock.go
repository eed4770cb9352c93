package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock tells the time since the VM's start, suspended spells included: the
// monotonic clock stops while a VM is suspended, and an owner that thawed would
// believe in a lease that has long lapsed.
type bootClock struct{}

// Now implements engine.Clock.
func (bootClock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had the clock since 2.6.39; without it no lease can be
		// judged.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// Wall implements engine.Clock.
func (bootClock) Wall() time.Time { return time.Now() }
