package slots

import (
	"slices"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// LoanValidity is how long a borrower uses a loan without hearing from its
	// lender. Other zones' digests come once a second: two may be lost.
	LoanValidity = 3 * time.Second
	// LoanReclaimTimeout is how long a lender waits for a borrower it does not hear
	// before it counts a slot as its own again. It is well above LoanFresh:
	// what may still run there then has run for 7 s.
	LoanReclaimTimeout = 10 * time.Second
	// loanKept is how long a loan stands at least, so that a borrower whose
	// load comes in bursts does not ask anew for each.
	loanKept = 5 * time.Second
)

// Demand asks peers for slots of a service.
type Demand struct {
	Service model.ServiceName
	Slots   int
}

// Loan lets a peer use slots of a target that are the lender's own. A loan of
// no slots is one taken back: it stays listed until the peer has confirmed.
type Loan struct {
	VM      model.VMID
	To      model.EntryID
	Slots   int
	Version uint32 // grows with each change of the loan
}

// Borrow confirms a loan: the peer has seen the version, and still has so many
// requests running on it.
type Borrow struct {
	VM      model.VMID
	From    model.EntryID
	InUse   int
	Version uint32
}

// Message is what an entry VM tells all peers of its lending. It holds nothing
// where nobody lends.
type Message struct {
	Demands  []Demand
	Loans    []Loan
	Borrowed []Borrow
}

// PeerMessage is the latest Message heard of a peer.
type PeerMessage struct {
	Entry      model.EntryID
	ReceivedAt time.Time
	Message
}

// Ledger keeps what an entry VM has lent and borrowed. At any time each slot of a
// target has one entry VM that may start work on it: its owner, or the peer it
// is lent to. The owner uses a slot again only when the borrower has confirmed
// that it saw the loan taken back and has nothing running on it. So while peers
// hear each other, no target is sent more than its slots, whatever is delayed.
type Ledger struct {
	self     model.EntryID
	lent     map[model.VMID]*lending // at most one borrower a target
	borrowed map[borrowKey]*Loan     // loans to this entry VM, taken back ones included
	heard    map[model.EntryID]time.Time
	version  uint32
}

type lending struct {
	Loan
	owed  int // slots the borrower may still be using
	since time.Time
}

type borrowKey struct {
	vm   model.VMID
	from model.EntryID
}

// NewLedger returns an empty Book.
func NewLedger(self model.EntryID) *Ledger {
	return &Ledger{
		self:     self,
		lent:     make(map[model.VMID]*lending),
		borrowed: make(map[borrowKey]*Loan),
		heard:    make(map[model.EntryID]time.Time),
	}
}

// Receive takes in what peers say.
func (b *Ledger) Receive(peers []PeerMessage, now time.Time) {
	clear(b.heard)
	clear(b.borrowed)
	for _, p := range peers {
		b.heard[p.Entry] = p.ReceivedAt
		for _, l := range p.Loans {
			if l.To == b.self {
				b.borrowed[borrowKey{l.VM, p.Entry}] = &l
			}
		}
	}
	for _, p := range peers {
		for _, c := range p.Borrowed {
			b.confirmed(p.Entry, c)
		}
	}
	b.giveUp(now)
}

// confirmed ends a loan that was taken back, once its borrower is out of it.
func (b *Ledger) confirmed(from model.EntryID, c Borrow) {
	l := b.lent[c.VM]
	if l == nil || c.From != b.self || l.To != from || l.Slots > 0 || c.Version != l.Version {
		return
	}
	if l.owed = c.InUse; l.owed == 0 {
		delete(b.lent, c.VM)
	}
}

// giveUp ends the loans of borrowers that are not heard any more.
func (b *Ledger) giveUp(now time.Time) {
	for vm, l := range b.lent {
		last := b.heard[l.To]
		if last.Before(l.since) {
			last = l.since
		}
		if now.Sub(last) >= LoanReclaimTimeout {
			delete(b.lent, vm)
		}
	}
}

// Limit returns how many slots of the target this entry VM may use: its share,
// less what it lent, plus what it borrowed.
func (b *Ledger) Limit(vm model.VMID, share int, now time.Time) int {
	limit := share - b.owed(vm)
	for key, l := range b.borrowed {
		if key.vm == vm && now.Sub(b.heard[key.from]) < LoanValidity {
			limit += l.Slots
		}
	}
	return limit
}

// owed is how many of the target's slots are lent, or not yet back.
func (b *Ledger) owed(vm model.VMID) int {
	if l := b.lent[vm]; l != nil {
		return l.owed
	}
	return 0
}

// IsLent reports whether slots of the target are lent, or not yet back.
func (b *Ledger) IsLent(vm model.VMID) bool { return b.lent[vm] != nil }

// IsBorrowed reports whether slots of the target are borrowed.
func (b *Ledger) IsBorrowed(vm model.VMID) bool {
	for key := range b.borrowed {
		if key.vm == vm {
			return true
		}
	}
	return false
}

// Lend lends slots of a target that is neither lent nor borrowed: a slot that
// went round between three would be nobody's to count.
func (b *Ledger) Lend(vm model.VMID, to model.EntryID, n int, now time.Time) {
	b.version++
	b.lent[vm] = &lending{Loan: Loan{VM: vm, To: to, Slots: n, Version: b.version}, owed: n, since: now}
}

// Recall ends the loan of the target's slots and returns how many will come
// back, those on their way included.
func (b *Ledger) Recall(vm model.VMID) int {
	l := b.lent[vm]
	if l == nil {
		return 0
	}
	if l.Slots > 0 {
		b.version++
		l.Slots, l.Version = 0, b.version
	}
	return l.owed
}

// IsLoanIdle reports whether a loan has stood for long and its borrower wants no
// more of it.
func (b *Ledger) IsLoanIdle(vm model.VMID, wants func(model.EntryID) bool, now time.Time) bool {
	l := b.lent[vm]
	return l != nil && l.Slots > 0 && now.Sub(l.since) >= loanKept && !wants(l.To)
}

// Message returns what to tell peers, given this entry VM's requests at each
// target and its share there.
func (b *Ledger) Message(wants []Demand, inFlight, share func(model.VMID) int) Message {
	m := Message{Demands: wants}
	for _, l := range b.lent {
		m.Loans = append(m.Loans, l.Loan)
	}
	for key, l := range b.borrowed {
		// What it lent of its share is not its own to run on.
		over := max(0, inFlight(key.vm)-share(key.vm)+b.owed(key.vm))
		m.Borrowed = append(m.Borrowed, Borrow{VM: key.vm, From: key.from, InUse: over, Version: l.Version})
	}
	slices.SortFunc(m.Loans, func(x, y Loan) int { return strings.Compare(string(x.VM), string(y.VM)) })
	slices.SortFunc(m.Borrowed, func(x, y Borrow) int {
		return strings.Compare(string(x.VM)+"/"+string(x.From), string(y.VM)+"/"+string(y.From))
	})
	return m
}
