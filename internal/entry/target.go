package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/queue"
	"github.com/pumicestage/pumicestage/policy/retry"
	"github.com/pumicestage/pumicestage/policy/routing"
	"github.com/pumicestage/pumicestage/policy/slots"
)

// Defaults of a service that declares nothing: a runner of today.
const (
	defaultSlots = 8
	defaultConns = 64
)

// target is one VM that runs requests, as this entry VM knows it.
type target struct {
	id      model.VMID
	zone    model.ZoneName
	address string
	slots   int
	limit   int  // of slots, those this entry VM may use
	serving bool // the view says that it is in its pool
	leaving bool // it said so itself, by its health answer or by a refusal

	own     int // requests of this entry VM there now
	latency routing.Latency
}

// out reports whether the target gets no new work.
func (t *target) out() bool { return !t.serving || t.leaving }

// ending is how a request's stay at a target ended.
type ending int8

const (
	endAnswered  ending = iota + 1 // a whole answer came
	endRefused                     // the target said not-run
	endNotSent                     // no connection; nothing was sent
	endFailed                      // broken, unreadable or late
	endAbandoned                   // the caller went away; says nothing of the target
)

// use is what one request's stay at a target showed.
type use struct {
	ended  ending
	answer time.Duration // until the answer began; 0 where it did not
	held   time.Duration // until the slot was free again
}

// note takes in what a use showed of the target.
func (t *target) note(u use, now time.Time) {
	if u.ended == endAnswered && u.answer > 0 {
		t.latency.Observe(u.answer, now)
	}
}

// refresh follows the newest snapshot: services and targets that came, went or
// changed. Targets that went keep their state while requests are there.
func (d *dispatcher) refresh() {
	snap := d.view.Load()
	if snap == d.seen {
		return
	}
	d.seen = snap
	for _, t := range d.targets {
		t.serving = false
	}
	if snap.Declaration == nil {
		return
	}
	live := d.liveEntries()
	d.entries = len(live)
	declared := make(map[model.ServiceName]bool)
	for _, decl := range snap.Declaration.Services {
		declared[decl.Name] = true
		d.refreshService(decl, live)
	}
	for name, svc := range d.services {
		if !declared[name] {
			d.dropService(name, svc)
		}
	}
	for id, t := range d.targets {
		if _, ok := snap.VMs[id]; !ok && t.own == 0 {
			delete(d.targets, id)
		}
	}
}

func (d *dispatcher) refreshService(decl model.Service, live []slots.Entry) {
	svc := d.services[decl.Name]
	if svc == nil {
		svc = &service{queue: queue.New(queue.Config{}), retries: retry.NewBudget()}
		d.services[decl.Name] = svc
	}
	svc.decl = decl
	svc.targets = svc.targets[:0]
	for id, vm := range d.seen.VMs {
		if !slices.Contains(decl.Pools, vm.Pool) {
			continue
		}
		svc.targets = append(svc.targets, d.refreshTarget(id, vm.VM, decl, live))
	}
	slices.SortFunc(svc.targets, func(a, b *target) int { return strings.Compare(string(a.id), string(b.id)) })
}

func (d *dispatcher) refreshTarget(id model.VMID, vm model.VM, decl model.Service, live []slots.Entry) *target {
	t := d.targets[id]
	if t == nil {
		t = &target{id: id}
		d.targets[id] = t
	}
	t.zone, t.address = vm.Zone, vm.Address
	t.slots = decl.Slots
	if t.slots <= 0 {
		t.slots = defaultSlots
	}
	t.serving = vm.State == model.VMInPool
	t.limit = slots.Share(slots.Target{ID: id, Zone: vm.Zone, Slots: t.slots}, live, d.self)
	return t
}

// dropService ends the waits of a service that is declared no more.
func (d *dispatcher) dropService(name model.ServiceName, svc *service) {
	delete(d.services, name)
	for it := svc.queue.Pop(time.Time{}, true); it != nil; it = svc.queue.Pop(time.Time{}, true) {
		it.Data.(*waiter).granted <- grant{problem: problemNoService(name)}
	}
}

// liveEntries returns the entry VMs that share the slots: those registered in
// the view, and this one in any case.
func (d *dispatcher) liveEntries() []slots.Entry {
	live := []slots.Entry{{ID: d.self, Zone: d.zone}}
	for _, e := range d.seen.Entries {
		if e.ID != d.self {
			live = append(live, slots.Entry{ID: e.ID, Zone: e.Zone})
		}
	}
	return live
}
