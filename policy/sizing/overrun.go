package sizing

import "github.com/pumicestage/pumicestage/policy/model"

// Action is what to do about a task that uses more memory than it was given.
type Action string

// The actions, mildest first.
const (
	NoAction   Action = "leave"
	Throttle   Action = "throttle"
	Checkpoint Action = "checkpoint"
	Stop       Action = "stop"
)

// tolerancePercent is how far, in percent, a task's memory use may exceed its size
// without any action: a report is a single sample, and the next may be lower again.
const tolerancePercent = 10

// OverrunAction returns the action for a task with the given size that was seen to use
// used. lowMemory says that its worker is running out of memory, so that the use
// of some task has to be cut before the worker kills a task of its own choice. No
// action is taken otherwise.
//
// The action depends on the class: a task that has checkpoints is stopped at one
// unless it is urgent; a deferrable task without checkpoints is stopped, a normal
// one throttled; an urgent task is throttled. A task that is not repeatable is
// throttled at most, whatever its class.
func OverrunAction(job *model.Job, size, used model.Resources, lowMemory bool) Action {
	if used.MemoryMB <= size.MemoryMB+size.MemoryMB*tolerancePercent/100 {
		return NoAction
	}
	switch {
	case !lowMemory:
		return NoAction
	case !job.Repeatable || job.Class == model.ClassUrgent:
		return Throttle
	case job.Checkpoints:
		return Checkpoint
	case job.Class == model.ClassDeferrable:
		return Stop
	}
	return Throttle
}
