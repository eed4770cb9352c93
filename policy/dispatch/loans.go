package dispatch

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/slots"
)

// stepLoans lends and takes back slots by what peers say.
func (d *Dispatcher) stepLoans(now time.Time) {
	if d.cfg.Peers == nil {
		return
	}
	for _, t := range d.targets {
		t.waiting = 0
	}
	for _, svc := range d.order {
		for _, t := range svc.targets {
			t.waiting += svc.queue.Len()
		}
	}
	for _, svc := range d.order {
		spare := d.spare(svc, now)
		for _, t := range svc.targets {
			spare -= d.stepLoan(t, spare, now)
		}
	}
}

// spare is what the service can lend of its slots here: an entry VM keeps half
// of its share for its own next requests.
func (d *Dispatcher) spare(svc *service, now time.Time) int {
	free, share := 0, 0
	for _, t := range svc.targets {
		if !d.out(t, now) {
			free += t.limit - t.own
			share += t.share
		}
	}
	return free - (share+1)/2
}

// stepLoan looks at one target and returns how many slots were lent anew.
func (d *Dispatcher) stepLoan(t *target, spare int, now time.Time) int {
	peers := d.cfg.Peers.At(t.id)
	for i := range peers {
		peers[i].Share = slots.Share(t.divided(), d.live, peers[i].Entry)
	}
	_, before := t.loan.Lent()
	own := slots.Demand{Share: t.share, InFlight: t.own, Waiting: t.waiting, Spare: spare}
	t.limit = t.loan.Step(d.cfg.Self, own, peers, now)
	t.want = 0
	if !t.loan.Lending() && t.serving {
		t.want = min(t.waiting, max(0, t.slots-t.limit))
	}
	_, after := t.loan.Lent()
	return max(0, after-before)
}

func (t *target) divided() slots.Target {
	return slots.Target{ID: t.id, Zone: t.zone, Slots: t.slots}
}
