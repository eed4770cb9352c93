package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/operator/api"
	"github.com/pumicestage/pumicestage/internal/operator/client"
	"github.com/pumicestage/pumicestage/policy/model"
)

// pollInterval is the interval at which apply asks which entry VMs have the
// generation in force.
const pollInterval = 100 * time.Millisecond

// applyFlags holds the flags of the apply command.
type applyFlags struct {
	path           string
	dryRun         bool
	confirmRemoval bool
	change         string
	ifGeneration   int64
	wait           time.Duration
}

// addApply registers the apply command, which sends a declaration from INI files
// to an entry VM and waits until all live entry VMs have it in force.
func addApply(app *kingpin.Application, c *cli) {
	f := &applyFlags{}
	cmd := app.Command("apply", "Put a declaration in force, and wait until every live entry VM has it.")
	cmd.Arg("path", "INI file, or a folder of .ini files.").Required().ExistingFileOrDirVar(&f.path)
	cmd.Flag("dry-run", "Check and compare, but change nothing.").BoolVar(&f.dryRun)
	cmd.Flag("confirm-removal", "Apply also removals that break a budget.").BoolVar(&f.confirmRemoval)
	cmd.Flag("change", "Change ID; give that of an earlier try to repeat it.").StringVar(&f.change)
	cmd.Flag("if-generation", "Apply only onto this generation; by default the one the differences are shown against.").Default("-1").Int64Var(&f.ifGeneration)
	cmd.Flag("wait", "How long to wait until it is in force everywhere; 0 for not at all.").Default("30s").DurationVar(&f.wait)
	cmd.Action(action(func(ctx context.Context) error { return c.apply(ctx, f) }))
}

func (c *cli) apply(ctx context.Context, f *applyFlags) error {
	d, err := config.Load(f.path)
	if err != nil {
		return err
	}
	if f.change == "" {
		f.change = newChangeID()
	}
	var reply api.ChangeReply
	err = c.call(ctx, func(ctx context.Context, cl *client.Client) error {
		reply, err = c.previewAndApply(ctx, cl, d, f)
		return err
	})
	if err != nil || f.dryRun {
		return annotateError(f.change, err)
	}
	if reply.Warning != "" {
		fmt.Fprintln(c.stderr, "pumicestage: warning:", reply.Warning)
	}
	if f.wait > 0 {
		if err := c.waitInForce(ctx, reply.Generation, f.wait); err != nil {
			return err
		}
	}
	if c.output == outputJSON {
		return c.printJSON(reply)
	}
	fmt.Fprintln(c.stdout, applyResultText(reply, f.change))
	return nil
}

// previewAndApply prints the differences and, unless it is a dry run, applies
// the declaration on condition that the generation in force is still the one
// compared with, or the one given with --if-generation.
func (c *cli) previewAndApply(ctx context.Context, cl *client.Client, d *model.Declaration, f *applyFlags) (api.ChangeReply, error) {
	req := api.DeclarationRequest{Mode: api.ModeDiff, Declaration: d, Change: model.ChangeID(f.change)}
	if f.ifGeneration >= 0 {
		expected := uint64(f.ifGeneration)
		req.IfGeneration = &expected
	}
	preview, err := cl.Change(ctx, req)
	if err != nil {
		return preview, err
	}
	if c.output == outputTable && !preview.Repeated {
		printDiff(c.stdout, preview.Differ)
	}
	if f.dryRun {
		return preview, c.reportDryRun(preview, f)
	}
	req.Mode = api.ModeApply
	req.ConfirmRemoval = f.confirmRemoval
	if req.IfGeneration == nil {
		// A preview returns the generation that the change would create, or
		// the one in force if there is no change.
		base := preview.Generation
		if !preview.Unchanged {
			base--
		}
		req.IfGeneration = &base
	}
	return cl.Change(ctx, req)
}

// reportDryRun prints the JSON output of a dry run. It returns a
// *config.RemovalError if the declaration breaks budgets by removals that are
// not confirmed.
func (c *cli) reportDryRun(preview api.ChangeReply, f *applyFlags) error {
	if c.output == outputJSON {
		if err := c.printJSON(preview); err != nil {
			return err
		}
	}
	if len(preview.Broken) == 0 || f.confirmRemoval {
		return nil
	}
	return &config.RemovalError{Broken: preview.Broken}
}

// annotateError adds to err, the error of an apply or order with the change ID
// change, what the operator needs next. If it is unknown whether the request
// took effect, that is the change ID to repeat it with. If the request was
// refused because another change came first, it is the differences from the
// declaration in force to the refused one. A nil err stays nil.
func annotateError(change string, err error) error {
	var unreachable *client.UnreachableError
	var refused *client.ProblemError
	uncertain := errors.As(err, &unreachable) && unreachable.Sent ||
		errors.As(err, &refused) && refused.Problem.Code == api.CodeUnknown
	if uncertain {
		return fmt.Errorf("%w (repeat with --change %s)", err, change)
	}
	if errors.As(err, &refused) && refused.Problem.Code == api.CodeConflict {
		var b strings.Builder
		printDiff(&b, refused.Problem.Differ)
		return fmt.Errorf("%w:\n%s", err, strings.TrimRight(b.String(), "\n"))
	}
	return err
}

// applyResultText returns the last line that the apply command prints for an
// accepted declaration; change is its change ID.
func applyResultText(r api.ChangeReply, change string) string {
	switch {
	case r.Unchanged:
		return fmt.Sprintf("generation %d is the same and in force", r.Generation)
	case r.Repeated && r.Current > r.Generation:
		return fmt.Sprintf("generation %d (change %s) was accepted earlier; generation %d has replaced it", r.Generation, change, r.Current)
	case r.Repeated:
		return fmt.Sprintf("generation %d (change %s) was accepted earlier and is in force", r.Generation, change)
	}
	return fmt.Sprintf("generation %d (change %s) is accepted", r.Generation, change)
}

// notInForceError reports that some live entry VMs did not have an accepted
// generation in force in time, as known to the entry VM that was asked.
type notInForceError struct {
	generation uint64
	missing    []api.MissingEntry
	wait       time.Duration
	err        error // failure of the last request before the timeout, nil if it was answered
}

// Error implements error.
func (e *notInForceError) Error() string {
	if e.err != nil {
		return fmt.Sprintf("generation %d is accepted, but who has it in force could not be asked: %v", e.generation, e.err)
	}
	names := make([]string, len(e.missing))
	for i, m := range e.missing {
		names[i] = fmt.Sprintf("%s (zone %s)", m.Entry, zoneText(m.Zone))
	}
	return fmt.Sprintf("generation %d is accepted, but not heard in force after %s from %s", e.generation, e.wait, strings.Join(names, ", "))
}

// waitInForce polls until every live entry VM has the generation in force. It
// returns a *notInForceError if that takes longer than wait.
func (c *cli) waitInForce(ctx context.Context, generation uint64, wait time.Duration) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	failure := &notInForceError{generation: generation, wait: wait}
	lastLine := ""
	for {
		reply, err := cl.InForce(ctx, generation)
		if err == nil {
			failure.missing, failure.err = reply.Missing, nil
			lastLine = c.printProgress(reply, lastLine)
			if len(reply.Missing) == 0 {
				return nil
			}
		} else if ctx.Err() == nil {
			failure.err = err
		}
		select {
		case <-ctx.Done():
			return failure
		case <-time.After(pollInterval):
		}
	}
}

// printProgress prints how many entry VMs of each zone have the generation in
// force, unless that equals lastLine, and returns the line.
func (c *cli) printProgress(r api.InForceReply, lastLine string) string {
	parts := make([]string, len(r.Zones))
	for i, z := range r.Zones {
		parts[i] = fmt.Sprintf("%s %d/%d", zoneText(z.Zone), z.Have, z.Live)
	}
	line := fmt.Sprintf("generation %d in force: %s", r.Generation, strings.Join(parts, ", "))
	if line != lastLine {
		fmt.Fprintln(c.progressWriter(), line)
	}
	return line
}

// zoneText returns the zone's name, or "unknown" if it is empty, as for an
// entry VM whose registration has lapsed.
func zoneText(z model.ZoneName) string {
	if z == "" {
		return "unknown"
	}
	return string(z)
}

// progressWriter returns standard error for JSON output, so that standard
// output holds nothing but the JSON document.
func (c *cli) progressWriter() io.Writer {
	if c.output == outputJSON {
		return c.stderr
	}
	return c.stdout
}

// newChangeID returns a random change ID for an apply or an order.
func newChangeID() string { return "c-" + strings.ToLower(rand.Text()) }
