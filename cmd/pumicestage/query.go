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

// queryFlags are the flags of query.
type queryFlags struct {
	words       []string
	declaration string
	watch       bool
	every       time.Duration
	times       int
}

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
	d, err := loadIfGiven(f.declaration)
	if err != nil {
		return err
	}
	text := strings.Join(f.words, " ")
	for n := 1; ; n++ {
		err := c.ask(ctx, text, d)
		if err != nil && n == 1 || !f.watch || n == f.times {
			return err
		}
		if err != nil {
			// The entry VM may be replaced while one looks on.
			fmt.Fprintln(c.stderr, "pumicestage: no answer:", err)
		}
		fmt.Fprintln(c.stdout)
		time.Sleep(f.every)
	}
}

func loadIfGiven(path string) (*model.Declaration, error) {
	if path == "" {
		return nil, nil
	}
	return config.Load(path)
}

func (c *cli) ask(ctx context.Context, text string, d *model.Declaration) error {
	return c.call(ctx, func(ctx context.Context, cl *client.Client) error {
		answer, err := cl.Query(ctx, text, d)
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
