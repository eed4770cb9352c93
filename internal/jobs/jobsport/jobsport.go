// Package jobsport adapts the job executor to the interfaces that operators'
// commands and queries use.
package jobsport

import (
	"context"
	"errors"

	"github.com/pumicestage/pumicestage/internal/command"
	"github.com/pumicestage/pumicestage/internal/jobs"
	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/internal/query"
	"github.com/pumicestage/pumicestage/policy/model"
)

// CommandAdapter implements command.BulkJobs on a jobs.Jobs.
type CommandAdapter struct {
	Executor *jobs.Jobs
}

var _ command.BulkJobs = CommandAdapter{}

// Cancel implements command.Jobs. A job has only the revision of its group, which
// also changes with the other jobs of the group, so if-revision is refused.
func (o CommandAdapter) Cancel(ctx context.Context, job model.JobID, t command.OrderMeta) (command.Effect, error) {
	effects, err := o.CancelAll(ctx, []model.JobID{job}, t)
	if err != nil {
		return command.Effect{}, err
	}
	if effects[0].Refused != nil {
		return command.Effect{}, effects[0].Refused
	}
	return effects[0], nil
}

// CancelAll implements command.BulkJobs. It refuses if-revision as Cancel does.
func (o CommandAdapter) CancelAll(ctx context.Context, ids []model.JobID, t command.OrderMeta) ([]command.Effect, error) {
	if t.IfRevision != 0 {
		return nil, &command.Refusal{Code: command.CodeRevision, Detail: "jobs have no revision of their own"}
	}
	out, err := o.Executor.Cancel(ctx, t.Change, t.Reason, ids)
	if err != nil {
		return nil, CommandError(t.Change, err)
	}
	effects := make([]command.Effect, len(out))
	for i, c := range out {
		effects[i] = effect(&c)
	}
	return effects, nil
}

func effect(c *jobs.Cancellation) command.Effect {
	e := command.Effect{Subject: "job " + string(c.Job), Before: string(c.Before), After: string(c.After)}
	if c.Stopping {
		e.After += " once its task has stopped"
	}
	if c.Refused != nil {
		e.Refused = &command.Refusal{Code: command.Code(c.Refused.Code), Detail: c.Refused.Detail}
	}
	return e
}

// Select implements command.Jobs. Ended jobs are left out, since they can't be
// cancelled.
func (o CommandAdapter) Select(ctx context.Context, where []lang.Condition) ([]model.JobID, error) {
	records, err := o.Executor.List(ctx)
	if err != nil {
		return nil, CommandError("", err)
	}
	var ids []model.JobID
	for i := range records {
		if !records[i].State.Ended() && Matches(&records[i], where) {
			ids = append(ids, records[i].ID)
		}
	}
	return ids, nil
}

// Matches reports whether the job satisfies all conditions.
func Matches(r *jobs.Record, where []lang.Condition) bool {
	for _, c := range where {
		if !compare(column(r, c.Field), c) {
			return false
		}
	}
	return true
}

// compare reports whether the value satisfies the condition. Values are compared
// as text, because the columns of "show jobs" are names and words.
func compare(value string, c lang.Condition) bool {
	switch c.Comparison {
	case lang.Equal:
		return value == c.Value
	case lang.NotEqual:
		return value != c.Value
	case lang.Less:
		return value < c.Value
	case lang.LessOrEqual:
		return value <= c.Value
	case lang.Greater:
		return value > c.Value
	}
	return value >= c.Value
}

// column returns the job's value in the named column of "show jobs", or "" for an
// unknown column.
func column(r *jobs.Record, name string) string {
	switch name {
	case "job":
		return string(r.ID)
	case "team":
		return string(r.Team)
	case "kind":
		return r.Kind
	case "class":
		return r.Class.String()
	case "state":
		return string(r.State)
	case "vm":
		return string(r.VM)
	case "pool":
		return string(r.Pool)
	case "zone":
		return string(r.Zone)
	case "reason":
		return r.Reason
	}
	return ""
}

// QueryAdapter implements query.Jobs on a jobs.Jobs.
type QueryAdapter struct {
	Executor *jobs.Jobs
}

var _ query.Jobs = QueryAdapter{}

// Jobs implements query.Jobs.
func (q QueryAdapter) Jobs(ctx context.Context) ([]query.JobStatus, error) {
	records, err := q.Executor.List(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]query.JobStatus, len(records))
	for i := range records {
		out[i] = status(&records[i])
	}
	return out, nil
}

func status(r *jobs.Record) query.JobStatus {
	s := query.JobStatus{Job: r.Job, State: string(r.State), Since: r.Since, Reason: r.Reason}
	if r.State != jobs.Waiting && r.State != jobs.Unplaceable {
		s.VM = r.VM
	}
	for _, h := range r.History {
		s.History = append(s.History, query.Reason{At: h.At, Text: h.Text})
	}
	return s
}

// CommandError converts an error of package jobs to one of package command: a
// *command.Refusal for a *jobs.Refusal or a *jobs.Error that isn't Uncertain, and
// a *command.UncertainError for anything else.
func CommandError(change model.ChangeID, err error) error {
	var refusal *jobs.Refusal
	if errors.As(err, &refusal) {
		return &command.Refusal{Code: command.Code(refusal.Code), Revision: refusal.Revision, Detail: refusal.Detail}
	}
	var failed *jobs.Error
	if errors.As(err, &failed) && !failed.Uncertain {
		return &command.Refusal{Code: command.CodeUnavailable, Detail: failed.Error()}
	}
	return &command.UncertainError{Change: change, Err: err}
}
