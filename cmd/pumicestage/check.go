package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pumicestage/pumicestage/internal/config"
)

// addCheck registers the check command, which needs no server.
func addCheck(app *kingpin.Application, c *cli) {
	cmd := app.Command("check", "Check a declaration. Needs no server.")
	path := cmd.Arg("path", "INI file, or a folder of .ini files.").Required().ExistingFileOrDir()
	cmd.Action(action(func(context.Context) error {
		d, err := config.Load(*path)
		if err != nil {
			return err
		}
		if c.output == outputJSON {
			return c.printJSON(d)
		}
		fmt.Fprintf(c.stdout, "%s: %d zones, %d VMs, %d pools, %d services, %d waves, %d teams\n",
			d.Deployment, len(d.Zones), len(d.VMs), len(d.Pools), len(d.Services), len(d.Waves), len(d.Teams))
		return nil
	}))
}
