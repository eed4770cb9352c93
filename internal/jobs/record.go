package jobs

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// State is where a job stands.
type State string

// The states of a job. Starting is the intent: an attempt ID is in the store
// and the platform may or may not have been asked. Unknown is a job that is
// not repeatable and may have run; only an operator's word moves it on, or the
// platform's if it still learns what became of the attempt.
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

// Ended reports whether the job is over.
func (s State) Ended() bool { return s == Succeeded || s == Failed || s == Cancelled }

// holdsCapacity reports whether the job holdsCapacity capacity of a worker.
func (s State) holdsCapacity() bool { return s == Starting || s == Running }

// Record is one job as the store holds it.
type Record struct {
	model.Job
	State   State
	VM      model.VMID      `json:",omitempty"` // where it runs or ran last
	Attempt model.AttemptID `json:",omitempty"` // the newest attempt to start it
	Owner   string          `json:",omitempty"` // who wrote the intent; it alone sends the start
	Size    model.Resources // what the worker sets aside
	Since   time.Time       // when State was entered
	Reason  string          `json:",omitempty"` // a sentence a person reads
	// CancelBy is the change that asked for the job to be cancelled while its
	// task was being started or ran.
	CancelBy model.ChangeID `json:",omitempty"`
	FailedOn []model.VMID   `json:",omitempty"` // distinct workers it failed on
	// LostEarly is how often its worker was lost soon after it began there.
	LostEarly int `json:",omitempty"`
	// MinMemoryMB is twice the memory that was too little for it, and Grow how
	// often that happened.
	MinMemoryMB     int64          `json:"LeastMB,omitempty"`
	MemoryDoublings int            `json:"Grow,omitempty"`
	History         []HistoryEntry `json:"Chain,omitempty"` // the newest, oldest first
}

// HistoryEntry is one link of what happened to a job.
type HistoryEntry struct {
	At   time.Time
	Text string
}

const (
	// maxHistory and maxFailedOn bound a record, so that a group of them stays
	// far below the store's limit of a value whatever happens to its jobs.
	maxHistory     = 12
	maxFailedOn    = 8
	maxReasonBytes = 300
)

// enter moves the record to a state.
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

// group is one value of the store: the jobs submitted together, at most
// groupSize of them. Jobs never change groups, so that an ID names its key.
type group struct {
	Change model.ChangeID // that wrote it last; proves whose write it was
	Jobs   []Record
}

func (g *group) clone() *group {
	out := &group{Change: g.Change, Jobs: make([]Record, len(g.Jobs))}
	copy(out.Jobs, g.Jobs)
	for i := range out.Jobs {
		out.Jobs[i].History = append([]HistoryEntry(nil), out.Jobs[i].History...)
		out.Jobs[i].FailedOn = append([]model.VMID(nil), out.Jobs[i].FailedOn...)
	}
	return out
}
