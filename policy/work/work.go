// Package work holds the nouns of jobs that run as tasks on workers: what a
// caller submits, how its tasks are named, and what a worker is.
package work

import (
	"strconv"
	"strings"
	"time"
)

// JobID is chosen by the caller. One ID is one job, for ever.
type JobID string

// WorkspaceName names a workspace, which has keys and a limit of its own.
// Empty: nobody's, as on routes that are open to all.
type WorkspaceName string

// WorkerID names a worker. After a move or maintenance the VM has a worker with another ID;
// after a crash it may have one with the same ID and another Life. A new life runs nothing of
// what the last one ran.
type WorkerID string

// Incarnation tells the lives of a worker that starts again under its ID apart: the moment of its
// start by its own clock, compared for equality alone. 0: not told.
type Incarnation int64

// Resources are what a task asks for or a worker offers.
type Resources struct {
	MilliCPU int64 `json:"milli_cpu,omitempty" msgpack:"c,omitempty"` // thousandths of a core
	MemoryMB int64 `json:"memory_mb,omitempty" msgpack:"m,omitempty"`
	GPU      int64 `json:"gpu,omitempty" msgpack:"g,omitempty"` // whole accelerators
}

// gpuCores is what an accelerator counts for beside cores; the deployments
// price one as eight.
const gpuCores = 8

// Cores is one figure for all of r, to compare amounts of work: cores, and an
// accelerator as eight of them. Memory does not count.
func (r Resources) Cores() float64 {
	return float64(r.MilliCPU)/1000 + gpuCores*float64(r.GPU)
}

// Fits reports whether r is within free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Minus returns the difference, which may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Max returns the larger of the two in every dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.GPU, o.GPU)}
}

// Min returns the smaller of the two in every dimension.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.MilliCPU, o.MilliCPU), min(r.MemoryMB, o.MemoryMB), min(r.GPU, o.GPU)}
}

// Times returns r n times over.
func (r Resources) Times(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.GPU * n}
}

// Step is a part of a job: Count tasks of the same size that may run side by
// side once all tasks of the steps in After are done.
type Step struct {
	Count    int           `json:"count" msgpack:"n"`
	Size     Resources     `json:"size" msgpack:"s"`
	Estimate time.Duration `json:"estimate,omitempty" msgpack:"e,omitempty"` // the caller's guess of one task's duration; often far off
	After    []int         `json:"after,omitempty" msgpack:"a,omitempty"`    // numbers of earlier steps, from 0

	Checkpoints   bool `json:"checkpoints,omitempty" msgpack:"k,omitempty"`    // progress is saved now and then
	Gang          bool `json:"gang,omitempty" msgpack:"g,omitempty"`           // tasks work only while all of them are present
	RackSensitive bool `json:"rack_sensitive,omitempty" msgpack:"r,omitempty"` // slower when spread over racks
	Duplicates    bool `json:"duplicates,omitempty" msgpack:"d,omitempty"`     // copies of a task may run side by side
	LongRunning   bool `json:"lasting,omitempty" msgpack:"l,omitempty"`        // runs until cancelled, restarted however it ends
	BestEffort    bool `json:"fill,omitempty" msgpack:"f,omitempty"`           // processor share is not reserved: runs on what others leave

	Requires       string        `json:"requires,omitempty" msgpack:"q,omitempty"`        // label the worker must have
	DataRack       string        `json:"data_rack,omitempty" msgpack:"w,omitempty"`       // rack of the data; slower elsewhere
	AntiAffinity   int           `json:"anti_affinity,omitempty" msgpack:"x,omitempty"`   // most tasks of the step on one worker; 0: any
	Image          string        `json:"image,omitempty" msgpack:"i,omitempty"`           // tasks of one image behave alike
	TargetTail     time.Duration `json:"target_tail,omitempty" msgpack:"t,omitempty"`     // tail latency the task owes its own users; 0: none
	MaxUnavailable int           `json:"max_unavailable,omitempty" msgpack:"u,omitempty"` // most tasks that orders of ours may have away at a time
}

// Serving reports whether the step's tasks answer users of their own.
func (s *Step) Serving() bool { return s.TargetTail > 0 }

// Schedule repeats a job's steps at set times; the zero value runs them once,
// at once.
type Schedule struct {
	Times int           `json:"times,omitempty" msgpack:"n,omitempty"`
	First time.Time     `json:"first,omitempty,omitzero" msgpack:"f,omitempty"` // by the wall clock
	Every time.Duration `json:"every,omitempty" msgpack:"e,omitempty"`
}

// Due returns when occurrence k is due.
func (s Schedule) Due(k int) time.Time { return s.First.Add(time.Duration(k) * s.Every) }

// Job is what a caller submitted.
type Job struct {
	ID    JobID  `json:"id" msgpack:"i"`
	Queue string `json:"queue" msgpack:"q"`
	Spec  string `json:"spec" msgpack:"s"`
	// Workspace is whose key came with the job, and whose limit its tasks count towards.
	Workspace WorkspaceName `json:"workspace,omitempty" msgpack:"o,omitempty"`
	Steps     []Step        `json:"steps" msgpack:"t"`
	Schedule  Schedule      `json:"schedule,omitzero" msgpack:"r,omitempty"`
	// Accepted is when the entry VM read the request, by its wall clock.
	Accepted time.Time `json:"accepted" msgpack:"a"`
}

// Occurrences returns how often the steps run in all.
func (j *Job) Occurrences() int { return max(1, j.Schedule.Times) }

// Timed reports whether the job runs by the clock.
func (j *Job) Timed() bool { return j.Schedule.Times > 0 }

// LongRunning reports whether the job runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// State is where a job stands, as its caller is told.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether nothing of the job will run any more.
func (s State) Ended() bool { return s == Completed || s == Failed || s == Cancelled }

// StepRef names a step of one occurrence of a job.
type StepRef struct {
	Job        JobID
	Occurrence int
	Step       int
}

// String returns the name as workers and the advisor read it.
func (s StepRef) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskRef names one task.
type TaskRef struct {
	StepRef
	Index int
}

// String returns the name as workers read it.
func (t TaskRef) String() string { return t.StepRef.String() + "." + strconv.Itoa(t.Index) }

// ParseTask reads a task's name.
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

// End says how one run of a task ended.
type End string

// The ways a run ends.
const (
	Done           End = "done"
	Faulted        End = "failed"  // through its own fault or the worker's
	Stopped        End = "stopped" // by an order
	LeaseExpired   End = "lapsed"  // its lease ran out
	GangBroken     End = "broken"  // another member of its gang ended
	GangIncomplete End = "alone"   // the rest of its gang did not come in time
)

// VMState is where a VM stands in the platform's list.
type VMState string

// The states of a VM.
const (
	VMUp          VMState = "up"
	VMMoving      VMState = "moving"
	VMMaintenance VMState = "maintenance"
	VMDown        VMState = "down"
)

// VM is one VM of the fleet, as the platform lists it.
type VM struct {
	ID     string
	Pool   string
	State  VMState
	Zone   string
	Labels []string
	Size   Resources
	Worker WorkerID // its present life; empty while it has none
}

// Wave is maintenance ordered for a set of VMs.
type Wave struct {
	Name       string
	VMs        []string
	Duration   time.Duration // how long the whole wave may take
	MaxAtATime int
}
