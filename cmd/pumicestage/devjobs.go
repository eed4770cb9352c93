package main

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pumicestage/pumicestage/internal/devjobs"
)

// addDevJobs registers the dev-jobs command, which runs a deployment for jobs on
// loopback.
func addDevJobs(app *kingpin.Application, c *cli) {
	cmd := app.Command("dev-jobs", "Run a whole deployment for jobs on loopback: stand-in of the users' platform, entry VMs.")
	once := cmd.Flag("once", "Send load, run a wave and shut entry VMs down under it, report; exit non-zero where a promise broke.").Bool()
	platformOnly := cmd.Flag("platform", "Run the stand-in alone and print settings for an entry daemon on it.").Bool()
	verbose := cmd.Flag("verbose", "Log the entry VMs' decisions.").Bool()
	cmd.Action(action(func(ctx context.Context) error {
		ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer cancel()
		logOutput := io.Discard
		if *verbose {
			logOutput = c.stderr
		}
		if *platformOnly {
			return devjobs.ServePlatform(ctx, c.stdout)
		}
		if *once {
			return devjobs.Once(ctx, c.stdout, logOutput)
		}
		return devjobs.Serve(ctx, c.stdout, logOutput)
	}))
}
