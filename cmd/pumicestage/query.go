package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/operator/client"
	"github.com/pumicestage/pumicestage/policy/model"
)

// queryFlags holds the arguments and flags of the query command.
type queryFlags struct {
	words       []string
	declaration string
	watch       bool
	every       time.Duration
	times       int
}

// addQuery registers the query command.
func addQuery(app *kingpin.Application, c *cli) {
	f := &queryFlags{}
	cmd := app.Command("query", "Ask a question: show, explain or what-if.")
	cmd.Arg("question", "The question, as one argument or many.").Required().StringsVar(&f.words)
	cmd.Flag("declaration", "INI file or folder that a \"what-if declaration\" is about.").ExistingFileOrDirVar(&f.declaration)
	cmd.Flag("watch", "Ask again and again.").Short('w').BoolVar(&f.watch)
	cmd.Flag("every", "How long between two answers of --watch.").Default("2s").DurationVar(&f.every)
	cmd.Flag("times", "How many answers of --watch; 0 until interrupted.").IntVar(&f.times)
	cmd.Action(action(func(ctx context.Context) error { return c.query(ctx, f) }))
}

func (c *cli) query(ctx context.Context, f *queryFlags) error {
	d, err := loadOptional(f.declaration)
	if err != nil {
		return err
	}
	question := strings.Join(f.words, " ")
	for n := 1; ; n++ {
		err := c.runQuery(ctx, question, d)
		if err != nil && n == 1 || !f.watch || n == f.times {
			return err
		}
		if err != nil {
			// The entry VM may be replaced between two answers, so a later
			// failure is reported and does not end --watch early.
			fmt.Fprintln(c.stderr, "pumicestage: no answer:", err)
		}
		fmt.Fprintln(c.stdout)
		time.Sleep(f.every)
	}
}

// loadOptional loads the declaration at path; an empty path gives nil.
func loadOptional(path string) (*model.Declaration, error) {
	if path == "" {
		return nil, nil
	}
	return config.Load(path)
}

// runQuery sends a question, with d for a what-if about a declaration or nil,
// and prints the answer.
func (c *cli) runQuery(ctx context.Context, question string, d *model.Declaration) error {
	return c.call(ctx, func(ctx context.Context, cl *client.Client) error {
		answer, err := cl.Query(ctx, question, d)
		if err != nil {
			return err
		}
		if c.output == outputJSON {
			return c.printJSON(answer)
		}
		printAnswer(c.stdout, answer)
		return nil
	})
}
