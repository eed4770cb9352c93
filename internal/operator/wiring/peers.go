package wiring

import (
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/query"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Mesh tells of the peers heard.
type Mesh interface {
	Peers() []peer.Status
}

// Peers is a query.Peers by the mesh.
type Peers struct {
	Record view.EntryRecord // of this entry VM
	Mesh   Mesh
	View   *view.Holder
	Clock  clockwork.Clock
}

var _ query.Peers = Peers{}

// Self implements query.Peers.
func (p Peers) Self() model.EntryID { return p.Record.ID }

// Heard implements query.Peers.
func (p Peers) Heard() []query.PeerHeard {
	s := p.View.Load()
	heard := []query.PeerHeard{{
		Entry: p.Record.ID, Zone: p.Record.Zone, At: p.Clock.Now(), Generation: s.Generation(), Revision: s.Revision,
	}}
	for _, st := range p.Mesh.Peers() {
		heard = append(heard, query.PeerHeard{
			Entry: st.Entry, Zone: st.Zone, At: st.LastSeen, Generation: st.Generation, Revision: st.Revision,
		})
	}
	return heard
}
