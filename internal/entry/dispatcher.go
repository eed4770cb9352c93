package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/dispatch"
	"github.com/pumicestage/pumicestage/policy/health"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/retry"
	"github.com/pumicestage/pumicestage/policy/slots"
)

// dispatcher carries out policy/dispatch: it brings the time and the view, and
// hands each grant to the goroutine that waits for it. One lock holds it
// together; a decision takes microseconds, and a request takes two.
type dispatcher struct {
	clock clockwork.Clock
	loads peer.Loads
	view  *view.Holder
	zone  model.ZoneName
	self  model.EntryID

	mu        sync.Mutex
	policy    *dispatch.Dispatcher
	seen      *view.Snapshot // the snapshot that policy follows
	entries   []slots.Entry  // as policy has them
	entriesAt time.Time      // when they were last looked at
}

// waiter is a request on its way to a slot.
type waiter struct {
	ticket  *dispatch.Ticket
	granted chan dispatch.Grant // gets exactly one grant, unless it is cancelled
}

func newDispatcher(o Options) *dispatcher {
	rnd := rand.New(rand.NewPCG(o.Seed, 0))
	cfg := dispatch.Config{Self: o.Self, Zone: o.Zone, Rand: rnd.IntN}
	if o.Loads != nil {
		cfg.Peers = newPeers(o.Loads)
	}
	return &dispatcher{
		clock: o.Clock, loads: o.Loads, view: o.View, zone: o.Zone, self: o.Self,
		policy: dispatch.New(cfg),
	}
}

// submit asks for a slot. A request that a target just refused names it in
// avoid.
func (d *dispatcher) submit(c *call, avoid model.VMID) (*waiter, *Problem) {
	w := &waiter{granted: make(chan dispatch.Grant, 1)}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.follow(now)
	ticket, refusal := d.policy.Submit(dispatch.Request{
		Service: c.service.Name, Caller: c.caller, Class: c.class,
		Arrived: c.arrived, Deadline: c.deadline, Avoid: avoid, Data: w,
	}, now)
	if refusal != nil {
		return nil, problemOf(refusal, c.service.Name)
	}
	w.ticket = ticket
	d.deliver()
	return w, nil
}

// deliver hands out the grants that policy made.
func (d *dispatcher) deliver() {
	for _, g := range d.policy.Grants() {
		g.Ticket.Request.Data.(*waiter).granted <- g
	}
}

// cancel takes a waiter out, as its caller went away or its deadline passed. A
// slot that was granted meanwhile is freed.
func (d *dispatcher) cancel(w *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.policy.Cancel(w.ticket) {
		return
	}
	d.policy.Done(w.ticket, dispatch.Outcome{Kind: dispatch.Abandoned}, d.clock.Now())
	d.deliver()
}

// done ends a request's use of its slot.
func (d *dispatcher) done(w *waiter, u dispatch.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.Done(w.ticket, u, d.clock.Now())
	d.deliver()
}

// tick follows the view and peers.
func (d *dispatcher) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.follow(now)
	d.policy.Tick(now)
	d.deliver()
}

// retry asks whether a request that was certainly not run is submitted again.
func (d *dispatcher) retry(w *waiter, attempts int, replayable bool) retry.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy.Retry(w.ticket, attempts, replayable, d.clock.Now())
}

func (d *dispatcher) probed(vm model.VMID, a health.ProbeResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.ObserveProbe(vm, a, d.clock.Now())
	d.policy.Tick(d.clock.Now())
	d.deliver()
}

func (d *dispatcher) probesDue() []dispatch.ProbeTarget {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.follow(now)
	return d.policy.ProbesDue(now)
}

func (d *dispatcher) states() []dispatch.TargetState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy.States(d.clock.Now())
}

func (d *dispatcher) services() []dispatch.ServiceState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy.Services(d.clock.Now())
}

func (d *dispatcher) lending() slots.Message {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy.LendingMessage()
}

func (d *dispatcher) queued() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy.Queued()
}

// follow brings policy up to the newest snapshot and the live entry VMs.
func (d *dispatcher) follow(now time.Time) {
	snap := d.view.Load()
	if snap == d.seen && now.Sub(d.entriesAt) < entriesEvery {
		return
	}
	entries := d.liveEntries(snap, now)
	d.entriesAt = now
	if snap == d.seen && sameEntries(entries, d.entries) {
		return
	}
	d.seen, d.entries = snap, entries
	d.policy.Update(fleetOf(snap, entries), now)
	d.deliver()
}

func fleetOf(snap *view.Snapshot, entries []slots.Entry) dispatch.Fleet {
	f := dispatch.Fleet{Entries: entries}
	if snap.Declaration == nil {
		return f
	}
	f.Services = snap.Declaration.Services
	f.VMs = make([]dispatch.VM, 0, len(snap.VMs))
	for id, vm := range snap.VMs {
		f.VMs = append(f.VMs, dispatch.VM{
			ID: id, Zone: vm.Zone, Pool: vm.Pool, Address: vm.Address,
			Serving: vm.State == model.VMInPool,
		})
	}
	return f
}
