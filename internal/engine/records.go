package engine

import (
	"encoding/json"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/work"
)

// JobStub is what the store holds under a job's ID for as long as it may be
// asked for. It is made when the job is accepted and must stay: it keeps the ID
// from being used again.
type JobStub struct {
	Cell string `json:"cell,omitempty"` // whose owner knows more
	// Workspace is whose the job is; empty: it may be asked about and cancelled by anybody.
	Workspace work.WorkspaceName `json:"workspace,omitempty"`

	State work.State `json:"state,omitempty"` // empty until the job has ended
	Ended time.Time  `json:"ended,omitzero"`
}

// JobRecord is what the store holds of a job until it ends.
type JobRecord struct {
	Job   *work.Job `json:"job"`
	Queue Queue     `json:"queue"` // as configured when accepted
}

// CreateOps returns the writes that accept a job. They belong under the condition
// that the job's key is absent.
func CreateOps(cell string, j *work.Job, q Queue) ([]infra.Op, error) {
	stub, err := json.Marshal(JobStub{Cell: cell, Workspace: j.Workspace})
	if err != nil {
		return nil, err
	}
	record, err := json.Marshal(JobRecord{Job: j, Queue: q})
	if err != nil {
		return nil, err
	}
	id := string(j.ID)
	return []infra.Op{infra.Put(infra.WorkJobKey(id), stub), infra.Put(infra.WorkOpenKey(cell, id), record)}, nil
}

// EndOps returns the writes that end a job in the way that the stub says.
func EndOps(id work.JobID, stub JobStub) ([]infra.Op, error) {
	raw, err := json.Marshal(stub)
	if err != nil {
		return nil, err
	}
	return []infra.Op{infra.Put(infra.WorkJobKey(string(id)), raw), infra.Delete(infra.WorkOpenKey(stub.Cell, string(id)))}, nil
}

// SameWorkspace is nil where the stub is of a job that the caller handed in before, and
// ErrOtherWorkspace where the ID is another workspace's. A stub that can't be read is taken
// for the caller's: the job is there, and a repeated call must not be told that it is not.
func SameWorkspace(stub []byte, j *work.Job) error {
	var s JobStub
	if err := json.Unmarshal(stub, &s); err == nil && s.Workspace != j.Workspace {
		return ErrOtherWorkspace
	}
	return nil
}

// MayAccess reports whether callers of the workspace may see and cancel a job of the owner's.
func MayAccess(owner, caller work.WorkspaceName) bool { return owner == "" || owner == caller }
