package wiring

import (
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/query"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Mesh returns the status of each peer entry VM from which messages arrived.
type Mesh interface {
	Peers() []peer.Status
}

// Peers implements query.Peers with the mesh and the view of this entry VM.
type Peers struct {
	Record view.EntryRecord // of this entry VM
	Mesh   Mesh
	View   *view.Holder
	Clock  clockwork.Clock
}

var _ query.Peers = Peers{}

// Self implements query.Peers.
func (p Peers) Self() model.EntryID { return p.Record.ID }

// Statuses implements query.Peers. The first element is this entry VM itself.
func (p Peers) Statuses() []query.PeerStatus {
	s := p.View.Load()
	heard := []query.PeerStatus{{
		Entry: p.Record.ID, Zone: p.Record.Zone, LastHeard: p.Clock.Now(), Generation: s.Generation(), Revision: s.Revision,
	}}
	for _, st := range p.Mesh.Peers() {
		heard = append(heard, query.PeerStatus{
			Entry: st.Entry, Zone: st.Zone, LastHeard: st.LastHeard, Generation: st.Generation, Revision: st.Revision,
		})
	}
	return heard
}
