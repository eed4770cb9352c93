package infra

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Machine is one VM in the platform's list, which lags behind the VM's state.
type Machine struct {
	VM      model.VMID
	Live    bool
	Leaving bool // the platform is about to remove the VM
	Boots   int  // times the VM was booted; an increase proves that it rebooted
	Tasks   int  // tasks running on it
}

// MachineList is the platform's list of VMs as of the time AsOf, which may be
// in the past.
type MachineList struct {
	AsOf     time.Time
	Machines []Machine
}

// TaskState is the state of a task.
type TaskState string

// The states of a task. A task is TaskLost if its lease expired or its worker
// is gone: it is not known whether the task finished.
const (
	TaskRunning      TaskState = "running"
	TaskCheckpointed TaskState = "checkpointed"
	TaskStopped      TaskState = "stopped"
	TaskSucceeded    TaskState = "succeeded"
	TaskFailed       TaskState = "failed"
	TaskLost         TaskState = "lost"
)

// ReasonMemoryGuard is the Reason of a failed task that its worker ended
// because the task used more memory than the worker had reserved for it.
const ReasonMemoryGuard = "memory guard"

// Task is one run of a job on a worker, as the platform knows it.
type Task struct {
	Attempt model.AttemptID
	Job     model.JobID
	VM      model.VMID
	Size    model.Resources // resources that the worker reserves
	TTL     time.Duration   // of the task's lease; renewed by RenewTask
	State   TaskState
	Reason  string // why the task failed, such as ReasonMemoryGuard
}

// Usage is a worker's report of the resources that one task used at time At,
// which may be in the past.
type Usage struct {
	Attempt model.AttemptID
	VM      model.VMID
	Used    model.Resources
	At      time.Time
}

// Machines is the platform's interface for controlling VMs and the tasks on
// them. Calls that change something are idempotent by their AttemptID. Errors
// are *Error.
type Machines interface {
	// List returns the platform's list of VMs, which may be out of date by the
	// time that its AsOf shows.
	List(ctx context.Context) (MachineList, error)
	// Drain tells the VM's runner to refuse new work and finish what it has.
	Drain(ctx context.Context, vm model.VMID, attempt model.AttemptID) error
	// Undrain reverses a Drain.
	Undrain(ctx context.Context, vm model.VMID, attempt model.AttemptID) error
	// InFlight returns the number of requests and tasks in progress, as counted
	// by the VM itself.
	InFlight(ctx context.Context, vm model.VMID) (int, error)
	// Reboot stops and starts the VM, which aborts whatever still runs on it.
	Reboot(ctx context.Context, vm model.VMID, attempt model.AttemptID) error
	// StartTask starts a task under a lease of task.TTL.
	StartTask(ctx context.Context, task Task) error
	// RenewTask extends the task's lease.
	RenewTask(ctx context.Context, attempt model.AttemptID) error
	// StopTask ends a task; with checkpoint its progress is saved first.
	StopTask(ctx context.Context, attempt model.AttemptID, checkpoint bool) error
	// ThrottleTask limits the task's processor time to milliCPU thousandths of
	// a processor.
	ThrottleTask(ctx context.Context, attempt model.AttemptID, milliCPU int64) error
	// Tasks returns every task that the platform knows; it keeps ended tasks
	// for a while.
	Tasks(ctx context.Context) ([]Task, error)
	// Usage returns the newest usage report of each running task.
	Usage(ctx context.Context) ([]Usage, error)
}
