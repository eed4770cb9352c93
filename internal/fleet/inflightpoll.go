package fleet

import (
	"time"

	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// pollIntervalDivisor sets the time between two polls of a draining VM for its
// work in flight: the duration of the drain so far, divided by it. Without this
// back-off a wave that drains hundreds of VMs would poll each of them every
// second. A drain of minutes is polled about thirty times, and its end is
// noticed at most a tenth of its duration late.
const pollIntervalDivisor = 10

// pollTimes holds the time at which each draining VM was last polled for its
// work in flight.
type pollTimes map[model.VMID]time.Time

// due reports whether the VM is to be polled now, and if so records the poll.
func (a pollTimes) due(vm view.VMRecord, now time.Time) bool {
	last, polled := a[vm.ID]
	if polled && last.After(vm.Since) && now.Sub(last) < last.Sub(vm.Since)/pollIntervalDivisor {
		return false
	}
	a[vm.ID] = now
	return true
}
