package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/admission"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/queue"
	"github.com/pumicestage/pumicestage/policy/retry"
	"github.com/pumicestage/pumicestage/policy/routing"
)

// dispatcher carries out the policies: it lets requests in, queues them and
// grants each a slot of a target. One lock holds it together; a decision takes
// microseconds, and a request takes two.
type dispatcher struct {
	clock clockwork.Clock
	loads peer.Loads
	view  *view.Holder
	zone  model.ZoneName
	self  model.EntryID

	mu       sync.Mutex
	seen     *view.Snapshot // the snapshot that the fields below follow
	services map[model.ServiceName]*service
	targets  map[model.VMID]*target
	entries  int // live entry VMs, this one included
	rand     *rand.Rand
}

// service is one service's state at this entry VM.
type service struct {
	decl    model.Service
	targets []*target
	queue   *queue.Queue
	hold    admission.HoldTime
	retries *retry.Budget
	running int // requests at targets
	scratch []routing.Target
}

// waiter is a request on its way to a slot.
type waiter struct {
	item    queue.Item
	svc     *service
	avoid   model.VMID // a target that refused it
	granted chan grant // gets exactly one grant once the waiter is queued
}

// grant is what a waiter gets: a target, or the problem that ends its wait.
type grant struct {
	target  *target
	problem *Problem
}

func newDispatcher(o Options) *dispatcher {
	return &dispatcher{
		clock:    o.Clock,
		loads:    o.Loads,
		view:     o.View,
		zone:     o.Zone,
		self:     o.Self,
		services: make(map[model.ServiceName]*service),
		targets:  make(map[model.VMID]*target),
		rand:     rand.New(rand.NewPCG(o.Seed, 0)),
	}
}

// admit lets the call in: it is granted a slot at once, queued, or turned away
// with a problem. Fresh calls pass admission; a retry was let in before.
func (d *dispatcher) admit(c *call, avoid model.VMID, fresh bool) (*waiter, *Problem) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	svc := d.services[c.service.Name]
	if svc == nil {
		return nil, problemNoService(c.service.Name)
	}
	now := d.clock.Now()
	if fresh {
		svc.retries.Fresh()
		if p := d.turnAway(svc, c, now); p != nil {
			return nil, p
		}
	}
	w := &waiter{svc: svc, avoid: avoid, granted: make(chan grant, 1)}
	w.item = queue.Item{Caller: c.caller, Class: c.class, Arrived: c.arrived, Deadline: c.deadline, Data: w}
	if evicted := svc.queue.Push(&w.item); evicted != nil {
		wait := d.load(svc, c).Wait()
		evicted.Data.(*waiter).granted <- grant{problem: problemCallerLimit(wait)}
	}
	d.pump(svc, now)
	return w, nil
}

// turnAway asks admission for a fresh call.
func (d *dispatcher) turnAway(svc *service, c *call, now time.Time) *Problem {
	decision := admission.Decide(d.load(svc, c), admission.Request{Class: c.class, Deadline: c.deadline}, now)
	switch decision.Verdict {
	case admission.NoTargets:
		return problemNoTarget(decision.RetryAfter)
	case admission.WouldBeLate:
		return problemOverload("the answer would be late: "+decision.Wait.String()+" of waiting is predicted", decision.RetryAfter)
	}
	return nil
}

// load is what admission sees of the service.
func (d *dispatcher) load(svc *service, c *call) admission.Load {
	l := admission.Load{
		InFlight: svc.running,
		Limit:    admission.EntryLimit(svc.decl.Limit, d.entries),
		Ahead:    svc.queue.Ahead(c.caller, c.class),
		Mean:     svc.hold.Mean(),
	}
	for _, t := range svc.targets {
		rt := d.routingTarget(t)
		if !rt.Out {
			l.Slots += rt.Limit
			l.Free += rt.Free()
		}
	}
	return l
}

// abandon takes a waiter out, as its caller went away or its deadline passed.
// A slot that was granted meanwhile is freed.
func (d *dispatcher) abandon(w *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.svc.queue.Remove(&w.item) {
		return
	}
	if g := <-w.granted; g.target != nil {
		d.free(w.svc, g.target)
	}
}

// release ends a request's use of its slot.
func (d *dispatcher) release(svc *service, t *target, u use) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.note(u, d.clock.Now())
	if u.ended == endAnswered {
		svc.hold.Observe(u.held)
	}
	d.free(svc, t)
}

// free gives a slot back and hands it on. Services that share the target's
// pool may be waiting for it as well.
func (d *dispatcher) free(svc *service, t *target) {
	t.own--
	svc.running--
	now := d.clock.Now()
	d.pump(svc, now)
	for _, other := range d.services {
		if other != svc && other.queue.Len() > 0 {
			d.pump(other, now)
		}
	}
}

// pumpAll follows the view and grants what became free otherwise than by a
// release: peers' digests, returned targets, aged work.
func (d *dispatcher) pumpAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	now := d.clock.Now()
	for _, svc := range d.services {
		d.pump(svc, now)
	}
}

// pump grants slots to queued requests until either runs out.
func (d *dispatcher) pump(svc *service, now time.Time) {
	limit := admission.EntryLimit(svc.decl.Limit, d.entries)
	for svc.queue.Len() > 0 {
		if limit > 0 && svc.running >= limit {
			return
		}
		c := d.choice(svc, now)
		if routing.Pick(c) < 0 {
			return
		}
		free, slots := capacity(c.Targets)
		it := svc.queue.Pop(now, admission.Idle(free, slots))
		if it == nil {
			return
		}
		d.grant(svc, it.Data.(*waiter), c)
	}
}

// grant sends the waiter to a target. A waiter that is to avoid the only
// target with a free slot is not sent there again: it would be refused again.
func (d *dispatcher) grant(svc *service, w *waiter, c routing.Choice) {
	c.Avoid = w.avoid
	i := routing.Pick(c)
	if i < 0 {
		w.granted <- grant{problem: problemRefused(time.Second)}
		return
	}
	t := svc.targets[i]
	t.own++
	svc.running++
	w.granted <- grant{target: t}
}

// choice builds routing's question from the targets' state.
func (d *dispatcher) choice(svc *service, now time.Time) routing.Choice {
	svc.scratch = svc.scratch[:0]
	for _, t := range svc.targets {
		svc.scratch = append(svc.scratch, d.routingTarget(t))
	}
	typical := time.Duration(0)
	for i, t := range svc.targets {
		svc.scratch[i].Latency = t.latency.Value(now, 0)
	}
	if typical = routing.Typical(svc.scratch); typical > time.Microsecond {
		for i, t := range svc.targets {
			svc.scratch[i].Latency = t.latency.Value(now, typical)
		}
	}
	c := routing.Choice{Targets: svc.scratch, Rand: d.rand.IntN}
	c.Wait, c.LocalWait = slotWaits(svc.scratch, svc.hold.Mean())
	return c
}

// slotWaits returns the expected time until a slot comes free anywhere, and in
// the own zone.
func slotWaits(ts []routing.Target, mean time.Duration) (anywhere, local time.Duration) {
	all, own := 0, 0
	for i := range ts {
		if ts[i].Out {
			continue
		}
		all += ts[i].Limit
		if ts[i].Local {
			own += ts[i].Limit
		}
	}
	return waitFor(all, mean), waitFor(own, mean)
}

// noSlotWait is the wait for a slot where there is none: longer than any hop.
const noSlotWait = time.Hour

func waitFor(slots int, mean time.Duration) time.Duration {
	if slots == 0 {
		return noSlotWait
	}
	return mean / time.Duration(slots)
}

// capacity returns the free and the usable slots of the targets in use.
func capacity(ts []routing.Target) (free, slots int) {
	for i := range ts {
		if ts[i].Out {
			continue
		}
		free += ts[i].Free()
		slots += ts[i].Limit
	}
	return free, slots
}

func (d *dispatcher) routingTarget(t *target) routing.Target {
	rt := routing.Target{
		ID:    t.id,
		Local: t.zone == d.zone,
		Own:   t.own,
		Slots: t.slots,
		Limit: t.limit,
		Out:   t.out(),
	}
	if d.loads != nil {
		rt.Peers = d.loads.PeerInFlight(t.id)
		rt.Out = rt.Out || d.loads.PeerSaysLeaving(t.id)
	}
	return rt
}

// decideRetry asks the service's retry budget.
func (d *dispatcher) decideRetry(svc *service, a retry.Attempt) retry.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.Typical = svc.hold.Mean()
	return svc.retries.Decide(a, d.clock.Now())
}

// snapshot returns what this entry VM knows first hand of each target.
func (d *dispatcher) snapshot() []peer.TargetLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := make([]peer.TargetLoad, 0, len(d.targets))
	for _, t := range d.targets {
		loads = append(loads, peer.TargetLoad{VM: t.id, InFlight: uint16(t.own), Leaving: t.leaving})
	}
	return loads
}

// queued returns the requests that wait for a slot.
func (d *dispatcher) queued() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, svc := range d.services {
		n += svc.queue.Len()
	}
	return n
}
