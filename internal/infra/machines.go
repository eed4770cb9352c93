package infra

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Machine is one VM in the platform's lagging list.
type Machine struct {
	VM      model.VMID
	Live    bool
	Leaving bool // the platform itself will take it away
	Boots   int  // how often it was booted; proves that a reboot happened
	Tasks   int  // tasks running on it
}

// MachineList is the lagging list; AsOf is when it was true.
type MachineList struct {
	AsOf     time.Time
	Machines []Machine
}

// TaskState is where a task stands.
type TaskState string

// The states of a task. TaskLost is a task whose lease lapsed or whose worker
// is gone: whether it finished is not known.
const (
	TaskRunning      TaskState = "running"
	TaskCheckpointed TaskState = "checkpointed"
	TaskStopped      TaskState = "stopped"
	TaskSucceeded    TaskState = "succeeded"
	TaskFailed       TaskState = "failed"
	TaskLost         TaskState = "lost"
)

// ReasonMemoryGuard is the Reason of a failed task that its worker ended
// because it used more memory than was set aside for it.
const ReasonMemoryGuard = "memory guard"

// Task is one run of a job on a worker, as the platform knows it.
type Task struct {
	Attempt model.AttemptID
	Job     model.JobID
	VM      model.VMID
	Size    model.Resources // what the worker sets aside
	TTL     time.Duration   // the task's lease; renewed by RenewTask
	State   TaskState
	Reason  string
}

// Usage is one worker's lagging report on one task.
type Usage struct {
	Attempt model.AttemptID
	VM      model.VMID
	Used    model.Resources
	At      time.Time
}

// Machines is the platform's control of VMs and of tasks on them. Every
// effect is idempotent by its AttemptID. Errors are *Error.
type Machines interface {
	// List returns the lagging list of VMs.
	List(ctx context.Context) (MachineList, error)
	// Drain tells the VM's runner to refuse new work and finish what it has.
	Drain(ctx context.Context, vm model.VMID, attempt model.AttemptID) error
	// Undrain takes a Drain back.
	Undrain(ctx context.Context, vm model.VMID, attempt model.AttemptID) error
	// InFlight returns the requests and tasks the VM itself still works on.
	InFlight(ctx context.Context, vm model.VMID) (int, error)
	// Reboot stops and starts the VM. What still runs on it is cut.
	Reboot(ctx context.Context, vm model.VMID, attempt model.AttemptID) error
	// StartTask starts a task under a lease of task.TTL.
	StartTask(ctx context.Context, task Task) error
	// RenewTask extends the task's lease.
	RenewTask(ctx context.Context, attempt model.AttemptID) error
	// StopTask ends a task; with checkpoint its progress is kept first.
	StopTask(ctx context.Context, attempt model.AttemptID, checkpoint bool) error
	// ThrottleTask caps the task's processors.
	ThrottleTask(ctx context.Context, attempt model.AttemptID, milliCPU int64) error
	// Tasks returns every task the platform knows of, ended ones for a while.
	Tasks(ctx context.Context) ([]Task, error)
	// Usage returns the newest usage report of each running task.
	Usage(ctx context.Context) ([]Usage, error)
}
