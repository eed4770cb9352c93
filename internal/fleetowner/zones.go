package fleetowner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/pools"
	"github.com/pumicestage/pumicestage/policy/work"
)

const (
	// answeredRecently is how long after it became empty or first answered a VM counts as one
	// that is polled. A new owner of a cell without tasks has polled each VM only once, and has
	// to tell the zones that answered from one that did not.
	answeredRecently = 1 * time.Second
	// confirmValid is how long an answer of the store shows that this owner is not cut off
	// itself. The silence of a VM is reported no sooner than 400 ms after it began
	// (engine.WorkerReport.Silent), so within this time the owner had an answer after the VM
	// had fallen silent. The term alone shows nothing: it stays certain for longer than that.
	confirmValid = 400 * time.Millisecond
	// confirmTimeout bounds the read that confirms it; the store answers within a few
	// milliseconds.
	confirmTimeout = 250 * time.Millisecond
)

// zoneState is what the fleet's owner knows of silent VMs and lost zones. The state is that of one
// term: the next owner finds it anew with its first reports.
type zoneState struct {
	lost map[string]bool
	// disregard means that silence is ignored in this pass, as this owner may be cut off itself.
	disregard   bool
	confirmedAt time.Duration // when the last store read was sent that was answered; 0: none

	// silent holds the zones of the workers that were silent in the last report on them.
	silent map[work.WorkerID]string
	// answered tells when silent workers answered again. Those that lost their tasks are not polled
	// any more; without them, a zone that is back would be judged by the VMs that are still silent.
	answered map[work.WorkerID]time.Duration
	// failed holds the workers that stayed silent as their zone came back. They have failed by
	// themselves, and say nothing about the zone until they answer.
	failed map[work.WorkerID]bool
}

// withstandsZoneLoss reports whether the silence of VMs is taken into account.
func (f *Fleet) withstandsZoneLoss() bool { return f.plansCapacity() }

// observeZones finds the lost zones by the latest reports.
func (f *Fleet) observeZones(ctx context.Context) {
	if !f.withstandsZoneLoss() || f.vms == nil {
		f.zones.lost = nil // the fleet may have outgrown the plan
		return
	}
	z := &f.zones
	counts, silent := f.countZones()
	lost := pools.LostZones(counts, z.lost, f.allReported())
	z.disregard = false
	if f.mayBeCutOff(counts, lost) && !f.confirmReachable(ctx) {
		// The zones that were lost before stay so: an owner that is cut off gives no orders for
		// them either way.
		z.disregard = true
		lost = z.lost
	}
	f.logZones(lost, counts)
	for id, zone := range z.silent {
		if z.lost[zone] && !lost[zone] {
			z.failed[id] = true
		}
	}
	z.lost = lost
	f.Metrics.SetCapacity("lost_zones", len(lost))
	f.Metrics.SetCapacity("silent_vms", silent)
}

// countZones counts the polled VMs by zone, and all silent ones. Those that answered again count as
// polled while a zone is lost, and those that have failed by themselves in no zone. VMs under an order or with a
// closed worker are left out, as the order may be why they are silent: a wave may maintain most of
// a zone.
func (f *Fleet) countZones() (counts map[string]pools.ZoneCount, silent int) {
	counts = make(map[string]pools.ZoneCount)
	z, now := &f.zones, f.Clock.Now()
	before := z.silent
	z.silent = make(map[work.WorkerID]string)
	for id, vm := range f.vms {
		w := f.worker(vm)
		if zone, was := before[vm.Worker]; was && !f.reported(vm.Pool) {
			z.silent[vm.Worker] = zone // the report of its cell is missing, which is no answer
		}
		if vm.State != work.VMUp || w == nil || f.orderOf(id) != nil || w.Cordon.Closes() {
			continue
		}
		zone := zoneOf(vm, w)
		_, wasSilent := before[w.ID]
		// A new owner of the cell, or one that did not run for a moment, reports no silence at
		// first. That is no answer of a worker that has never answered this owner.
		if w.Silent || wasSilent && !w.Polled {
			z.silent[w.ID] = zone
			silent++
			delete(z.answered, w.ID)
			if !z.failed[w.ID] {
				c := counts[zone]
				counts[zone] = pools.ZoneCount{Polled: c.Polled + 1, Silent: c.Silent + 1}
			}
			continue
		}
		if wasSilent {
			z.answered[w.ID] = now
		}
		_, answered := z.answered[w.ID]
		recent := w.Polled && w.EmptyFor < answeredRecently
		if w.Tasks > 0 || recent || answered {
			c := counts[zone]
			c.Polled++
			counts[zone] = c
		}
	}
	maps.DeleteFunc(z.failed, func(id work.WorkerID, _ bool) bool { return z.silent[id] == "" })
	maps.DeleteFunc(z.answered, func(_ work.WorkerID, at time.Duration) bool {
		return len(z.lost) == 0 && now >= at+answeredRecently
	})
	return counts, silent
}

// zoneOf returns the VM's zone by the list of VMs or else by its worker's registration; empty if
// neither tells it.
func zoneOf(vm work.VM, w *engine.WorkerReport) string {
	if vm.Zone == "" && w != nil {
		return w.Zone
	}
	return vm.Zone
}

// needsZones reports whether the list of VMs lacks zones, so that the cells are asked for them.
func (f *Fleet) needsZones() bool {
	if !f.withstandsZoneLoss() {
		return false
	}
	for _, vm := range f.vms {
		if vm.Zone == "" {
			return true
		}
	}
	return false
}

// mayBeCutOff reports whether the silence may be due to this owner being cut off: a zone falls
// silent, or at least half of all polled VMs are silent.
func (f *Fleet) mayBeCutOff(counts map[string]pools.ZoneCount, lost map[string]bool) bool {
	for zone := range lost {
		if !f.zones.lost[zone] {
			return true
		}
	}
	polled, silent := 0, 0
	for _, c := range counts {
		polled, silent = polled+c.Polled, silent+c.Silent
	}
	return silent > 1 && 2*silent >= polled
}

// confirmReachable reports whether the store, which spans the zones, answers this owner.
func (f *Fleet) confirmReachable(ctx context.Context) bool {
	z := &f.zones
	now := f.Clock.Now()
	if z.confirmedAt != 0 && now < z.confirmedAt+confirmValid {
		return f.Term.Certain()
	}
	call, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if _, _, err := f.Store.Get(call, f.OwnerKey); err != nil {
		f.Log.V(1).Info("silent VMs disregarded: the store does not answer", "error", err.Error())
		return false
	}
	z.confirmedAt = now
	return f.Term.Certain()
}

// logZones logs the zones that are newly lost, or back.
func (f *Fleet) logZones(lost map[string]bool, counts map[string]pools.ZoneCount) {
	for _, zone := range slices.Sorted(maps.Keys(lost)) {
		if !f.zones.lost[zone] {
			f.Log.Info("zone lost", "zone", zone, "vms", f.vmsIn(zone), "polled", counts[zone].Polled, "silent", counts[zone].Silent)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(f.zones.lost)) {
		if !lost[zone] {
			f.Log.Info("zone back", "zone", zone, "vms", f.vmsIn(zone), "polled", counts[zone].Polled, "silent", counts[zone].Silent)
		}
	}
}

// vmsIn returns the number of VMs in the zone.
func (f *Fleet) vmsIn(zone string) (n int) {
	for _, vm := range f.vms {
		if zoneOf(vm, f.worker(vm)) == zone {
			n++
		}
	}
	return n
}

// unreachable reports whether the VM is no capacity and gets no order to move, as it is silent or
// its zone is lost. w is the report on it, or nil.
func (f *Fleet) unreachable(vm work.VM, w *engine.WorkerReport) bool {
	return f.inLostZone(vm, w) || f.withstandsZoneLoss() && !f.zones.disregard && w != nil && w.Silent
}

func (f *Fleet) inLostZone(vm work.VM, w *engine.WorkerReport) bool {
	return len(f.zones.lost) > 0 && f.zones.lost[zoneOf(vm, w)]
}

// endZones clears the metrics, which only the fleet's owner has.
func (f *Fleet) endZones() {
	f.Metrics.SetCapacity("lost_zones", 0)
	f.Metrics.SetCapacity("silent_vms", 0)
}
