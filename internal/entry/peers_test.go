package entry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/faketarget"
	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// A target reboots while a spare connection to it is kept. The connection must
// not be used: the request on it would be lost, its outcome unknown.
func TestSpareConnectionOfARebootedTarget(t *testing.T) {
	s := newIdleStage(t, 1, faketarget.Options{}, nil)
	for range 20 {
		assert.Equal(t, s.do("GET", "/services/tabulation/x", "").outcome, Ran)
		waitFor(t, func() bool { return s.server.forward.spares.ready() == 1 })
		assert.NilError(t, s.targets[0].Reboot())
		waitFor(t, func() bool { return s.server.forward.spares.broken() })
	}
	assert.Equal(t, s.do("GET", "/services/tabulation/x", "").outcome, Ran)
}

func (s *spares) ready() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// broken reports whether every spare connection was seen to be closed.
func (s *spares) broken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sp := range s.conns {
		if untouched(sp.conn) {
			return false
		}
	}
	return true
}

// zoneLoads hears some zones only.
type zoneLoads struct {
	fakeLoads
	heard   map[model.ZoneName]int
	digests []peer.PeerDigest
}

// LiveEntries implements peer.Loads.
func (l *zoneLoads) LiveEntries(z model.ZoneName) int { return l.heard[z] }

// PeerDigests implements peer.DigestSource.
func (l *zoneLoads) PeerDigests() []peer.PeerDigest { return l.digests }

// Zones are cut off from each other, and from the store or not. A target's
// slots must all be used in its own zone where nobody else can use them, and
// must not be used twice where both sides can.
func TestWhoSharesTheSlots(t *testing.T) {
	both := map[model.ZoneName]int{"z1": 2, "z2": 2}
	cases := []struct {
		name  string
		heard map[model.ZoneName]int
		age   time.Duration // of the view
		limit int           // of one target of eight slots, at one of four entry VMs
	}{
		{"all heard", both, 0, 2},
		{"all heard, store down", both, time.Hour, 2},
		{"other zone not heard, store says that it lives", map[model.ZoneName]int{"z1": 2}, 0, 2},
		{"other zone cut off, store too", map[model.ZoneName]int{"z1": 2}, time.Hour, 4},
		{"alone", map[model.ZoneName]int{"z1": 1}, time.Hour, 8},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			loads := &zoneLoads{heard: tc.heard}
			s := newIdleStage(t, 1, faketarget.Options{}, func(o *Options) { o.Loads = loads })
			s.publish(2, func(v *view.Snapshot) {
				v.AsOf = s.clock.Now().Add(-tc.age)
				for i := range 4 {
					zone := model.ZoneName(fmt.Sprint("z", i%2+1))
					v.Entries = append(v.Entries, view.EntryRecord{ID: model.EntryID(fmt.Sprint("e", i+1)), Zone: zone})
				}
			})
			s.clock.Advance(2 * entriesEvery)
			s.server.dispatch.tick()
			assert.Equal(t, s.server.dispatch.states()[0].Limit, tc.limit)
		})
	}
}

// What an entry VM lends and borrows goes through digests and back.
func TestLendingThroughDigests(t *testing.T) {
	loads := &zoneLoads{heard: map[model.ZoneName]int{"z1": 2}}
	s := newIdleStage(t, 4, faketarget.Options{}, func(o *Options) { o.Loads = loads })
	s.publish(2, func(v *view.Snapshot) {
		v.AsOf = s.clock.Now()
		v.Entries = []view.EntryRecord{{ID: "e1", Zone: "z1"}, {ID: "e2", Zone: "z1"}}
	})
	say := func(d peer.Digest) {
		d.Entry, d.Zone = "e2", "z1"
		loads.digests = []peer.PeerDigest{{Digest: d, Heard: s.clock.Now()}}
		s.server.dispatch.tick()
	}
	say(peer.Digest{Wants: []peer.SlotWant{{Service: "tabulation", Slots: 3}}})
	var told peer.Digest
	s.server.FillDigest(&told)
	lent := 0
	for _, l := range told.Loans {
		assert.Equal(t, l.To, model.EntryID("e2"))
		lent += int(l.Slots)
	}
	assert.Equal(t, lent, 3)

	say(peer.Digest{Loans: []peer.SlotLoan{{VM: "v3", To: "e1", Slots: 2, Version: 9}}})
	assert.Equal(t, s.server.dispatch.states()[3].Limit, 6)
	s.server.FillDigest(&told)
	assert.DeepEqual(t, told.Borrowed, []peer.SlotBorrow{{VM: "v3", From: "e2", Version: 9}})
}
