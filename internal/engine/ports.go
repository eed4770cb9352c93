// Package engine runs jobs. Each service's workers and the jobs on them form a cell, which one
// entry VM at a time owns. The owner runs an engine, which stores accepted jobs, places their
// tasks on workers, extends the workers' leases, and receives and stores the ends of runs. Core
// is its state machine, without network or clock; Engine drives it.
package engine

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/policy/work"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

// WorkerInfo is a worker's registration.
type WorkerInfo struct {
	ID          work.WorkerID
	Incarnation work.Incarnation
	Service     string
	Address     string // host:port
	Zone        string
	Capacity    work.Resources
	Labels      []string
	Draining    bool
	// Unreadable means that the registration was overwritten by one that can't be decoded.
	// Runs on the worker go on; it gets no new ones until it registers again.
	Unreadable bool
	// Clock is the time on the worker's clock when it wrote the registration. Deadlines are
	// computed only from the clock in the worker's answers.
	Clock time.Duration
}

// Run is one run of a task, as its worker lists it.
type Run struct {
	Task       work.TaskRef
	Run        int
	Checkpoint string // the newest that the worker reports for the run; empty if it reports none
	Percent    int    // of the work that is done; 100 for a long-running task whose start-up is over
	// Gauge is the worker's estimate over the last half second: for a serving task the tail
	// latency in milliseconds, otherwise the processor use in thousandths of a core.
	Gauge int
}

// RunEnd is the end of a run. The worker lists it in its answers to polls until the owner acknowledges it
// by Hold.AckedThrough.
type RunEnd struct {
	Seq        int64 // 1 greater than that of the worker's previous end
	Task       work.TaskRef
	Run        int
	How        work.End
	Checkpoint string // the newest that the worker reports for the run; empty if it reports none
}

// Listing is a worker's answer to a poll.
type Listing struct {
	Clock   time.Duration // the worker's own clock
	Brief   bool          // answers a brief poll: Running is left out
	Running []Run
	Ended   []RunEnd
	Life    work.Incarnation // incarnation that answers
	// MoreEnds: ends may be left out until those listed are acknowledged. A run that is listed nowhere
	// may have ended.
	MoreEnds bool
}

// Hold is a poll of a worker. It extends the lease of all runs on the worker and asks for a
// Listing.
type Hold struct {
	Token        int64         // fencing token of the owner's term
	AckedThrough int64         // Seq of the last RunEnd that is acknowledged, with all before it
	Deadline     time.Duration // new end of the lease, on the worker's clock; 0: extends nothing
	Wait         time.Duration // how long the worker may delay its answer until a run ends
	Brief        bool          // brief poll: the answer need not list the running tasks

	// next is another incarnation, later or earlier, that was registered when the poll was
	// sent; 0: none.
	next work.Incarnation
}

// Start is an order to start one run of a task.
type Start struct {
	Task work.TaskRef
	Run  int    // number of the run; greater than those of the task's earlier runs
	Spec string // of the job, as its caller submitted it
	// Deadline is the latest time, on the worker's clock, at which the worker may carry out the
	// order. The order also extends the worker's lease to that time, as a poll would.
	Deadline   time.Duration
	Token      int64  // fencing token of the owner's term
	Checkpoint string // the task's newest checkpoint; empty if it has none
	Ticket     string // text of the advisor's Ticket; empty if the queue needs none
}

// Outcome is the result of an order to a worker.
type Outcome int8

// The outcomes of an order.
const (
	// OutcomeUnknown means no answer: the order may have been carried out, or may yet be.
	OutcomeUnknown Outcome = iota
	OutcomeOK
	OutcomeFenced           // the worker has had orders of a later owner
	OutcomeOldRun           // that run, or a later one of the task, has ended or was stopped
	OutcomeLate             // the deadline had passed
	OutcomeNoCapacity       // not enough free capacity
	OutcomeNoTicket         // the advisor's ticket is missing or has expired
	OutcomeRefused          // the worker is unhealthy or rejected the request; nothing was done
	OutcomeOtherIncarnation // another incarnation of the worker answered
	OutcomeNotSent          // no connection was made; nothing was done
)

// DelayMeter measures this process's scheduling delay: how long something that is ready to run
// waits for the VM's processor.
type DelayMeter interface {
	// MaxDelay returns the longest delay of the last second.
	MaxDelay() time.Duration
	// MinDelay returns the shortest recent delay, see overload.Meter.
	MinDelay() time.Duration
}

// Workers sends orders to workers. Start also returns the time on the worker's clock.
type Workers interface {
	Start(ctx context.Context, w *WorkerInfo, s Start) (Outcome, time.Duration)
	Stop(ctx context.Context, w *WorkerInfo, task work.TaskRef, run int, token int64) Outcome
	Hold(ctx context.Context, w *WorkerInfo, h Hold) (Listing, Outcome)
	Pace(ctx context.Context, w *WorkerInfo, task work.TaskRef, run int, percent int, token int64) Outcome
}

// Machines lists the fleet's VMs and sends the platform orders for them.
type Machines interface {
	List(ctx context.Context) ([]work.VM, error)
	Move(ctx context.Context, vm, pool string, token int64) VMOutcome
	Maintain(ctx context.Context, vm, wave string, token int64) VMOutcome
}

// VMOutcome is the result of an order for a VM.
type VMOutcome int8

// The outcomes of an order for a VM.
const (
	VMUnknown VMOutcome = iota // no answer; the order may yet be carried out
	VMDone                     // accepted, or carried out before
	VMFenced
	VMBusy    // the VM is not up, or is being removed
	VMInvalid // no such VM, or no such wave or pool for it
	VMRefused // refused without being examined: rate limit or platform failure
)

var vmOutcomeNames = map[VMOutcome]string{
	VMUnknown: "unanswered", VMDone: "ok", VMFenced: "fenced", VMBusy: "busy", VMInvalid: "invalid", VMRefused: "refused",
}

// String returns the outcome as logs show it.
func (o VMOutcome) String() string { return vmOutcomeNames[o] }

// Ticket is the advisor's permission to run tasks of one step on one worker.
type Ticket struct {
	Worker work.WorkerID
	Ticket string
}

// AdviceAnswer is the answer to an AdviceOrder.
type AdviceAnswer struct {
	Tickets  []Ticket      // for those of the named workers that may run the step
	Validity time.Duration // of the tickets; 0: as the queue's configuration tells
	Duration time.Duration // of the call
	Err      error         // not nil: nothing is known about the workers
	TimedOut bool          // Err is that the call's timeout was reached
}

// Advisor decides which workers may run a step. The tickets that Advise returns are valid for
// the returned duration, or for that of the queue's configuration if it is 0. It names at most
// maxAdviceBatch workers.
type Advisor interface {
	Advise(ctx context.Context, step work.StepRef, workers []work.WorkerID) (tickets []Ticket, validity time.Duration, err error)
}

// Queue is a queue of the operator's configuration.
type Queue struct {
	Name        string
	Service     string
	Priority    int // 0 comes first
	MaxAttempts int // failed runs of a task after which its job fails; 0: unlimited
	// A job's objective is Stretch times the length of its critical path, plus Slack. A Stretch
	// below 1 counts as 1.
	Stretch float64
	Slack   time.Duration
	Advised bool // starts need a ticket of the advisor
	// Advice tells how long the advisor of an advised queue takes and its tickets last.
	Advice AdviceCost `json:",omitzero" msgpack:",omitempty"`
	Open   bool       // callers need no key
}

// Service is the configuration of a service, which has a pool of VMs.
type Service struct {
	Name    string
	Standby bool // its VMs are off
	// Unguarded means that its workers obey every start, even beyond their capacity.
	Unguarded bool
}

// Declared is the part of the operator's configuration that the engine needs.
type Declared struct {
	Version  int64
	Queues   map[string]Queue
	Services map[string]Service
	// Workspaces are the workspaces that have keys. Jobs of other workspaces have no limit.
	Workspaces map[work.WorkspaceName]workspace.Workspace
}
