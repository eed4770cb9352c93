package config

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// ApplyOptions identifies a change of the declaration and sets its
// preconditions.
type ApplyOptions struct {
	Change model.ChangeID // makes repeats idempotent: the same ID is the same change
	By     string         // the operator
	From   string         // the address that the request came from
	At     time.Time

	// IfGeneration is the generation that must be in force, or the change is
	// refused. Nil accepts any.
	IfGeneration *uint64
	// IfRevision is the revision that the store's key must have, or the change
	// is refused. 0 accepts any.
	IfRevision infra.Revision
	// ConfirmRemoval allows removals that break a budget.
	ConfirmRemoval bool
	// DryRun makes every check and computes the result, but writes nothing.
	DryRun bool

	// InForce is the declaration that this entry VM uses. It is newer than the
	// stored one if the store was restored from an old backup. Nil if there is
	// none.
	InForce *model.Declaration
	// Live holds the current pool and state of VMs, for the check of removals.
	// VMs not in it count as available in their declared pool.
	Live map[model.VMID]model.VM
}

// ApplyResult is the outcome of an accepted change or a dry run.
type ApplyResult struct {
	Generation  uint64 // of the change, or the one that it would get in a dry run
	Revision    infra.Revision
	Differences []Difference // from the replaced declaration to the new one
	Unchanged   bool         // the declaration in force is the same; no generation was made
	Repeated    bool         // a change with this ID was accepted earlier
	Current     uint64       // the generation in force; above Generation if another change followed
	// Broken lists the budgets that the removals break. It is empty unless the
	// change is a dry run or has ConfirmRemoval set.
	Broken []BrokenBudget
}

// Apply stores d as the declaration in force, with the next generation. It
// returns *InvalidError, *ConflictError, *RemovalError, *UnavailableError or
// *CorruptError if d was not applied, and *UnknownError if it may or may not
// have been.
func Apply(ctx context.Context, store infra.Store, d *model.Declaration, opts ApplyOptions) (ApplyResult, error) {
	if problems := Validate(d); len(problems) > 0 {
		return ApplyResult{}, trace.Wrap(&InvalidError{Problems: problems})
	}
	current, rev, err := Read(ctx, store)
	if err != nil {
		return ApplyResult{}, err
	}
	if res, ok := earlierResult(current, opts.Change); ok {
		return res, nil
	}
	base := newestDeclaration(current, opts.InForce)
	if opts.IfRevision != 0 && opts.IfRevision != rev {
		return ApplyResult{}, trace.Wrap(newConflictError(current, base, d))
	}
	broken := BrokenByRemoval(base, d, opts.Live)
	if err := checkPreconditions(current, base, d, broken, opts); err != nil {
		return ApplyResult{}, err
	}
	res := ApplyResult{Differences: Diff(base, d), Broken: broken}
	if len(res.Differences) == 0 && current != nil && base.Generation == current.Generation {
		res.Unchanged, res.Generation, res.Current, res.Revision = true, base.Generation, base.Generation, rev
		return res, nil
	}
	next := nextStored(current, base, d, opts)
	res.Generation, res.Current = next.Generation, next.Generation
	if opts.DryRun {
		return res, nil
	}
	return commit(ctx, store, next, rev, res)
}

// earlierResult returns the result of change if it was accepted before and is
// among the recent changes.
func earlierResult(current *Stored, change model.ChangeID) (ApplyResult, bool) {
	if current == nil || change == "" {
		return ApplyResult{}, false
	}
	earlier, ok := current.find(change)
	return ApplyResult{Generation: earlier.Generation, Current: current.Generation, Repeated: true}, ok
}

// newestDeclaration returns the declaration that a change is based on. An entry
// VM never adopts a lower generation, so inForce wins if its generation is
// above the stored one, as after the store was restored from an old backup.
func newestDeclaration(current *Stored, inForce *model.Declaration) *model.Declaration {
	if current == nil {
		return inForce
	}
	if inForce != nil && inForce.Generation > current.Generation {
		return inForce
	}
	return &current.Declaration
}

func checkPreconditions(current *Stored, base, d *model.Declaration, broken []BrokenBudget, opts ApplyOptions) error {
	if want := opts.IfGeneration; want != nil && *want != generationOf(base) {
		return trace.Wrap(newConflictError(current, base, d))
	}
	if len(broken) > 0 && !opts.ConfirmRemoval && !opts.DryRun {
		return trace.Wrap(&RemovalError{Broken: broken})
	}
	return nil
}

// newConflictError describes the declaration in force and how d differs from
// it. The record of the winning change is incomplete if the store does not
// hold that generation.
func newConflictError(current *Stored, base, d *model.Declaration) *ConflictError {
	e := &ConflictError{Winner: Applied{Generation: generationOf(base)}, Differences: Diff(base, d)}
	if current != nil && current.Generation == generationOf(base) {
		e.Winner = current.Last()
	}
	return e
}

// generationOf returns the generation of d, or 0 if d is nil, which stands for no
// declaration.
func generationOf(d *model.Declaration) uint64 {
	if d == nil {
		return 0
	}
	return d.Generation
}

// nextStored returns the value to store for d, with the next generation and the
// record of the replaced change.
func nextStored(current *Stored, base, d *model.Declaration, opts ApplyOptions) *Stored {
	next := &Stored{Declaration: *d, By: opts.By, From: opts.From, At: opts.At}
	next.Generation = generationOf(base) + 1
	next.Change = opts.Change
	if current != nil {
		next.Recent = append(append(next.Recent, current.Recent...), current.Last())
	}
	if excess := len(next.Recent) - maxRecentChanges; excess > 0 {
		next.Recent = next.Recent[excess:]
	}
	return next
}

func commit(ctx context.Context, store infra.Store, next *Stored, rev infra.Revision, res ApplyResult) (ApplyResult, error) {
	value, err := Encode(next)
	if err != nil {
		return ApplyResult{}, err
	}
	done, err := infra.Commit(ctx, store, infra.Txn{
		If:   []infra.Cond{{Key: infra.ConfigKey, ModRevision: rev}},
		Then: []infra.Op{infra.Put(infra.ConfigKey, value)},
	})
	if err == nil && !done.Superseded {
		res.Revision = done.Revision
		return res, nil
	}
	if err == nil {
		return supersededResult(ctx, store, res), nil
	}
	if infra.IsKind(err, infra.KindConflict) || infra.IsKind(err, infra.KindUnknown) {
		return resolveUncertainCommit(ctx, store, next, err)
	}
	return ApplyResult{}, trace.Wrap(&UnavailableError{Err: err})
}

// supersededResult returns the result of a change that took effect and was
// replaced before its commit was confirmed. Current is the generation in force
// if it can be read, and the change's own otherwise.
func supersededResult(ctx context.Context, store infra.Store, res ApplyResult) ApplyResult {
	current, _, err := Read(ctx, store)
	if err != nil || current == nil {
		return res
	}
	res.Current = current.Generation
	return res
}

// resolveUncertainCommit reads the store to find out whether a change took
// effect whose commit met a conflict or has an unknown outcome. A change that
// took effect is the stored one or among its recent ones, whoever has written
// since.
func resolveUncertainCommit(ctx context.Context, store infra.Store, next *Stored, cause error) (ApplyResult, error) {
	current, _, err := Read(ctx, store)
	if err != nil {
		return ApplyResult{}, trace.Wrap(&UnknownError{Change: next.Change, Err: cause})
	}
	if res, ok := earlierResult(current, next.Change); ok {
		return res, nil
	}
	if infra.IsKind(cause, infra.KindUnknown) && generationOf(declarationOf(current)) < next.Generation {
		return ApplyResult{}, trace.Wrap(&UnknownError{Change: next.Change, Err: cause})
	}
	return ApplyResult{}, trace.Wrap(newConflictError(current, declarationOf(current), &next.Declaration))
}

// declarationOf returns the declaration in s; nil if s is nil.
func declarationOf(s *Stored) *model.Declaration {
	if s == nil {
		return nil
	}
	return &s.Declaration
}
