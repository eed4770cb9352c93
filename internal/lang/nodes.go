// Package lang parses the operators' command language. Each line is one statement:
// a question, which is read-only, or an order, which changes state.
package lang

import "github.com/pumicestage/pumicestage/policy/model"

// Statement is one parsed line: a Question or an Order.
type Statement interface {
	statement()
}

// Question asks without changing anything: Show, Explain or WhatIf.
type Question interface {
	Statement
	question()
}

// Order requests a change.
type Order interface {
	Statement
	// ReasonText returns the operator's reason for the order; empty if none was
	// given.
	ReasonText() string
}

// Kind is the kind of objects that a Show lists.
type Kind string

// The kinds of Show.
const (
	ShowVMs      Kind = "vms"
	ShowServices Kind = "services"
	ShowPools    Kind = "pools"
	ShowWaves    Kind = "waves"
	ShowJobs     Kind = "jobs"
	ShowBudgets  Kind = "budgets"
	ShowEntries  Kind = "entries"
	ShowZones    Kind = "zones"
	ShowRacks    Kind = "racks"
	ShowTeams    Kind = "teams"
)

// Comparison is the operator of a Condition.
type Comparison string

// The comparisons.
const (
	Equal          Comparison = "="
	NotEqual       Comparison = "!="
	Less           Comparison = "<"
	LessOrEqual    Comparison = "<="
	Greater        Comparison = ">"
	GreaterOrEqual Comparison = ">="
)

// Condition is one comparison of a where clause. A clause matches if all of its
// conditions do.
type Condition struct {
	Field      string
	Comparison Comparison
	Value      string
}

// Show lists the objects of one kind that satisfy all conditions.
type Show struct {
	Kind    Kind
	Service model.ServiceName // "show budget SERVICE": only this service's
	Where   []Condition
}

// Subject is the kind of object that an Explain or a Scope names.
type Subject string

// The subjects.
const (
	SubjectVM      Subject = "vm"
	SubjectRack    Subject = "rack"
	SubjectZone    Subject = "zone"
	SubjectJob     Subject = "job"
	SubjectWave    Subject = "wave"
	SubjectService Subject = "service"
)

// Explain asks for the reasons for the current state of one object.
type Explain struct {
	Subject Subject
	Name    string
}

// Scope is one VM, or all VMs of a rack or zone.
type Scope struct {
	Subject Subject // SubjectVM, SubjectRack or SubjectZone
	Name    string
}

// WhatIf asks for the effect of an order, a loss of VMs or a new declaration.
// Exactly one field is set.
type WhatIf struct {
	Order       Order  // Drain, Move or StartWave
	Lose        *Scope // the loss of a VM, rack or zone
	Declaration bool   // the declaration sent along with the question
}

// Reason is the operator's reason for an order. It is embedded in every order.
type Reason struct {
	Text string
}

// ReasonText implements Order.
func (r Reason) ReasonText() string { return r.Text }

// Drain takes VMs out of service, gracefully unless Cut is set.
type Drain struct {
	Reason
	Scope Scope
	Cut   bool // stop work that is still running; only an explicit order may do that
}

// Undrain cancels a drain and returns the VM to service.
type Undrain struct {
	Reason
	VM model.VMID
}

// Move moves a VM to another pool.
type Move struct {
	Reason
	VM   model.VMID
	Pool model.PoolName
}

// StartWave starts a declared maintenance wave, which reboots the VMs of its pools
// in batches.
type StartWave struct {
	Reason
	Wave  model.WaveName
	Pools []model.PoolName // empty for the declared pools
}

// PauseWave pauses a running maintenance wave.
type PauseWave struct {
	Reason
	Wave model.WaveName
}

// ResumeWave continues a paused maintenance wave.
type ResumeWave struct {
	Reason
	Wave model.WaveName
}

// CancelWave ends a maintenance wave. VMs that it took out of service return to
// service.
type CancelWave struct {
	Reason
	Wave model.WaveName
}

// SetLimit sets a service's limit of requests in flight; 0 removes the limit.
type SetLimit struct {
	Reason
	Service model.ServiceName
	Limit   int
}

// CancelJobs cancels one job or, if Job is empty, all jobs that satisfy the
// conditions.
type CancelJobs struct {
	Reason
	Job   model.JobID
	Where []Condition
}

// SubmitJob submits a job.
type SubmitJob struct {
	Reason
	Job model.Job // without SubmittedAt
}

func (Show) statement()       {}
func (Explain) statement()    {}
func (WhatIf) statement()     {}
func (Drain) statement()      {}
func (Undrain) statement()    {}
func (Move) statement()       {}
func (StartWave) statement()  {}
func (PauseWave) statement()  {}
func (ResumeWave) statement() {}
func (CancelWave) statement() {}
func (SetLimit) statement()   {}
func (CancelJobs) statement() {}
func (SubmitJob) statement()  {}

func (Show) question()    {}
func (Explain) question() {}
func (WhatIf) question()  {}
