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

// pollEvery is how often apply asks who has the generation in force.
const pollEvery = 100 * time.Millisecond

// applyFlags are the flags of apply.
type applyFlags struct {
	path           string
	dryRun         bool
	confirmRemoval bool
	change         string
	ifGeneration   int64
	wait           time.Duration
}

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
		reply, err = c.change(ctx, cl, d, f)
		return err
	})
	if err != nil || f.dryRun {
		return withChange(f.change, err)
	}
	if reply.Warning != "" {
		fmt.Fprintln(c.stderr, "pumicestage: warning:", reply.Warning)
	}
	if f.wait > 0 {
		if err := c.await(ctx, reply.Generation, f.wait); err != nil {
			return err
		}
	}
	if c.output == outputJSON {
		return c.printJSON(reply)
	}
	fmt.Fprintln(c.stdout, outcome(reply, f.change))
	return nil
}

// change shows the differences and, unless it is a dry run, applies them onto
// the generation they were shown against.
func (c *cli) change(ctx context.Context, cl *client.Client, d *model.Declaration, f *applyFlags) (api.ChangeReply, error) {
	req := api.DeclarationRequest{Mode: api.ModeDiff, Declaration: d, Change: model.ChangeID(f.change)}
	if f.ifGeneration >= 0 {
		expected := uint64(f.ifGeneration)
		req.IfGeneration = &expected
	}
	seen, err := cl.Change(ctx, req)
	if err != nil {
		return seen, err
	}
	if c.output == outputTable && !seen.Repeated {
		printDiff(c.stdout, seen.Differ)
	}
	if f.dryRun {
		return seen, c.dryRun(seen, f)
	}
	req.Mode = api.ModeApply
	req.ConfirmRemoval = f.confirmRemoval
	if req.IfGeneration == nil {
		shown := seen.Generation
		if !seen.Unchanged {
			shown--
		}
		req.IfGeneration = &shown
	}
	return cl.Change(ctx, req)
}

func (c *cli) dryRun(seen api.ChangeReply, f *applyFlags) error {
	if c.output == outputJSON {
		if err := c.printJSON(seen); err != nil {
			return err
		}
	}
	if len(seen.Broken) == 0 || f.confirmRemoval {
		return nil
	}
	return &config.RemovalError{Broken: seen.Broken}
}

// withChange adds the change ID to errors that leave the outcome open, for
// the repeat.
func withChange(change string, err error) error {
	var unreachable *client.UnreachableError
	var refused *client.ProblemError
	open := errors.As(err, &unreachable) && unreachable.Sent ||
		errors.As(err, &refused) && refused.Problem.Code == api.CodeUnknown
	if open {
		return fmt.Errorf("%w (repeat with --change %s)", err, change)
	}
	if errors.As(err, &refused) && refused.Problem.Code == api.CodeConflict {
		var b strings.Builder
		printDiff(&b, refused.Problem.Differ)
		return fmt.Errorf("%w:\n%s", err, strings.TrimRight(b.String(), "\n"))
	}
	return err
}

func outcome(r api.ChangeReply, change string) string {
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

// notInForceError reports a generation that some live entry VMs do not hold
// in time, as far as the one that was asked hears.
type notInForceError struct {
	generation uint64
	missing    []api.MissingEntry
	wait       time.Duration
	err        error // why it could not be asked, if so
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

// await polls until every live entry VM has the generation in force.
func (c *cli) await(ctx context.Context, generation uint64, wait time.Duration) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	failure := &notInForceError{generation: generation, wait: wait}
	shown := ""
	for {
		reply, err := cl.InForce(ctx, generation)
		if err == nil {
			failure.missing, failure.err = reply.Missing, nil
			shown = c.progress(reply, shown)
			if len(reply.Missing) == 0 {
				return nil
			}
		} else if ctx.Err() == nil {
			failure.err = err
		}
		select {
		case <-ctx.Done():
			return failure
		case <-time.After(pollEvery):
		}
	}
}

// progress prints how far each zone is, when that has changed.
func (c *cli) progress(r api.InForceReply, shown string) string {
	parts := make([]string, len(r.Zones))
	for i, z := range r.Zones {
		parts[i] = fmt.Sprintf("%s %d/%d", zoneText(z.Zone), z.Have, z.Live)
	}
	line := fmt.Sprintf("generation %d in force: %s", r.Generation, strings.Join(parts, ", "))
	if line != shown {
		fmt.Fprintln(c.progressWriter(), line)
	}
	return line
}

// zoneText names the zone of an entry VM whose registration has lapsed.
func zoneText(z model.ZoneName) string {
	if z == "" {
		return "unknown"
	}
	return string(z)
}

func (c *cli) progressWriter() io.Writer {
	if c.output == outputJSON {
		return c.stderr
	}
	return c.stdout
}

func newChangeID() string { return "c-" + strings.ToLower(rand.Text()) }
