package fleet

import (
	"time"

	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// askShare is the part of the time a drain has taken so far that may pass
// before the VM is asked again what runs on it. A wave that drains hundreds of
// VMs would else ask each every second; so it asks some thirty times in a
// drain of minutes, and notices its end late by a tenth at most.
const askShare = 10

// asks remembers when each draining VM was asked last.
type asks map[model.VMID]time.Time

// due reports whether the VM is to be asked now, and takes note of it.
func (a asks) due(vm view.VMRecord, now time.Time) bool {
	last, asked := a[vm.ID]
	if asked && last.After(vm.Since) && now.Sub(last) < last.Sub(vm.Since)/askShare {
		return false
	}
	a[vm.ID] = now
	return true
}
