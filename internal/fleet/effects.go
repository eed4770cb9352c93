package fleet

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// confirmedAttempts holds the time at which the platform confirmed an attempt to
// this process.
//
// A reconciler may pause between storing its intent and calling the platform,
// and resume when others have moved the VM on: its late drain or reboot would
// hit a VM that serves again. A reconciler therefore moves a VM out of a state
// only after the platform has confirmed that state's attempt to it, even if
// another reconciler has made the call already. The attempt is then consumed,
// and a late call for it has no effect.
type confirmedAttempts map[model.AttemptID]time.Time

// maxConfirmedAttempts bounds the memory used. All entries are dropped when it is
// reached; an attempt that was dropped costs one more call.
const maxConfirmedAttempts = 10000

// undrainAttempt returns the ID of the attempt that reverts the drain of a.
func undrainAttempt(a model.AttemptID) model.AttemptID { return a + "/undrain" }

// confirmAttempt calls the platform unless it has confirmed the attempt already,
// and returns when the attempt was confirmed.
func (f *Fleet) confirmAttempt(ctx context.Context, op string, vm model.VMID, a model.AttemptID,
	call func(context.Context, model.VMID, model.AttemptID) error) (time.Time, error) {
	if at, ok := f.confirmed[a]; ok {
		return at, nil
	}
	if err := call(ctx, vm, a); err != nil {
		return time.Time{}, wrapError(op, err)
	}
	if len(f.confirmed) >= maxConfirmedAttempts {
		clear(f.confirmed)
	}
	at := f.clock.Now()
	f.confirmed[a] = at
	return at, nil
}

func (f *Fleet) drain(ctx context.Context, vm *model.VM) error {
	_, err := f.confirmAttempt(ctx, "drain", vm.ID, vm.Attempt, f.machines.Drain)
	return err
}

func (f *Fleet) undrain(ctx context.Context, vm *model.VM) error {
	_, err := f.confirmAttempt(ctx, "undrain", vm.ID, undrainAttempt(vm.Attempt), f.machines.Undrain)
	return err
}

func (f *Fleet) reboot(ctx context.Context, vm *model.VM) (time.Time, error) {
	return f.confirmAttempt(ctx, "reboot", vm.ID, vm.Attempt, f.machines.Reboot)
}
