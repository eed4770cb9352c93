package dispatch

import (
	"math"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/slots"
)

// Slots that lie idle at one entry VM are lent to one that has work for them:
// a balancer that pins the connections of a few callers gives one entry VM
// several times the load of another.

// stepLoans takes in what peers say of lending, and lends and takes back.
func (d *Dispatcher) stepLoans(now time.Time) {
	if d.cfg.Peers == nil {
		return
	}
	peers := d.cfg.Peers.LendingMessages()
	d.book.Receive(peers, now)
	for _, svc := range d.order {
		svc.noteUse()
		d.stepLoansOf(svc, peers, now)
	}
	d.setLimits(now)
}

func (d *Dispatcher) setLimits(now time.Time) {
	for _, t := range d.targets {
		t.limit = d.book.Limit(t.id, t.share, now)
	}
}

func (d *Dispatcher) stepLoansOf(svc *service, peers []slots.PeerMessage, now time.Time) {
	if svc.queue.Len() > 0 {
		d.takeBack(svc)
		return
	}
	wants := wantsOf(svc.decl.Name, peers)
	for _, t := range svc.targets {
		if d.book.IsLoanIdle(t.id, func(e model.EntryID) bool { return wants[e] > 0 }, now) {
			d.book.Recall(t.id)
		}
	}
	d.lend(svc, wants, now)
}

// takeBack ends as many loans as requests wait here. Ending all for one request
// would have loans come and go with each burst.
func (d *Dispatcher) takeBack(svc *service) {
	n := svc.queue.Len()
	for _, t := range svc.targets {
		if n <= 0 {
			return
		}
		n -= d.book.Recall(t.id)
	}
}

// lend gives idle slots to the peers that want most.
func (d *Dispatcher) lend(svc *service, wants map[model.EntryID]int, now time.Time) {
	spare := d.spare(svc, now)
	for _, t := range svc.targets {
		to := mostWanting(wants)
		if spare <= 0 || to == "" {
			return
		}
		n := min(t.limit-t.own, spare, wants[to])
		if n <= 0 || d.out(t, now) || d.book.IsLent(t.id) || d.book.IsBorrowed(t.id) {
			continue
		}
		d.book.Lend(t.id, to, n, now)
		spare -= n
		wants[to] -= n
	}
}

// spare is what the service can lend of its slots here: all but what is in use
// on average, what chance adds to that (a Poisson load stays within one and a
// half standard deviations nine times in ten), and one for the next request.
func (d *Dispatcher) spare(svc *service, now time.Time) int {
	limit := 0
	for _, t := range svc.targets {
		if !d.out(t, now) {
			limit += t.limit
		}
	}
	if limit <= fewSlots && svc.inUse < idleUse && svc.running == 0 {
		return limit
	}
	inUse := svc.inUse + 1.5*math.Sqrt(svc.inUse)
	return limit - max(int(math.Ceil(inUse)), svc.running) - 1
}

// Where an entry VM has only a few slots of a service, others may have none: it
// lends even its last while it has hardly any use for it.
const (
	fewSlots = 2
	idleUse  = 0.5
)

// Gains of the averages per tick: slots in use over about 2 s, requests that
// wait over a second, so that a passing burst asks for nothing.
const (
	inUseGain   = 0.025
	waitingGain = 0.05
)

func (s *service) noteUse() {
	s.inUse += inUseGain * (float64(s.running) - s.inUse)
	s.waiting += waitingGain * (float64(s.queue.Len()) - s.waiting)
}

func wantsOf(name model.ServiceName, peers []slots.PeerMessage) map[model.EntryID]int {
	wants := make(map[model.EntryID]int)
	for _, p := range peers {
		for _, w := range p.Demands {
			if w.Service == name && w.Slots > 0 {
				wants[p.Entry] = w.Slots
			}
		}
	}
	return wants
}

func mostWanting(wants map[model.EntryID]int) model.EntryID {
	var best model.EntryID
	for e, n := range wants {
		if n > 0 && (best == "" || n > wants[best] || (n == wants[best] && e < best)) {
			best = e
		}
	}
	return best
}

// LendingMessage returns what to tell peers.
func (d *Dispatcher) LendingMessage() slots.Message {
	var wants []slots.Demand
	for _, svc := range d.order {
		if n := svc.wanted(); n > 0 {
			wants = append(wants, slots.Demand{Service: svc.decl.Name, Slots: n})
		}
	}
	inFlight := func(vm model.VMID) int { return d.targetOr(vm).own }
	share := func(vm model.VMID) int { return d.targetOr(vm).share }
	return d.book.Message(wants, inFlight, share)
}

// wanted is how many slots beyond its share the service has work for: what
// waits, and what runs on borrowed ones.
func (s *service) wanted() int {
	over := 0
	for _, t := range s.targets {
		over += max(0, t.own-t.share)
	}
	if share := s.share(); share == 0 && s.queue.Len() > 0 {
		return s.queue.Len() + over
	}
	return int(s.waiting) + over
}

func (s *service) share() int {
	share := 0
	for _, t := range s.targets {
		share += t.share
	}
	return share
}

func (d *Dispatcher) targetOr(vm model.VMID) *target {
	if t := d.targets[vm]; t != nil {
		return t
	}
	return &target{}
}
