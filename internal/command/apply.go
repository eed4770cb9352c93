package command

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/policy/model"
)

// DeclarationApplier applies complete declarations to the store.
type DeclarationApplier interface {
	Apply(ctx context.Context, d *model.Declaration, opts config.ApplyOptions) (config.ApplyResult, error)
}

// ApplyRequest asks to put a complete declaration in force. IfGeneration, if not
// nil, must be the generation in force. ConfirmRemoval permits the removal of VMs
// that violates an availability budget.
type ApplyRequest struct {
	Change         model.ChangeID
	By             Actor
	Declaration    *model.Declaration
	IfGeneration   *uint64
	ConfirmRemoval bool
	DryRun         bool
}

// Applied is the outcome of an ApplyRequest.
type Applied struct {
	config.ApplyResult
	Warning string // as in Result
}

// applyAction is the Action of the audit events of an ApplyRequest.
const applyAction = "apply declaration"

// Apply puts a declaration in force. Errors are those of package config, and
// *Refusal if the request has no change ID or could not be recorded in the audit
// trail. A dry run changes nothing and is not recorded.
func (x *Executor) Apply(ctx context.Context, req ApplyRequest) (Applied, error) {
	opts := config.ApplyOptions{
		Change: req.Change, By: req.By.Name, From: req.By.From, At: x.Clock.Now().UTC(),
		IfGeneration: req.IfGeneration, ConfirmRemoval: req.ConfirmRemoval, DryRun: req.DryRun,
	}
	if req.DryRun {
		res, err := x.Declarations.Apply(ctx, req.Declaration, opts)
		return Applied{ApplyResult: res}, err
	}
	if req.Change == "" {
		return Applied{}, &Refusal{Code: CodeInvalid, Detail: "an order needs a change ID"}
	}
	event := Event{Change: req.Change, By: req.By, Action: applyAction, Stage: StageAsked, At: opts.At}
	if err := x.Trail.Record(ctx, event); err != nil {
		return Applied{}, &Refusal{Code: CodeUnavailable, Detail: "not applied, it could not be entered in the audit trail: " + err.Error()}
	}
	res, err := x.Declarations.Apply(ctx, req.Declaration, opts)
	event.At = x.Clock.Now().UTC()
	out := Applied{ApplyResult: res}
	if recordErr := x.Trail.Record(ctx, applyOutcome(event, res, err)); recordErr != nil {
		out.Warning = outcomeNotRecorded + recordErr.Error()
	}
	return out, err
}

// applyOutcome returns the audit event e, which has recorded the request to apply
// a declaration, with the stage, states and detail of the result: res if err is
// nil, otherwise err.
func applyOutcome(e Event, res config.ApplyResult, err error) Event {
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
		e.Detail = differencesText(res.Differences)
	}
	return e
}

func generationText(g uint64) string { return fmt.Sprintf("generation %d", g) }

func differencesText(differences []config.Difference) string {
	lines := make([]string, len(differences))
	for i, d := range differences {
		lines[i] = d.String()
	}
	return strings.Join(lines, "; ")
}
