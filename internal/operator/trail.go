package operator

import (
	"context"

	"github.com/pumicestage/pumicestage/internal/audit"
	"github.com/pumicestage/pumicestage/internal/command"
	"github.com/pumicestage/pumicestage/internal/query"
)

// CommandTrail is the audit trail as package command needs it.
type CommandTrail struct {
	Trail *audit.Trail
}

// Record implements command.Trail.
func (t CommandTrail) Record(ctx context.Context, e command.Event) error {
	return t.Trail.Record(ctx, entryOf(e))
}

// RecordLimited implements command.Trail.
func (t CommandTrail) RecordLimited(e command.Event) { t.Trail.RecordLimited(entryOf(e)) }

var stageResult = map[command.Stage]audit.Result{
	command.StageAsked:   audit.Asked,
	command.StageDone:    audit.Done,
	command.StageRefused: audit.Refused,
	command.StageUnknown: audit.Unknown,
}

func entryOf(e command.Event) audit.Entry {
	return audit.Entry{
		At: e.At, Who: e.By.Name, From: e.By.From, Change: e.Change,
		What: e.Action, Before: e.Before, After: e.After, Result: stageResult[e.Stage], Detail: e.Detail,
	}
}

// historyLimit bounds how much of the trail an explanation shows.
const historyLimit = 20

// QueryHistory is the audit trail as package query needs it.
type QueryHistory struct {
	Trail *audit.Trail
}

// Reasons implements query.History.
func (h QueryHistory) Reasons(ctx context.Context, subject string) ([]query.Reason, error) {
	entries, _, err := h.Trail.Read(ctx, audit.Filter{Subject: subject, Limit: historyLimit})
	if err != nil {
		return nil, err
	}
	reasons := make([]query.Reason, 0, len(entries))
	for _, e := range entries {
		reasons = append(reasons, query.Reason{At: e.At, Text: sentence(e)})
	}
	return reasons, nil
}

func sentence(e audit.Entry) string {
	text := string(e.Result) + ": " + e.What + " by " + e.Who
	if e.Result == audit.Automatic {
		text = e.What + " went from " + e.Before + " to " + e.After + " on " + e.From
	}
	if e.Detail != "" {
		text += " (" + e.Detail + ")"
	}
	return text
}
