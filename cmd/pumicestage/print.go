package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/query"
)

func (c *cli) printJSON(v any) error {
	enc := json.NewEncoder(c.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printDiff prints one line for each difference, or that there is none.
func printDiff(w io.Writer, differences []config.Difference) {
	if len(differences) == 0 {
		fmt.Fprintln(w, "no difference")
	}
	for _, d := range differences {
		fmt.Fprintln(w, d)
	}
}

func printAnswer(w io.Writer, a query.Answer) {
	switch {
	case a.Table != nil:
		printTable(w, a.Table.Columns, a.Table.Rows)
	case a.Explanation != nil:
		printExplanation(w, a.Explanation)
	case a.Forecast != nil:
		printForecast(w, a.Forecast)
	}
	for _, n := range a.Notes {
		fmt.Fprintln(w, "WARNING:", n)
	}
	printView(w, a.View)
}

func printTable(w io.Writer, columns []string, rows [][]string) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	tw.Flush()
}

func printExplanation(w io.Writer, x *query.Explanation) {
	fmt.Fprintf(w, "%s %s: %s\n", x.Subject, x.Name, x.CurrentState)
	for _, r := range x.Reasons {
		at := "always"
		if !r.At.IsZero() {
			at = r.At.UTC().Format("2006-01-02 15:04:05")
		}
		fmt.Fprintf(w, "  %-19s  %s\n", at, r.Text)
	}
}

func printForecast(w io.Writer, f *query.Forecast) {
	fmt.Fprintf(w, "%s: %s\n", f.Description, forecastSummary(f))
	var rows [][]string
	for _, s := range f.Steps {
		rows = append(rows, []string{string(s.VM), s.Action, yesNo(s.Done), s.Reason})
	}
	if len(rows) > 0 {
		printTable(w, []string{"vm", "action", "done", "reason"}, rows)
	}
	rows = nil
	for _, b := range f.Budgets {
		zone := string(b.After.Zone)
		if zone == "" {
			zone = "all"
		}
		rows = append(rows, []string{
			string(b.After.Service), zone, fmt.Sprint(b.After.Required),
			fmt.Sprint(b.Before.Available), fmt.Sprint(b.After.Available),
			fmt.Sprint(b.Before.Spare()), fmt.Sprint(b.After.Spare()),
		})
	}
	if len(rows) > 0 {
		printTable(w, []string{"service", "zone", "need", "available", "then", "headroom", "then"}, rows)
	}
	fmt.Fprintf(w, "VMs that change pool: %d, jobs that go elsewhere: %d", f.Moves, f.Jobs)
	if f.Duration > 0 {
		fmt.Fprintf(w, ", takes about %s", f.Duration.Round(time.Second))
	}
	fmt.Fprintln(w)
	for _, n := range f.Notes {
		fmt.Fprintln(w, "  "+n)
	}
}

// forecastSummary says whether the order would be refused and, if not, whether
// every budget would still be met.
func forecastSummary(f *query.Forecast) string {
	switch {
	case !f.Allowed:
		return "would be refused: " + f.Refusal
	case !f.BudgetsHold:
		return "a budget would break"
	}
	return "every budget would hold"
}

// printView prints the time, generation and revision of the view behind an
// answer, and a warning for a stale view and for each zone not heard from.
func printView(w io.Writer, v query.ViewInfo) {
	if v.Stale {
		fmt.Fprintf(w, "WARNING: this view is %s old, things may have changed since\n", v.Age.Truncate(time.Second))
	}
	for _, z := range v.MissingZones {
		fmt.Fprintf(w, "WARNING: zone %s is not heard %s, what is said of it may be over\n", z.Zone, lastHeardText(z.LastHeard))
	}
	fmt.Fprintf(w, "view of %s, %s old, generation %d, revision %d, answered by %s\n",
		v.AsOf.UTC().Format("2006-01-02 15:04:05"), v.Age.Truncate(time.Millisecond), v.Generation, v.Revision, entryText(string(v.Entry)))
}

// lastHeardText words the time of the last message from a zone. The zero time
// means that none arrived since the entry VM that answers started.
func lastHeardText(heard time.Time) string {
	if heard.IsZero() {
		return "since the entry VM started"
	}
	return "since " + heard.UTC().Format("15:04:05")
}

// entryText returns the name of the entry VM that answered, or a general term
// where the answer has none.
func entryText(s string) string {
	if s == "" {
		return "an entry VM"
	}
	return s
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
