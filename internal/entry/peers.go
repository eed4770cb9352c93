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
	// entriesEvery is how often the live entry VMs are looked at where the
	// snapshot stays: the time in which peers' digests tell who is alive.
	entriesEvery = time.Second
	// viewFresh is how old a view may be to tell that an entry VM lives that
	// is not heard: a lease in the store lapses sooner.
	viewFresh = 15 * time.Second
)

// liveEntries returns the entry VMs among which slots are divided: those
// registered in the view, this one in any case. An entry VM of a zone that is
// not heard keeps its share while the store tells that it lives: where only the
// links between entry VMs are cut, both sides would otherwise use its slots.
// Where the view is stale as well, the zone is cut off from this one, and its
// share is taken over, so that a cut-off zone has all slots of its own targets.
func (d *dispatcher) liveEntries(snap *view.Snapshot, now time.Time) []slots.Entry {
	live := []slots.Entry{{ID: d.self, Zone: d.zone}}
	fresh := now.Sub(snap.AsOf) < viewFresh
	for _, e := range snap.Entries {
		if e.ID == d.self {
			continue
		}
		if fresh || d.heard(e.Zone) {
			live = append(live, slots.Entry{ID: e.ID, Zone: e.Zone})
		}
	}
	slices.SortFunc(live, compareEntries)
	return live
}

// heard reports whether any peer of the zone is alive.
func (d *dispatcher) heard(zone model.ZoneName) bool {
	if d.loads == nil {
		return true
	}
	alive := d.loads.LiveEntries(zone)
	if zone == d.zone {
		alive-- // this one
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

// peers shows the peers' digests to policy.
type peers struct {
	loads   peer.Loads
	digests peer.DigestSource // nil where loads shows none
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
		all = append(all, slots.PeerMessage{Entry: d.Entry, ReceivedAt: d.Heard, Message: messageOf(d.Digest)})
	}
	return all
}

func messageOf(d peer.Digest) slots.Message {
	var m slots.Message
	for _, w := range d.Wants {
		m.Demands = append(m.Demands, slots.Demand{Service: w.Service, Slots: int(w.Slots)})
	}
	for _, l := range d.Loans {
		m.Loans = append(m.Loans, slots.Loan{VM: l.VM, To: l.To, Slots: int(l.Slots), Version: l.Version})
	}
	for _, b := range d.Borrowed {
		m.Borrowed = append(m.Borrowed, slots.Borrow{VM: b.VM, From: b.From, InUse: int(b.Using), Version: b.Version})
	}
	return m
}

// FillDigest sets what this entry VM tells its peers of its requests.
func (s *Server) FillDigest(d *peer.Digest) {
	d.Loads = s.Loads()
	d.Queued = uint32(s.Queued())
	m := s.dispatch.lending()
	d.Wants, d.Loans, d.Borrowed = nil, nil, nil
	for _, w := range m.Demands {
		d.Wants = append(d.Wants, peer.SlotWant{Service: w.Service, Slots: uint16(min(w.Slots, math.MaxUint16))})
	}
	for _, l := range m.Loans {
		d.Loans = append(d.Loans, peer.SlotLoan{VM: l.VM, To: l.To, Slots: uint8(min(l.Slots, math.MaxUint8)), Version: l.Version})
	}
	for _, b := range m.Borrowed {
		d.Borrowed = append(d.Borrowed, peer.SlotBorrow{VM: b.VM, From: b.From, Using: uint8(min(b.InUse, math.MaxUint8)), Version: b.Version})
	}
}

// Loads returns what this entry VM has at each target, for its digest.
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

// Queued returns the requests that wait for a slot, for the digest.
func (s *Server) Queued() int { return s.dispatch.queued() }
