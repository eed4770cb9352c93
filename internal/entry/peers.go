package entry

import (
	"math"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/slots"
)

const (
	// entriesRefreshInterval is how often the live entry VMs are computed again
	// while the snapshot does not change. Peers' digests show within this time
	// which entry VMs are alive.
	entriesRefreshInterval = time.Second
	// maxViewAge is the maximum age of a view that counts as evidence that an
	// entry VM is alive although no digest from its zone arrives. It is longer
	// than the time after which a lease in the store expires.
	maxViewAge = 15 * time.Second
)

// liveEntries returns the entry VMs among which slots are divided, ordered by
// ID: this one and those registered in the view. An entry VM of a zone from which
// no digests arrive keeps its share while the store shows it as alive: if only
// the links between entry VMs are cut, both sides would otherwise use its slots.
// If the view is stale as well, that zone is cut off from this one and its share
// is taken over, so that a cut-off zone can use all slots of its own targets.
func (d *dispatcher) liveEntries(snap *view.Snapshot, now time.Time) []slots.Entry {
	live := []slots.Entry{{ID: d.self, Zone: d.zone}}
	fresh := now.Sub(snap.AsOf) < maxViewAge
	for _, e := range snap.Entries {
		if e.ID == d.self {
			continue
		}
		if fresh || d.hearsZone(e.Zone) {
			live = append(live, slots.Entry{ID: e.ID, Zone: e.Zone})
		}
	}
	slices.SortFunc(live, compareEntries)
	return live
}

// hearsZone reports whether digests arrive from any peer in the zone. Without
// peers' loads it always reports true.
func (d *dispatcher) hearsZone(zone model.ZoneName) bool {
	if d.loads == nil {
		return true
	}
	alive := d.loads.LiveEntries(zone)
	if zone == d.zone {
		alive-- // LiveEntries counts this entry VM as well
	}
	return alive > 0
}

func compareEntries(a, b slots.Entry) int {
	switch {
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	}
	return 0
}

func sameEntries(a, b []slots.Entry) bool { return slices.Equal(a, b) }

// peers implements dispatch.Peers with the digests received from peers.
type peers struct {
	loads   peer.Loads
	digests peer.DigestSource // nil if loads provides no digests
}

func newPeers(l peer.Loads) *peers {
	digests, _ := l.(peer.DigestSource)
	return &peers{loads: l, digests: digests}
}

// InFlight implements dispatch.Peers.
func (p *peers) InFlight(vm model.VMID) int { return p.loads.PeerInFlight(vm) }

// Leaving implements dispatch.Peers.
func (p *peers) Leaving(vm model.VMID) bool { return p.loads.PeerSaysLeaving(vm) }

// LendingMessages implements dispatch.Peers.
func (p *peers) LendingMessages() []slots.PeerMessage {
	if p.digests == nil {
		return nil
	}
	var all []slots.PeerMessage
	for _, d := range p.digests.PeerDigests() {
		all = append(all, slots.PeerMessage{Entry: d.Entry, ReceivedAt: d.ReceivedAt, Message: messageOf(d.Digest)})
	}
	return all
}

// messageOf converts a peer's digest to the slot lending message in it.
func messageOf(d peer.Digest) slots.Message {
	var m slots.Message
	for _, w := range d.Demands {
		m.Demands = append(m.Demands, slots.Demand{Service: w.Service, Slots: int(w.Slots)})
	}
	for _, l := range d.Loans {
		m.Loans = append(m.Loans, slots.Loan{VM: l.VM, To: l.To, Slots: int(l.Slots), Version: l.Version})
	}
	for _, b := range d.Borrowed {
		m.Borrowed = append(m.Borrowed, slots.Borrow{VM: b.VM, From: b.From, InUse: int(b.InUse), Version: b.Version})
	}
	return m
}

// FillDigest sets the fields of d that describe this entry VM's requests and the
// slots that it lends, borrows and needs.
func (s *Server) FillDigest(d *peer.Digest) {
	d.Loads = s.Loads()
	d.Queued = uint32(s.Queued())
	m := s.dispatch.lendingMessage()
	d.Demands, d.Loans, d.Borrowed = nil, nil, nil
	for _, w := range m.Demands {
		d.Demands = append(d.Demands, peer.SlotDemand{Service: w.Service, Slots: uint16(min(w.Slots, math.MaxUint16))})
	}
	for _, l := range m.Loans {
		d.Loans = append(d.Loans, peer.SlotLoan{VM: l.VM, To: l.To, Slots: uint8(min(l.Slots, math.MaxUint8)), Version: l.Version})
	}
	for _, b := range m.Borrowed {
		d.Borrowed = append(d.Borrowed, peer.SlotBorrow{VM: b.VM, From: b.From, InUse: uint8(min(b.InUse, math.MaxUint8)), Version: b.Version})
	}
}

// Loads returns this entry VM's requests in flight at each target, and whether it
// considers the target leaving or ejected.
func (s *Server) Loads() []peer.TargetLoad {
	states := s.dispatch.states()
	loads := make([]peer.TargetLoad, 0, len(states))
	for _, st := range states {
		loads = append(loads, peer.TargetLoad{
			VM: st.VM, InFlight: uint16(st.InFlight), Leaving: st.Leaving, Ejected: st.Ejected,
		})
	}
	return loads
}

// Queued returns the number of requests that wait for a slot.
func (s *Server) Queued() int { return s.dispatch.queued() }
