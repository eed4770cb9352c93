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
	// wavesEvery is how often waves are looked at; it costs one read.
	wavesEvery = 10 * time.Second
	// changeSuffix is the length of what a reconciler puts behind its entry
	// VM's ID and a dash to make the ID of a change of its own.
	changeSuffix = 16
	// automaticWho is the part of the system that acts on VMs and waves.
	automaticWho = "fleet"
)

// WaveLister lists the started waves.
type WaveLister interface {
	WaveStatuses(ctx context.Context) ([]fleet.WaveStatus, error)
}

// Observer enters in the audit trail what this entry VM's reconciler does by
// itself: the steps of VMs and waves, with their reasons. Every entry VM sees
// every step in its view; each enters those that bear a change ID of its own,
// so that none is entered twice. Steps that an order made are entered by it.
//
// It goes by the view, not by the reconciler's word: what is entered is what
// took effect, also where the reply to the write was lost.
type Observer struct {
	Self  model.EntryID
	View  *view.Holder
	Waves WaveLister
	Trail *audit.Trail
	Clock clockwork.Clock

	vms   map[model.VMID]model.VM
	waves map[model.WaveName]fleet.WaveRecord
}

// Run observes until ctx ends.
func (o *Observer) Run(ctx context.Context) {
	tick := o.Clock.NewTicker(wavesEvery)
	defer tick.Stop()
	for {
		changed := o.View.Changed()
		o.lookAtVMs(o.View.Load())
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
			o.lookAtWaves(ctx)
		case <-changed:
		}
	}
}

// lookAtVMs enters the steps since the last look. The first look only learns:
// what was before this process is not its own doing.
func (o *Observer) lookAtVMs(s *view.Snapshot) {
	next := make(map[model.VMID]model.VM, len(s.VMs))
	for id, now := range s.VMs {
		next[id] = now.VM
		was, known := o.vms[id]
		if !known || was.Change == now.Change || !o.mine(now.Change) {
			continue
		}
		o.Trail.RecordAsync(audit.Entry{
			ID: string(now.Change) + " vm " + string(id), Who: automaticWho, From: string(o.Self), Change: now.Change,
			What: "vm " + string(id), Before: vmText(was), After: vmText(now.VM), Result: audit.Automatic, Detail: now.Reason,
		})
	}
	o.vms = next
}

func vmText(vm model.VM) string {
	text := fmt.Sprintf("%s, pool %s", vm.State, vm.Pool)
	if vm.Holder != "" {
		text += ", held by " + vm.Holder
	}
	return text
}

// lookAtWaves enters the steps since the last look. Waves are looked at less
// often than VMs; of two steps between two looks the later one is entered.
func (o *Observer) lookAtWaves(ctx context.Context) {
	statuses, err := o.Waves.WaveStatuses(ctx)
	if err != nil {
		return // the platform is out of reach, so nothing new is written there
	}
	next := make(map[model.WaveName]fleet.WaveRecord, len(statuses))
	for _, st := range statuses {
		now := st.Record
		next[now.Name] = now
		was, known := o.waves[now.Name]
		if o.waves == nil || known && was.Change == now.Change || !o.mine(now.Change) {
			continue
		}
		o.Trail.RecordAsync(audit.Entry{
			ID: string(now.Change) + " wave " + string(now.Name), Who: automaticWho, From: string(o.Self), Change: now.Change,
			What: "wave " + string(now.Name), Before: string(was.State), After: string(now.State), Result: audit.Automatic, Detail: now.Reason,
		})
	}
	o.waves = next
}

// mine reports whether the change is of this entry VM's own reconciler.
func (o *Observer) mine(change model.ChangeID) bool {
	suffix, ok := strings.CutPrefix(string(change), string(o.Self)+"-")
	return ok && len(suffix) == changeSuffix
}
