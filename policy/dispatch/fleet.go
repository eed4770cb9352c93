package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/policy/admission"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/queue"
	"github.com/pumicestage/pumicestage/policy/retry"
	"github.com/pumicestage/pumicestage/policy/routing"
	"github.com/pumicestage/pumicestage/policy/shift"
	"github.com/pumicestage/pumicestage/policy/slots"
)

// defaultSlots is the number of slots per target of a service that declares
// none. It equals the slots of the present runner.
const defaultSlots = 8

// VM describes a target in a Fleet.
type VM struct {
	ID      model.VMID
	Zone    model.ZoneName
	Pool    model.PoolName
	Address string
	Serving bool // in its pool and not leaving
}

// Fleet is the declared services with all targets and live entry VMs. Each
// Fleet passed to Update replaces the previous one.
type Fleet struct {
	Services []model.Service
	VMs      []VM
	Entries  []slots.Entry // live entry VMs; Update adds this one if it is missing
}

// service is the state of one service at this entry VM.
type service struct {
	decl       model.Service
	targets    []*target
	queue      *queue.Queue
	slotTime   admission.HoldTime
	costs      *admission.Costs
	retries    *retry.Budget
	shift      shift.Shifter
	running    int              // requests in flight at targets
	avgRunning float64          // moving average of running
	avgQueued  float64          // moving average of the queue length
	scratch    []routing.Target // reused by newChoice
}

// Update applies a new Fleet: it adds, changes and removes services and
// targets, recomputes this entry VM's share of each target's slots, and grants
// slots that became free.
func (d *Dispatcher) Update(f Fleet, now time.Time) {
	live := withSelf(f.Entries, slots.Entry{ID: d.cfg.Self, Zone: d.cfg.Zone})
	if !slices.Equal(live, d.live) {
		d.live = live
		d.epoch++
	}
	known := make(map[model.VMID]bool, len(f.VMs))
	for _, vm := range f.VMs {
		known[vm.ID] = true
		d.updateTarget(vm, now)
	}
	for id, t := range d.targets {
		if known[id] {
			continue
		}
		t.serving = false
		if t.inFlight == 0 {
			delete(d.targets, id)
		}
	}
	d.sortedTargets = slices.SortedFunc(maps.Values(d.targets), func(a, b *target) int {
		return strings.Compare(string(a.id), string(b.id))
	})
	d.updateServices(f)
	d.setLimits(now)
	for _, svc := range d.sortedServices {
		d.grantQueued(svc, now)
	}
}

// withSelf returns the entry VMs, with self added if it is missing.
func withSelf(entries []slots.Entry, self slots.Entry) []slots.Entry {
	if slices.ContainsFunc(entries, func(e slots.Entry) bool { return e.ID == self.ID }) {
		return entries
	}
	return append(slices.Clone(entries), self)
}

// updateTarget applies the state of a VM. A target that enters or re-enters
// service ramps up slowly, except at the first Update of this entry VM: all
// targets would ramp up at the same time.
func (d *Dispatcher) updateTarget(vm VM, now time.Time) {
	t := d.targets[vm.ID]
	unknown := t == nil
	if unknown {
		t = &target{id: vm.ID}
		d.targets[vm.ID] = t
	}
	entered := vm.Serving && !t.serving
	if entered && (!unknown || len(d.services) > 0) {
		t.health.BeginSlowStart(now)
		t.latency = routing.LatencyEstimate{}
	}
	t.zone, t.address, t.serving = vm.Zone, vm.Address, vm.Serving
}

func (d *Dispatcher) updateServices(f Fleet) {
	d.sortedServices = d.sortedServices[:0]
	declared := make(map[model.ServiceName]bool, len(f.Services))
	byPool := make(map[model.PoolName][]*target)
	for _, vm := range f.VMs {
		byPool[vm.Pool] = append(byPool[vm.Pool], d.targets[vm.ID])
	}
	for _, decl := range f.Services {
		declared[decl.Name] = true
		d.sortedServices = append(d.sortedServices, d.updateService(decl, byPool))
	}
	slices.SortFunc(d.sortedServices, func(a, b *service) int { return strings.Compare(string(a.decl.Name), string(b.decl.Name)) })
	for name, svc := range d.services {
		if !declared[name] {
			d.dropService(name, svc)
		}
	}
}

// updateService applies a service's declaration, sets its targets to those in its
// pools (byPool holds the targets of each pool), and returns it. Queue and
// estimates of a service that is already known stay.
func (d *Dispatcher) updateService(decl model.Service, byPool map[model.PoolName][]*target) *service {
	svc := d.services[decl.Name]
	if svc == nil {
		svc = &service{
			queue:   queue.New(queue.Config{Weight: d.cfg.CallerWeight}),
			costs:   admission.NewCosts(),
			retries: retry.NewBudget(),
		}
		d.services[decl.Name] = svc
	}
	svc.decl = decl
	svc.targets = svc.targets[:0]
	for _, pool := range decl.Pools {
		for _, t := range byPool[pool] {
			svc.targets = append(svc.targets, d.assignShare(t, decl))
		}
	}
	slices.SortFunc(svc.targets, func(a, b *target) int { return strings.Compare(string(a.id), string(b.id)) })
	return svc
}

// assignShare sets the target's slots, this entry VM's share of them, and
// whether this entry VM probes the target. Share and prober are hashed over all
// entry VMs, so they are recomputed only if an input changed: with thousands of
// VMs, a new Fleet that differs in a single VM may come every second. It changes t
// in place and returns it.
func (d *Dispatcher) assignShare(t *target, decl model.Service) *target {
	n := decl.Slots
	if n <= 0 {
		n = defaultSlots
	}
	inputs := shareInputs{epoch: d.epoch, slots: n, zone: t.zone}
	if t.shareFrom == inputs {
		return t
	}
	t.shareFrom, t.slots = inputs, n
	t.share = slots.Share(t.slotsTarget(), d.live, d.cfg.Self)
	t.prober = slots.Prober(t.slotsTarget(), d.cfg.Zone, d.live) == d.cfg.Self
	return t
}

// shareInputs are the inputs of a target's share and prober, besides its ID.
type shareInputs struct {
	epoch uint64 // Dispatcher.epoch, the version of the live entry VMs
	slots int
	zone  model.ZoneName
}

func (t *target) slotsTarget() slots.Target {
	return slots.Target{ID: t.id, Zone: t.zone, Slots: t.slots}
}

// dropService removes a service that is no longer declared and rejects its
// queued requests.
func (d *Dispatcher) dropService(name model.ServiceName, svc *service) {
	delete(d.services, name)
	for it := svc.queue.Pop(time.Time{}, true); it != nil; it = svc.queue.Pop(time.Time{}, true) {
		d.refuse(it.Data.(*Ticket), Refusal{Reason: NoService})
	}
}
