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

// A target reboots while a spare connection to it is open. The connection must
// not be used: a request on it would be lost, with its outcome unknown.
func TestSpareConnectionOfARebootedTarget(t *testing.T) {
	s := newIdleTestEnv(t, 1, faketarget.Options{}, nil)
	for range 20 {
		assert.Equal(t, s.do("GET", "/services/tabulation/x", "").outcome, Ran)
		waitFor(t, func() bool { return s.server.forward.spares.ready() == 1 })
		assert.NilError(t, s.targets[0].Reboot())
		waitFor(t, func() bool { return s.server.forward.spares.broken() })
	}
	assert.Equal(t, s.do("GET", "/services/tabulation/x", "").outcome, Ran)
}

// ready returns the number of spare connections.
func (s *spareConns) ready() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// broken reports whether every spare connection was seen to be closed.
func (s *spareConns) broken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sp := range s.conns {
		if isIdle(sp.conn) {
			return false
		}
	}
	return true
}

// zoneLoads is a fakeLoads with a number of live entry VMs per zone.
type zoneLoads struct {
	fakeLoads
	liveEntries map[model.ZoneName]int
	digests     []peer.PeerDigest
}

// LiveEntries implements peer.Loads.
func (l *zoneLoads) LiveEntries(z model.ZoneName) int { return l.liveEntries[z] }

// PeerDigests implements peer.DigestSource.
func (l *zoneLoads) PeerDigests() []peer.PeerDigest { return l.digests }

// Zones are cut off from each other, with or without access to the store. All
// slots of a target must be usable in its own zone if no other zone can use them,
// and must not be used twice if both sides can.
func TestSlotShareWhenZonesAreCutOff(t *testing.T) {
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
			loads := &zoneLoads{liveEntries: tc.heard}
			s := newIdleTestEnv(t, 1, faketarget.Options{}, func(o *Options) { o.Loads = loads })
			s.publish(2, func(v *view.Snapshot) {
				v.AsOf = s.clock.Now().Add(-tc.age)
				for i := range 4 {
					zone := model.ZoneName(fmt.Sprint("z", i%2+1))
					v.Entries = append(v.Entries, view.EntryRecord{ID: model.EntryID(fmt.Sprint("e", i+1)), Zone: zone})
				}
			})
			s.clock.Advance(2 * entriesRefreshInterval)
			s.server.dispatch.tick()
			assert.Equal(t, s.server.dispatch.states()[0].Limit, tc.limit)
		})
	}
}

// Slots that entry VMs lend, borrow and need must be exchanged correctly through
// digests in both directions.
func TestLendingThroughDigests(t *testing.T) {
	loads := &zoneLoads{liveEntries: map[model.ZoneName]int{"z1": 2}}
	s := newIdleTestEnv(t, 4, faketarget.Options{}, func(o *Options) { o.Loads = loads })
	s.publish(2, func(v *view.Snapshot) {
		v.AsOf = s.clock.Now()
		v.Entries = []view.EntryRecord{{ID: "e1", Zone: "z1"}, {ID: "e2", Zone: "z1"}}
	})
	receive := func(d peer.Digest) {
		d.Entry, d.Zone = "e2", "z1"
		loads.digests = []peer.PeerDigest{{Digest: d, ReceivedAt: s.clock.Now()}}
		s.server.dispatch.tick()
	}
	receive(peer.Digest{Demands: []peer.SlotDemand{{Service: "tabulation", Slots: 3}}})
	var sent peer.Digest
	s.server.FillDigest(&sent)
	lent := 0
	for _, l := range sent.Loans {
		assert.Equal(t, l.To, model.EntryID("e2"))
		lent += int(l.Slots)
	}
	assert.Equal(t, lent, 3)

	receive(peer.Digest{Loans: []peer.SlotLoan{{VM: "v3", To: "e1", Slots: 2, Version: 9}}})
	assert.Equal(t, s.server.dispatch.states()[3].Limit, 6)
	s.server.FillDigest(&sent)
	assert.DeepEqual(t, sent.Borrowed, []peer.SlotBorrow{{VM: "v3", From: "e2", Version: 9}})
}
