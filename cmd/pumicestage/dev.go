package main

import (
	"context"
	"io"
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/dev"
	"github.com/pumicestage/pumicestage/policy/model"
)

// addDev registers the dev command, which runs a whole deployment on loopback.
func addDev(app *kingpin.Application, c *cli) {
	cmd := app.Command("dev", "Run a whole example deployment on loopback: platform stand-in, entry daemons, fake targets.")
	example := cmd.Flag("example", "Folder of the declaration.").Default("examples/encuesta-viva").ExistingDir()
	wave := cmd.Flag("wave", "Maintenance wave that --once runs; the first declared one if not given.").String()
	once := cmd.Flag("once", "Apply the example, send load, run a wave under it, report; exit non-zero where a promise broke.").Bool()
	verbose := cmd.Flag("verbose", "Log what the daemons do.").Bool()
	cmd.Action(action(func(ctx context.Context) error {
		ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer cancel()
		o := dev.Options{Example: *example, Wave: model.WaveName(*wave), Out: c.stdout, Log: devLogger(*verbose, c.stderr), FixedPorts: !*once}
		if *once {
			return dev.Once(ctx, o)
		}
		return dev.Serve(ctx, o)
	}))
}

func devLogger(verbose bool, w io.Writer) logr.Logger {
	if !verbose {
		w = io.Discard
	}
	return logr.FromSlogHandler(slog.NewTextHandler(w, nil))
}
