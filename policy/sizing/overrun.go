package sizing

import "github.com/pumicestage/pumicestage/policy/model"

// Action is what to do with a task that uses more memory than it was given.
type Action string

// The actions, from the mildest.
const (
	Leave      Action = "leave"
	Throttle   Action = "throttle"
	Checkpoint Action = "checkpoint"
	Stop       Action = "stop"
)

// slack is how far over its size, in percent, a task may be before anything is
// done: a report is one moment and the next may be below again.
const slack = 10

// Overrun decides about a task that was seen to use more memory than its size.
// short says that its worker has too little memory left for all on it, so that
// something has to give way before the worker ends a task of its own choice.
//
// The class decides who gives way first: deferrable work is stopped, normal
// work only at a checkpoint, urgent work is slowed. Work that is not
// repeatable is slowed at most, whatever its class.
func Overrun(job *model.Job, size, used model.Resources, short bool) Action {
	if used.MemoryMB <= size.MemoryMB+size.MemoryMB*slack/100 {
		return Leave
	}
	switch {
	case !short:
		return Leave
	case !job.Repeatable || job.Class == model.ClassUrgent:
		return Throttle
	case job.Checkpoints:
		return Checkpoint
	case job.Class == model.ClassDeferrable:
		return Stop
	}
	return Throttle
}
