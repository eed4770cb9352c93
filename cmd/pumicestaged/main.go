// Command pumicestaged is the entry daemon: one on each entry VM, all alike.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pumicestage/pumicestage/internal/daemon"
	"github.com/pumicestage/pumicestage/internal/settings"
)

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	app := kingpin.New("pumicestaged", "The entry daemon: one on each entry VM, all alike.")
	app.Terminate(func(status int) {
		if status != 0 {
			status = exitUsage
		}
		os.Exit(status)
	})
	file := app.Flag("config", "Settings file (INI).").Required().String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	s, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if *check {
		return
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "pumicestaged:", err)
		os.Exit(exitFailed)
	}
}

func run(s *settings.Settings) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	d, err := daemon.New(daemon.Options{Settings: s, Log: daemon.NewLogger(os.Stderr, s)})
	if err != nil {
		return err
	}
	go killOnSecond(ctx, d)
	return d.Run(ctx)
}

// killOnSecond ends the daemon at once on a second signal.
func killOnSecond(ctx context.Context, d *daemon.Daemon) {
	<-ctx.Done()
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGTERM, syscall.SIGINT)
	<-again
	d.Kill()
}
