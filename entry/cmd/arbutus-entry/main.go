// Command arbutus-entry runs the entry daemon. A few entries run behind the platform's
// load balancer and route callers' requests to backend servers.
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
		Usage:       "route callers' requests to backend servers",
		Version:     process.Version,
		Description: process.ExitCodesHelp,
		Commands:    append([]*cli.Command{serveCommand(), forwardCommand(), accountCommand(), demoCommand()}, commands.OperatorCommands()...),
	}
	os.Exit(commands.Run(command, os.Args))
}

func serveCommand() *cli.Command {
	var settings server.Settings
	flags := append(commands.SettingsFlags(&settings.Settings),
		&cli.StringFlag{Name: "listen-address", Usage: "IP address and port on which callers are served", Sources: cli.EnvVars("ARBUTUS_LISTEN_ADDRESS")})
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
		Usage: "run the whole system in one process, with short and very long prompts; needs no configuration",
		Flags: []cli.Flag{&cli.DurationFlag{Name: "duration", Value: defaultDemoDuration, Usage: "how long callers send requests in each of the two runs"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
			defer stop()
			return demo.Run(ctx, demo.Options{Duration: c.Duration("duration"), Out: c.Root().Writer})
		},
	}
}

// defaultDemoDuration is the default duration of a run. It yields enough requests for stable percentiles.
const defaultDemoDuration = 12 * time.Second

func serve(ctx context.Context, c *cli.Command, settings *server.Settings) error {
	fromFlags := settings.Settings
	override := func() {
		commands.ApplyFlags(c, &settings.Settings, fromFlags)
		if c.IsSet("listen-address") {
			settings.ListenAddress = c.String("listen-address")
		}
	}
	if err := process.LoadSettings(c.String("settings"), settings, override); err != nil {
		return err
	}
	if err := settings.Check(); err != nil {
		return err
	}
	settings.Resources(server.DefaultMemoryMB).LimitHeap()
	outputs, stop := process.NewOutputs()
	defer stop()
	log := process.NewLineLogger(outputs.Log, settings.LogLevel, "arbutus-entry", settings.Name)
	trail := audit.NewTrail(outputs.Trail, audit.DefaultMaxEvents)
	daemon := server.New(server.DefaultOptions(*settings, log, trail))
	outputs.Register(daemon.Registry)
	log.WithField("incarnation", daemon.Incarnation()).Info("starting")
	if err := process.Main(ctx, daemon, settings.StopLimitOrDefault()); err != nil {
		return fmt.Errorf("arbutus-entry: %w", err)
	}
	return nil
}

func forwardCommand() *cli.Command {
	return &cli.Command{
		Name:  "forward",
		Usage: "run the daemon that routes requests by host name and path until SIGTERM",
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
		Settings: settings, SettingsPath: path, LogWriter: lines, Trail: audit.NewTrail(nil, audit.DefaultMaxEvents),
		Log: process.NewLineLogger(lines, settings.LogLevel, "arbutus-entry", settings.Name),
	})
	if err := process.Main(ctx, daemon, daemon.ShutdownTimeout()); err != nil {
		return fmt.Errorf("arbutus-entry: %w", err)
	}
	return nil
}
