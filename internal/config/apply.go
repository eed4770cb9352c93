package config

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// ApplyOptions says who changes the declaration and on what terms.
type ApplyOptions struct {
	Change model.ChangeID // a repeat with the same ID is the same change
	By     string
	From   string
	At     time.Time

	// IfGeneration refuses the change unless this generation is in force.
	// Nil accepts any.
	IfGeneration *uint64
	// IfRevision refuses the change unless the store's key has this revision;
	// 0 accepts any.
	IfRevision infra.Revision
	// ConfirmRemoval applies a removal that breaks a budget.
	ConfirmRemoval bool
	// DryRun does all but write.
	DryRun bool

	// InForce is the declaration this entry VM holds, which is newer than the
	// store's where the store was restored from an old copy.
	InForce *model.Declaration
	// Live tells where VMs really are, for the check of removals.
	Live map[model.VMID]model.VM
}

// ApplyResult is what became of a change.
type ApplyResult struct {
	Generation  uint64 // that the change was given, or would be
	Revision    infra.Revision
	Differences []Difference // against the declaration it replaces
	Unchanged   bool         // the same is in force already: no new generation
	Repeated    bool         // the same change ID was accepted earlier
	Current     uint64       // the generation in force now; above Generation where another change followed
	// Broken are the budgets that its removals break; only a dry run returns
	// them beside a result.
	Broken []BrokenBudget
}

// Apply makes d the declaration in force, under the next generation. Errors
// are *InvalidError, *ConflictError, *RemovalError, *UnavailableError
// (certainly not applied), *UnknownError and *CorruptError.
func Apply(ctx context.Context, store infra.Store, d *model.Declaration, opts ApplyOptions) (ApplyResult, error) {
	if problems := Validate(d); len(problems) > 0 {
		return ApplyResult{}, trace.Wrap(&InvalidError{Problems: problems})
	}
	current, rev, err := Read(ctx, store)
	if err != nil {
		return ApplyResult{}, err
	}
	if res, ok := repeated(current, opts.Change); ok {
		return res, nil
	}
	base := newest(current, opts.InForce)
	if opts.IfRevision != 0 && opts.IfRevision != rev {
		return ApplyResult{}, trace.Wrap(conflict(current, base, d))
	}
	broken := BrokenByRemoval(base, d, opts.Live)
	if err := checkTerms(current, base, d, broken, opts); err != nil {
		return ApplyResult{}, err
	}
	res := ApplyResult{Differences: Diff(base, d), Broken: broken}
	if len(res.Differences) == 0 && current != nil && base.Generation == current.Generation {
		res.Unchanged, res.Generation, res.Current, res.Revision = true, base.Generation, base.Generation, rev
		return res, nil
	}
	next := successor(current, base, d, opts)
	res.Generation, res.Current = next.Generation, next.Generation
	if opts.DryRun {
		return res, nil
	}
	return commit(ctx, store, next, rev, res)
}

func repeated(current *Stored, change model.ChangeID) (ApplyResult, bool) {
	if current == nil || change == "" {
		return ApplyResult{}, false
	}
	earlier, ok := current.find(change)
	return ApplyResult{Generation: earlier.Generation, Current: current.Generation, Repeated: true}, ok
}

// newest returns what a change is against. An entry VM never steps back, so a
// generation above the store's is in force although the store forgot it.
func newest(current *Stored, inForce *model.Declaration) *model.Declaration {
	if current == nil {
		return inForce
	}
	if inForce != nil && inForce.Generation > current.Generation {
		return inForce
	}
	return &current.Declaration
}

func checkTerms(current *Stored, base, d *model.Declaration, broken []BrokenBudget, opts ApplyOptions) error {
	if want := opts.IfGeneration; want != nil && *want != generation(base) {
		return trace.Wrap(conflict(current, base, d))
	}
	if len(broken) > 0 && !opts.ConfirmRemoval && !opts.DryRun {
		return trace.Wrap(&RemovalError{Broken: broken})
	}
	return nil
}

func conflict(current *Stored, base, d *model.Declaration) *ConflictError {
	e := &ConflictError{Winner: Applied{Generation: generation(base)}, Differences: Diff(base, d)}
	if current != nil && current.Generation == generation(base) {
		e.Winner = current.Last()
	}
	return e
}

func generation(d *model.Declaration) uint64 {
	if d == nil {
		return 0
	}
	return d.Generation
}

func successor(current *Stored, base, d *model.Declaration, opts ApplyOptions) *Stored {
	next := &Stored{Declaration: *d, By: opts.By, From: opts.From, At: opts.At}
	next.Generation = generation(base) + 1
	next.Change = opts.Change
	if current != nil {
		next.Recent = append(append(next.Recent, current.Recent...), current.Last())
	}
	if over := len(next.Recent) - recentLimit; over > 0 {
		next.Recent = next.Recent[over:]
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
		return superseded(ctx, store, res), nil
	}
	if infra.IsKind(err, infra.KindConflict) || infra.IsKind(err, infra.KindUnknown) {
		return afterDoubt(ctx, store, next, err)
	}
	return ApplyResult{}, trace.Wrap(&UnavailableError{Err: err})
}

// superseded is the result of a change that took effect and was replaced
// before we knew. Which generation is in force now is told if it can be read.
func superseded(ctx context.Context, store infra.Store, res ApplyResult) ApplyResult {
	current, _, err := Read(ctx, store)
	if err != nil || current == nil {
		return res
	}
	res.Current = current.Generation
	return res
}

// afterDoubt finds out about a change whose commit lost or is in doubt. A
// change that took effect is the last one or among the recent ones, whoever
// has written since.
func afterDoubt(ctx context.Context, store infra.Store, next *Stored, cause error) (ApplyResult, error) {
	current, _, err := Read(ctx, store)
	if err != nil {
		return ApplyResult{}, trace.Wrap(&UnknownError{Change: next.Change, Err: cause})
	}
	if res, ok := repeated(current, next.Change); ok {
		return res, nil
	}
	if infra.IsKind(cause, infra.KindUnknown) && generation(declarationOf(current)) < next.Generation {
		return ApplyResult{}, trace.Wrap(&UnknownError{Change: next.Change, Err: cause})
	}
	return ApplyResult{}, trace.Wrap(conflict(current, declarationOf(current), &next.Declaration))
}

func declarationOf(s *Stored) *model.Declaration {
	if s == nil {
		return nil
	}
	return &s.Declaration
}
