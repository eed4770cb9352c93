// Package dispatch combines the load-management decisions of one entry VM: it
// admits or rejects a request, queues it by its caller's fair share, and grants
// it a slot of a target. It is a state machine without clock, lock or network:
// each call passes the current time, and Grants returns the grants made.
package dispatch

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/admission"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/queue"
	"github.com/pumicestage/pumicestage/policy/retry"
	"github.com/pumicestage/pumicestage/policy/routing"
	"github.com/pumicestage/pumicestage/policy/slots"
)

// Peers gives access to the digests received from other entry VMs. They may be
// stale.
type Peers interface {
	// InFlight returns how many requests peers with a fresh digest have in
	// flight at the target.
	InFlight(vm model.VMID) int
	// Leaving reports whether a peer with a fresh digest has learnt from the
	// target that it is leaving.
	Leaving(vm model.VMID) bool
	// LendingMessages returns the latest message of each peer on slot lending,
	// nil where none are available.
	LendingMessages() []slots.PeerMessage
}

// Config configures a Dispatcher.
type Config struct {
	Self         model.EntryID
	Zone         model.ZoneName
	Peers        Peers                       // nil if there are none
	Rand         func(n int) int             // returns a uniform random number in [0,n)
	CallerWeight func(caller string) float64 // fair-queueing weight of a caller; nil for equal weights
	// Pick chooses a target; nil for routing.Pick. Benchmarks replace it to
	// compare routing strategies.
	Pick func(routing.Choice) int
}

// Request asks for a slot of a service's target.
type Request struct {
	Service  model.ServiceName
	Caller   string
	Class    model.Class
	Arrived  time.Time
	Deadline time.Time
	// Avoid is the target that just refused the request, empty on a first
	// attempt. A request with Avoid set was admitted before and skips admission
	// control.
	Avoid model.VMID
	Data  any // opaque to this package; belongs to whoever submits the request
}

func (r *Request) admission() admission.Request {
	return admission.Request{Class: r.Class, Arrived: r.Arrived, Deadline: r.Deadline}
}

// Reason says why a request was rejected.
type Reason int8

// Reasons for rejecting a request.
const (
	NoService        Reason = iota + 1 // the service is not declared, or no longer
	NoTarget                           // no target of the service has a usable slot
	WouldBeLate                        // the predicted wait exceeds the deadline
	OverShare                          // the queue is full and the caller has the most queued for its weight
	NoOtherTarget                      // only the target that refused the request could take it
	DeadlineExceeded                   // the deadline passed in the queue, or no longer leaves time to run
)

// Refusal rejects a request that was certainly not run.
type Refusal struct {
	Reason     Reason
	Wait       time.Duration // predicted queueing time; 0 if unknown
	RetryAfter time.Duration // delay after which a retry may succeed
}

// Ticket is an admitted request, queued or granted.
type Ticket struct {
	Request Request
	item    queue.Item
	svc     *service
	target  *target // where the request runs; nil while it is queued
}

// Grant ends the wait of a Ticket: either with a target (VM and Address) or
// with a Refusal.
type Grant struct {
	Ticket  *Ticket
	VM      model.VMID
	Address string
	Refusal *Refusal
}

// Dispatcher makes the decisions of one entry VM. It is not safe for concurrent
// use.
type Dispatcher struct {
	cfg            Config
	services       map[model.ServiceName]*service
	sortedServices []*service // services by name, so that decisions do not depend on map order
	targets        map[model.VMID]*target
	sortedTargets  []*target     // targets by ID
	live           []slots.Entry // live entry VMs, this one included
	epoch          uint64        // incremented with each change of live
	ledger         *slots.Ledger
	grants         []Grant
}

// New returns a Dispatcher without services or targets; Update adds them.
func New(cfg Config) *Dispatcher {
	if cfg.Pick == nil {
		cfg.Pick = routing.Pick
	}
	return &Dispatcher{
		cfg:      cfg,
		services: make(map[model.ServiceName]*service),
		targets:  make(map[model.VMID]*target),
		live:     []slots.Entry{{ID: cfg.Self, Zone: cfg.Zone}},
		ledger:   slots.NewLedger(cfg.Self),
	}
}

// Grants returns the grants made since the last call and clears them.
func (d *Dispatcher) Grants() []Grant {
	made := d.grants
	d.grants = nil
	return made
}

// Submit admits or rejects the request. If a slot is free, it is granted at
// once; otherwise the request is queued. Exactly one of the results is nil.
func (d *Dispatcher) Submit(r Request, now time.Time) (*Ticket, *Refusal) {
	svc := d.services[r.Service]
	if svc == nil {
		return nil, &Refusal{Reason: NoService}
	}
	if refusal := d.admit(svc, r, now); refusal != nil {
		return nil, refusal
	}
	t := &Ticket{Request: r, svc: svc}
	t.item = queue.Item{Caller: r.Caller, Class: r.Class, Arrived: r.Arrived, Deadline: r.Deadline, Cost: svc.costs.Cost(r.Caller, svc.slotTime.Mean()), Data: t}
	if evicted := svc.queue.Push(&t.item); evicted != nil {
		d.refuse(evicted.Data.(*Ticket), Refusal{Reason: OverShare, RetryAfter: d.load(svc, r, now).Wait()})
	}
	d.grantQueued(svc, now)
	return t, nil
}

// admit returns a Refusal for a request that must not be queued, nil for one
// that may. A retry was admitted before: it is queued if any target but the one
// that refused it is usable.
func (d *Dispatcher) admit(svc *service, r Request, now time.Time) *Refusal {
	if r.Avoid == "" {
		svc.retries.RecordRequest()
		return d.admissionRefusal(svc, r, now)
	}
	for _, t := range svc.targets {
		if t.id != r.Avoid && !d.unavailable(t, now) {
			return nil
		}
	}
	return &Refusal{Reason: NoOtherTarget, RetryAfter: time.Second}
}

// admissionRefusal applies admission control to a first attempt. It returns nil
// if the request is admitted.
func (d *Dispatcher) admissionRefusal(svc *service, r Request, now time.Time) *Refusal {
	decision := admission.Decide(d.load(svc, r, now), r.admission(), now)
	switch decision.Verdict {
	case admission.NoTargets:
		return &Refusal{Reason: NoTarget, RetryAfter: decision.RetryAfter}
	case admission.WouldBeLate:
		return &Refusal{Reason: WouldBeLate, Wait: decision.Wait, RetryAfter: decision.RetryAfter}
	}
	return nil
}

// load returns the state of the service as input for admission control.
func (d *Dispatcher) load(svc *service, r Request, now time.Time) admission.Load {
	l := admission.Load{
		InFlight:     svc.running,
		Limit:        d.concurrencyLimit(svc),
		CostAhead:    svc.queue.CostAhead(r.Caller, r.Class),
		Mean:         svc.slotTime.Mean(),
		HighQuantile: svc.slotTime.HighQuantile(),
	}
	for _, t := range svc.targets {
		if d.unavailable(t, now) {
			continue
		}
		l.Live++
		l.Slots += t.limit
		l.Free += max(0, t.limit-t.inFlight)
	}
	return l
}

// concurrencyLimit returns this entry VM's part of the service's declared limit
// on requests in flight, 0 for no limit.
func (d *Dispatcher) concurrencyLimit(svc *service) int {
	return admission.EntryLimit(svc.decl.Limit, len(d.live))
}

// Cancel removes a queued Ticket whose caller disconnected or whose deadline
// passed. It returns false if the Ticket has already been granted: Done must
// then be called.
func (d *Dispatcher) Cancel(t *Ticket) bool { return t.svc.queue.Remove(&t.item) }

// Done releases the slot of a granted Ticket and records the outcome. It does
// nothing if the Ticket holds no slot.
func (d *Dispatcher) Done(t *Ticket, u Outcome, now time.Time) {
	if t.target == nil {
		return
	}
	target, svc := t.target, t.svc
	t.target = nil
	target.inFlight--
	svc.running--
	d.recordOutcome(svc, target, u, now)
	if u.Kind == Answered {
		svc.slotTime.Observe(u.SlotTime)
	}
	if u.Kind != NotSent && u.Kind != Refused {
		svc.costs.Observe(t.Request.Caller, u.SlotTime, svc.slotTime.Mean())
	}
	d.grantQueued(svc, now)
	for _, other := range d.sortedServices {
		if other != svc {
			d.grantQueued(other, now)
		}
	}
}

// Retry decides whether the request of a Ticket is submitted again, after an
// attempt that was certainly not run.
func (d *Dispatcher) Retry(t *Ticket, attempts int, replayable bool, now time.Time) retry.Verdict {
	return t.svc.retries.Decide(retry.Attempt{
		Number:          attempts,
		Replayable:      replayable,
		Deadline:        t.Request.Deadline,
		TypicalDuration: t.svc.slotTime.Mean(),
	}, now)
}

// Tick handles what no request triggers: it rejects queued requests whose
// deadline has passed, updates loans of slots, and grants slots that peers'
// digests show as free or that an aged request may now take.
func (d *Dispatcher) Tick(now time.Time) {
	for _, svc := range d.sortedServices {
		for _, it := range svc.queue.TakeExpired(now) {
			d.refuse(it.Data.(*Ticket), Refusal{Reason: DeadlineExceeded, RetryAfter: svc.slotTime.Mean()})
		}
	}
	d.stepLoans(now)
	for _, svc := range d.sortedServices {
		d.grantQueued(svc, now)
	}
}

func (d *Dispatcher) refuse(t *Ticket, r Refusal) {
	d.grants = append(d.grants, Grant{Ticket: t, Refusal: &r})
}

// grantQueued grants slots to queued requests until either run out.
func (d *Dispatcher) grantQueued(svc *service, now time.Time) {
	limit := d.concurrencyLimit(svc)
	for svc.queue.Len() > 0 {
		if limit > 0 && svc.running >= limit {
			return
		}
		c := d.newChoice(svc, now)
		if d.cfg.Pick(c) < 0 {
			return
		}
		free, total := slotCapacity(c.Targets)
		it := svc.queue.Pop(now, admission.DeferrableMayStart(free, total))
		if it == nil {
			return
		}
		t := it.Data.(*Ticket)
		if svc.queue.Len() > 0 && admission.CannotMeetDeadline(t.Request.admission(), svc.slotTime.HighQuantile(), now) {
			d.refuse(t, Refusal{Reason: DeadlineExceeded, RetryAfter: svc.slotTime.HighQuantile()})
			continue
		}
		d.grant(t, c)
	}
}

// grant assigns a target to the request. A retry is rejected if only the target
// that refused it has a free slot: that target would refuse it again.
func (d *Dispatcher) grant(t *Ticket, c routing.Choice) {
	c.Avoid = t.Request.Avoid
	i := d.cfg.Pick(c)
	if i < 0 {
		d.refuse(t, Refusal{Reason: NoOtherTarget, RetryAfter: time.Second})
		return
	}
	t.target = t.svc.targets[i]
	t.target.inFlight++
	t.svc.running++
	d.grants = append(d.grants, Grant{Ticket: t, VM: t.target.id, Address: t.target.address})
}

// Queued returns the number of requests waiting for a slot.
func (d *Dispatcher) Queued() int {
	n := 0
	for _, svc := range d.sortedServices {
		n += svc.queue.Len()
	}
	return n
}
