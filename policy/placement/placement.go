// Package placement decides which waiting job runs on which worker. MakePlan is a
// pure function of a snapshot: the same snapshot gives the same plan.
//
// Load pattern: thousands of jobs wait for a fleet that is nearly full, while
// urgent jobs arrive. First fit fragments the free capacity by scattering small
// jobs over all workers: no worker can take a large job while a third of the
// fleet is idle. It also lets a burst of deferrable jobs delay urgent ones.
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
	Used     model.Resources // reserved by tasks that run or are being started
	// ClosedReason is the reason why the worker accepts no new task now; empty if it
	// accepts tasks. A closed worker still counts as one that could run a job
	// later, so it doesn't make a refusal final.
	ClosedReason string
	// Probe marks a quarantined worker that gets one repeatable job, to find out
	// whether it works again.
	Probe bool
	// MaintenanceSoon marks a worker that is about to be taken for maintenance.
	MaintenanceSoon bool
}

func (w *Worker) free() model.Resources { return w.Capacity.Sub(w.Used) }

// Request is a waiting job.
type Request struct {
	Job    *model.Job
	Size   model.Resources // capacity to reserve, as estimated by package sizing
	LastVM model.VMID      // where it last ran; empty if it never ran
	Avoid  []model.VMID    // workers that it failed on
}

// Task is a job that has capacity of a worker reserved.
type Task struct {
	Job      *model.Job
	VM       model.VMID
	Size     model.Resources
	Since    time.Time
	Stopping bool // already being stopped
}

// Weights are the weights of the terms of a worker's score. Only their ratios
// matter.
type Weights struct {
	// Pack prefers workers with little free capacity, which limits fragmentation
	// so that a large job still finds a worker.
	Pack float64
	// Spread keeps tasks of a kind that asks for it apart, in different racks
	// and zones.
	Spread float64
	// AvoidMaintenance avoids workers with MaintenanceSoon.
	AvoidMaintenance float64
	// SameWorker prefers the worker that a stopped job last ran on.
	SameWorker float64
}

// WeightsOf derives the score weights from the priorities that a deployment
// declares: BufferCost weighs packing, RollOutTime weighs keeping tasks off
// workers about to be maintained, Moves weighs restarting a job where it ran.
// A deployment that declares none gets 1 for each.
func WeightsOf(d model.Weights) Weights {
	if d == (model.Weights{}) {
		d = model.Weights{RollOutTime: 1, BufferCost: 1, Moves: 1}
	}
	return Weights{Pack: d.BufferCost, Spread: 2, AvoidMaintenance: d.RollOutTime, SameWorker: d.Moves}
}

// Snapshot is the input of MakePlan.
type Snapshot struct {
	Workers []Worker
	Waiting []Request
	Running []Task
	Teams   []model.Team
	Weights Weights
}

// Placement assigns a job to a worker.
type Placement struct {
	Job  model.JobID
	VM   model.VMID
	Size model.Resources
}

// Preemption stops a task to free capacity for another job. That job is placed
// by a later plan, once the worker has reported the capacity as free.
type Preemption struct {
	Task       model.JobID
	For        model.JobID
	VM         model.VMID
	Checkpoint bool // stop at a checkpoint
}

// Constraint names the constraint that keeps a job from being placed.
type Constraint string

// The constraints.
const (
	ConstraintPool          Constraint = "pool"
	ConstraintZone          Constraint = "zone"
	ConstraintCPU           Constraint = "processors"
	ConstraintMemory        Constraint = "memory"
	ConstraintAccelerators  Constraint = "accelerators"
	ConstraintQuota         Constraint = "quota"
	ConstraintFailures      Constraint = "failures"
	ConstraintWorkersClosed Constraint = "workers closed"
	ConstraintFreeCapacity  Constraint = "room"
)

// Refusal says why a job is not placed.
type Refusal struct {
	Job        model.JobID
	Permanent  bool // no worker of the fleet can ever run it as things are declared
	Constraint Constraint
	Nearest    model.VMID // the worker that misses the least; empty if there is none
	Detail     string     // explanation for operators
}

// Plan is the result of MakePlan. Each waiting job is either in Placements or in
// Refused; a job for which tasks are preempted is in Refused.
type Plan struct {
	Placements  []Placement
	Preemptions []Preemption
	Refused     []Refusal
}
