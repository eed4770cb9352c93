package slots

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// LoanTerm is how long a loan may be used after the digest that last named
	// it, and so how long its lender waits after taking it back. It is the time
	// for which a peer's loads count: a borrower that no longer hears its
	// lender stops by itself.
	LoanTerm = time.Second
	// takeBackMargin covers the digest's way and the interval at which both
	// sides look: the lender starts to count later than the borrower.
	takeBackMargin = 500 * time.Millisecond
)

// PeerLoad is what a fresh peer last said of a target.
type PeerLoad struct {
	Entry    model.EntryID
	Heard    time.Time // when its digest came
	Share    int       // its own share, as this entry VM computes it
	InFlight int
	Want     int           // slots beyond its limit that it has work for
	LentTo   model.EntryID // whom it lends to; empty for nobody
	Lent     int
}

// Demand is what the own entry VM has at a target.
type Demand struct {
	Share    int // own share of the slots
	InFlight int
	Waiting  int // queued requests that could run there
	// Spare is how many slots the service can do without here: an entry VM
	// keeps half of its slots of a service for its own next requests.
	Spare int
}

// Loan is a lender's side for one target: at most one borrower at a time. The
// zero value lends nothing.
type Loan struct {
	to     model.EntryID
	lent   int
	owed   int // slots that may still be in use by the borrower
	ending time.Time
}

// Lent returns what the next digest says.
func (l *Loan) Lent() (to model.EntryID, n int) { return l.to, l.lent }

// Step looks at the peers and the own demand: it lends what lies idle, takes
// back what is needed, and returns how many slots this entry VM may use: its
// share, less what it lent, plus what it borrowed.
//
// A slot lent is used again by its lender only when its borrower certainly no
// longer starts work on it (LoanTerm after the last digest that named the
// loan), and has none running on it by its own digest. Slots in use therefore
// never exceed the target's while the peers hear each other. Where they do
// not, the lender takes the slot back after the term, and the overrun is at
// most what was lent and still runs.
func (l *Loan) Step(self model.EntryID, own Demand, peers []PeerLoad, now time.Time) int {
	l.settle(peers, now)
	got := borrowed(self, peers, now)
	switch {
	case l.lent > 0 && own.needs(l.lent):
		l.takeBack(now)
	case l.owed == 0 && got == 0:
		l.lend(self, own, peers)
	}
	return own.Share - l.owed + got
}

// Lending reports whether slots are lent or not yet back. Its entry VM then
// asks for none: a slot that goes round between three is nobody's to count.
func (l *Loan) Lending() bool { return l.owed > 0 }

// needs reports whether the lender has work for what it lent.
func (d Demand) needs(lent int) bool {
	return d.Waiting > 0 || d.InFlight+lent >= d.Share
}

func (l *Loan) takeBack(now time.Time) {
	l.lent = 0
	l.ending = now.Add(LoanTerm + takeBackMargin)
}

// settle ends a loan that was taken back, once its borrower is out of it.
func (l *Loan) settle(peers []PeerLoad, now time.Time) {
	if l.owed == 0 {
		return
	}
	borrower := find(peers, l.to)
	if l.lent > 0 && borrower == nil {
		l.takeBack(now) // it is gone, or not heard
	}
	if l.lent > 0 || now.Before(l.ending) {
		return
	}
	if borrower != nil && borrower.Heard.After(l.ending) && borrower.InFlight > borrower.Share {
		return // what it started in the term still runs
	}
	if borrower != nil && !borrower.Heard.After(l.ending) {
		return
	}
	*l = Loan{}
}

// lend offers idle slots to the peer that wants most.
func (l *Loan) lend(self model.EntryID, own Demand, peers []PeerLoad) {
	spare := min(own.Share-own.InFlight, own.Spare)
	if spare <= 0 || own.Waiting > 0 {
		return
	}
	var best *PeerLoad
	for i := range peers {
		p := &peers[i]
		if p.Want > 0 && p.LentTo != self && (best == nil || p.Want > best.Want) {
			best = p
		}
	}
	if best == nil {
		return
	}
	n := min(spare, best.Want)
	l.to, l.lent, l.owed = best.Entry, n, n
}

// borrowed sums what peers lend, as far as it may still be used.
func borrowed(self model.EntryID, peers []PeerLoad, now time.Time) int {
	n := 0
	for _, p := range peers {
		if p.LentTo == self && now.Sub(p.Heard) < LoanTerm {
			n += p.Lent
		}
	}
	return n
}

func find(peers []PeerLoad, id model.EntryID) *PeerLoad {
	for i := range peers {
		if peers[i].Entry == id {
			return &peers[i]
		}
	}
	return nil
}
