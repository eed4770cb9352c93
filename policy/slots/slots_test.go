package slots

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pumicestage/pumicestage/policy/model"
)

// TestMain fixes the seed of the random histories, so that every run gives the
// same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse() // the command line may override these values
	os.Exit(m.Run())
}

func entriesOf(n, zones int) []Entry {
	var entries []Entry
	for i := range n {
		entries = append(entries, Entry{ID: model.EntryID(fmt.Sprint("e", i)), Zone: model.ZoneName(fmt.Sprint("z", i%zones))})
	}
	return entries
}

func TestSharesSumToSlots(t *testing.T) {
	cases := []struct {
		name               string
		entries, slots     int
		minShare, maxShare int
	}{
		{"a single entry VM", 1, 8, 8, 8},
		{"as many entry VMs as slots", 8, 8, 1, 1},
		{"one entry VM less", 7, 8, 1, 2},
		{"more entry VMs than slots", 20, 8, 0, 1},
		{"more slots than entry VMs", 3, 64, 21, 22},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			entries := entriesOf(tc.entries, 4)
			for i := range 50 {
				target := Target{ID: model.VMID(fmt.Sprint("v", i)), Zone: "z1", Slots: tc.slots}
				sum := 0
				for _, e := range entries {
					share := Share(target, entries, e.ID)
					assert.Assert(t, share >= tc.minShare && share <= tc.maxShare, "%d", share)
					sum += share
				}
				assert.Equal(t, sum, tc.slots)
			}
		})
	}
}

func TestRemainderSlotsGoToTargetZone(t *testing.T) {
	entries := entriesOf(7, 4)
	for i := range 20 {
		target := Target{ID: model.VMID(fmt.Sprint("v", i)), Zone: "z1", Slots: 8}
		assert.Equal(t, Share(target, entries, "e1")+Share(target, entries, "e5"), 3)
	}
}

func TestProbesSpreadOverEntriesOfZone(t *testing.T) {
	entries := entriesOf(8, 2)
	probes := make(map[model.EntryID]int)
	for i := range 400 {
		probes[Prober(Target{ID: model.VMID(fmt.Sprint("v", i))}, "z1", entries)]++
	}
	assert.Equal(t, len(probes), 4)
	for e, n := range probes {
		assert.Assert(t, n > 60 && n < 140, "%s probes %d of 400", e, n)
	}
	assert.Equal(t, Prober(Target{ID: "v"}, "z9", entries), model.EntryID(""))
}

// cluster is a set of entry VMs that lend the slots of one target to each
// other. Messages between two of them may be delayed but arrive in order.
type cluster struct {
	t         *rapid.T
	ids       []model.EntryID
	ledgers   map[model.EntryID]*Ledger
	running   map[model.EntryID]int
	inTransit map[[2]model.EntryID][]Message
	received  map[[2]model.EntryID]Message
	now       time.Time
}

// clusterShare is each entry VM's own share of the target's slots.
const clusterShare = 2

// entry returns a randomly drawn entry VM. rapid prints the label with the value if
// a check fails.
func (w *cluster) entry(label string) model.EntryID {
	return rapid.SampledFrom(w.ids).Draw(w.t, label)
}

// limit returns how many requests the entry VM may have at the target now.
func (w *cluster) limit(e model.EntryID) int { return w.ledgers[e].Limit("v", clusterShare, w.now) }

// send puts an entry VM's message in transit to another.
func (w *cluster) send(from, to model.EntryID) {
	one := func(model.VMID) int { return w.running[from] }
	share := func(model.VMID) int { return clusterShare }
	w.inTransit[[2]model.EntryID{from, to}] = append(w.inTransit[[2]model.EntryID{from, to}], w.ledgers[from].Message(nil, one, share))
}

// receive delivers the next message in transit, if any.
func (w *cluster) receive(from, to model.EntryID) {
	pipe := [2]model.EntryID{from, to}
	if len(w.inTransit[pipe]) == 0 {
		return
	}
	w.received[pipe], w.inTransit[pipe] = w.inTransit[pipe][0], w.inTransit[pipe][1:]
	var peers []PeerMessage
	for _, id := range w.ids {
		if m, ok := w.received[[2]model.EntryID{id, to}]; ok {
			peers = append(peers, PeerMessage{Entry: id, ReceivedAt: w.now, Message: m})
		}
	}
	w.ledgers[to].Receive(peers, w.now)
}

// step performs one random action of an entry VM: it starts or ends a request,
// lends or recalls a slot, or sends or receives a message.
func (w *cluster) step() {
	a, b := w.entry("a"), w.entry("b")
	switch rapid.IntRange(0, 6).Draw(w.t, "do") {
	case 0:
		if w.running[a] < w.limit(a) {
			w.running[a]++
		}
	case 1:
		w.running[a] = max(0, w.running[a]-1)
	case 2:
		if n := w.limit(a) - w.running[a]; a != b && n > 0 && !w.ledgers[a].IsLent("v") && !w.ledgers[a].IsBorrowed("v") {
			w.ledgers[a].Lend("v", b, n, w.now)
		}
	case 3:
		w.ledgers[a].Recall("v")
	case 4:
		w.send(a, b)
	case 5: // immediate delivery, so that long histories of loans occur
		w.send(a, b)
		for len(w.inTransit[[2]model.EntryID{a, b}]) > 0 {
			w.receive(a, b)
		}
	default:
		w.receive(a, b)
	}
}

// TestLoansNeverExceedSlots has four entry VMs lend and recall a target's slots
// while their messages are delayed arbitrarily. If a lender took a slot as
// returned while the borrower still used it, or could start to, the target
// would get more requests than slots and refuse some or slow all down.
func TestLoansNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &cluster{t: rt, ids: []model.EntryID{"a", "b", "c", "d"}, ledgers: map[model.EntryID]*Ledger{},
			running: map[model.EntryID]int{}, inTransit: map[[2]model.EntryID][]Message{},
			received: map[[2]model.EntryID]Message{}, now: time.Unix(0, 0)}
		for _, id := range w.ids {
			w.ledgers[id] = NewLedger(id)
		}
		for range rapid.IntRange(10, 200).Draw(rt, "steps") {
			w.step()
			sum := 0
			for _, n := range w.running {
				sum += n
			}
			if sum > clusterShare*len(w.ids) {
				rt.Fatalf("%d running of %d slots: %v", sum, clusterShare*len(w.ids), w.running)
			}
		}
	})
}

// TestBorrowerThatLendsSameTarget has an entry VM lend a slot and then borrow
// another of the same target, which its lender recalls. The borrower's requests
// do not exceed its share, but one of them runs on the borrowed slot, since one
// of its own is lent. If it confirmed that nothing is running, the lender would
// use the slot at the same time.
func TestBorrowerThatLendsSameTarget(t *testing.T) {
	now := time.Unix(0, 0)
	one := func(model.VMID) int { return 1 }
	two := func(model.VMID) int { return 2 }
	a, b := NewLedger("a"), NewLedger("b")
	a.Lend("v", "c", 1, now)
	b.Lend("v", "a", 1, now)
	message := func(from *Ledger, running func(model.VMID) int) PeerMessage {
		return PeerMessage{Entry: from.self, ReceivedAt: now, Message: from.Message(nil, running, two)}
	}
	a.Receive([]PeerMessage{message(b, one)}, now)
	assert.Equal(t, a.Limit("v", 2, now), 2)
	b.Recall("v")
	a.Receive([]PeerMessage{message(b, one)}, now)
	b.Receive([]PeerMessage{message(a, two)}, now)
	assert.Equal(t, b.Limit("v", 2, now), 1, "a request of the borrower still runs on the slot")
	b.Receive([]PeerMessage{message(a, one)}, now)
	assert.Equal(t, b.Limit("v", 2, now), 2)
}

// TestLoanOfUnreachablePeerIsReclaimed replaces or disconnects a borrower that
// holds a loan. Its lender gets the slot back after LoanReclaimTimeout; a
// borrower that no longer receives messages from its lender has stopped using
// the slot well before.
func TestLoanOfUnreachablePeerIsReclaimed(t *testing.T) {
	now := time.Unix(0, 0)
	a, b := NewLedger("a"), NewLedger("b")
	a.Lend("v", "b", 1, now)
	b.Receive([]PeerMessage{{Entry: "a", ReceivedAt: now, Message: a.Message(nil, func(model.VMID) int { return 0 }, func(model.VMID) int { return 2 })}}, now)
	cases := []struct {
		after          time.Duration
		lender, borrow int
	}{
		{0, 1, 3},
		{LoanValidity - 1, 1, 3},
		{LoanValidity, 1, 2},
		{LoanReclaimTimeout - 1, 1, 2},
		{LoanReclaimTimeout, 2, 2},
	}
	for _, tc := range cases {
		at := now.Add(tc.after)
		a.Receive(nil, at)
		assert.Equal(t, a.Limit("v", 2, at), tc.lender, "lender after %v", tc.after)
		assert.Equal(t, b.Limit("v", 2, at), tc.borrow, "borrower after %v", tc.after)
	}
}
