package jobfront

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/ownerlink"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Report is what is known of a job, for operators.
type Report struct {
	Job  work.JobID `json:"job"`
	Cell string     `json:"cell"` // the service that took it
	// Stored is the end that the store knows; empty while it knows none.
	Stored work.State `json:"stored,omitempty"`
	Ended  time.Time  `json:"ended,omitzero"`
	// Owner is the entry VM that owns the cell; empty: nobody does.
	Owner       string              `json:"owner,omitempty"`
	Explanation *engine.Explanation `json:"explanation,omitempty"`
	// Missing says why there is no explanation.
	Missing string `json:"missing,omitempty"`
}

// Explain says where a job stands and why: by the store, and by its cell's owner
// where that answers.
func (f *Front) Explain(ctx context.Context, id work.JobID) (*Report, error) {
	stub, _, err := f.stored(ctx, id)
	if err != nil {
		return nil, err
	}
	r := &Report{Job: id, Cell: stub.Cell, Stored: stub.State, Ended: stub.Ended}
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
		r.Missing = err.Error()
	}
	return r, nil
}
