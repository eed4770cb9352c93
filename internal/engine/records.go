package engine

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/work"
)

// JobStub is the value of a job's key under infra.WorkJobPrefix, the job key. It is written when
// the job is accepted and stays at least for as long as callers may ask for the job's state, since
// the key also prevents a second job with the same ID. Retention deletes it.
type JobStub struct {
	Cell string `json:"cell,omitempty"` // its owner knows the state of a job that has not ended
	// Workspace owns the job; empty: any caller may query and cancel it.
	Workspace work.WorkspaceName `json:"workspace,omitempty"`

	State work.State `json:"state,omitempty"` // empty until the job has ended
	Ended time.Time  `json:"ended,omitzero"`

	// CancelledBy holds the workspaces of the callers that cancelled the job before any submission of
	// it was stored; empty: the job was created. "" stands for a caller without a workspace.
	CancelledBy []work.WorkspaceName `json:"cancelled-by,omitempty"`
}

// NeverCreated reports whether the job was only cancelled. Callers are told that there is no such job.
func (s *JobStub) NeverCreated() bool { return len(s.CancelledBy) > 0 }

// prevents reports whether one of the cancellations keeps a job of the workspace from being created.
func (s *JobStub) prevents(workspace work.WorkspaceName) bool {
	return slices.ContainsFunc(s.CancelledBy, func(by work.WorkspaceName) bool { return MayAccess(workspace, by) })
}

// JobRecord is the stored description of a job that has not ended.
type JobRecord struct {
	Job   *work.Job `json:"job"`
	Queue Queue     `json:"queue"` // as configured when accepted
}

// CreateOps returns the writes that accept a job: its job key and its record. The
// transaction must be conditional on the absence of the job key. The error is ErrTooLarge if the store
// takes no such record.
func CreateOps(cell string, j *work.Job, q Queue) ([]infra.Op, error) {
	stub, err := json.Marshal(JobStub{Cell: cell, Workspace: j.Workspace})
	if err != nil {
		return nil, err
	}
	record, err := json.Marshal(JobRecord{Job: j, Queue: q})
	if err != nil {
		return nil, err
	}
	if len(record) > infra.MaxValueBytes {
		return nil, ErrTooLarge
	}
	id := string(j.ID)
	return []infra.Op{infra.Put(infra.WorkJobKey(id), stub), infra.Put(infra.WorkOpenKey(cell, id), record)}, nil
}

// EndOps returns the writes that end a job: the stub with its final state replaces the
// job key's value, and the record is deleted.
func EndOps(id work.JobID, stub JobStub) ([]infra.Op, error) {
	raw, err := json.Marshal(stub)
	if err != nil {
		return nil, err
	}
	return []infra.Op{infra.Put(infra.WorkJobKey(string(id)), raw), infra.Delete(infra.WorkOpenKey(stub.Cell, string(id)))}, nil
}

// PreventOps returns the write that keeps the cancellers' jobs from being created under the ID: a
// submission that is stored later finds the job key. The transaction must be conditional on the job
// key, which doesn't exist or holds the earlier cancellations.
func PreventOps(cell string, id work.JobID, cancelledBy []work.WorkspaceName, at time.Time) ([]infra.Op, error) {
	raw, err := json.Marshal(JobStub{Cell: cell, State: work.Cancelled, Ended: at, CancelledBy: cancelledBy})
	if err != nil {
		return nil, err
	}
	return []infra.Op{infra.Put(infra.WorkJobKey(string(id)), raw)}, nil
}

// CheckRepeat tells what the job key under j's ID means for j. It returns nil if j repeats the
// submission of that job, ErrOtherWorkspace if another workspace uses the ID, and ErrCancelledEarly if
// the job was cancelled before it was created. free tells that j may be created in place of the key:
// there is none, or only workspaces that may not cancel j have cancelled the ID. A malformed stub counts
// as the caller's: the job exists, and a repeated submission must not be told that it doesn't.
func CheckRepeat(key infra.KV, j *work.Job) (free bool, err error) {
	var s JobStub
	switch err := json.Unmarshal(key.Value, &s); {
	case key.ModRevision == 0:
		return true, nil
	case err != nil:
		return false, nil
	case s.prevents(j.Workspace):
		return false, ErrCancelledEarly
	case s.NeverCreated():
		return true, nil
	case s.Workspace != j.Workspace:
		return false, ErrOtherWorkspace
	}
	return false, nil
}

// MayAccess reports whether callers of workspace caller may query and cancel a job of
// workspace owner. A job without a workspace is open to all.
func MayAccess(owner, caller work.WorkspaceName) bool { return owner == "" || owner == caller }
