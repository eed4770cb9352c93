// Package adapt fits the fleet's commands and questions to the interfaces that
// the operators' commands and queries are written against. It translates and
// decides nothing.
package adapt

import (
	"context"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/command"
	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Orders is a command.Fleet.
type Orders struct {
	Fleet *fleet.Fleet
}

var _ command.Fleet = Orders{}

// Drain implements command.Fleet. With cut a VM that already leaves goes on
// although it still works.
func (o Orders) Drain(ctx context.Context, vm model.VMID, cut bool, t command.Terms) (command.Effect, error) {
	out, err := o.Fleet.Drain(ctx, vm, order(t))
	if cut && leavesAlready(err) {
		out, err = o.Fleet.Cut(ctx, vm, order(t))
	}
	return effect("vm "+string(vm), out, t, err)
}

// Undrain implements command.Fleet.
func (o Orders) Undrain(ctx context.Context, vm model.VMID, t command.Terms) (command.Effect, error) {
	out, err := o.Fleet.Undrain(ctx, vm, order(t))
	return effect("vm "+string(vm), out, t, err)
}

// Move implements command.Fleet.
func (o Orders) Move(ctx context.Context, vm model.VMID, to model.PoolName, t command.Terms) (command.Effect, error) {
	out, err := o.Fleet.Move(ctx, vm, to, order(t))
	return effect("vm "+string(vm), out, t, err)
}

// StartWave implements command.Fleet.
func (o Orders) StartWave(ctx context.Context, wave model.WaveName, pools []model.PoolName, t command.Terms) (command.Effect, error) {
	out, err := o.Fleet.StartWave(ctx, wave, pools, order(t))
	return effect("wave "+string(wave), out, t, err)
}

// PauseWave implements command.Fleet.
func (o Orders) PauseWave(ctx context.Context, wave model.WaveName, t command.Terms) (command.Effect, error) {
	out, err := o.Fleet.PauseWave(ctx, wave, order(t))
	return effect("wave "+string(wave), out, t, err)
}

// ResumeWave implements command.Fleet.
func (o Orders) ResumeWave(ctx context.Context, wave model.WaveName, t command.Terms) (command.Effect, error) {
	out, err := o.Fleet.ResumeWave(ctx, wave, order(t))
	return effect("wave "+string(wave), out, t, err)
}

// CancelWave implements command.Fleet.
func (o Orders) CancelWave(ctx context.Context, wave model.WaveName, t command.Terms) (command.Effect, error) {
	out, err := o.Fleet.CancelWave(ctx, wave, order(t))
	return effect("wave "+string(wave), out, t, err)
}

func order(t command.Terms) fleet.Order {
	return fleet.Order{Change: t.Change, Actor: t.Actor, IfRevision: t.IfRevision, Reason: t.Reason}
}

func leavesAlready(err error) bool {
	var r *fleet.Refusal
	return errors.As(err, &r) && r.Code == fleet.CodeConflict
}

func effect(what string, out fleet.Outcome, t command.Terms, err error) (command.Effect, error) {
	if err != nil {
		return command.Effect{What: what}, refusal(t.Change, err)
	}
	return command.Effect{What: what, After: out.Detail, Revision: out.Revision}, nil
}

// refusal turns the fleet's errors into the commands'.
func refusal(change model.ChangeID, err error) error {
	var r *fleet.Refusal
	if errors.As(err, &r) {
		return trace.Wrap(&command.Refusal{Code: command.Code(r.Code), Winner: r.Winner, Revision: r.Revision, Detail: r.Detail})
	}
	var failed *fleet.Error
	if errors.As(err, &failed) && !failed.Uncertain {
		return trace.Wrap(&command.Refusal{Code: command.CodeUnavailable, Detail: failed.Error()})
	}
	return trace.Wrap(&command.UncertainError{Change: change, Err: fmt.Errorf("fleet: %w", err)})
}
