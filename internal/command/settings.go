package command

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/platform"
	"github.com/pumicestage/pumicestage/policy/model"
)

// DeclaredSettings carries out Settings on the declaration in the store.
type DeclaredSettings struct {
	Store platform.Store
	Clock clockwork.Clock
	// InForce returns the declaration this entry VM holds, nil if none.
	InForce func() *model.Declaration
}

// SetLimit implements Settings.
func (d DeclaredSettings) SetLimit(ctx context.Context, service model.ServiceName, limit int, by Actor, t Terms) (Effect, error) {
	var before int
	opts := config.ApplyOptions{Change: t.Change, By: by.Name, From: by.From, At: d.Clock.Now().UTC(), InForce: d.InForce()}
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

// fromConfig turns errors of the declaration's layer into this one's.
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
