package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pumicestage/pumicestage/internal/operator/client"
	"github.com/pumicestage/pumicestage/internal/query"
)

// clearScreen is the ANSI sequence that moves the cursor to the top left and
// erases the rest of the screen.
const clearScreen = "\x1b[H\x1b[J"

// topQueries are the queries whose tables make up the live view.
var topQueries = []string{
	"show services",
	"show budgets where headroom < 1",
	"show waves where state != declared",
	"show vms where state != in-pool",
	"show zones",
	"show entries",
}

// addTop registers the top command.
func addTop(app *kingpin.Application, c *cli) {
	cmd := app.Command("top", "Live view of services, tight budgets, waves, VMs on their way and zones.")
	interval := cmd.Flag("every", "How long between two views.").Default("2s").Duration()
	count := cmd.Flag("times", "How many views; 0 until interrupted.").Int()
	cmd.Action(action(func(ctx context.Context) error { return c.top(ctx, *interval, *count) }))
}

func (c *cli) top(ctx context.Context, interval time.Duration, count int) error {
	for n := 1; ; n++ {
		var screen bytes.Buffer
		err := c.call(ctx, func(ctx context.Context, cl *client.Client) error { return drawTop(ctx, cl, &screen) })
		if err != nil && n == 1 {
			return err
		}
		if count != 1 {
			fmt.Fprint(c.stdout, clearScreen)
		}
		if err != nil {
			// The entry VM may be replaced between two views, so a later
			// failure is shown and does not end the live view early.
			fmt.Fprintln(&screen, "no answer:", err)
		}
		if _, err := c.stdout.Write(screen.Bytes()); err != nil {
			return err
		}
		if n == count {
			return err
		}
		time.Sleep(interval)
	}
}

// drawTop runs topQueries and writes every table that has rows, followed by the
// view of the last answer.
func drawTop(ctx context.Context, cl *client.Client, w io.Writer) error {
	var lastView query.ViewInfo
	for _, question := range topQueries {
		answer, err := cl.Query(ctx, question, nil)
		if err != nil {
			return err
		}
		lastView = answer.View
		if len(answer.Table.Rows) == 0 {
			continue
		}
		fmt.Fprintln(w, question)
		printTable(w, answer.Table.Columns, answer.Table.Rows)
		fmt.Fprintln(w)
	}
	printView(w, lastView)
	return nil
}
