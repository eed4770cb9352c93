// Package model holds the plain nouns that decisions and their executors
// share: VMs, pools, services, budgets, waves, jobs and teams. It has no
// behaviour beyond small questions a value can answer about itself.
package model

import "time"

// Identifiers are strings with types of their own, so that a zone cannot be
// passed where a rack is meant.
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
	// ChangeID identifies one change an operator or reconciler asked for. A
	// repeat with the same ChangeID is the same change.
	ChangeID string
	// AttemptID identifies one attempt at an outside effect; the platform
	// treats a repeat of it as done.
	AttemptID string
)

// Class orders work by urgency. Greater is more urgent.
type Class int8

// The classes callers and jobs may have.
const (
	ClassDeferrable Class = iota
	ClassNormal
	ClassUrgent
)

// ParseClass turns the contract's word into a Class.
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

// String returns the contract's word for the class.
func (c Class) String() string {
	switch c {
	case ClassUrgent:
		return "urgent"
	case ClassDeferrable:
		return "deferrable"
	}
	return "normal"
}

// Resources are what a worker offers and a task uses.
type Resources struct {
	MilliCPU     int64 // thousandths of a processor
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

// Fits reports whether r fits into free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// VMState is where a VM stands in its life. It is one field of the one key
// that also names the pool, so that a CAS on the key decides both.
type VMState string

// The life of a VM: in-pool -> leaving -> empty -> rebooting -> probation ->
// in-pool. A move takes leaving -> empty -> in-pool of the new pool.
const (
	VMInPool    VMState = "in-pool"
	VMLeaving   VMState = "leaving"
	VMEmpty     VMState = "empty"
	VMRebooting VMState = "rebooting"
	VMProbation VMState = "probation"
)

// Health is what is known of a VM's health. The zero value is unknown, which
// every count treats as down.
type Health int8

// What can be known of a VM's health.
const (
	HealthUnknown Health = iota
	HealthHealthy
	HealthDown
)

// String returns the word operators see.
func (h Health) String() string {
	switch h {
	case HealthHealthy:
		return "healthy"
	case HealthDown:
		return "down"
	}
	return "unknown"
}

// VM is one VM of the fleet as the platform's store holds it.
type VM struct {
	ID       VMID
	Zone     ZoneName
	Rack     RackName
	Pool     PoolName // the one pool the VM belongs to
	Address  string   // host:port of the runner on it
	Capacity Resources
	State    VMState
	MoveTo   PoolName  // the pool it goes to once empty; empty if it stays
	Holder   string    // what has claimed the VM: "wave spring", "order c-17"; empty if nothing
	Attempt  AttemptID // the attempt at the outside effect in progress
	Since    time.Time // when State was entered
	Change   ChangeID  // the change that wrote this state
	Reason   string    // a sentence a person reads
	Wave     WaveName  // the last wave that finished on this VM

	Run        ChangeID      // the run of the wave that holds the VM or finished on it last
	Order      ChangeID      // the last order that took effect on this VM
	ProofBoots int           // Machine.Boots from which the ordered reboot is proven; 0 where none was ordered
	Out        time.Time     // when the VM was last taken out of its pool
	Took       time.Duration // how long the last maintenance kept the VM out
	Postponed  time.Time     // when a drain was last given up; zero if never
	Cut        bool          // an order allowed to cut what still runs
	Ledgers    []ServiceName // the services whose ledgers hold a stop of this VM
}

// Pool is a declared set of VMs that runs one service's requests or jobs.
type Pool struct {
	Name PoolName
	VMs  []VMID // declared members at the start; moves change the VM's key
}

// Quantity is a count or a share of the whole; exactly one of them is set.
type Quantity struct {
	Count int     // number of VMs
	Share float64 // 0..1 of the pool's VMs, used where Count is 0
}

// Of returns the number of VMs the quantity means out of total, rounded up:
// a budget never promises less than it says.
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
	MinAvailable Quantity // least available VMs of the service
	MinPerZone   Quantity // least available VMs in each zone the service has VMs in; zero for none
}

// Service is what callers reach by name.
type Service struct {
	Name       ServiceName
	Pools      []PoolName // pools whose VMs are its targets
	Class      Class
	Repeatable bool          // false: at most once, an Idempotency-Key is required
	Timeout    time.Duration // how long an answer is of use if the caller does not say
	Slots      int           // requests a runner works on at once
	Conns      int           // connections a runner takes
	Limit      int           // most requests in flight; 0 for what live slots allow
	Remember   time.Duration // how long an Idempotency-Key is remembered
	Budget     Budget
}

// Weights steer waves and placement by what a deployment values.
type Weights struct {
	RollOutTime float64
	BufferCost  float64
	Moves       float64
}

// Wave is a declared maintenance wave.
type Wave struct {
	Name        WaveName
	Pools       []PoolName // in the order they are visited
	Canary      int        // VMs maintained alone first
	MaxBatch    int        // most VMs out at once; 0 for what the budgets allow
	MaxFailures int        // correlated failures that pause the wave
	Probation   time.Duration
	Grace       time.Duration // how long a drain may take before it is postponed
	Weights     Weights
}

// Team owns jobs and a guaranteed share of the workers.
type Team struct {
	Name       TeamName
	Guaranteed Resources
}

// Job is work to be placed on a worker.
type Job struct {
	ID           JobID
	Team         TeamName
	Kind         string // jobs of a kind share learned sizes
	Class        Class
	Pool         PoolName // where it may run; empty for any pool
	Zone         ZoneName // where it must run; empty for any zone
	Declared     Resources
	RunTime      time.Duration // declared
	Repeatable   bool
	Checkpoints  bool
	SubmittedAt  time.Time
	SpreadByRack bool
}
