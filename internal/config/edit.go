package config

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// editTries bounds how often an edit is made anew on top of a rival's change.
const editTries = 5

// Edit changes the declaration in force by edit, which gets a copy of it and
// may refuse by an error that is passed on as it is. Unlike Apply it is made
// anew on top of a change that came first: an edit of one key does not undo
// the rest of a rival's.
func Edit(ctx context.Context, store infra.Store, opts ApplyOptions, edit func(*model.Declaration) error) (ApplyResult, error) {
	var last error
	for range editTries {
		current, _, err := Read(ctx, store)
		if err != nil {
			return ApplyResult{}, err
		}
		if res, ok := repeated(current, opts.Change); ok {
			return res, nil
		}
		base := newest(current, opts.InForce)
		if base == nil {
			return ApplyResult{}, trace.Wrap(&InvalidError{Problems: []Problem{{Given: "no declaration in force", Expected: "one to be applied first"}}})
		}
		next := clone(base)
		if err := edit(next); err != nil {
			return ApplyResult{}, err
		}
		opts.IfGeneration = &base.Generation
		res, err := Apply(ctx, store, next, opts)
		var conflict *ConflictError
		if !errors.As(err, &conflict) || opts.IfRevision != 0 {
			return res, err
		}
		last = err
	}
	return ApplyResult{}, last
}

// clone copies what an edit may write to.
func clone(d *model.Declaration) *model.Declaration {
	c := *d
	c.Services = append([]model.Service{}, d.Services...)
	c.Waves = append([]model.Wave{}, d.Waves...)
	c.Teams = append([]model.Team{}, d.Teams...)
	c.Pools = append([]model.Pool{}, d.Pools...)
	c.VMs = append([]model.VMDecl{}, d.VMs...)
	return &c
}
