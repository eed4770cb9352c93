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

// dispatcher drives policy/dispatch: it supplies the time and the cluster view,
// and delivers each grant to the goroutine that waits for it. One lock serializes
// all calls: a decision takes microseconds, and a request needs two of them.
type dispatcher struct {
	clock clockwork.Clock
	loads peer.Loads
	view  *view.Holder
	zone  model.ZoneName
	self  model.EntryID

	mu             sync.Mutex
	policy         *dispatch.Dispatcher
	snapshot       *view.Snapshot // the snapshot that policy was last updated from
	entries        []slots.Entry  // the live entry VMs that policy was last updated with
	entriesUpdated time.Time      // when the live entry VMs were last computed
}

// waiter is a request that waits for a slot or holds one.
type waiter struct {
	ticket  *dispatch.Ticket
	granted chan dispatch.Grant // receives exactly one grant, unless the waiter is cancelled
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

// submit queues the call for a slot. avoid is the target that has just refused
// the request, empty if there is none.
func (d *dispatcher) submit(c *call, avoid model.VMID) (*waiter, *Problem) {
	w := &waiter{granted: make(chan dispatch.Grant, 1)}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.refresh(now)
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

// deliver sends the pending grants of policy to their waiters. The caller holds
// mu.
func (d *dispatcher) deliver() {
	for _, g := range d.policy.Grants() {
		g.Ticket.Request.Data.(*waiter).granted <- g
	}
}

// cancel removes a waiter whose caller disconnected or whose deadline passed. A
// slot that was granted in the meantime is freed.
func (d *dispatcher) cancel(w *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.policy.Cancel(w.ticket) {
		return
	}
	d.policy.Done(w.ticket, dispatch.Outcome{Kind: dispatch.Abandoned}, d.clock.Now())
	d.deliver()
}

// done frees the waiter's slot and reports how the attempt ended.
func (d *dispatcher) done(w *waiter, outcome dispatch.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.Done(w.ticket, outcome, d.clock.Now())
	d.deliver()
}

// tick updates policy from the view and the peers, and lets it act on time that
// has passed.
func (d *dispatcher) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.refresh(now)
	d.policy.Tick(now)
	d.deliver()
}

// retry returns the policy's verdict on submitting a request again that was
// certainly not run. attempts counts those already made.
func (d *dispatcher) retry(w *waiter, attempts int, replayable bool) retry.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy.Retry(w.ticket, attempts, replayable, d.clock.Now())
}

// observeProbe passes the result of a health probe to policy.
func (d *dispatcher) observeProbe(vm model.VMID, result health.ProbeResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.ObserveProbe(vm, result, d.clock.Now())
	d.policy.Tick(d.clock.Now())
	d.deliver()
}

// probesDue returns the targets whose health is to be probed now.
func (d *dispatcher) probesDue() []dispatch.ProbeTarget {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.refresh(now)
	return d.policy.ProbesDue(now)
}

// states returns the state of each target.
func (d *dispatcher) states() []dispatch.TargetState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy.States(d.clock.Now())
}

// services returns the state of each service.
func (d *dispatcher) services() []dispatch.ServiceState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy.Services(d.clock.Now())
}

// lendingMessage returns what this entry VM tells its peers about slots that it
// lends, borrows and needs.
func (d *dispatcher) lendingMessage() slots.Message {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy.LendingMessage()
}

// queued returns the number of requests that wait for a slot.
func (d *dispatcher) queued() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy.Queued()
}

// refresh updates policy from the newest snapshot and the live entry VMs, if
// either has changed. The caller holds mu.
func (d *dispatcher) refresh(now time.Time) {
	snap := d.view.Load()
	if snap == d.snapshot && now.Sub(d.entriesUpdated) < entriesRefreshInterval {
		return
	}
	entries := d.liveEntries(snap, now)
	d.entriesUpdated = now
	if snap == d.snapshot && sameEntries(entries, d.entries) {
		return
	}
	d.snapshot, d.entries = snap, entries
	d.policy.Update(fleetOf(snap, entries), now)
	d.deliver()
}

// fleetOf converts a snapshot to the input of policy. Without a declaration the
// fleet has neither services nor VMs.
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
