// Command arbutus-entry is the entry daemon: a few run behind the platform's
// balancer and take callers' requests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/urfave/cli/v3"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/commands"
	"arbutusdeck/core/process"
	"arbutusdeck/entry/demo"
	"arbutusdeck/entry/gateway"
	"arbutusdeck/entry/server"
)

func main() {
	command := &cli.Command{
		Name:        "arbutus-entry",
		Usage:       "take callers' requests and find each a backend server",
		Version:     process.Version,
		Description: process.ExitCodesHelp,
		Commands:    append([]*cli.Command{serveCommand(), forwardCommand(), accountCommand(), demoCommand()}, commands.Operator()...),
	}
	os.Exit(commands.Run(command, os.Args))
}

func serveCommand() *cli.Command {
	var settings server.Settings
	flags := append(commands.SettingsFlags(&settings.Settings),
		&cli.StringFlag{Name: "listen-address", Usage: "IP and port for callers", Sources: cli.EnvVars("ARBUTUS_LISTEN_ADDRESS")})
	return &cli.Command{
		Name:   "serve",
		Usage:  "run the daemon until SIGTERM",
		Flags:  flags,
		Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c, &settings) },
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run everything in one process, without set-up: short prompts beside enormous ones",
		Flags: []cli.Flag{&cli.DurationFlag{Name: "duration", Value: demoDuration, Usage: "how long callers come, for each of the two runs"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
			defer stop()
			return demo.Run(ctx, demo.Options{Duration: c.Duration("duration"), Out: c.Root().Writer})
		},
	}
}

// demoDuration is long enough for a stable table.
const demoDuration = 12 * time.Second

func serve(ctx context.Context, c *cli.Command, settings *server.Settings) error {
	given := settings.Settings
	override := func() {
		commands.Override(c, &settings.Settings, given)
		if c.IsSet("listen-address") {
			settings.ListenAddress = c.String("listen-address")
		}
	}
	if err := process.LoadSettings(c.String("settings"), settings, override); err != nil {
		return err
	}
	log := process.NewLogger(settings.LogLevel, "arbutus-entry", settings.Name)
	trail := audit.NewTrail(os.Stdout, audit.DefaultLimit)
	daemon := server.New(server.DefaultOptions(*settings, log, trail))
	log.WithField("incarnation", daemon.Incarnation()).Info("starting")
	if err := process.Main(ctx, daemon, settings.StopLimitOrDefault()); err != nil {
		return fmt.Errorf("arbutus-entry: %w", err)
	}
	return nil
}

func forwardCommand() *cli.Command {
	return &cli.Command{
		Name:  "forward",
		Usage: "run the daemon that forwards requests by host name and path, until SIGTERM",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "the daemon's settings `FILE` (YAML)", Required: true, Sources: cli.EnvVars("ARBUTUS_SETTINGS")}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return forward(ctx, c.String("settings"))
		},
	}
}

func forward(ctx context.Context, path string) error {
	var settings gateway.Settings
	if err := process.LoadSettings(path, &settings, func() {}); err != nil {
		return err
	}
	rate := settings.LogRate
	if rate == 0 {
		rate = gateway.DefaultLogRate
	}
	lines := process.NewLineWriter(os.Stdout, gateway.DefaultLogBuffer, rate)
	daemon := gateway.New(gateway.Options{
		Settings: settings, SettingsPath: path, LogWriter: lines, Trail: audit.NewTrail(nil, audit.DefaultLimit),
		Log: process.NewLineLogger(lines, settings.LogLevel, "arbutus-entry", settings.Name),
	})
	if err := process.Main(ctx, daemon, daemon.ShutdownTimeout()); err != nil {
		return fmt.Errorf("arbutus-entry: %w", err)
	}
	return nil
}
