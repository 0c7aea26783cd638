// Command arbutus-host runs the host daemon of one backend server.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/commands"
	"arbutusdeck/core/process"
	"arbutusdeck/host/server"
)

func main() {
	command := &cli.Command{
		Name:        "arbutus-host",
		Usage:       "decide, beside one backend server, what its engines and services run",
		Version:     process.Version,
		Description: process.ExitCodesHelp,
		Commands:    append([]*cli.Command{serveCommand()}, commands.OperatorCommands()...),
	}
	os.Exit(commands.Run(command, os.Args))
}

func serveCommand() *cli.Command {
	var settings server.Settings
	return &cli.Command{
		Name:   "serve",
		Usage:  "run the daemon until SIGTERM",
		Flags:  commands.SettingsFlags(&settings.Settings),
		Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c, &settings) },
	}
}

func serve(ctx context.Context, c *cli.Command, settings *server.Settings) error {
	overrides := settings.Settings
	override := func() { commands.ApplyFlags(c, &settings.Settings, overrides) }
	if err := process.LoadSettings(c.String("settings"), settings, override); err != nil {
		return err
	}
	settings.Resources(server.DefaultMemoryMB).LimitHeap()
	outputs, stop := process.NewOutputs()
	defer stop()
	log := process.NewLineLogger(outputs.Log, settings.LogLevel, "arbutus-host", settings.Name)
	trail := audit.NewTrail(outputs.Trail, audit.DefaultMaxEvents)
	daemon := server.New(server.DefaultOptions(*settings, log, trail))
	outputs.Register(daemon.Registry)
	log.WithField("incarnation", daemon.Incarnation()).Info("starting")
	if err := process.Main(ctx, daemon, settings.StopLimitOrDefault()); err != nil {
		return fmt.Errorf("arbutus-host: %w", err)
	}
	return nil
}
