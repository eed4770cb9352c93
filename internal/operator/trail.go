package operator

import (
	"context"

	"github.com/pumicestage/pumicestage/internal/audit"
	"github.com/pumicestage/pumicestage/internal/command"
	"github.com/pumicestage/pumicestage/internal/query"
)

// CommandTrail adapts the audit trail to the command.Trail interface.
type CommandTrail struct {
	Trail *audit.Trail
}

// Record implements command.Trail. It returns an error if the entry could not be
// written.
func (t CommandTrail) Record(ctx context.Context, e command.Event) error {
	return t.Trail.Record(ctx, auditEntry(e))
}

// RecordLimited implements command.Trail.
func (t CommandTrail) RecordLimited(e command.Event) { t.Trail.RecordLimited(auditEntry(e)) }

// stageResult maps the stage of an order to the result in its audit entry.
var stageResult = map[command.Stage]audit.Result{
	command.StageAsked:   audit.Asked,
	command.StageDone:    audit.Done,
	command.StageRefused: audit.Refused,
	command.StageUnknown: audit.Unknown,
}

func auditEntry(e command.Event) audit.Entry {
	return audit.Entry{
		At: e.At, Who: e.By.Name, From: e.By.From, Change: e.Change,
		What: e.Action, Before: e.Before, After: e.After, Result: stageResult[e.Stage], Detail: e.Detail,
	}
}

// maxHistoryEntries bounds the number of audit entries in an explanation.
const maxHistoryEntries = 20

// QueryHistory adapts the audit trail to the query.History interface.
type QueryHistory struct {
	Trail *audit.Trail
}

// Reasons implements query.History. It returns at most maxHistoryEntries reasons.
func (h QueryHistory) Reasons(ctx context.Context, subject string) ([]query.Reason, error) {
	entries, _, err := h.Trail.Read(ctx, audit.Filter{Subject: subject, Limit: maxHistoryEntries})
	if err != nil {
		return nil, err
	}
	reasons := make([]query.Reason, 0, len(entries))
	for _, e := range entries {
		reasons = append(reasons, query.Reason{At: e.At, Text: reasonText(e)})
	}
	return reasons, nil
}

// reasonText describes an audit entry in one line for an explanation.
func reasonText(e audit.Entry) string {
	text := string(e.Result) + ": " + e.What + " by " + e.Who
	if e.Result == audit.Automatic {
		text = e.What + " went from " + e.Before + " to " + e.After + " on " + e.From
	}
	if e.Detail != "" {
		text += " (" + e.Detail + ")"
	}
	return text
}
