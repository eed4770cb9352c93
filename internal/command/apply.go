package command

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Declarer applies whole declarations to the store.
type Declarer interface {
	Apply(ctx context.Context, d *model.Declaration, opts config.ApplyOptions) (config.ApplyResult, error)
}

// ApplyRequest is a whole declaration to be put in force.
type ApplyRequest struct {
	Change         model.ChangeID
	By             Actor
	Declaration    *model.Declaration
	IfGeneration   *uint64
	ConfirmRemoval bool
	DryRun         bool
}

// Applied is what became of a declaration.
type Applied struct {
	config.ApplyResult
	Warning string // as Result's
}

// applyText is what the audit trail says was ordered.
const applyText = "apply declaration"

// Apply puts a declaration in force. Its errors are those of package config,
// and *Refusal where the order could not be entered in the audit trail. A dry
// run changes nothing and is not entered.
func (x *Executor) Apply(ctx context.Context, req ApplyRequest) (Applied, error) {
	opts := config.ApplyOptions{
		Change: req.Change, By: req.By.Name, From: req.By.From, At: x.Clock.Now().UTC(),
		IfGeneration: req.IfGeneration, ConfirmRemoval: req.ConfirmRemoval, DryRun: req.DryRun,
	}
	if req.DryRun {
		res, err := x.Declarer.Apply(ctx, req.Declaration, opts)
		return Applied{ApplyResult: res}, err
	}
	if req.Change == "" {
		return Applied{}, &Refusal{Code: CodeInvalid, Detail: "an order needs a change ID"}
	}
	event := Event{Change: req.Change, By: req.By, What: applyText, Stage: StageAsked, At: opts.At}
	if err := x.Trail.Record(ctx, event); err != nil {
		return Applied{}, &Refusal{Code: CodeUnavailable, Detail: "not applied, it could not be entered in the audit trail: " + err.Error()}
	}
	res, err := x.Declarer.Apply(ctx, req.Declaration, opts)
	event.At = x.Clock.Now().UTC()
	out := Applied{ApplyResult: res}
	if failed := x.Trail.Record(ctx, applied(event, res, err)); failed != nil {
		out.Warning = outcomeNotEntered + failed.Error()
	}
	return out, err
}

// applied tells what became of an apply.
func applied(e Event, res config.ApplyResult, err error) Event {
	var unknown *config.UnknownError
	switch {
	case errors.As(err, &unknown):
		e.Stage, e.Detail = StageUnknown, err.Error()
	case err != nil:
		e.Stage, e.Detail = StageRefused, err.Error()
	case res.Repeated:
		e.Stage, e.After, e.Detail = StageDone, generationText(res.Generation), "a repeat, done earlier"
	case res.Unchanged:
		e.Stage, e.After, e.Detail = StageDone, generationText(res.Generation), "the same was in force already"
	default:
		e.Stage, e.Before, e.After = StageDone, generationText(res.Generation-1), generationText(res.Generation)
		e.Detail = differText(res.Differences)
	}
	return e
}

func generationText(g uint64) string { return fmt.Sprintf("generation %d", g) }

func differText(differ []config.Difference) string {
	lines := make([]string, len(differ))
	for i, d := range differ {
		lines[i] = d.String()
	}
	return strings.Join(lines, "; ")
}
