package config

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// maxEditAttempts bounds how often Edit applies an edit that meets conflicts.
const maxEditAttempts = 5

// Edit changes the declaration in force. It passes a copy to edit, whose error
// is returned unchanged, and applies the result. Unlike Apply, it repeats the
// edit on the new declaration if another change was committed first, so that
// an edit of one key does not undo the other change. With IfRevision set, a
// conflict is returned at once. Other errors are those of Apply.
func Edit(ctx context.Context, store infra.Store, opts ApplyOptions, edit func(*model.Declaration) error) (ApplyResult, error) {
	var last error
	for range maxEditAttempts {
		current, _, err := Read(ctx, store)
		if err != nil {
			return ApplyResult{}, err
		}
		if res, ok := earlierResult(current, opts.Change); ok {
			return res, nil
		}
		base := newestDeclaration(current, opts.InForce)
		if base == nil {
			return ApplyResult{}, trace.Wrap(&InvalidError{Problems: []Problem{{Given: "no declaration in force", Expected: "one to be applied first"}}})
		}
		next := cloneDeclaration(base)
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

// cloneDeclaration copies d and the slices that an edit may write to.
func cloneDeclaration(d *model.Declaration) *model.Declaration {
	c := *d
	c.Services = append([]model.Service{}, d.Services...)
	c.Waves = append([]model.Wave{}, d.Waves...)
	c.Teams = append([]model.Team{}, d.Teams...)
	c.Pools = append([]model.Pool{}, d.Pools...)
	c.VMs = append([]model.VMDecl{}, d.VMs...)
	return &c
}
