package entry

import (
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
	loads  peer.Loads
	detail peer.LoadDetail // nil where loads has none
	buffer []slots.PeerLoad
}

func newPeers(l peer.Loads) *peers {
	detail, _ := l.(peer.LoadDetail)
	return &peers{loads: l, detail: detail}
}

// InFlight implements dispatch.Peers.
func (p *peers) InFlight(vm model.VMID) int { return p.loads.PeerInFlight(vm) }

// Leaving implements dispatch.Peers.
func (p *peers) Leaving(vm model.VMID) bool { return p.loads.PeerSaysLeaving(vm) }

// At implements dispatch.Peers.
func (p *peers) At(vm model.VMID) []slots.PeerLoad {
	if p.detail == nil {
		return nil
	}
	p.buffer = p.buffer[:0]
	for _, l := range p.detail.PeerLoads(vm) {
		p.buffer = append(p.buffer, slots.PeerLoad{
			Entry: l.Entry, Heard: l.Heard, InFlight: int(l.InFlight),
			Want: int(l.Want), LentTo: l.LentTo, Lent: int(l.Lent),
		})
	}
	return p.buffer
}

// Loads returns what this entry VM has at each target, for its digest.
func (s *Server) Loads() []peer.TargetLoad {
	states := s.dispatch.states()
	loads := make([]peer.TargetLoad, 0, len(states))
	for _, st := range states {
		loads = append(loads, peer.TargetLoad{
			VM: st.VM, InFlight: uint16(st.InFlight), Leaving: st.Leaving, Ejected: st.Ejected,
			Want: uint8(min(st.Want, 255)), LentTo: st.LentTo, Lent: uint8(min(st.Lent, 255)),
		})
	}
	slices.SortFunc(loads, func(a, b peer.TargetLoad) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return loads
}

// Queued returns the requests that wait for a slot, for the digest.
func (s *Server) Queued() int { return s.dispatch.queued() }
