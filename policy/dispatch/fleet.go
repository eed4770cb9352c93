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

// defaultSlots is of a service that declares none: a runner of today.
const defaultSlots = 8

// VM is a target as the view has it.
type VM struct {
	ID      model.VMID
	Zone    model.ZoneName
	Pool    model.PoolName
	Address string
	Serving bool // in its pool, not leaving
}

// Fleet is what the view says: it replaces what was said before.
type Fleet struct {
	Services []model.Service
	VMs      []VM
	Entries  []slots.Entry // live entry VMs; this one is added where it is missing
}

// service is one service's state at this entry VM.
type service struct {
	decl    model.Service
	targets []*target
	queue   *queue.Queue
	hold    admission.HoldTime
	costs   *admission.Costs
	retries *retry.Budget
	shift   shift.Shifter
	running int     // requests at targets
	inUse   float64 // running, averaged
	waiting float64 // queued, averaged
	scratch []routing.Target
}

// Update follows the view.
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
		if t.own == 0 {
			delete(d.targets, id)
		}
	}
	d.sorted = slices.SortedFunc(maps.Values(d.targets), func(a, b *target) int {
		return strings.Compare(string(a.id), string(b.id))
	})
	d.updateServices(f)
	d.setLimits(now)
	for _, svc := range d.order {
		d.pump(svc, now)
	}
}

func withSelf(entries []slots.Entry, self slots.Entry) []slots.Entry {
	if slices.ContainsFunc(entries, func(e slots.Entry) bool { return e.ID == self.ID }) {
		return entries
	}
	return append(slices.Clone(entries), self)
}

// updateTarget follows a VM. One that comes (back) into service starts slowly,
// unless this entry VM is itself new: then all targets would.
func (d *Dispatcher) updateTarget(vm VM, now time.Time) {
	t := d.targets[vm.ID]
	fresh := t == nil
	if fresh {
		t = &target{id: vm.ID}
		d.targets[vm.ID] = t
	}
	came := vm.Serving && !t.serving
	if came && (!fresh || len(d.services) > 0) {
		t.health.Start(now)
		t.latency = routing.LatencyEstimate{}
	}
	t.zone, t.address, t.serving = vm.Zone, vm.Address, vm.Serving
}

func (d *Dispatcher) updateServices(f Fleet) {
	d.order = d.order[:0]
	declared := make(map[model.ServiceName]bool, len(f.Services))
	byPool := make(map[model.PoolName][]*target)
	for _, vm := range f.VMs {
		byPool[vm.Pool] = append(byPool[vm.Pool], d.targets[vm.ID])
	}
	for _, decl := range f.Services {
		declared[decl.Name] = true
		d.order = append(d.order, d.updateService(decl, byPool))
	}
	slices.SortFunc(d.order, func(a, b *service) int { return strings.Compare(string(a.decl.Name), string(b.decl.Name)) })
	for name, svc := range d.services {
		if !declared[name] {
			d.dropService(name, svc)
		}
	}
}

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
			svc.targets = append(svc.targets, d.divide(t, decl))
		}
	}
	slices.SortFunc(svc.targets, func(a, b *target) int { return strings.Compare(string(a.id), string(b.id)) })
	return svc
}

// divide sets the target's slots, this entry VM's share of them, and whether it
// asks the target for its health. Both are hashed over all entry VMs, and so
// only where something changed: with thousands of VMs a view may come each
// second, in which one of them differs.
func (d *Dispatcher) divide(t *target, decl model.Service) *target {
	n := decl.Slots
	if n <= 0 {
		n = defaultSlots
	}
	want := division{epoch: d.epoch, slots: n, zone: t.zone}
	if t.from == want {
		return t
	}
	t.from, t.slots = want, n
	t.share = slots.Share(t.divided(), d.live, d.cfg.Self)
	t.prober = slots.Prober(t.divided(), d.cfg.Zone, d.live) == d.cfg.Self
	return t
}

// division is what a target's share depends on, besides its ID.
type division struct {
	epoch uint64 // of the live entry VMs
	slots int
	zone  model.ZoneName
}

func (t *target) divided() slots.Target {
	return slots.Target{ID: t.id, Zone: t.zone, Slots: t.slots}
}

// dropService ends the waits of a service that is declared no more.
func (d *Dispatcher) dropService(name model.ServiceName, svc *service) {
	delete(d.services, name)
	for it := svc.queue.Pop(time.Time{}, true); it != nil; it = svc.queue.Pop(time.Time{}, true) {
		d.refuse(it.Data.(*Ticket), Refusal{Reason: NoService})
	}
}
