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
	Cell  string     `json:"cell,omitempty"`  // whose owner knows more
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
	stub, err := json.Marshal(JobStub{Cell: cell})
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

// EndOps returns the writes that end a job.
func EndOps(cell string, id work.JobID, state work.State, wall time.Time) ([]infra.Op, error) {
	stub, err := json.Marshal(JobStub{Cell: cell, State: state, Ended: wall})
	if err != nil {
		return nil, err
	}
	return []infra.Op{infra.Put(infra.WorkJobKey(string(id)), stub), infra.Delete(infra.WorkOpenKey(cell, string(id)))}, nil
}
