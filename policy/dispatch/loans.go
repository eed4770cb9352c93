package dispatch

import (
	"math"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/slots"
)

// An entry VM lends idle slots to peers with queued requests. A load balancer
// that pins the connections of a few callers can give one entry VM several times
// the load of another.

// stepLoans processes the peers' messages on lending, then lends and recalls
// slots. It does nothing without Peers.
func (d *Dispatcher) stepLoans(now time.Time) {
	if d.cfg.Peers == nil {
		return
	}
	peers := d.cfg.Peers.LendingMessages()
	d.ledger.Receive(peers, now)
	for _, svc := range d.sortedServices {
		svc.updateAverages()
		d.stepServiceLoans(svc, peers, now)
	}
	d.setLimits(now)
}

func (d *Dispatcher) setLimits(now time.Time) {
	for _, t := range d.targets {
		t.limit = d.ledger.Limit(t.id, t.share, now)
	}
}

func (d *Dispatcher) stepServiceLoans(svc *service, peers []slots.PeerMessage, now time.Time) {
	if svc.queue.Len() > 0 {
		d.recallLoans(svc)
		return
	}
	demands := peerDemands(svc.decl.Name, peers)
	for _, t := range svc.targets {
		if d.ledger.IsLoanIdle(t.id, func(e model.EntryID) bool { return demands[e] > 0 }, now) {
			d.ledger.Recall(t.id)
		}
	}
	d.lend(svc, demands, now)
}

// recallLoans recalls as many slots as requests are queued for the service.
// Recalling every loan for a single request would start and end loans with each
// burst.
func (d *Dispatcher) recallLoans(svc *service) {
	n := svc.queue.Len()
	for _, t := range svc.targets {
		if n <= 0 {
			return
		}
		n -= d.ledger.Recall(t.id)
	}
}

// lend lends idle slots to the peers with the largest demand.
func (d *Dispatcher) lend(svc *service, demands map[model.EntryID]int, now time.Time) {
	lendable := d.lendable(svc, now)
	for _, t := range svc.targets {
		to := largestDemand(demands)
		if lendable <= 0 || to == "" {
			return
		}
		n := min(t.limit-t.inFlight, lendable, demands[to])
		if n <= 0 || d.unavailable(t, now) || d.ledger.IsLent(t.id) || d.ledger.IsBorrowed(t.id) {
			continue
		}
		d.ledger.Lend(t.id, to, n, now)
		lendable -= n
		demands[to] -= n
	}
}

// lendable returns how many of the service's slots can be lent: the limit, less
// the average in use, less a margin of 1.5 standard deviations (a Poisson load
// stays within it nine times in ten), less one for the next request.
func (d *Dispatcher) lendable(svc *service, now time.Time) int {
	limit := 0
	for _, t := range svc.targets {
		if !d.unavailable(t, now) {
			limit += t.limit
		}
	}
	if limit <= fewSlots && svc.avgRunning < idleRunning && svc.running == 0 {
		return limit
	}
	inUse := svc.avgRunning + 1.5*math.Sqrt(svc.avgRunning)
	return limit - max(int(math.Ceil(inUse)), svc.running) - 1
}

// An entry VM with at most fewSlots of a service lends even its last slot while
// its average use is below idleRunning: other entry VMs may have no slot at all.
const (
	fewSlots    = 2
	idleRunning = 0.5
)

// Gains per tick of the moving averages. Slots in use are averaged over about 2 s
// and the queue length over 1 s, so that a short burst causes no demand.
const (
	runningGain = 0.025
	queuedGain  = 0.05
)

func (s *service) updateAverages() {
	s.avgRunning += runningGain * (float64(s.running) - s.avgRunning)
	s.avgQueued += queuedGain * (float64(s.queue.Len()) - s.avgQueued)
}

func peerDemands(name model.ServiceName, peers []slots.PeerMessage) map[model.EntryID]int {
	demands := make(map[model.EntryID]int)
	for _, p := range peers {
		for _, w := range p.Demands {
			if w.Service == name && w.Slots > 0 {
				demands[p.Entry] = w.Slots
			}
		}
	}
	return demands
}

func largestDemand(demands map[model.EntryID]int) model.EntryID {
	var best model.EntryID
	for e, n := range demands {
		if n > 0 && (best == "" || n > demands[best] || (n == demands[best] && e < best)) {
			best = e
		}
	}
	return best
}

// LendingMessage returns the message on slot lending to send to all peers.
func (d *Dispatcher) LendingMessage() slots.Message {
	var demands []slots.Demand
	for _, svc := range d.sortedServices {
		if n := svc.demand(); n > 0 {
			demands = append(demands, slots.Demand{Service: svc.decl.Name, Slots: n})
		}
	}
	inFlight := func(vm model.VMID) int { return d.targetOrEmpty(vm).inFlight }
	share := func(vm model.VMID) int { return d.targetOrEmpty(vm).share }
	return d.ledger.Message(demands, inFlight, share)
}

// demand returns how many slots beyond its share this entry VM needs for the
// service: those for queued requests, and the borrowed ones in use.
func (s *service) demand() int {
	aboveShare := 0
	for _, t := range s.targets {
		aboveShare += max(0, t.inFlight-t.share)
	}
	if share := s.share(); share == 0 && s.queue.Len() > 0 {
		return s.queue.Len() + aboveShare
	}
	return int(s.avgQueued) + aboveShare
}

func (s *service) share() int {
	share := 0
	for _, t := range s.targets {
		share += t.share
	}
	return share
}

func (d *Dispatcher) targetOrEmpty(vm model.VMID) *target {
	if t := d.targets[vm]; t != nil {
		return t
	}
	return &target{}
}
