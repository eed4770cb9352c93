// Package placement decides which waiting job goes to which worker. Plan is a
// pure function of a snapshot: the same snapshot gives the same plan.
//
// Load pattern: thousands of jobs wait for a fleet that is nearly full, while
// urgent ones arrive. First fit scatters small jobs over all workers, so that
// no worker has room for a large one while a third of the fleet is idle; it
// also lets a deferrable flood stand before urgent work.
package placement

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Worker is a VM that may run jobs.
type Worker struct {
	ID       model.VMID
	Zone     model.ZoneName
	Rack     model.RackName
	Pool     model.PoolName
	Capacity model.Resources
	Used     model.Resources // set aside for tasks that run or are being started
	// Closed says why the worker takes no new task now; empty if it does. A
	// closed worker still counts when it is asked whether a job can ever run.
	Closed string
	// Probe: the worker was quarantined and gets one repeatable job to show
	// whether it works again.
	Probe bool
	// MaintenanceSoon: the worker is about to be maintained.
	MaintenanceSoon bool
}

func (w *Worker) free() model.Resources { return w.Capacity.Sub(w.Used) }

// Request is a waiting job.
type Request struct {
	Job    *model.Job
	Size   model.Resources // what the worker sets aside; from package sizing
	LastVM model.VMID      // where it ran before, if it did
	Avoid  []model.VMID    // workers it failed on
}

// Task is a job that holds capacity of a worker.
type Task struct {
	Job      *model.Job
	VM       model.VMID
	Size     model.Resources
	Since    time.Time
	Stopping bool // it is being stopped already
}

// Weights steer the score. Each is compared with the others only.
type Weights struct {
	// Pack prefers workers with little left, so that spare capacity is held
	// together and a large job still finds a worker.
	Pack float64
	// Spread keeps tasks of a kind that asks for it in different racks and zones.
	Spread float64
	// AvoidMaintenance avoids workers about to be maintained.
	AvoidMaintenance float64
	// SameWorker prefers the worker that a stopped job ran on.
	SameWorker float64
}

// WeightsOf derives the weights from what a deployment values: buffer cost
// asks for packing, roll-out time for workers free of tasks when their turn
// comes, moves for staying. A deployment that declares nothing gets 1 each.
func WeightsOf(d model.Weights) Weights {
	if d == (model.Weights{}) {
		d = model.Weights{RollOutTime: 1, BufferCost: 1, Moves: 1}
	}
	return Weights{Pack: d.BufferCost, Spread: 2, AvoidMaintenance: d.RollOutTime, SameWorker: d.Moves}
}

// Snapshot is all that Plan looks at.
type Snapshot struct {
	Workers []Worker
	Waiting []Request
	Running []Task
	Teams   []model.Team
	Weights Weights
}

// Placement puts a job on a worker.
type Placement struct {
	Job  model.JobID
	VM   model.VMID
	Size model.Resources
}

// Preemption stops a task to make room. The job it makes room for is placed
// by a later plan, once the worker has said that the room is there.
type Preemption struct {
	Task       model.JobID
	For        model.JobID
	VM         model.VMID
	Checkpoint bool // stop at a checkpoint
}

// Constraint is what keeps a job from running.
type Constraint string

// The constraints.
const (
	BindsPool         Constraint = "pool"
	BindsZone         Constraint = "zone"
	BindsCPU          Constraint = "processors"
	BindsMemory       Constraint = "memory"
	BindsAccelerators Constraint = "accelerators"
	BindsQuota        Constraint = "quota"
	BindsFailures     Constraint = "failures"
	BindsClosed       Constraint = "workers closed"
	BindsFreeCapacity Constraint = "room"
)

// Refusal says why a job is not placed.
type Refusal struct {
	Job     model.JobID
	Never   bool // no worker of the fleet could ever run it
	Binds   Constraint
	Nearest model.VMID // the worker that comes closest; empty if none
	Detail  string     // a sentence a person reads
}

// Plan is what should be done about a snapshot. Each waiting job is in
// Placements or in Refused.
type Plan struct {
	Placements  []Placement
	Preemptions []Preemption
	Refused     []Refusal
}
