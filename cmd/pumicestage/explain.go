package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/fleetowner"
	"github.com/pumicestage/pumicestage/internal/jobfront"
	"github.com/pumicestage/pumicestage/policy/work"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

// defaultEntry is the default metrics address of an entry VM on the local
// machine.
const defaultEntry = "127.0.0.1:9464"

// maxResponseBytes limits how much of a response is read, in bytes. A job's
// report lists every active run, so it can be large.
const maxResponseBytes = 4 << 20

// explainFlags holds the flags of the explain commands.
type explainFlags struct {
	job   string
	vm    string
	entry string
}

// addExplain registers the explain command and its subcommands.
func addExplain(app *kingpin.Application, c *cli) {
	f := &explainFlags{}
	cmd := app.Command("explain", "Explain from the running system, on the users' platform.")
	job := cmd.Command("job", "Say where a job stands and why.")
	job.Arg("id", "The job's ID.").Required().StringVar(&f.job)
	job.Flag("entry", "Metrics address of any entry VM, HOST:PORT.").Envar("PUMICESTAGE_ENTRY").Default(defaultEntry).StringVar(&f.entry)
	job.Action(action(func(ctx context.Context) error { return c.explainJob(ctx, f) }))
	cells := cmd.Command("cells", "Say how the cells stand: their owners, jobs, workers and load.")
	cells.Flag("entry", "Metrics address of any entry VM, HOST:PORT.").Envar("PUMICESTAGE_ENTRY").Default(defaultEntry).StringVar(&f.entry)
	cells.Action(action(func(ctx context.Context) error { return c.explainCells(ctx, f) }))
	workspaces := cmd.Command("workspaces", "Say what each workspace uses of its limit in each cell, and what waits for it.")
	workspaces.Flag("entry", "Metrics address of any entry VM, HOST:PORT.").Envar("PUMICESTAGE_ENTRY").Default(defaultEntry).StringVar(&f.entry)
	workspaces.Action(action(func(ctx context.Context) error { return c.explainWorkspaces(ctx, f) }))
	plan := cmd.Command("capacity", "Say how many VMs the pools are to hold and why, and why a VM is kept or parked.")
	plan.Arg("vm", "The VM's ID.").StringVar(&f.vm)
	plan.Flag("entry", "Metrics address of the entry VM that owns the fleet, HOST:PORT.").Envar("PUMICESTAGE_ENTRY").Default(defaultEntry).StringVar(&f.entry)
	plan.Action(action(func(ctx context.Context) error { return c.explainCapacity(ctx, f) }))
}

func (c *cli) explainCapacity(ctx context.Context, f *explainFlags) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := getPage(ctx, f.entry, "/capacity?vm="+url.QueryEscape(f.vm))
	if err != nil {
		return err
	}
	if c.output == outputJSON {
		_, err := c.stdout.Write(body)
		return err
	}
	var r fleetowner.CapacityReport
	if err := json.Unmarshal(body, &r); err != nil {
		return fmt.Errorf("the entry VM's answer is malformed: %w", err)
	}
	return printCapacity(c.stdout, &r)
}

func printCapacity(out io.Writer, r *fleetowner.CapacityReport) error {
	if r.VM != nil {
		fmt.Fprintf(out, "VM %s, pool %s: %s\n", r.VM.ID, cmp.Or(r.VM.Pool, "(none)"), r.VM.Why)
	}
	fmt.Fprintf(out, "plan: %d VMs ready (peak %d, reserve %d), %s; excess parked once empty for %s; history %s old\n",
		r.Ready, r.Peak, r.Reserve, r.Reason, r.IdleTime.Round(time.Millisecond), r.HistoryAge.Round(time.Millisecond))
	fmt.Fprintf(out, "in pools %d, parked %d, wanted %d, short %d\n", r.InPools, r.Parked, r.Wanted, r.Shortage)
	if r.ParkingHeld {
		fmt.Fprintln(out, "no VM is parked yet, as the fleet's owner has not observed the load for long enough")
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "POOL\tVMS\tEMPTY\tINCOMING\tFLOOR")
	for _, p := range r.Pools {
		name := p.Name
		if p.Parked {
			name += " (parked)"
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", name, p.VMs, p.Empty, p.Incoming, p.Floor)
	}
	return w.Flush()
}

func (c *cli) explainCells(ctx context.Context, f *explainFlags) error {
	return c.printCellReports(ctx, f, printCells)
}

func (c *cli) explainWorkspaces(ctx context.Context, f *explainFlags) error {
	return c.printCellReports(ctx, f, printWorkspaces)
}

// printCellReports fetches the reports of all cells and prints them with print;
// JSON output is the response body as received.
func (c *cli) printCellReports(ctx context.Context, f *explainFlags, print func(io.Writer, []jobfront.CellReport) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := getPage(ctx, f.entry, "/cells")
	if err != nil {
		return err
	}
	if c.output == outputJSON {
		_, err := c.stdout.Write(body)
		return err
	}
	var reports []jobfront.CellReport
	if err := json.Unmarshal(body, &reports); err != nil {
		return fmt.Errorf("the entry VM's answer is malformed: %w", err)
	}
	return print(c.stdout, reports)
}

func printWorkspaces(out io.Writer, reports []jobfront.CellReport) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WORKSPACE\tCELL\tUSED HERE\tALLOWED HERE\tLIMIT IN ALL\tWAITS FOR IT")
	for _, r := range reports {
		if r.Summary == nil {
			fmt.Fprintf(w, "\t%s\t%s\t\t\t\n", r.Cell, r.MissingReason)
			continue
		}
		for _, u := range r.Summary.Workspaces {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%t\n", u.Workspace, r.Cell, formatResources(u.Used), formatResources(u.May), formatResources(u.Limit), u.Waits)
		}
	}
	return w.Flush()
}

func printCells(out io.Writer, reports []jobfront.CellReport) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CELL\tOWNER\tJOBS\tOLDEST WAITS\tWORKERS\tBUSY\tSILENT\tCORES\tBACKLOG")
	for _, r := range reports {
		s := r.Summary
		if s == nil {
			// Empty columns keep the surrounding rows aligned.
			fmt.Fprintf(w, "%s\t%s\t%s\t\t\t\t\t\t\n", r.Cell, ownerText(r.Owner), r.MissingReason)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.0f\t%.0f\n", r.Cell, ownerText(r.Owner),
			strings.TrimSpace(formatCounts(s.Jobs)), s.Oldest.Round(time.Millisecond), s.Workers, s.Busy, s.Silent, s.Used, s.Backlog)
	}
	return w.Flush()
}

func (c *cli) explainJob(ctx context.Context, f *explainFlags) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := getPage(ctx, f.entry, "/explain/"+url.PathEscape(f.job))
	if err != nil {
		return err
	}
	if c.output == outputJSON {
		_, err := c.stdout.Write(body)
		return err
	}
	var r jobfront.Report
	if err := json.Unmarshal(body, &r); err != nil {
		return fmt.Errorf("the entry VM's answer is malformed: %w", err)
	}
	printJobReport(c.stdout, &r)
	return nil
}

// getPage fetches path from the metrics address of an entry VM over plain HTTP.
// A status other than 200 is returned as an error with the response text.
func getPage(ctx context.Context, entry, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answers %d: %s", entry, resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, nil
}

func printJobReport(w io.Writer, r *jobfront.Report) {
	fmt.Fprintf(w, "job %s of service %s\n", r.Job, r.Cell)
	if r.StoredState != "" {
		fmt.Fprintf(w, "the store says: %s at %s\n", r.StoredState, r.Ended.Format(time.RFC3339Nano))
	}
	e := r.Explanation
	if e == nil {
		fmt.Fprintf(w, "owner %s does not explain it: %s\n", ownerText(r.Owner), r.MissingReason)
		return
	}
	fmt.Fprintf(w, "owner %s, token %d, configuration %d\n", ownerText(r.Owner), e.Token, e.Config)
	fmt.Fprintf(w, "%s in queue %s for %s, objective %s, %s of work left: %s\n", e.State, e.Queue, e.Age, e.Objective, e.Left, e.Tier)
	if e.Restored && !e.Settled {
		fmt.Fprintln(w, "an earlier owner accepted it, and not all workers were heard since: nothing of it begins yet")
	}
	if e.ProgressUnreadable {
		fmt.Fprintln(w, "its stored progress can't be read: tasks that may be done are held")
	}
	if e.Zone != "" {
		fmt.Fprintf(w, "its short tasks prefer zone %s\n", e.Zone)
	}
	for i := range e.Steps {
		printStep(w, &e.Steps[i])
	}
}

// ownerText returns the owner's name, or a placeholder for a cell without one.
func ownerText(owner string) string {
	if owner == "" {
		return "(nobody)"
	}
	return owner
}

func printStep(w io.Writer, s *engine.StepExplanation) {
	fmt.Fprintf(w, "step %s:%s\n", s.Step, formatCounts(s.Tasks))
	if len(s.After) > 0 {
		fmt.Fprintf(w, "  begins after steps %v\n", s.After)
	}
	if len(s.Waits) > 0 {
		fmt.Fprintf(w, "  workers for what waits:%s\n", formatCounts(s.Waits))
	}
	if s.Limit != nil {
		printLimit(w, s.Limit)
	}
	if s.Advice != nil {
		printAdvice(w, s.Advice)
	}
	for _, c := range s.Crashed {
		fmt.Fprintf(w, "  %s: %d workers crashed under it", c.Task, c.Crashes)
		if len(c.Addresses) > 0 {
			fmt.Fprintf(w, " (%s)", strings.Join(c.Addresses, ", "))
		}
		if c.Suspect {
			fmt.Fprint(w, ", tried apart from other work")
		}
		fmt.Fprintln(w)
	}
	for i := range s.Runs {
		r := &s.Runs[i]
		fmt.Fprintf(w, "  %s run %d %s on %s for %s, %d%%", r.Task, r.Run, r.State, r.Worker, r.For, r.Percent)
		if r.Failures > 0 {
			fmt.Fprintf(w, ", failed %d times before", r.Failures)
		}
		if r.Silent > 0 {
			fmt.Fprintf(w, ", its worker did not answer %d polls", r.Silent)
		}
		fmt.Fprintln(w)
	}
}

// printLimit prints a workspace's limit, how much of it this cell uses and may
// use, whether it holds back the step, and the shares of the other cells.
func printLimit(w io.Writer, l *engine.LimitExplanation) {
	status := "does not hold it back"
	switch {
	case l.Never:
		status = "can never start: a task, or the gang, is larger than the whole limit"
	case l.Holds:
		status = "waits for its workspace's limit"
	}
	fmt.Fprintf(w, "  limit of workspace %s: %s in all cells; here %s used, %s allowed: %s\n", l.Workspace, formatResources(l.Limit), formatResources(l.Used), formatResources(l.May), status)
	shares := make([]string, 0, len(l.Others))
	for cell, parts := range l.Others {
		shares = append(shares, fmt.Sprintf("%s %.1f%%", cell, 100*float64(parts)/float64(workspace.Whole)))
	}
	if len(shares) > 0 {
		slices.Sort(shares)
		fmt.Fprintf(w, "  other cells have of it: %s; those not named an even share\n", strings.Join(shares, ", "))
	}
	turns := make([]string, 0, len(l.Turns))
	for _, t := range l.Turns {
		turns = append(turns, fmt.Sprintf("%s %.1f%%", t.Cell, 100*float64(t.Parts)/float64(workspace.Whole)))
	}
	if len(turns) > 0 {
		fmt.Fprintf(w, "  cells that need more than a fair share at once, in turn: %s\n", strings.Join(turns, ", "))
	}
}

// printAdvice prints what the advisor has decided on a step so far.
func printAdvice(w io.Writer, a *engine.AdviceExplanation) {
	fmt.Fprintf(w, "  advisor: asked about %d workers, %d allowed, %d with a valid ticket", a.Asked, a.Allowed, a.Usable)
	switch {
	case a.CallPending:
		fmt.Fprint(w, "; a call is under way")
	case a.OtherCallPending:
		fmt.Fprint(w, "; waits for a call about another step")
	}
	if a.Failures > 0 {
		fmt.Fprintf(w, "; the last %d calls failed", a.Failures)
	}
	fmt.Fprintln(w)
}

// formatResources formats an amount of resources and omits the kinds that are
// zero.
func formatResources(r work.Resources) string {
	var parts []string
	if r.MilliCPU != 0 {
		parts = append(parts, fmt.Sprintf("%.1f cores", float64(r.MilliCPU)/1000))
	}
	if r.MemoryMB != 0 {
		parts = append(parts, fmt.Sprintf("%d MB", r.MemoryMB))
	}
	if r.GPU != 0 {
		parts = append(parts, fmt.Sprintf("%d accelerators", r.GPU))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, " ")
}

// formatCounts formats counts by name, sorted by name, each with a leading
// space. The empty name is printed as "free".
func formatCounts[K ~string](m map[K]int) string {
	names := make([]K, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		label := string(name)
		if label == "" {
			label = "free"
		}
		fmt.Fprintf(&b, " %d %s", m[name], label)
	}
	return b.String()
}
