package jobfront

import (
	"context"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/ownerlink"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Report is what is known of a job, for operators.
type Report struct {
	Job  work.JobID `json:"job"`
	Cell string     `json:"cell"` // the service that took it
	// StoredState is the end that the store knows; empty while it knows none.
	StoredState work.State `json:"stored,omitempty"`
	Ended  time.Time  `json:"ended,omitzero"`
	// Owner is the entry VM that owns the cell; empty: nobody does.
	Owner       string              `json:"owner,omitempty"`
	Explanation *engine.Explanation `json:"explanation,omitempty"`
	// MissingReason says why there is no explanation.
	MissingReason string `json:"missing,omitempty"`
}

// Explain says where a job stands and why: by the store, and by its cell's owner
// where that answers.
func (f *Front) Explain(ctx context.Context, id work.JobID) (*Report, error) {
	stub, _, err := f.stored(ctx, id)
	if err != nil {
		return nil, err
	}
	r := &Report{Job: id, Cell: stub.Cell, StoredState: stub.State, Ended: stub.Ended}
	if owner, known := f.Owners(stub.Cell); known {
		r.Owner = owner.Entry
	}
	err = f.askOwner(ctx, stub.Cell, func(ctx context.Context, o Owner, p ownerlink.Peer) error {
		ask := func() (engine.Explanation, error) { return f.Link.Explain(ctx, p, id) }
		if o != nil {
			ask = func() (engine.Explanation, error) { return o.Explain(id) }
		}
		e, err := ask()
		if err == nil {
			r.Explanation = &e
		}
		return err
	})
	if err != nil {
		r.MissingReason = err.Error()
	}
	return r, nil
}

// CellReport is what is known of a cell, for operators.
type CellReport struct {
	Cell    string          `json:"cell"`
	Owner   string          `json:"owner,omitempty"` // empty: nobody
	Summary *engine.Summary `json:"summary,omitempty"`
	MissingReason string          `json:"missing,omitempty"` // why there is no summary
}

// Cells says how each cell stands, in the order given.
func (f *Front) Cells(ctx context.Context, cells []string) []CellReport {
	out := make([]CellReport, len(cells))
	var asks sync.WaitGroup
	for i, cell := range cells {
		asks.Go(func() { out[i] = f.cell(ctx, cell) })
	}
	asks.Wait()
	return out
}

func (f *Front) cell(ctx context.Context, cell string) CellReport {
	r := CellReport{Cell: cell}
	if owner, known := f.Owners(cell); known {
		r.Owner = owner.Entry
	}
	err := f.askOwner(ctx, cell, func(ctx context.Context, o Owner, p ownerlink.Peer) error {
		ask := func() (engine.Summary, error) { return f.Link.Summary(ctx, p) }
		if o != nil {
			ask = o.Summary
		}
		s, err := ask()
		if err == nil {
			r.Summary = &s
		}
		return err
	})
	if err != nil {
		r.MissingReason = err.Error()
	}
	return r
}
