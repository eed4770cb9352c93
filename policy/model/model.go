// Package model holds the plain data types that policies and the code that carries them out
// share: VMs, pools, services, budgets, waves, jobs and teams. Its methods only derive
// values from the fields of their receiver.
package model

import "time"

// Identifiers have distinct string types, so that a zone can't be passed where a rack is
// expected.
type (
	// ZoneName names an availability zone.
	ZoneName string
	// RackName names a rack; racks do not span zones.
	RackName string
	// VMID identifies one VM of the fleet.
	VMID string
	// PoolName names a pool of VMs.
	PoolName string
	// ServiceName names a service that callers reach.
	ServiceName string
	// TeamName names a team that owns jobs and a quota.
	TeamName string
	// WaveName names a maintenance wave.
	WaveName string
	// JobID identifies one submitted job.
	JobID string
	// EntryID identifies one entry VM (one daemon).
	EntryID string
	// ChangeID identifies one change that an operator or a reconciler requested. A request
	// that repeats a ChangeID is the same change.
	ChangeID string
	// AttemptID identifies one attempt at an action outside the process. The platform doesn't
	// carry out an attempt a second time.
	AttemptID string
)

// Class is the urgency of work. A greater value is more urgent.
type Class int8

// The classes of calls and jobs.
const (
	ClassDeferrable Class = iota
	ClassNormal
	ClassUrgent
)

// ParseClass returns the class that a name of the API stands for. It returns ClassNormal
// and false for any other name.
func ParseClass(s string) (Class, bool) {
	switch s {
	case "urgent":
		return ClassUrgent, true
	case "normal":
		return ClassNormal, true
	case "deferrable":
		return ClassDeferrable, true
	}
	return ClassNormal, false
}

// String returns the name of the class in the API.
func (c Class) String() string {
	switch c {
	case ClassUrgent:
		return "urgent"
	case ClassDeferrable:
		return "deferrable"
	}
	return "normal"
}

// Resources is an amount of each kind of resource: what a worker offers or a task uses.
type Resources struct {
	MilliCPU     int64 // thousandths of a core
	MemoryMB     int64 // mebibytes
	Accelerators int64 // whole devices
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// VMState is the state of a VM in its lifecycle. It is stored in the key that also holds the
// VM's pool, so that one compare-and-swap on the key changes both.
type VMState string

// The lifecycle of a VM under maintenance: in-pool -> leaving -> empty -> rebooting ->
// probation -> in-pool. A move takes it through leaving -> empty -> in-pool of the new pool.
const (
	VMInPool    VMState = "in-pool"
	VMLeaving   VMState = "leaving"
	VMEmpty     VMState = "empty"
	VMRebooting VMState = "rebooting"
	VMProbation VMState = "probation"
)

// Health is the known health of a VM. The zero value is HealthUnknown, which counts as
// down in every count.
type Health int8

// The values of Health.
const (
	HealthUnknown Health = iota
	HealthHealthy
	HealthDown
)

// String returns the word that operators see.
func (h Health) String() string {
	switch h {
	case HealthHealthy:
		return "healthy"
	case HealthDown:
		return "down"
	}
	return "unknown"
}

// VM is one VM of the fleet, as it is kept in the platform's store.
type VM struct {
	ID       VMID
	Zone     ZoneName
	Rack     RackName
	Pool     PoolName // the only pool that the VM belongs to
	Address  string   // host:port of the VM's runner, the server that runs requests and tasks on it
	Capacity Resources
	State    VMState
	MoveTo   PoolName  // the pool that the VM moves to once it is empty; empty if it isn't moving
	Holder   string    // what has claimed the VM, such as "wave spring" or "order c-17"; empty if nothing
	Attempt  AttemptID // the attempt at an action outside the process that is in progress
	Since    time.Time // when the VM entered State
	Change   ChangeID  // the change that wrote this state
	Reason   string    // explanation for operators, a sentence
	Wave     WaveName  // the last wave that was finished on this VM

	Run        ChangeID      // the run of the wave that holds the VM, or the last that was finished on it
	Order      ChangeID      // the last order that took effect on this VM
	ProofBoots int           // min value of Machine.Boots that proves the ordered reboot; 0 if none was ordered
	Out        time.Time     // when the VM was last taken out of its pool
	Took       time.Duration // how long the VM was out of its pool for the last maintenance
	Postponed  time.Time     // when a drain of the VM was last given up; zero if never
	Cut        bool          // an order allows ending what still runs on the VM
	Ledgers    []ServiceName // the services whose ledgers record a stop of this VM
}

// Pool is a declared set of VMs that serves requests or runs jobs.
type Pool struct {
	Name PoolName
	VMs  []VMID // declared members at the start; a move changes the VM's key, not this list
}

// Quantity is a number of VMs or a share of a pool's VMs. Only one of the two is set.
type Quantity struct {
	Count int     // number of VMs
	Share float64 // 0..1 of the pool's VMs, used if Count is 0
}

// Of returns the number of VMs that q stands for out of total. A share is rounded up, so
// that a budget keeps at least as many VMs available as it promises.
func (q Quantity) Of(total int) int {
	if q.Count > 0 || q.Share <= 0 {
		return q.Count
	}
	n := int(q.Share * float64(total))
	if float64(n) < q.Share*float64(total)-1e-9 {
		n++
	}
	return n
}

// Budget is a service's availability budget.
type Budget struct {
	MinAvailable Quantity // min available VMs of the service
	MinPerZone   Quantity // min available VMs in each zone in which the service has VMs; zero: no minimum
}

// Service is a service that callers reach by its name.
type Service struct {
	Name       ServiceName
	Pools      []PoolName // pools whose VMs are the service's targets
	Class      Class
	Repeatable bool          // false: a request runs at most once, and needs an Idempotency-Key
	Timeout    time.Duration // time limit for an answer if the caller gives none
	Slots      int           // max requests in progress at a time on a runner (the server on each VM)
	Conns      int           // max connections to a runner
	Limit      int           // max requests in flight; 0: as many as the slots of live runners allow
	Remember   time.Duration // how long an Idempotency-Key is kept
	Budget     Budget
}

// Weights are the relative weights of the goals of a deployment, which waves and placement
// trade off against each other.
type Weights struct {
	RollOutTime float64
	BufferCost  float64
	Moves       float64
}

// Wave is a declared maintenance wave.
type Wave struct {
	Name        WaveName
	Pools       []PoolName // in the order they are visited
	Canary      int        // number of VMs that are maintained first, before all others
	MaxBatch    int        // max VMs out of their pools at a time; 0: as many as the budgets allow
	MaxFailures int        // number of correlated failures that pauses the wave
	Probation   time.Duration
	Grace       time.Duration // time limit for a drain, after which it is postponed
	Weights     Weights
}

// Team is a team that owns jobs and has a guaranteed share of the workers.
type Team struct {
	Name       TeamName
	Guaranteed Resources
}

// Job is a job to be placed on a worker.
type Job struct {
	ID           JobID
	Team         TeamName
	Kind         string // jobs of the same kind share learned sizes
	Class        Class
	Pool         PoolName // the pool to run in; empty: any pool
	Zone         ZoneName // the zone to run in; empty: any zone
	Declared     Resources
	RunTime      time.Duration // as declared by the caller
	Repeatable   bool
	Checkpoints  bool
	SubmittedAt  time.Time
	SpreadByRack bool
}
