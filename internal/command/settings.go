package command

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// DeclarationStore implements Settings and DeclarationApplier on the declaration
// in the store.
type DeclarationStore struct {
	Store infra.Store
	Clock clockwork.Clock
	View  *view.Holder // this entry VM's view, with the declaration that it has in force
}

// Apply implements DeclarationApplier.
func (d DeclarationStore) Apply(ctx context.Context, decl *model.Declaration, opts config.ApplyOptions) (config.ApplyResult, error) {
	s := d.View.Load()
	opts.InForce = s.Declaration
	opts.Live = make(map[model.VMID]model.VM, len(s.VMs))
	for id, vm := range s.VMs {
		opts.Live[id] = vm.VM
	}
	return config.Apply(ctx, d.Store, decl, opts)
}

// SetLimit implements Settings.
func (d DeclarationStore) SetLimit(ctx context.Context, service model.ServiceName, limit int, by Actor, t OrderMeta) (Effect, error) {
	var before int
	opts := config.ApplyOptions{Change: t.Change, By: by.Name, From: by.From, At: d.Clock.Now().UTC(), InForce: d.View.Load().Declaration, IfRevision: t.IfRevision}
	res, err := config.Edit(ctx, d.Store, opts, func(decl *model.Declaration) error {
		s := decl.Service(service)
		if s == nil {
			return &Refusal{Code: CodeNotFound, Detail: fmt.Sprintf("no service %q", service)}
		}
		before = s.Limit
		s.Limit = limit
		return nil
	})
	if err != nil {
		return Effect{}, fromConfig(t.Change, err)
	}
	return Effect{Before: "limit " + strconv.Itoa(before), After: fmt.Sprintf("limit %d, generation %d", limit, res.Generation), Revision: res.Revision}, nil
}

// fromConfig converts an error of package config to a *Refusal or, if the outcome
// is unknown, an *UncertainError.
func fromConfig(change model.ChangeID, err error) error {
	var refusal *Refusal
	var conflict *config.ConflictError
	var invalid *config.InvalidError
	var unavailable *config.UnavailableError
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &conflict):
		return &Refusal{Code: CodeConflict, Winner: fmt.Sprintf("%s with generation %d", conflict.Winner.By, conflict.Winner.Generation), Detail: "the declaration changed meanwhile"}
	case errors.As(err, &invalid):
		return &Refusal{Code: CodeInvalid, Detail: invalid.Error()}
	case errors.As(err, &unavailable):
		return &Refusal{Code: CodeUnavailable, Detail: unavailable.Error()}
	}
	return &UncertainError{Change: change, Err: err}
}
