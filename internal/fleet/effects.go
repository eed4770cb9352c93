package fleet

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// effects remembers when the platform confirmed an attempt to this process.
//
// A reconciler may pause between its intent and the call, and wake when others
// have long carried the VM on: its late drain or reboot would hit a VM that
// serves again. So nobody moves a VM out of a state before the platform has
// confirmed that state's attempt to it, even where another has seen to it
// already. The attempt is then used up, and a late call of it has no effect.
type effects map[model.AttemptID]time.Time

// effectsLimit bounds the memory; a forgotten attempt costs one more call.
const effectsLimit = 10000

// undrainOf is the attempt that takes the drain of an attempt back.
func undrainOf(a model.AttemptID) model.AttemptID { return a + "/undrain" }

// once has the platform confirm an attempt, and returns when it did so.
func (f *Fleet) once(ctx context.Context, op string, vm model.VMID, a model.AttemptID,
	call func(context.Context, model.VMID, model.AttemptID) error) (time.Time, error) {
	if at, ok := f.effects[a]; ok {
		return at, nil
	}
	if err := call(ctx, vm, a); err != nil {
		return time.Time{}, fault(op, err)
	}
	if len(f.effects) >= effectsLimit {
		clear(f.effects)
	}
	at := f.clock.Now()
	f.effects[a] = at
	return at, nil
}

func (f *Fleet) drain(ctx context.Context, vm *model.VM) error {
	_, err := f.once(ctx, "drain", vm.ID, vm.Attempt, f.machines.Drain)
	return err
}

func (f *Fleet) undrain(ctx context.Context, vm *model.VM) error {
	_, err := f.once(ctx, "undrain", vm.ID, undrainOf(vm.Attempt), f.machines.Undrain)
	return err
}

func (f *Fleet) reboot(ctx context.Context, vm *model.VM) (time.Time, error) {
	return f.once(ctx, "reboot", vm.ID, vm.Attempt, f.machines.Reboot)
}
