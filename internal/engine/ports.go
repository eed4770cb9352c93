// Package engine carries jobs out. One entry VM at a time owns the workers and
// runs an engine: it keeps what is accepted, places tasks on workers, extends
// their leases, takes note of ends and stores them. Core is its state machine,
// free of network and clock; Engine drives it.
package engine

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/policy/work"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

// WorkerInfo is what a worker's registration says.
type WorkerInfo struct {
	ID          work.WorkerID
	Incarnation work.Incarnation
	Service     string
	Address     string // host:port
	Zone        string
	Capacity    work.Resources
	Labels      []string
	Draining    bool
	// Unreadable: its registration was overwritten by one that can't be read. What runs
	// there goes on; it takes nothing new until it registers again.
	Unreadable bool
	// Clock is the worker's own clock when it wrote the registration. Only
	// answers of the worker itself are used for deadlines.
	Clock time.Duration
}

// Run is one run of a task on a worker, as the worker lists it.
type Run struct {
	Task       work.TaskRef
	Run        int
	Checkpoint string
	Percent    int // of the work done; for lasting tasks 100 once at work
	// Gauge is the worker's rough figure of the last half second: the tail
	// latency in milliseconds of a serving task, else thousandths of a core.
	Gauge int
}

// RunEnd is the end of a run, listed until it is acknowledged.
type RunEnd struct {
	Seq        int64 // rises by one with each end of one worker
	Task       work.TaskRef
	Run        int
	How        work.End
	Checkpoint string
}

// Listing is what a worker answers when it is looked at.
type Listing struct {
	Clock   time.Duration // the worker's own clock
	Brief   bool          // Running was left out
	Running []Run
	Ended   []RunEnd
	Life    work.Incarnation // which answers
}

// Hold extends the lease of all that runs on a worker and asks what does.
type Hold struct {
	Token        int64
	AckedThrough int64
	Deadline     time.Duration // on the worker's clock; 0: extends nothing
	Wait         time.Duration // how long the answer may wait for an end
	Brief        bool          // what runs need not be told

	next work.Incarnation // a later or earlier life was registered as the poll left; 0: none
}

// Start orders one run of a task.
type Start struct {
	Task       work.TaskRef
	Run        int
	Spec       string
	Deadline   time.Duration // on the worker's clock
	Token      int64
	Checkpoint string
	Ticket     string
}

// Outcome is what a worker made of an order.
type Outcome int8

// The outcomes of an order.
const (
	// OutcomeUnknown: no answer; the order may have been or may yet be
	// carried out.
	OutcomeUnknown Outcome = iota
	OutcomeOK
	OutcomeFenced           // a later owner was here
	OutcomeOldRun           // the worker ended or stopped that run or a later one
	OutcomeLate             // the deadline had passed
	OutcomeNoCapacity       // not enough left of its capacity
	OutcomeNoTicket         // the advisor's ticket is missing or has expired
	OutcomeRefused          // the worker is unhealthy or did not understand; nothing was done
	OutcomeOtherIncarnation // the worker at that address is another life
	OutcomeNotSent          // no connection was had; nothing was done
)

// DelayMeter tells how long what is ready to run waits for this VM's processor.
type DelayMeter interface {
	// MaxDelay is the longest wait of the last second.
	MaxDelay() time.Duration
	// MinDelay is the least wait of late.
	MinDelay() time.Duration
}

// Workers gives orders to workers.
type Workers interface {
	Start(ctx context.Context, w *WorkerInfo, s Start) (Outcome, time.Duration)
	Stop(ctx context.Context, w *WorkerInfo, task work.TaskRef, run int, token int64) Outcome
	Hold(ctx context.Context, w *WorkerInfo, h Hold) (Listing, Outcome)
	Pace(ctx context.Context, w *WorkerInfo, task work.TaskRef, run int, percent int, token int64) Outcome
}

// Machines lists the fleet's VMs and gives orders for them.
type Machines interface {
	List(ctx context.Context) ([]work.VM, error)
	Move(ctx context.Context, vm, pool string, token int64) VMOutcome
	Maintain(ctx context.Context, vm, wave string, token int64) VMOutcome
}

// VMOutcome is what the platform made of an order for a VM.
type VMOutcome int8

// The outcomes of an order for a VM.
const (
	VMUnknown VMOutcome = iota // no answer; it may yet be carried out
	VMDone                     // accepted, or done before
	VMFenced
	VMBusy    // not up, or leaving
	VMInvalid // no such VM, wave or pool for it
	VMRefused // refused unread: rate or trouble
)

var vmOutcomeNames = map[VMOutcome]string{
	VMUnknown: "unanswered", VMDone: "ok", VMFenced: "fenced", VMBusy: "busy", VMInvalid: "invalid", VMRefused: "refused",
}

// String returns the outcome as logs show it.
func (o VMOutcome) String() string { return vmOutcomeNames[o] }

// Ticket permits the tasks of one step on one worker.
type Ticket struct {
	Worker work.WorkerID
	Ticket string
}

// Advisor says which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, step work.StepRef, workers []work.WorkerID) (tickets []Ticket, validity time.Duration, err error)
}

// Queue is a queue of the operator's configuration.
type Queue struct {
	Name        string
	Service     string
	Priority    int           // 0 comes first
	MaxAttempts int           // runs of a task that may end failed
	Stretch     float64       // objective: this many times the longest chain of work ...
	Slack       time.Duration // ... and this much more
	Advised     bool          // placement needs the advisor's tickets
	Open        bool          // callers need no key
}

// Service is a pool of VMs.
type Service struct {
	Name    string
	Standby bool // its VMs are off
	// Unguarded: its workers start what they are told to, also beyond their room.
	Unguarded bool
}

// Declared is the part of the operator's configuration that jobs need.
type Declared struct {
	Version  int64
	Queues   map[string]Queue
	Services map[string]Service
	// Workspaces are those with keys; a job of one that is not among them has no limit.
	Workspaces map[work.WorkspaceName]workspace.Workspace
}
