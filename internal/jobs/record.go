package jobs

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// State is the state of a job.
type State string

// The states of a job. Starting means that the intent with an attempt ID is in the
// store and the platform may or may not have been asked to start the task.
// Unknown is the state of a job that is not repeatable and may have run. It
// leaves that state when an operator decides the outcome or the platform reports
// what became of the attempt.
const (
	Waiting     State = "waiting"
	Starting    State = "starting"
	Running     State = "running"
	Unplaceable State = "unplaceable"
	Unknown     State = "unknown"
	Succeeded   State = "succeeded"
	Failed      State = "failed"
	Cancelled   State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == Succeeded || s == Failed || s == Cancelled }

// holdsCapacity reports whether a job in this state occupies capacity of a worker.
func (s State) holdsCapacity() bool { return s == Starting || s == Running }

// Record is a job with its state, as it is stored.
type Record struct {
	model.Job
	State   State
	VM      model.VMID      `json:",omitempty"` // where it runs or ran last
	Attempt model.AttemptID `json:",omitempty"` // ID of the latest attempt to start it
	Owner   string          `json:",omitempty"` // process that wrote the intent; only it sends the start
	Size    model.Resources // resources reserved on the worker
	Since   time.Time       // time at which State was entered
	Reason  string          `json:",omitempty"` // human-readable explanation of State
	// CancelBy is the change that asked for the job to be cancelled while its
	// task was being started or ran.
	CancelBy model.ChangeID `json:",omitempty"`
	FailedOn []model.VMID   `json:",omitempty"` // distinct workers it failed on
	// LostEarly counts how often its worker was lost within earlyLossWindow of the
	// start.
	LostEarly int `json:",omitempty"`
	// MinMemoryMB is twice the memory that the job last exceeded, in MB, and
	// MemoryDoublings is how often that has happened.
	MinMemoryMB     int64          `json:"LeastMB,omitempty"`
	MemoryDoublings int            `json:"Grow,omitempty"`
	History         []HistoryEntry `json:"Chain,omitempty"` // the first entry and the latest ones, oldest first
}

// HistoryEntry records one state change of a job.
type HistoryEntry struct {
	At   time.Time
	Text string
}

const (
	// maxHistory, maxFailedOn and maxReasonBytes bound the size of a record, so
	// that a group always stays far below the store's limit on the size of a value.
	maxHistory     = 12
	maxFailedOn    = 8
	maxReasonBytes = 300
)

// enter sets the record's state, time and reason, and adds a history entry. Long
// reasons are cut to maxReasonBytes, and only the first and the latest history
// entries are kept, maxHistory in all.
func (r *Record) enter(s State, at time.Time, reason string) {
	if len(reason) > maxReasonBytes {
		reason = reason[:maxReasonBytes]
	}
	r.State, r.Since, r.Reason = s, at, reason
	text := string(s)
	if s.holdsCapacity() {
		text += " on " + string(r.VM)
	}
	if reason != "" {
		text += ": " + reason
	}
	r.History = append(r.History, HistoryEntry{At: at, Text: text})
	if len(r.History) > maxHistory {
		r.History = append(r.History[:1:1], r.History[len(r.History)-maxHistory+1:]...)
	}
}

// group is one value in the store: up to groupSize jobs that were submitted
// together. Jobs never move between groups, so a job's key follows from its ID.
type group struct {
	Change model.ChangeID // ID of the last write, to tell whether a write with a lost reply took effect
	Jobs   []Record
	// Submission is the digest of all jobs that were submitted together, in this and
	// other groups; empty in groups of earlier versions.
	Submission string `json:",omitempty"`
}

func (g *group) clone() *group {
	out := &group{Change: g.Change, Submission: g.Submission, Jobs: make([]Record, len(g.Jobs))}
	copy(out.Jobs, g.Jobs)
	for i := range out.Jobs {
		out.Jobs[i].History = append([]HistoryEntry(nil), out.Jobs[i].History...)
		out.Jobs[i].FailedOn = append([]model.VMID(nil), out.Jobs[i].FailedOn...)
	}
	return out
}
