package wiring

import (
	"context"

	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/query"
)

// Waves implements query.Waves with the reconciler of this entry VM.
type Waves struct {
	Fleet *fleet.Fleet
}

var _ query.Waves = Waves{}

// Waves implements query.Waves.
func (w Waves) Waves(ctx context.Context) ([]query.WaveStatus, error) {
	statuses, err := w.Fleet.WaveStatuses(ctx)
	if err != nil {
		return nil, err
	}
	found := make([]query.WaveStatus, len(statuses))
	for i, s := range statuses {
		r := s.Record
		startedBy := r.StartedBy
		if startedBy == "" && r.Change == r.Run {
			startedBy = r.Actor
		}
		found[i] = query.WaveStatus{
			Name: r.Name, State: string(r.State), Pools: r.Pools,
			Total: s.Progress.Total, Done: s.Progress.Done, OutOfService: s.Progress.Out, Failed: s.Progress.Failed,
			Reason: s.BlockReason, Started: r.Started, Ended: r.Ended, Forecast: s.Forecast,
			StartedBy: startedBy, Run: r.Run, Actor: r.Actor, Change: r.Change,
		}
	}
	return found, nil
}
