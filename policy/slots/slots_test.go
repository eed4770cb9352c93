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

// TestMain fixes the seed of random histories: a verdict must not change from
// run to run.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse() // the command line may ask for more
	os.Exit(m.Run())
}

func entriesOf(n, zones int) []Entry {
	var entries []Entry
	for i := range n {
		entries = append(entries, Entry{ID: model.EntryID(fmt.Sprint("e", i)), Zone: model.ZoneName(fmt.Sprint("z", i%zones))})
	}
	return entries
}

func TestSharesAddUpToTheSlots(t *testing.T) {
	cases := []struct {
		name           string
		entries, slots int
		least, most    int
	}{
		{"one entry VM has all", 1, 8, 8, 8},
		{"today", 8, 8, 1, 1},
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
					assert.Assert(t, share >= tc.least && share <= tc.most, "%d", share)
					sum += share
				}
				assert.Equal(t, sum, tc.slots)
			}
		})
	}
}

func TestRemaindersGoToTheTargetsZone(t *testing.T) {
	entries := entriesOf(7, 4)
	for i := range 20 {
		target := Target{ID: model.VMID(fmt.Sprint("v", i)), Zone: "z1", Slots: 8}
		assert.Equal(t, Share(target, entries, "e1")+Share(target, entries, "e5"), 3)
	}
}

func TestProbersShareTheTargets(t *testing.T) {
	entries := entriesOf(8, 2)
	asks := make(map[model.EntryID]int)
	for i := range 400 {
		asks[Prober(Target{ID: model.VMID(fmt.Sprint("v", i))}, "z1", entries)]++
	}
	assert.Equal(t, len(asks), 4)
	for e, n := range asks {
		assert.Assert(t, n > 60 && n < 140, "%s asks %d of 400", e, n)
	}
	assert.Equal(t, Prober(Target{ID: "v"}, "z9", entries), model.EntryID(""))
}

// world is some entry VMs that lend the slots of one target to each other,
// with digests that arrive late but in order.
type world struct {
	t       *rapid.T
	ids     []model.EntryID
	books   map[model.EntryID]*Ledger
	running map[model.EntryID]int
	pipes   map[[2]model.EntryID][]Message
	heard   map[[2]model.EntryID]Message
	now     time.Time
}

const worldShare = 2

func (w *world) entry(label string) model.EntryID {
	return rapid.SampledFrom(w.ids).Draw(w.t, label)
}

func (w *world) limit(e model.EntryID) int { return w.books[e].Limit("v", worldShare, w.now) }

// tell sends an entry VM's digest on its way to another.
func (w *world) tell(from, to model.EntryID) {
	one := func(model.VMID) int { return w.running[from] }
	share := func(model.VMID) int { return worldShare }
	w.pipes[[2]model.EntryID{from, to}] = append(w.pipes[[2]model.EntryID{from, to}], w.books[from].Message(nil, one, share))
}

// hear lets the next digest on the way arrive.
func (w *world) hear(from, to model.EntryID) {
	pipe := [2]model.EntryID{from, to}
	if len(w.pipes[pipe]) == 0 {
		return
	}
	w.heard[pipe], w.pipes[pipe] = w.pipes[pipe][0], w.pipes[pipe][1:]
	var peers []PeerMessage
	for _, id := range w.ids {
		if m, ok := w.heard[[2]model.EntryID{id, to}]; ok {
			peers = append(peers, PeerMessage{Entry: id, ReceivedAt: w.now, Message: m})
		}
	}
	w.books[to].Receive(peers, w.now)
}

func (w *world) step() {
	a, b := w.entry("a"), w.entry("b")
	switch rapid.IntRange(0, 6).Draw(w.t, "do") {
	case 0:
		if w.running[a] < w.limit(a) {
			w.running[a]++
		}
	case 1:
		w.running[a] = max(0, w.running[a]-1)
	case 2:
		if n := w.limit(a) - w.running[a]; a != b && n > 0 && !w.books[a].IsLent("v") && !w.books[a].IsBorrowed("v") {
			w.books[a].Lend("v", b, n, w.now)
		}
	case 3:
		w.books[a].Recall("v")
	case 4:
		w.tell(a, b)
	case 5: // a quick digest, so that deep histories come up
		w.tell(a, b)
		for len(w.pipes[[2]model.EntryID{a, b}]) > 0 {
			w.hear(a, b)
		}
	default:
		w.hear(a, b)
	}
}

// Four entry VMs lend a target's slots round, while their digests are delayed
// for any time. A slot that its lender takes for returned while the borrower
// still uses it, or may start to, would overrun the target: its runner would
// refuse, or be slowed for all. Whatever the order, the slots hold.
func TestLoansNeverOverrunATarget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &world{t: rt, ids: []model.EntryID{"a", "b", "c", "d"}, books: map[model.EntryID]*Ledger{},
			running: map[model.EntryID]int{}, pipes: map[[2]model.EntryID][]Message{},
			heard: map[[2]model.EntryID]Message{}, now: time.Unix(0, 0)}
		for _, id := range w.ids {
			w.books[id] = NewLedger(id)
		}
		for range rapid.IntRange(10, 200).Draw(rt, "steps") {
			w.step()
			sum := 0
			for _, n := range w.running {
				sum += n
			}
			if sum > worldShare*len(w.ids) {
				rt.Fatalf("%d running of %d slots: %v", sum, worldShare*len(w.ids), w.running)
			}
		}
	})
}

// An entry VM has lent a slot and then borrows another of the same target. Its
// lender takes that back. The borrower is at its share, but one of its
// requests runs on the borrowed slot, as one of its own is lent: if it
// confirmed nothing running, its lender would use the slot as well.
func TestBorrowerThatAlsoLends(t *testing.T) {
	now := time.Unix(0, 0)
	one := func(model.VMID) int { return 1 }
	two := func(model.VMID) int { return 2 }
	a, b := NewLedger("a"), NewLedger("b")
	a.Lend("v", "c", 1, now)
	b.Lend("v", "a", 1, now)
	tell := func(from *Ledger, running func(model.VMID) int) PeerMessage {
		return PeerMessage{Entry: from.self, ReceivedAt: now, Message: from.Message(nil, running, two)}
	}
	a.Receive([]PeerMessage{tell(b, one)}, now)
	assert.Equal(t, a.Limit("v", 2, now), 2)
	b.Recall("v")
	a.Receive([]PeerMessage{tell(b, one)}, now)
	b.Receive([]PeerMessage{tell(a, two)}, now)
	assert.Equal(t, b.Limit("v", 2, now), 1, "still in use by a")
	b.Receive([]PeerMessage{tell(a, one)}, now)
	assert.Equal(t, b.Limit("v", 2, now), 2)
}

// A borrower is replaced, or cut off, while it holds a loan. Its lender gets
// the slot back after LoanLost, and a borrower that no longer hears its lender
// has stopped using it long before.
func TestLoanOfALostPeerComesBack(t *testing.T) {
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
