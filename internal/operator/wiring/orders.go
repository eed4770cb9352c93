package wiring

import (
	"context"
	"errors"

	"github.com/pumicestage/pumicestage/internal/command"
	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Orders implements command.Fleet with the reconciler of this entry VM.
type Orders struct {
	Fleet *fleet.Fleet
}

var _ command.Fleet = Orders{}

// Drain implements command.Fleet. With cut set, it drains the VM and then orders
// that it may proceed although requests or tasks still run on it. A VM that is
// already leaving for another reason only gets the second order.
func (o Orders) Drain(ctx context.Context, vm model.VMID, cut bool, t command.OrderMeta) (command.Effect, error) {
	out, err := o.Fleet.Drain(ctx, vm, fleetOrder(t))
	if !cut {
		return commandEffect(string(model.VMInPool), out, t, err)
	}
	var refusal *fleet.Refusal
	if err != nil && !(errors.As(err, &refusal) && refusal.Code == fleet.CodeConflict) {
		return commandEffect("", out, t, err)
	}
	t.Change += ".cut"
	t.IfRevision = 0 // the condition held for the record before the drain changed it
	out, err = o.Fleet.Cut(ctx, vm, fleetOrder(t))
	return commandEffect(string(model.VMLeaving), out, t, err)
}

// Undrain implements command.Fleet.
func (o Orders) Undrain(ctx context.Context, vm model.VMID, t command.OrderMeta) (command.Effect, error) {
	out, err := o.Fleet.Undrain(ctx, vm, fleetOrder(t))
	return commandEffect("drained", out, t, err)
}

// Move implements command.Fleet.
func (o Orders) Move(ctx context.Context, vm model.VMID, to model.PoolName, t command.OrderMeta) (command.Effect, error) {
	out, err := o.Fleet.Move(ctx, vm, to, fleetOrder(t))
	return commandEffect(string(model.VMInPool), out, t, err)
}

// StartWave implements command.Fleet.
func (o Orders) StartWave(ctx context.Context, w model.WaveName, pools []model.PoolName, t command.OrderMeta) (command.Effect, error) {
	out, err := o.Fleet.StartWave(ctx, w, pools, fleetOrder(t))
	return commandEffect("not running", out, t, err)
}

// PauseWave implements command.Fleet.
func (o Orders) PauseWave(ctx context.Context, w model.WaveName, t command.OrderMeta) (command.Effect, error) {
	out, err := o.Fleet.PauseWave(ctx, w, fleetOrder(t))
	return commandEffect(string(fleet.WaveRunning), out, t, err)
}

// ResumeWave implements command.Fleet.
func (o Orders) ResumeWave(ctx context.Context, w model.WaveName, t command.OrderMeta) (command.Effect, error) {
	out, err := o.Fleet.ResumeWave(ctx, w, fleetOrder(t))
	return commandEffect(string(fleet.WavePaused), out, t, err)
}

// CancelWave implements command.Fleet.
func (o Orders) CancelWave(ctx context.Context, w model.WaveName, t command.OrderMeta) (command.Effect, error) {
	out, err := o.Fleet.CancelWave(ctx, w, fleetOrder(t))
	return commandEffect("running or paused", out, t, err)
}

// fleetOrder converts the terms of an order to those of package fleet.
func fleetOrder(t command.OrderMeta) fleet.Order {
	return fleet.Order{Change: t.Change, Actor: t.Actor, IfRevision: t.IfRevision, Reason: t.Reason}
}

// commandEffect converts the outcome of a fleet order to a command.Effect whose
// Before is the state given, or "already so" if the order repeats an earlier one.
func commandEffect(before string, out fleet.Outcome, t command.OrderMeta, err error) (command.Effect, error) {
	if err != nil {
		return command.Effect{}, commandError(t.Change, err)
	}
	if out.Repeated {
		before = "already so"
	}
	return command.Effect{Before: before, After: out.Detail, Revision: out.Revision}, nil
}

// commandError converts an error of package fleet to one of package command: a
// refusal stays a refusal; after any other error the outcome is uncertain.
func commandError(change model.ChangeID, err error) error {
	var refusal *fleet.Refusal
	if errors.As(err, &refusal) {
		return &command.Refusal{Code: command.Code(refusal.Code), Winner: refusal.Winner, Revision: refusal.Revision, Detail: refusal.Detail}
	}
	return &command.UncertainError{Change: change, Err: err}
}
