// Command pumicestaged is the entry daemon. One instance runs on each entry VM; all
// instances have the same role.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pumicestage/pumicestage/internal/daemon"
	"github.com/pumicestage/pumicestage/internal/node"
	"github.com/pumicestage/pumicestage/internal/settings"
	"github.com/pumicestage/pumicestage/platform"
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
	file := app.Flag("config", "Settings file (INI).").String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *file == "" {
		os.Exit(runNode(os.Getenv(platform.SettingsEnv), *check))
	}

	s, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if *check {
		return
	}
	if err := runDaemon(s); err != nil {
		fmt.Fprintln(os.Stderr, "pumicestaged:", err)
		os.Exit(exitFailed)
	}
}

// runNode runs an entry VM on the users' platform, which passes the path of the settings
// file in the environment variable platform.SettingsEnv. It returns the exit status.
func runNode(file string, check bool) int {
	if file == "" {
		fmt.Fprintf(os.Stderr, "pumicestaged: no settings: give --config or set %s\n", platform.SettingsEnv)
		return exitUsage
	}
	s, err := node.LoadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if check {
		return 0
	}
	n, err := node.New(s, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pumicestaged:", err)
		return exitFailed
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			n.Reload(file)
		}
	}()
	go n.WatchSettings(ctx, file, node.WatchInterval)
	if err := n.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "pumicestaged:", err)
		return exitFailed
	}
	return 0
}

// runDaemon runs a daemon that is configured by a settings file of --config until it
// receives a signal to stop.
func runDaemon(s *settings.Settings) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	d, err := daemon.New(daemon.Options{Settings: s, Log: daemon.NewLogger(os.Stderr, s)})
	if err != nil {
		return err
	}
	go killOnSecondSignal(ctx, d)
	return d.Run(ctx)
}

// killOnSecondSignal waits until ctx, which ends with the first signal, is done, and kills
// the daemon at once on a second signal.
func killOnSecondSignal(ctx context.Context, d *daemon.Daemon) {
	<-ctx.Done()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	d.Kill()
}
