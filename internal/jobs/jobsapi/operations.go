package jobsapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"github.com/pumicestage/pumicestage/internal/access"
	"github.com/pumicestage/pumicestage/internal/jobs"
	"github.com/pumicestage/pumicestage/internal/jobs/jobsport"
	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Job is a job in a submit. Class is urgent, normal or deferrable; empty means
// normal. RunTime is a Go duration such as 90s.
type Job struct {
	Team         model.TeamName `json:"team"`
	Kind         string         `json:"kind"`
	Class        string         `json:"class,omitempty"`
	Pool         model.PoolName `json:"pool,omitempty"`
	Zone         model.ZoneName `json:"zone,omitempty"`
	MilliCPU     int64          `json:"milliCPU"`
	MemoryMB     int64          `json:"memoryMB"`
	Accelerators int64          `json:"accelerators,omitempty"`
	RunTime      string         `json:"runTime,omitempty"`
	Repeatable   bool           `json:"repeatable"`
	Checkpoints  bool           `json:"checkpoints,omitempty"`
	SpreadByRack bool           `json:"spreadByRack,omitempty"`
}

// SubmitRequest is the body of a submit. Change is its change ID: a repeat with
// the same one adds nothing and returns the same job IDs.
type SubmitRequest struct {
	Change model.ChangeID `json:"change,omitempty"`
	Jobs   []Job          `json:"jobs"`
}

// SubmitReply has the IDs of the submitted jobs, in the order of the request.
type SubmitReply struct {
	Jobs []model.JobID `json:"jobs"`
}

// Status is the state of a job.
type Status struct {
	ID      model.JobID         `json:"id"`
	Team    model.TeamName      `json:"team"`
	Kind    string              `json:"kind"`
	Class   string              `json:"class"`
	State   jobs.State          `json:"state"`
	VM      model.VMID          `json:"vm,omitempty"`
	Since   time.Time           `json:"since"`
	Reason  string              `json:"reason,omitempty"`
	History []jobs.HistoryEntry `json:"chain,omitempty"` // only in the reply for a single job
}

// ListReply is the reply to a list.
type ListReply struct {
	Jobs []Status `json:"jobs"`
}

// CancelReply has the number of jobs cancelled and the refusals.
type CancelReply struct {
	Change    model.ChangeID `json:"change,omitempty"`
	Cancelled int            `json:"cancelled"` // includes those in Stopping
	Stopping  int            `json:"stopping"`  // cancelled once their task has stopped
	Refused   []string       `json:"refused,omitempty"`
}

// OutcomeRequest decides the outcome of a job in state unknown: ran, not-run or
// cancelled.
type OutcomeRequest struct {
	Outcome jobs.Verdict `json:"outcome"`
}

func (h *handler) submit(ctx context.Context, r *http.Request, who access.Identity) (any, error) {
	var req SubmitRequest
	if err := readBody(r, &req); err != nil {
		return nil, err
	}
	all := make([]model.Job, len(req.Jobs))
	for i := range req.Jobs {
		job, err := req.Jobs[i].model(i)
		if err != nil {
			return nil, err
		}
		all[i] = job
	}
	ids, err := h.Jobs.Submit(ctx, req.Change, all)
	h.recordAudit(r, who, req.Change, "submit "+count(len(all))+" jobs", firstJobDetail(ids), err)
	return SubmitReply{Jobs: ids}, err
}

func firstJobDetail(ids []model.JobID) string {
	if len(ids) == 0 {
		return ""
	}
	return "from " + string(ids[0])
}

func (j *Job) model(i int) (model.Job, error) {
	out := model.Job{
		Team: j.Team, Kind: j.Kind, Class: model.ClassNormal, Pool: j.Pool, Zone: j.Zone,
		Declared:   model.Resources{MilliCPU: j.MilliCPU, MemoryMB: j.MemoryMB, Accelerators: j.Accelerators},
		Repeatable: j.Repeatable, Checkpoints: j.Checkpoints, SpreadByRack: j.SpreadByRack,
	}
	if j.Class != "" {
		class, ok := model.ParseClass(j.Class)
		if !ok {
			return out, invalid(fmt.Sprintf("jobs[%d].class", i), "want urgent, normal or deferrable")
		}
		out.Class = class
	}
	if j.RunTime != "" {
		d, err := time.ParseDuration(j.RunTime)
		if err != nil || d < 0 {
			return out, invalid(fmt.Sprintf("jobs[%d].runTime", i), "want a duration such as 90s")
		}
		out.RunTime = d
	}
	return out, nil
}

func (h *handler) list(ctx context.Context, r *http.Request, _ access.Identity) (any, error) {
	records, err := h.selected(ctx, r)
	if err != nil {
		return nil, err
	}
	reply := ListReply{Jobs: make([]Status, len(records))}
	for i := range records {
		reply.Jobs[i] = status(&records[i])
	}
	return reply, nil
}

func status(r *jobs.Record) Status {
	return Status{ID: r.ID, Team: r.Team, Kind: r.Kind, Class: r.Class.String(), State: r.State, VM: r.VM, Since: r.Since, Reason: r.Reason}
}

func (h *handler) get(ctx context.Context, r *http.Request, _ access.Identity) (any, error) {
	record, err := h.Jobs.Get(ctx, idOf(r))
	if err != nil {
		return nil, err
	}
	s := status(&record)
	s.History = record.History
	return s, nil
}

func (h *handler) cancelOne(ctx context.Context, r *http.Request, who access.Identity) (any, error) {
	reply, err := h.cancel(ctx, r, who, []model.JobID{idOf(r)})
	if err == nil && len(reply.Refused) > 0 {
		return nil, &jobs.Refusal{Code: jobs.CodeState, Detail: reply.Refused[0]}
	}
	return reply, err
}

// cancelMany cancels the jobs that match the query parameters. It requires at
// least one filter, because a DELETE of all jobs is more often a mistake than
// intended.
func (h *handler) cancelMany(ctx context.Context, r *http.Request, who access.Identity) (any, error) {
	where, err := conditions(r.URL.Query())
	if err != nil {
		return nil, err
	}
	if len(where) == 0 {
		return nil, invalid("query", "name what to cancel, such as team=panel")
	}
	ids, err := jobsport.CommandAdapter{Executor: h.Jobs}.Select(ctx, where)
	if err != nil {
		return nil, err
	}
	return h.cancel(ctx, r, who, ids)
}

func (h *handler) cancel(ctx context.Context, r *http.Request, who access.Identity, ids []model.JobID) (CancelReply, error) {
	q := r.URL.Query()
	change := model.ChangeID(q.Get("change"))
	if change == "" {
		change = h.Jobs.NewChangeID()
	}
	all, err := h.Jobs.Cancel(ctx, change, q.Get("reason"), ids)
	reply := CancelReply{Change: change}
	for _, c := range all {
		switch {
		case c.Refused != nil:
			reply.Refused = append(reply.Refused, c.Refused.Error())
		case c.Stopping:
			reply.Stopping++
			reply.Cancelled++
		default:
			reply.Cancelled++
		}
	}
	h.recordAudit(r, who, change, "cancel "+count(len(ids))+" jobs", q.Get("reason"), err)
	return reply, err
}

func (h *handler) decide(ctx context.Context, r *http.Request, who access.Identity) (any, error) {
	var req OutcomeRequest
	if err := readBody(r, &req); err != nil {
		return nil, err
	}
	err := h.Jobs.Decide(ctx, idOf(r), req.Outcome, who.Name)
	h.recordAudit(r, who, "", "decide job "+string(idOf(r)), string(req.Outcome), err)
	if err != nil {
		return nil, err
	}
	return h.get(ctx, r, who)
}

func (h *handler) selected(ctx context.Context, r *http.Request) ([]jobs.Record, error) {
	where, err := conditions(r.URL.Query())
	if err != nil {
		return nil, err
	}
	records, err := h.Jobs.List(ctx)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(records, func(r jobs.Record) bool { return !jobsport.Matches(&r, where) }), nil
}

// conditions converts the query parameters to equality conditions on the columns
// of "show jobs". Unknown parameters are refused, because ignoring a misspelt
// filter would select every job.
func conditions(q url.Values) ([]lang.Condition, error) {
	var where []lang.Condition
	for name, values := range q {
		if name == "change" || name == "reason" {
			continue
		}
		if !slices.Contains(filterColumns, name) || len(values) != 1 {
			return nil, invalid("query."+name, fmt.Sprintf("want one value each of %v", filterColumns))
		}
		where = append(where, lang.Condition{Field: name, Comparison: lang.Equal, Value: values[0]})
	}
	return where, nil
}

// filterColumns are the columns of "show jobs" that can be used as filters.
var filterColumns = []string{"job", "team", "kind", "class", "state", "vm", "pool", "zone"}

func idOf(r *http.Request) model.JobID { return model.JobID(mux.Vars(r)["id"]) }

func invalid(field, detail string) error {
	return &jobs.Refusal{Code: jobs.CodeInvalid, Field: field, Detail: detail}
}

func readBody(r *http.Request, into any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return invalid("body", err.Error())
	}
	return nil
}
