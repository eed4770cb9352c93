// Package work defines the data types of jobs that run as tasks on workers: what a
// caller submits, how its tasks are named, and what a worker offers.
package work

import (
	"strconv"
	"strings"
	"time"
)

// JobID identifies a job. The caller chooses it; one ID stands for one job and is never
// reused.
type JobID string

// WorkspaceName names a workspace, which has keys and a resource limit of its own. It is
// empty on routes that are open to all, where the job belongs to no workspace.
type WorkspaceName string

// WorkerID identifies a worker. After a move or maintenance the VM has a worker with another
// ID; after a crash its worker may have the same ID and another Incarnation. A new incarnation
// runs none of the tasks of the one before.
type WorkerID string

// Incarnation distinguishes the starts of a worker under the same ID. It is the time of the
// start by the worker's own clock, and is compared for equality only. 0 means not reported.
type Incarnation int64

// Resources is an amount of each kind of resource: what a task requests or a worker offers.
type Resources struct {
	MilliCPU int64 `json:"milli_cpu,omitempty" msgpack:"c,omitempty"` // thousandths of a core
	MemoryMB int64 `json:"memory_mb,omitempty" msgpack:"m,omitempty"`
	GPU      int64 `json:"gpu,omitempty" msgpack:"g,omitempty"` // whole accelerators
}

// gpuCores is the number of cores that one accelerator counts as. It is the price ratio of
// the two in the deployments.
const gpuCores = 8

// Cores returns r as a single number of cores, for comparing amounts of work. An
// accelerator counts as gpuCores cores, and memory is ignored.
func (r Resources) Cores() float64 {
	return float64(r.MilliCPU)/1000 + gpuCores*float64(r.GPU)
}

// Fits reports whether r is at most free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Minus returns the difference of r and o. Its dimensions may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Max returns the larger value of r and o in every dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.GPU, o.GPU)}
}

// Min returns the smaller value of r and o in every dimension.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.MilliCPU, o.MilliCPU), min(r.MemoryMB, o.MemoryMB), min(r.GPU, o.GPU)}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.GPU * n}
}

// Step is a part of a job: Count tasks of the same size, which may run in parallel once
// all tasks of the steps in After have completed.
type Step struct {
	Count    int           `json:"count" msgpack:"n"`
	Size     Resources     `json:"size" msgpack:"s"`
	Estimate time.Duration `json:"estimate,omitempty" msgpack:"e,omitempty"` // duration of one task as the caller expects it; often far off
	After    []int         `json:"after,omitempty" msgpack:"a,omitempty"`    // indexes of earlier steps, from 0

	Checkpoints   bool `json:"checkpoints,omitempty" msgpack:"k,omitempty"`    // the task saves its progress from time to time
	Gang          bool `json:"gang,omitempty" msgpack:"g,omitempty"`           // tasks make progress only while all of them run
	RackSensitive bool `json:"rack_sensitive,omitempty" msgpack:"r,omitempty"` // slower when spread over several racks
	Duplicates    bool `json:"duplicates,omitempty" msgpack:"d,omitempty"`     // copies of one task may run at the same time
	LongRunning   bool `json:"lasting,omitempty" msgpack:"l,omitempty"`        // runs until cancelled, and is restarted however it ends
	BestEffort    bool `json:"fill,omitempty" msgpack:"f,omitempty"`           // no processor share is reserved: runs on processor time that others leave

	Requires       string        `json:"requires,omitempty" msgpack:"q,omitempty"`        // label that the worker must have
	DataRack       string        `json:"data_rack,omitempty" msgpack:"w,omitempty"`       // rack that holds the data; the task is slower elsewhere
	AntiAffinity   int           `json:"anti_affinity,omitempty" msgpack:"x,omitempty"`   // max tasks of the step on one worker; 0: any number
	Image          string        `json:"image,omitempty" msgpack:"i,omitempty"`           // tasks of the same image behave alike
	TargetTail     time.Duration `json:"target_tail,omitempty" msgpack:"t,omitempty"`     // tail latency promised to the task's own users; 0: none
	MaxUnavailable int           `json:"max_unavailable,omitempty" msgpack:"u,omitempty"` // max tasks that may be stopped by orders of the scheduler at a time
}

// Serving reports whether the step's tasks answer requests of their own users.
func (s *Step) Serving() bool { return s.TargetTail > 0 }

// Schedule repeats a job's steps at fixed times. The zero value runs them once,
// immediately.
type Schedule struct {
	Times int           `json:"times,omitempty" msgpack:"n,omitempty"`
	First time.Time     `json:"first,omitempty,omitzero" msgpack:"f,omitempty"` // by the wall clock
	Every time.Duration `json:"every,omitempty" msgpack:"e,omitempty"`
}

// Due returns the time at which occurrence k is due, counted from 0.
func (s Schedule) Due(k int) time.Time { return s.First.Add(time.Duration(k) * s.Every) }

// Job is a job as its caller submitted it.
type Job struct {
	ID    JobID  `json:"id" msgpack:"i"`
	Queue string `json:"queue" msgpack:"q"`
	Spec  string `json:"spec" msgpack:"s"`
	// Workspace is the workspace whose key the job was submitted with. The job's tasks count
	// towards its limit.
	Workspace WorkspaceName `json:"workspace,omitempty" msgpack:"o,omitempty"`
	Steps     []Step        `json:"steps" msgpack:"t"`
	Schedule  Schedule      `json:"schedule,omitzero" msgpack:"r,omitempty"`
	// Accepted is when the entry VM read the request, by that VM's wall clock.
	Accepted time.Time `json:"accepted" msgpack:"a"`
}

// Occurrences returns how many times the steps run in all.
func (j *Job) Occurrences() int { return max(1, j.Schedule.Times) }

// Timed reports whether the job runs on a schedule.
func (j *Job) Timed() bool { return j.Schedule.Times > 0 }

// LongRunning reports whether the job has a step that runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// State is the state of a job as its caller sees it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the state is final: nothing of the job runs any more.
func (s State) Ended() bool { return s == Completed || s == Failed || s == Cancelled }

// StepRef identifies a step of one occurrence of a job.
type StepRef struct {
	Job        JobID
	Occurrence int
	Step       int
}

// String returns the name of the step in the form that workers and the advisor read.
func (s StepRef) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskRef identifies one task of a step.
type TaskRef struct {
	StepRef
	Index int
}

// String returns the name of the task in the form that workers read.
func (t TaskRef) String() string { return t.StepRef.String() + "." + strconv.Itoa(t.Index) }

// ParseTask parses a task name as returned by TaskRef.String. It reports false if the name
// is malformed.
func ParseTask(name string) (TaskRef, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskRef{}, false
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskRef{}, false
		}
		n[i] = v
	}
	return TaskRef{StepRef: StepRef{Job: JobID(parts[0]), Occurrence: n[0], Step: n[1]}, Index: n[2]}, true
}

// End is the way in which one run of a task ended.
type End string

// The ways in which a run ends.
const (
	Done           End = "done"
	Faulted        End = "failed"  // the task or its worker failed
	Stopped        End = "stopped" // by an order of the scheduler
	LeaseExpired   End = "lapsed"  // its lease was not renewed in time
	GangBroken     End = "broken"  // another member of its gang ended
	GangIncomplete End = "alone"   // the other members of its gang did not start in time
)

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM.
const (
	VMUp          VMState = "up"
	VMMoving      VMState = "moving"
	VMMaintenance VMState = "maintenance"
	VMDown        VMState = "down"
)

// VM is one VM of the fleet as the platform lists it.
type VM struct {
	ID     string
	Pool   string
	State  VMState
	Zone   string
	Labels []string
	Size   Resources
	Worker WorkerID // the worker that runs on it now; empty if none does
}

// Wave is an order to maintain a set of VMs.
type Wave struct {
	Name       string
	VMs        []string
	Duration   time.Duration // time limit for the whole wave
	MaxAtATime int
}
