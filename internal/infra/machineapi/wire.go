// Package machineapi implements infra.Machines over HTTP and JSON, and defines
// the messages of that protocol.
package machineapi

import (
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// The paths of the calls. {vm} and {attempt} are placeholders for IDs.
const (
	PathMachines = "/machines"
	PathDrain    = "/machines/{vm}/drain"
	PathUndrain  = "/machines/{vm}/undrain"
	PathReboot   = "/machines/{vm}/reboot"
	PathInFlight = "/machines/{vm}/in-flight"
	PathTasks    = "/tasks"
	PathRenew    = "/tasks/{attempt}/renew"
	PathStop     = "/tasks/{attempt}/stop"
	PathThrottle = "/tasks/{attempt}/throttle"
	PathUsage    = "/usage"
)

// Machine is an entry of MachineList. Its fields are those of infra.Machine.
type Machine struct {
	VM      model.VMID `json:"vm"`
	Live    bool       `json:"live"`
	Leaving bool       `json:"leaving,omitempty"`
	Boots   int        `json:"boots"`
	Tasks   int        `json:"tasks"`
}

// MachineList is the response to GET PathMachines.
type MachineList struct {
	AsOf     time.Time `json:"as_of"`
	Machines []Machine `json:"machines"`
}

// MachineRequest is the body of a drain, undrain or reboot request.
type MachineRequest struct {
	Attempt model.AttemptID `json:"attempt"`
}

// InFlight is the response to GET PathInFlight. Count is the number of requests
// and tasks in progress on the VM.
type InFlight struct {
	Count int `json:"count"`
}

// Resources are amounts of a worker's resources.
type Resources struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Task is the body of POST PathTasks and an entry of TaskList. Its fields are those
// of infra.Task; TTLMs is the TTL in milliseconds.
type Task struct {
	Attempt model.AttemptID `json:"attempt"`
	Job     model.JobID     `json:"job"`
	VM      model.VMID      `json:"vm"`
	Size    Resources       `json:"size"`
	TTLMs   int64           `json:"ttl_ms"`
	State   infra.TaskState `json:"state,omitempty"`
	Reason  string          `json:"reason,omitempty"`
}

// TaskList is the response to GET PathTasks.
type TaskList struct {
	Tasks []Task `json:"tasks"`
}

// StopRequest is the body of POST PathStop, which ends a task. If Checkpoint is
// set, the task's progress is saved first.
type StopRequest struct {
	Checkpoint bool `json:"checkpoint,omitempty"`
}

// ThrottleRequest is the body of POST PathThrottle, which limits a task's processor
// time to MilliCPU thousandths of a processor.
type ThrottleRequest struct {
	MilliCPU int64 `json:"milli_cpu"`
}

// Usage is the resource usage of one task at time At.
type Usage struct {
	Attempt model.AttemptID `json:"attempt"`
	VM      model.VMID      `json:"vm"`
	Used    Resources       `json:"used"`
	At      time.Time       `json:"at"`
}

// UsageList is the response to GET PathUsage.
type UsageList struct {
	Reports []Usage `json:"reports"`
}

// Problem is the body of a response whose status is not 200.
type Problem struct {
	Message string `json:"message"`
}

// TaskToWire converts a task to its wire format.
func TaskToWire(t infra.Task) Task {
	return Task{
		Attempt: t.Attempt, Job: t.Job, VM: t.VM, Size: Resources(t.Size),
		TTLMs: t.TTL.Milliseconds(), State: t.State, Reason: t.Reason,
	}
}

// TaskFromWire converts a task from its wire format.
func TaskFromWire(t Task) infra.Task {
	return infra.Task{
		Attempt: t.Attempt, Job: t.Job, VM: t.VM, Size: model.Resources(t.Size),
		TTL: time.Duration(t.TTLMs) * time.Millisecond, State: t.State, Reason: t.Reason,
	}
}
