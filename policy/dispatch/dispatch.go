// Package dispatch puts the decisions under load of one entry VM together: a
// request is let in or turned away, waits in its caller's share, and is granted
// a slot of a target. It is a state machine without clock, lock or network:
// each call brings the time, and grants are collected with Grants.
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

// Peers is what other entry VMs' digests tell; it may be stale.
type Peers interface {
	// InFlight returns the requests fresh peers have at the target.
	InFlight(vm model.VMID) int
	// Leaving reports whether a fresh peer has seen the target leave.
	Leaving(vm model.VMID) bool
	// LendingMessages returns what each peer last said of lending slots, nil where
	// that is not known.
	LendingMessages() []slots.PeerMessage
}

// Config sets a Dispatcher up.
type Config struct {
	Self         model.EntryID
	Zone         model.ZoneName
	Peers        Peers                       // nil where there are none
	Rand         func(n int) int             // returns a number in [0,n)
	CallerWeight func(caller string) float64 // weight of a caller; nil for equal weights
	// Pick chooses among targets; nil for routing.Pick. Benchmarks compare
	// others with it.
	Pick func(routing.Choice) int
}

// Request asks for a slot.
type Request struct {
	Service  model.ServiceName
	Caller   string
	Class    model.Class
	Arrived  time.Time
	Deadline time.Time
	// Avoid is the target that just refused the request. A request that has
	// it set was let in before and is not judged by admission again.
	Avoid model.VMID
	Data  any // the executor's own
}

func (r *Request) admission() admission.Request {
	return admission.Request{Class: r.Class, Arrived: r.Arrived, Deadline: r.Deadline}
}

// Reason says why a request was turned away.
type Reason int8

// The reasons.
const (
	NoService        Reason = iota + 1 // not declared, or no more
	NoTarget                           // no live slot
	WouldBeLate                        // the predicted wait exceeds the deadline
	OverShare                          // the queue is full and the caller has most of it
	NoOtherTarget                      // only the target that refused it has a free slot
	DeadlineExceeded                   // it waited too long
)

// Refusal turns a request away, certainly not run.
type Refusal struct {
	Reason     Reason
	Wait       time.Duration // predicted; 0 where not known
	RetryAfter time.Duration // when asking again may succeed
}

// Ticket is a request that was let in.
type Ticket struct {
	Request Request
	item    queue.Item
	svc     *service
	target  *target // where it runs; nil while it waits
}

// Grant ends a Ticket's wait: with a target, or with a Refusal.
type Grant struct {
	Ticket  *Ticket
	VM      model.VMID
	Address string
	Refusal *Refusal
}

// Dispatcher decides for one entry VM. It is not safe for concurrent use.
type Dispatcher struct {
	cfg      Config
	services map[model.ServiceName]*service
	order    []*service // by name: decisions do not depend on a map's order
	targets  map[model.VMID]*target
	sorted   []*target // the targets by ID
	live     []slots.Entry
	epoch    uint64 // grows with each change of live
	book     *slots.Ledger
	grants   []Grant
}

// New returns a Dispatcher that knows no service.
func New(cfg Config) *Dispatcher {
	if cfg.Pick == nil {
		cfg.Pick = routing.Pick
	}
	return &Dispatcher{
		cfg:      cfg,
		services: make(map[model.ServiceName]*service),
		targets:  make(map[model.VMID]*target),
		live:     []slots.Entry{{ID: cfg.Self, Zone: cfg.Zone}},
		book:     slots.NewLedger(cfg.Self),
	}
}

// Grants returns the grants made since the last call.
func (d *Dispatcher) Grants() []Grant {
	made := d.grants
	d.grants = nil
	return made
}

// Submit lets the request in, or turns it away. A slot that is free at once is
// granted at once.
func (d *Dispatcher) Submit(r Request, now time.Time) (*Ticket, *Refusal) {
	svc := d.services[r.Service]
	if svc == nil {
		return nil, &Refusal{Reason: NoService}
	}
	if refusal := d.judgeRequest(svc, r, now); refusal != nil {
		return nil, refusal
	}
	t := &Ticket{Request: r, svc: svc}
	t.item = queue.Item{Caller: r.Caller, Class: r.Class, Arrived: r.Arrived, Deadline: r.Deadline, Cost: svc.costs.Cost(r.Caller, svc.hold.Mean()), Data: t}
	if evicted := svc.queue.Push(&t.item); evicted != nil {
		d.refuse(evicted.Data.(*Ticket), Refusal{Reason: OverShare, RetryAfter: d.load(svc, r, now).Wait()})
	}
	d.pump(svc, now)
	return t, nil
}

// judgeRequest turns a request away that is not to wait. A retry was let in
// before; it waits only where another target may take it.
func (d *Dispatcher) judgeRequest(svc *service, r Request, now time.Time) *Refusal {
	if r.Avoid == "" {
		svc.retries.Fresh()
		return d.turnAway(svc, r, now)
	}
	for _, t := range svc.targets {
		if t.id != r.Avoid && !d.out(t, now) {
			return nil
		}
	}
	return &Refusal{Reason: NoOtherTarget, RetryAfter: time.Second}
}

func (d *Dispatcher) turnAway(svc *service, r Request, now time.Time) *Refusal {
	decision := admission.Decide(d.load(svc, r, now), r.admission(), now)
	switch decision.Verdict {
	case admission.NoTargets:
		return &Refusal{Reason: NoTarget, RetryAfter: decision.RetryAfter}
	case admission.WouldBeLate:
		return &Refusal{Reason: WouldBeLate, Wait: decision.Wait, RetryAfter: decision.RetryAfter}
	}
	return nil
}

// load is what admission sees of the service.
func (d *Dispatcher) load(svc *service, r Request, now time.Time) admission.Load {
	l := admission.Load{
		InFlight: svc.running,
		Limit:    d.limit(svc),
		Ahead:    svc.queue.Ahead(r.Caller, r.Class),
		Mean:     svc.hold.Mean(),
		High:     svc.hold.High(),
	}
	for _, t := range svc.targets {
		if d.out(t, now) {
			continue
		}
		l.Live++
		l.Slots += t.limit
		l.Free += max(0, t.limit-t.own)
	}
	return l
}

// limit is this entry VM's part of the service's declared limit, 0 for none.
func (d *Dispatcher) limit(svc *service) int {
	return admission.EntryLimit(svc.decl.Limit, len(d.live))
}

// Cancel takes a Ticket back whose caller went away or whose deadline passed.
// It returns false where the Ticket has been granted: then Done must follow.
func (d *Dispatcher) Cancel(t *Ticket) bool { return t.svc.queue.Remove(&t.item) }

// Done ends a granted Ticket's use of its slot.
func (d *Dispatcher) Done(t *Ticket, u Outcome, now time.Time) {
	if t.target == nil {
		return
	}
	target, svc := t.target, t.svc
	t.target = nil
	target.own--
	svc.running--
	d.note(svc, target, u, now)
	if u.Kind == Answered {
		svc.hold.Observe(u.SlotTime)
	}
	if u.Kind != NotSent && u.Kind != Refused {
		svc.costs.Observe(t.Request.Caller, u.SlotTime, svc.hold.Mean())
	}
	d.pump(svc, now)
	for _, other := range d.order {
		if other != svc {
			d.pump(other, now)
		}
	}
}

// Retry decides whether a Ticket's request, whose attempt was certainly not
// run, is submitted again.
func (d *Dispatcher) Retry(t *Ticket, attempts int, replayable bool, now time.Time) retry.Verdict {
	return t.svc.retries.Decide(retry.Attempt{
		Number:     attempts,
		Replayable: replayable,
		Deadline:   t.Request.Deadline,
		Typical:    t.svc.hold.Mean(),
	}, now)
}

// Tick looks at what no request tells: expired waits, slots that peers'
// digests show free, loans, aged work.
func (d *Dispatcher) Tick(now time.Time) {
	for _, svc := range d.order {
		for _, it := range svc.queue.TakeExpired(now) {
			d.refuse(it.Data.(*Ticket), Refusal{Reason: DeadlineExceeded, RetryAfter: svc.hold.Mean()})
		}
	}
	d.stepLoans(now)
	for _, svc := range d.order {
		d.pump(svc, now)
	}
}

func (d *Dispatcher) refuse(t *Ticket, r Refusal) {
	d.grants = append(d.grants, Grant{Ticket: t, Refusal: &r})
}

// pump grants slots to queued requests until either runs out.
func (d *Dispatcher) pump(svc *service, now time.Time) {
	limit := d.limit(svc)
	for svc.queue.Len() > 0 {
		if limit > 0 && svc.running >= limit {
			return
		}
		c := d.choice(svc, now)
		if d.cfg.Pick(c) < 0 {
			return
		}
		free, total := capacity(c.Targets)
		it := svc.queue.Pop(now, admission.Idle(free, total))
		if it == nil {
			return
		}
		t := it.Data.(*Ticket)
		if svc.queue.Len() > 0 && admission.Hopeless(t.Request.admission(), svc.hold.High(), now) {
			d.refuse(t, Refusal{Reason: DeadlineExceeded, RetryAfter: svc.hold.High()})
			continue
		}
		d.grant(t, c)
	}
}

// grant sends a request to a target. One that is to avoid the only target with
// a free slot is not sent there again: it would be refused again.
func (d *Dispatcher) grant(t *Ticket, c routing.Choice) {
	c.Avoid = t.Request.Avoid
	i := d.cfg.Pick(c)
	if i < 0 {
		d.refuse(t, Refusal{Reason: NoOtherTarget, RetryAfter: time.Second})
		return
	}
	t.target = t.svc.targets[i]
	t.target.own++
	t.svc.running++
	d.grants = append(d.grants, Grant{Ticket: t, VM: t.target.id, Address: t.target.address})
}

// Queued returns the requests that wait for a slot.
func (d *Dispatcher) Queued() int {
	n := 0
	for _, svc := range d.order {
		n += svc.queue.Len()
	}
	return n
}
