package adapt

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/query"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Waves is a query.Waves.
type Waves struct {
	Fleet *fleet.Fleet
}

var _ query.Waves = Waves{}

// Waves implements query.Waves.
func (w Waves) Waves(ctx context.Context) ([]query.WaveStatus, error) {
	started, err := w.Fleet.WaveStatuses(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	all := make([]query.WaveStatus, 0, len(started))
	for _, s := range started {
		all = append(all, waveStatus(s))
	}
	return all, nil
}

func waveStatus(s fleet.WaveStatus) query.WaveStatus {
	reason := s.Hold
	if reason == "" {
		reason = s.Record.Reason
	}
	return query.WaveStatus{
		Name:     s.Record.Name,
		State:    string(s.Record.State),
		Pools:    s.Record.Pools,
		Total:    s.Progress.Total,
		Done:     s.Progress.Done,
		Out:      s.Progress.Out,
		Failed:   s.Progress.Failed,
		Reason:   reason,
		Started:  s.Record.Started,
		Ended:    s.Record.Ended,
		Forecast: s.Forecast,
		By:       s.Record.Actor,
		Change:   s.Record.Change,
	}
}

// Peers is a query.Peers.
type Peers struct {
	ID   model.EntryID
	Zone model.ZoneName
	View *view.Holder
	Mesh *peer.Mesh
}

var _ query.Peers = Peers{}

// Self implements query.Peers.
func (p Peers) Self() model.EntryID { return p.ID }

// Heard implements query.Peers.
func (p Peers) Heard() []query.PeerHeard {
	own := p.View.Load()
	heard := []query.PeerHeard{{Entry: p.ID, Zone: p.Zone, At: time.Now(), Generation: own.Generation(), Revision: own.Revision}}
	for _, s := range p.Mesh.Peers() {
		heard = append(heard, query.PeerHeard{Entry: s.Entry, Zone: s.Zone, At: s.Heard, Generation: s.Generation, Revision: s.Revision})
	}
	return heard
}
