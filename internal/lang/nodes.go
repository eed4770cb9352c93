// Package lang is the operators' language: one line a statement. A statement
// is a question, which never changes state, or an order, which does.
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

// Order asks for a change.
type Order interface {
	Statement
	// ReasonText returns the operator's reason; empty where none was given.
	ReasonText() string
}

// Kind is what a Show lists.
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

// Condition is one comparison of a where clause; all must hold.
type Condition struct {
	Field      string
	Comparison Comparison
	Value      string
}

// Show lists things of one kind.
type Show struct {
	Kind    Kind
	Service model.ServiceName // "show budget SERVICE": only this service's
	Where   []Condition
}

// Subject is what an Explain or a Scope names.
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

// Explain asks for the chain of reasons behind one thing's state.
type Explain struct {
	Subject Subject
	Name    string
}

// Scope is one VM, or all VMs of a rack or zone.
type Scope struct {
	Subject Subject // SubjectVM, SubjectRack or SubjectZone
	Name    string
}

// WhatIf asks what an order or a loss would do. Exactly one field is set.
type WhatIf struct {
	Order       Order  // Drain, Move or StartWave
	Lose        *Scope // the loss of a VM, rack or zone
	Declaration bool   // the declaration sent along with the question
}

// Reason is embedded in every order.
type Reason struct {
	Text string
}

// ReasonText implements Order.
func (r Reason) ReasonText() string { return r.Text }

// Drain takes VMs out of service, gracefully unless Cut.
type Drain struct {
	Reason
	Scope Scope
	Cut   bool // stop what still runs; only an explicit order may
}

// Undrain takes a drain back.
type Undrain struct {
	Reason
	VM model.VMID
}

// Move takes a VM to another pool.
type Move struct {
	Reason
	VM   model.VMID
	Pool model.PoolName
}

// StartWave starts a declared wave.
type StartWave struct {
	Reason
	Wave  model.WaveName
	Pools []model.PoolName // empty for the declared pools
}

// PauseWave pauses a running wave.
type PauseWave struct {
	Reason
	Wave model.WaveName
}

// ResumeWave lets a paused wave go on.
type ResumeWave struct {
	Reason
	Wave model.WaveName
}

// CancelWave ends a wave; VMs it has taken out come back.
type CancelWave struct {
	Reason
	Wave model.WaveName
}

// SetLimit sets a service's limit of requests in flight; 0 takes it away.
type SetLimit struct {
	Reason
	Service model.ServiceName
	Limit   int
}

// CancelJobs cancels one job, or all that fulfil the conditions.
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
