package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/operator/api"
	"github.com/pumicestage/pumicestage/internal/operator/client"
)

// addDiff registers the diff command.
func addDiff(app *kingpin.Application, c *cli) {
	cmd := app.Command("diff", "Show what a declaration would add, change and remove.")
	path := cmd.Arg("path", "INI file, or a folder of .ini files.").Required().ExistingFileOrDir()
	cmd.Action(action(func(ctx context.Context) error {
		d, err := config.Load(*path)
		if err != nil {
			return err
		}
		return c.call(ctx, func(ctx context.Context, cl *client.Client) error {
			reply, err := cl.Change(ctx, api.DeclarationRequest{Mode: api.ModeDiff, Declaration: d})
			if err != nil {
				return err
			}
			if c.output == outputJSON {
				return c.printJSON(reply)
			}
			printDiff(c.stdout, reply.Differ)
			for _, b := range reply.Broken {
				fmt.Fprintln(c.stdout, "refused unless --confirm-removal is given:", b)
			}
			return nil
		})
	}))
}
