package slots

import (
	"slices"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// LoanValidity is how long a borrower uses a loan after the last message
	// from its lender. Digests of other zones arrive once a second, so two in a
	// row may be lost.
	LoanValidity = 3 * time.Second
	// LoanReclaimTimeout is how long after the last message from a borrower the
	// lender reclaims the slots. It exceeds LoanValidity by 7 s: a request that
	// the borrower may still have there has been running for that long.
	LoanReclaimTimeout = 10 * time.Second
	// minLoanDuration is how long a loan lasts before it may be ended as idle,
	// so that a borrower with bursts of requests does not need a new loan for
	// each.
	minLoanDuration = 5 * time.Second
)

// Demand asks peers to lend slots of a service.
type Demand struct {
	Service model.ServiceName
	Slots   int
}

// Loan lets the peer To use slots of a target that belong to the lender. A loan
// with zero slots is a recalled one: it stays listed until the borrower has
// confirmed the recall.
type Loan struct {
	VM      model.VMID
	To      model.EntryID
	Slots   int
	Version uint32 // grows with each change of the loan
}

// Borrow confirms to the lender From that the borrower has seen a version of
// the loan, and tells how many of its requests still run on the lent slots.
type Borrow struct {
	VM      model.VMID
	From    model.EntryID
	InUse   int
	Version uint32
}

// Message is what an entry VM tells all peers about slot lending. It is empty
// while the entry VM neither lends, borrows nor needs slots.
type Message struct {
	Demands  []Demand
	Loans    []Loan
	Borrowed []Borrow
}

// PeerMessage is the latest Message received from a peer.
type PeerMessage struct {
	Entry      model.EntryID
	ReceivedAt time.Time
	Message
}

// Ledger records the slots that an entry VM has lent and borrowed. At any time,
// exactly one entry VM may start work on a given slot of a target: the one
// whose share it belongs to, or the peer it is lent to. The lender uses a slot
// again only after the borrower has confirmed that it saw the recall and has
// nothing running on the slot. So while peers receive each other's messages, a
// target is never sent more requests than it has slots, however long messages
// are delayed. A Ledger is not safe for concurrent use.
type Ledger struct {
	self       model.EntryID
	lent       map[model.VMID]*lentLoan // at most one borrower per target
	borrowed   map[borrowKey]*Loan      // loans to this entry VM, including recalled ones
	receivedAt map[model.EntryID]time.Time
	version    uint32
}

type lentLoan struct {
	Loan
	outstanding int // slots that the borrower may still be using
	since       time.Time
}

type borrowKey struct {
	vm   model.VMID
	from model.EntryID
}

// NewLedger returns an empty Ledger of the entry VM self.
func NewLedger(self model.EntryID) *Ledger {
	return &Ledger{
		self:       self,
		lent:       make(map[model.VMID]*lentLoan),
		borrowed:   make(map[borrowKey]*Loan),
		receivedAt: make(map[model.EntryID]time.Time),
	}
}

// Receive applies the latest messages of all peers; they replace those of the
// previous call.
func (b *Ledger) Receive(peers []PeerMessage, now time.Time) {
	clear(b.receivedAt)
	clear(b.borrowed)
	for _, p := range peers {
		b.receivedAt[p.Entry] = p.ReceivedAt
		for _, l := range p.Loans {
			if l.To == b.self {
				b.borrowed[borrowKey{l.VM, p.Entry}] = &l
			}
		}
	}
	for _, p := range peers {
		for _, c := range p.Borrowed {
			b.applyConfirmation(p.Entry, c)
		}
	}
	b.reclaimExpired(now)
}

// applyConfirmation updates a recalled loan from its borrower's confirmation,
// and ends it once nothing runs on its slots.
func (b *Ledger) applyConfirmation(from model.EntryID, c Borrow) {
	l := b.lent[c.VM]
	if l == nil || c.From != b.self || l.To != from || l.Slots > 0 || c.Version != l.Version {
		return
	}
	if l.outstanding = c.InUse; l.outstanding == 0 {
		delete(b.lent, c.VM)
	}
}

// reclaimExpired ends loans to borrowers that have sent no message for
// LoanReclaimTimeout.
func (b *Ledger) reclaimExpired(now time.Time) {
	for vm, l := range b.lent {
		lastContact := b.receivedAt[l.To]
		if lastContact.Before(l.since) {
			lastContact = l.since
		}
		if now.Sub(lastContact) >= LoanReclaimTimeout {
			delete(b.lent, vm)
		}
	}
}

// Limit returns how many slots of the target this entry VM may use: its share,
// less the slots lent, plus those borrowed on valid loans.
func (b *Ledger) Limit(vm model.VMID, share int, now time.Time) int {
	limit := share - b.outstanding(vm)
	for key, l := range b.borrowed {
		if key.vm == vm && now.Sub(b.receivedAt[key.from]) < LoanValidity {
			limit += l.Slots
		}
	}
	return limit
}

// outstanding returns how many of the target's slots are lent, or recalled and
// not yet returned.
func (b *Ledger) outstanding(vm model.VMID) int {
	if l := b.lent[vm]; l != nil {
		return l.outstanding
	}
	return 0
}

// IsLent reports whether slots of the target are lent, or recalled and not yet
// returned.
func (b *Ledger) IsLent(vm model.VMID) bool { return b.lent[vm] != nil }

// IsBorrowed reports whether there is a loan of the target's slots to this
// entry VM, recalled ones included.
func (b *Ledger) IsBorrowed(vm model.VMID) bool {
	for key := range b.borrowed {
		if key.vm == vm {
			return true
		}
	}
	return false
}

// Lend lends n slots of the target to a peer. The target's slots must be
// neither lent nor borrowed here: if a slot were lent on by its borrower, no
// entry VM could tell who uses it.
func (b *Ledger) Lend(vm model.VMID, to model.EntryID, n int, now time.Time) {
	b.version++
	b.lent[vm] = &lentLoan{Loan: Loan{VM: vm, To: to, Slots: n, Version: b.version}, outstanding: n, since: now}
}

// Recall recalls the loan of the target's slots and returns how many slots will
// be returned, including those recalled before.
func (b *Ledger) Recall(vm model.VMID) int {
	l := b.lent[vm]
	if l == nil {
		return 0
	}
	if l.Slots > 0 {
		b.version++
		l.Slots, l.Version = 0, b.version
	}
	return l.outstanding
}

// IsLoanIdle reports whether a loan has lasted for at least minLoanDuration and
// its borrower no longer has demand, as told by demands.
func (b *Ledger) IsLoanIdle(vm model.VMID, demands func(model.EntryID) bool, now time.Time) bool {
	l := b.lent[vm]
	return l != nil && l.Slots > 0 && now.Sub(l.since) >= minLoanDuration && !demands(l.To)
}

// Message returns the message to send to peers, given this entry VM's demands,
// its requests in flight at each target, and its share of each target's slots.
func (b *Ledger) Message(demands []Demand, inFlight, share func(model.VMID) int) Message {
	m := Message{Demands: demands}
	for _, l := range b.lent {
		m.Loans = append(m.Loans, l.Loan)
	}
	for key, l := range b.borrowed {
		// Slots lent from the own share are not available to run on, so requests
		// beyond the rest of the share run on borrowed slots.
		inUse := max(0, inFlight(key.vm)-share(key.vm)+b.outstanding(key.vm))
		m.Borrowed = append(m.Borrowed, Borrow{VM: key.vm, From: key.from, InUse: inUse, Version: l.Version})
	}
	slices.SortFunc(m.Loans, func(x, y Loan) int { return strings.Compare(string(x.VM), string(y.VM)) })
	slices.SortFunc(m.Borrowed, func(x, y Borrow) int {
		return strings.Compare(string(x.VM)+"/"+string(x.From), string(y.VM)+"/"+string(y.From))
	})
	return m
}
