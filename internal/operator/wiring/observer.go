package wiring

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/audit"
	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// wavePollInterval is the time between two polls of the waves, each of which
	// costs one read of the store.
	wavePollInterval = 10 * time.Second
	// changeSuffixLen is the length of the random part of a reconciler's change
	// IDs, in bytes. Such an ID is the entry VM's ID, a dash and the random part.
	changeSuffixLen = 16
	// automaticActor is the name under which the audit trail lists changes that
	// no operator ordered.
	automaticActor = "fleet"
)

// WaveLister lists the started waves with their records.
type WaveLister interface {
	WaveStatuses(ctx context.Context) ([]fleet.WaveStatus, error)
}

// Observer records in the audit trail the state changes of VMs and waves that
// this entry VM's reconciler makes automatically, with their reasons. Every
// entry VM sees every change in its view; each records only those with a change
// ID of its own reconciler, so that none is recorded twice. Changes made by an
// order are recorded by the order.
//
// It reads the changes from the view instead of having the reconciler report
// them: so it records what took effect, even if the reply to the write was lost.
type Observer struct {
	Self  model.EntryID
	View  *view.Holder
	Waves WaveLister
	Trail *audit.Trail
	Clock clockwork.Clock

	vms   map[model.VMID]model.VM
	waves map[model.WaveName]fleet.WaveRecord
}

// Run records changes until ctx ends.
func (o *Observer) Run(ctx context.Context) {
	ticker := o.Clock.NewTicker(wavePollInterval)
	defer ticker.Stop()
	for {
		changed := o.View.Changed()
		o.recordVMChanges(o.View.Load())
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			o.recordWaveChanges(ctx)
		case <-changed:
		}
	}
}

// recordVMChanges records the VM changes since the previous call. The first call
// records none: those changes were made before this process started.
func (o *Observer) recordVMChanges(s *view.Snapshot) {
	next := make(map[model.VMID]model.VM, len(s.VMs))
	for id, current := range s.VMs {
		next[id] = current.VM
		previous, known := o.vms[id]
		if !known || previous.Change == current.Change || !o.isOwnChange(current.Change) {
			continue
		}
		o.Trail.RecordAsync(audit.Entry{
			ID: string(current.Change) + " vm " + string(id), Who: automaticActor, From: string(o.Self), Change: current.Change,
			What: "vm " + string(id), Before: describeVM(previous), After: describeVM(current.VM), Result: audit.Automatic, Detail: current.Reason,
		})
	}
	o.vms = next
}

// describeVM returns a VM's state, pool and holder as text for the audit trail.
func describeVM(vm model.VM) string {
	text := fmt.Sprintf("%s, pool %s", vm.State, vm.Pool)
	if vm.Holder != "" {
		text += ", held by " + vm.Holder
	}
	return text
}

// recordWaveChanges records the wave changes since the previous call. Waves are
// polled, so of several changes of a wave between two calls only the last one is
// recorded.
func (o *Observer) recordWaveChanges(ctx context.Context) {
	statuses, err := o.Waves.WaveStatuses(ctx)
	if err != nil {
		return // while the store can't be read, the reconciler can't write changes either
	}
	next := make(map[model.WaveName]fleet.WaveRecord, len(statuses))
	for _, st := range statuses {
		current := st.Record
		next[current.Name] = current
		previous, known := o.waves[current.Name]
		if o.waves == nil || known && previous.Change == current.Change || !o.isOwnChange(current.Change) {
			continue
		}
		o.Trail.RecordAsync(audit.Entry{
			ID: string(current.Change) + " wave " + string(current.Name), Who: automaticActor, From: string(o.Self), Change: current.Change,
			What: "wave " + string(current.Name), Before: string(previous.State), After: string(current.State), Result: audit.Automatic, Detail: current.Reason,
		})
	}
	o.waves = next
}

// isOwnChange reports whether this entry VM's reconciler made the change.
func (o *Observer) isOwnChange(change model.ChangeID) bool {
	suffix, ok := strings.CutPrefix(string(change), string(o.Self)+"-")
	return ok && len(suffix) == changeSuffixLen
}
