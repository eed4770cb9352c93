package jobfront

import (
	"context"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/ownerlink"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Report explains a job's state to operators.
type Report struct {
	Job  work.JobID `json:"job"`
	Cell string     `json:"cell"` // the service whose cell accepted it
	// StoredState is the job's final state in the store; empty while it has none.
	StoredState work.State `json:"stored,omitempty"`
	Ended       time.Time  `json:"ended,omitzero"`
	// Owner is the entry VM that owns the cell; empty: none does.
	Owner       string              `json:"owner,omitempty"`
	Explanation *engine.Explanation `json:"explanation,omitempty"`
	// MissingReason tells why there is no Explanation.
	MissingReason string `json:"missing,omitempty"`
}

// Explain reports a job's state and its reasons, as far as the store and the cell's owner know
// them. The error is ErrUnknownJob, or a *Refusal if the store does not answer; if only the
// owner does not answer, the report tells why in MissingReason.
func (f *Front) Explain(ctx context.Context, id work.JobID) (*Report, error) {
	stub, _, err := f.readStub(ctx, id)
	if err != nil {
		return nil, err
	}
	r := &Report{Job: id, Cell: stub.Cell, StoredState: stub.State, Ended: stub.Ended}
	if owner, known := f.Owners(stub.Cell); known {
		r.Owner = owner.Entry
	}
	err = f.callOwner(ctx, stub.Cell, func(ctx context.Context, o Owner, p ownerlink.Peer) error {
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

// CellReport summarizes a cell for operators.
type CellReport struct {
	Cell          string          `json:"cell"`
	Owner         string          `json:"owner,omitempty"` // entry VM; empty: none
	Summary       *engine.Summary `json:"summary,omitempty"`
	MissingReason string          `json:"missing,omitempty"` // why there is no Summary
}

// Cells reports on each cell, in the order given. All owners are asked at the same time.
func (f *Front) Cells(ctx context.Context, cells []string) []CellReport {
	out := make([]CellReport, len(cells))
	var calls sync.WaitGroup
	for i, cell := range cells {
		calls.Go(func() { out[i] = f.reportCell(ctx, cell) })
	}
	calls.Wait()
	return out
}

func (f *Front) reportCell(ctx context.Context, cell string) CellReport {
	r := CellReport{Cell: cell}
	if owner, known := f.Owners(cell); known {
		r.Owner = owner.Entry
	}
	err := f.callOwner(ctx, cell, func(ctx context.Context, o Owner, p ownerlink.Peer) error {
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
