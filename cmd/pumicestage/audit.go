package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pumicestage/pumicestage/internal/audit"
	"github.com/pumicestage/pumicestage/internal/operator/client"
)

// auditFlags holds the flags of the audit command.
type auditFlags struct {
	since, until, who, what string
	limit                   int
}

// addAudit registers the audit command.
func addAudit(app *kingpin.Application, c *cli) {
	f := &auditFlags{}
	cmd := app.Command("audit", "Read the trail of changes; with --output json one JSON object a line.")
	cmd.Flag("since", "Entries from then on: a time as 2006-01-02T15:04:05Z, or a duration such as 24h ago.").StringVar(&f.since)
	cmd.Flag("until", "Entries up to then; as --since.").StringVar(&f.until)
	cmd.Flag("who", "Entries of this operator or part of the system.").StringVar(&f.who)
	cmd.Flag("what", "Entries whose order, detail or change ID has this in it.").StringVar(&f.what)
	cmd.Flag("limit", "The newest so many.").Default("1000").IntVar(&f.limit)
	cmd.Action(action(func(ctx context.Context) error { return c.audit(ctx, f) }))
}

func (c *cli) audit(ctx context.Context, f *auditFlags) error {
	q := client.AuditQuery{Who: f.who, What: f.what, Limit: f.limit}
	var err error
	if q.Since, err = parseTime("since", f.since); err != nil {
		return err
	}
	if q.Until, err = parseTime("until", f.until); err != nil {
		return err
	}
	return c.call(ctx, func(ctx context.Context, cl *client.Client) error {
		reply, err := cl.Audit(ctx, q)
		if err != nil {
			return err
		}
		if reply.More {
			fmt.Fprintln(c.stderr, "pumicestage: older entries left out; see --limit and --until")
		}
		return c.printAuditEntries(reply.Entries)
	})
}

// parseTime parses the value of a time flag: an RFC 3339 time, or a duration
// that is subtracted from the current time. An empty text gives the zero time,
// any other text a *usageError.
func parseTime(flag, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return time.Now().Add(-d), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, &usageError{detail: fmt.Sprintf("--%s is %q, expected a duration such as 24h or a time as 2006-01-02T15:04:05Z", flag, text)}
	}
	return at, nil
}

// printAuditEntries prints the entries as a table or as one JSON object a line.
func (c *cli) printAuditEntries(entries []audit.Entry) error {
	if c.output == outputJSON {
		enc := json.NewEncoder(c.stdout)
		for _, e := range entries {
			if err := enc.Encode(e); err != nil {
				return err
			}
		}
		return nil
	}
	var rows [][]string
	for _, e := range entries {
		rows = append(rows, []string{
			e.At.UTC().Format("2006-01-02 15:04:05"), e.Who, e.From, string(e.Result), e.What, e.Detail, string(e.Change),
		})
	}
	printTable(c.stdout, []string{"at", "who", "from", "result", "what", "detail", "change"}, rows)
	return nil
}
