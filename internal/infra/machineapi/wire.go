// Package machineapi is infra.Machines over plain HTTP and JSON.
package machineapi

import (
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// The paths of the calls. {vm} and {attempt} stand for identifiers.
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

// Machine is one VM in the list.
type Machine struct {
	VM      model.VMID `json:"vm"`
	Live    bool       `json:"live"`
	Leaving bool       `json:"leaving,omitempty"`
	Boots   int        `json:"boots"`
	Tasks   int        `json:"tasks"`
}

// MachineList answers GET PathMachines.
type MachineList struct {
	AsOf     time.Time `json:"as_of"`
	Machines []Machine `json:"machines"`
}

// MachineRequest is the body of drain, undrain and reboot.
type MachineRequest struct {
	Attempt model.AttemptID `json:"attempt"`
}

// InFlight answers GET PathInFlight.
type InFlight struct {
	Count int `json:"count"`
}

// Resources are amounts on a worker.
type Resources struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Task is one task: the body of POST PathTasks and an entry of its list.
type Task struct {
	Attempt model.AttemptID `json:"attempt"`
	Job     model.JobID     `json:"job"`
	VM      model.VMID      `json:"vm"`
	Size    Resources       `json:"size"`
	TTLMs   int64           `json:"ttl_ms"`
	State   infra.TaskState `json:"state,omitempty"`
	Reason  string          `json:"reason,omitempty"`
}

// TaskList answers GET PathTasks.
type TaskList struct {
	Tasks []Task `json:"tasks"`
}

// StopRequest is the body of a stop.
type StopRequest struct {
	Checkpoint bool `json:"checkpoint,omitempty"`
}

// ThrottleRequest is the body of a throttle.
type ThrottleRequest struct {
	MilliCPU int64 `json:"milli_cpu"`
}

// Usage is one usage report.
type Usage struct {
	Attempt model.AttemptID `json:"attempt"`
	VM      model.VMID      `json:"vm"`
	Used    Resources       `json:"used"`
	At      time.Time       `json:"at"`
}

// UsageList answers GET PathUsage.
type UsageList struct {
	Reports []Usage `json:"reports"`
}

// Problem is the body of an answer that is not 200.
type Problem struct {
	Message string `json:"message"`
}

// TaskToWire turns a task into its message.
func TaskToWire(t infra.Task) Task {
	return Task{
		Attempt: t.Attempt, Job: t.Job, VM: t.VM, Size: Resources(t.Size),
		TTLMs: t.TTL.Milliseconds(), State: t.State, Reason: t.Reason,
	}
}

// TaskFromWire turns a message into a task.
func TaskFromWire(t Task) infra.Task {
	return infra.Task{
		Attempt: t.Attempt, Job: t.Job, VM: t.VM, Size: model.Resources(t.Size),
		TTL: time.Duration(t.TTLMs) * time.Millisecond, State: t.State, Reason: t.Reason,
	}
}
