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

// clearScreen moves the cursor to the top left and clears what follows.
const clearScreen = "\x1b[H\x1b[J"

// topPanels are the questions that the live view is made of.
var topPanels = []string{
	"show services",
	"show budgets where headroom < 1",
	"show waves where state != declared",
	"show vms where state != in-pool",
	"show zones",
	"show entries",
}

func addTop(app *kingpin.Application, c *cli) {
	cmd := app.Command("top", "Live view of services, tight budgets, waves, VMs on their way and zones.")
	every := cmd.Flag("every", "How long between two views.").Default("2s").Duration()
	times := cmd.Flag("times", "How many views; 0 until interrupted.").Int()
	cmd.Action(action(func(ctx context.Context) error { return c.top(ctx, *every, *times) }))
}

func (c *cli) top(ctx context.Context, every time.Duration, times int) error {
	for n := 1; ; n++ {
		var screen bytes.Buffer
		err := c.call(ctx, func(ctx context.Context, cl *client.Client) error { return drawTop(ctx, cl, &screen) })
		if err != nil && n == 1 {
			return err
		}
		if times != 1 {
			fmt.Fprint(c.stdout, clearScreen)
		}
		if err != nil {
			// The entry VM may be replaced while one looks on.
			fmt.Fprintln(&screen, "no answer:", err)
		}
		if _, err := c.stdout.Write(screen.Bytes()); err != nil {
			return err
		}
		if n == times {
			return err
		}
		time.Sleep(every)
	}
}

func drawTop(ctx context.Context, cl *client.Client, w io.Writer) error {
	var last query.ViewInfo
	for _, question := range topPanels {
		answer, err := cl.Query(ctx, question, nil)
		if err != nil {
			return err
		}
		last = answer.View
		if len(answer.Table.Rows) == 0 {
			continue
		}
		fmt.Fprintln(w, question)
		printTable(w, answer.Table.Columns, answer.Table.Rows)
		fmt.Fprintln(w)
	}
	printView(w, last)
	return nil
}
