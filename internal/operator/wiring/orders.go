package wiring

import (
	"context"
	"errors"

	"github.com/pumicestage/pumicestage/internal/command"
	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Orders is a command.Fleet by the reconciler of this entry VM.
type Orders struct {
	Fleet *fleet.Fleet
}

var _ command.Fleet = Orders{}

// Drain implements command.Fleet. A drain that may cut is a drain and, once
// the VM is leaving, the order that lets it go on; a VM that leaves already
// for something else only gets the second.
func (o Orders) Drain(ctx context.Context, vm model.VMID, cut bool, t command.OrderMeta) (command.Effect, error) {
	out, err := o.Fleet.Drain(ctx, vm, order(t))
	if !cut {
		return effect(string(model.VMInPool), out, t, err)
	}
	var refusal *fleet.Refusal
	if err != nil && !(errors.As(err, &refusal) && refusal.Code == fleet.CodeConflict) {
		return effect("", out, t, err)
	}
	t.Change += ".cut"
	t.IfRevision = 0 // it bound the record that the drain has just changed
	out, err = o.Fleet.Cut(ctx, vm, order(t))
	return effect(string(model.VMLeaving), out, t, err)
}

// Undrain implements command.Fleet.
func (o Orders) Undrain(ctx context.Context, vm model.VMID, t command.OrderMeta) (command.Effect, error) {
	out, err := o.Fleet.Undrain(ctx, vm, order(t))
	return effect("drained", out, t, err)
}

// Move implements command.Fleet.
func (o Orders) Move(ctx context.Context, vm model.VMID, to model.PoolName, t command.OrderMeta) (command.Effect, error) {
	out, err := o.Fleet.Move(ctx, vm, to, order(t))
	return effect(string(model.VMInPool), out, t, err)
}

// StartWave implements command.Fleet.
func (o Orders) StartWave(ctx context.Context, w model.WaveName, pools []model.PoolName, t command.OrderMeta) (command.Effect, error) {
	out, err := o.Fleet.StartWave(ctx, w, pools, order(t))
	return effect("not running", out, t, err)
}

// PauseWave implements command.Fleet.
func (o Orders) PauseWave(ctx context.Context, w model.WaveName, t command.OrderMeta) (command.Effect, error) {
	out, err := o.Fleet.PauseWave(ctx, w, order(t))
	return effect(string(fleet.WaveRunning), out, t, err)
}

// ResumeWave implements command.Fleet.
func (o Orders) ResumeWave(ctx context.Context, w model.WaveName, t command.OrderMeta) (command.Effect, error) {
	out, err := o.Fleet.ResumeWave(ctx, w, order(t))
	return effect(string(fleet.WavePaused), out, t, err)
}

// CancelWave implements command.Fleet.
func (o Orders) CancelWave(ctx context.Context, w model.WaveName, t command.OrderMeta) (command.Effect, error) {
	out, err := o.Fleet.CancelWave(ctx, w, order(t))
	return effect("running or paused", out, t, err)
}

func order(t command.OrderMeta) fleet.Order {
	return fleet.Order{Change: t.Change, Actor: t.Actor, IfRevision: t.IfRevision, Reason: t.Reason}
}

func effect(before string, out fleet.Outcome, t command.OrderMeta, err error) (command.Effect, error) {
	if err != nil {
		return command.Effect{}, fromFleet(t.Change, err)
	}
	if out.Repeated {
		before = "already so"
	}
	return command.Effect{Before: before, After: out.Detail, Revision: out.Revision}, nil
}

// fromFleet turns the fleet's errors into those of package command.
func fromFleet(change model.ChangeID, err error) error {
	var refusal *fleet.Refusal
	if errors.As(err, &refusal) {
		return &command.Refusal{Code: command.Code(refusal.Code), Winner: refusal.Winner, Revision: refusal.Revision, Detail: refusal.Detail}
	}
	return &command.UncertainError{Change: change, Err: err}
}
