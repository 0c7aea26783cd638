// Command soak plays random faults on real processes and checks the project's
// promises; see the package it runs.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"arbutusdeck/proof/soak"
)

func main() {
	command := &cli.Command{
		Name:  "soak",
		Usage: "run entries as processes on loopback, inject faults, and check what callers and servers see",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "the first seed; a fresh one if not given"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how many seeds to play, one after the other"},
			&cli.FloatFlag{Name: "minutes", Value: 0.5, Usage: "how long faults strike, for each seed"},
			&cli.IntFlag{Name: "processes", Value: 5, Usage: "how many entries run"},
			&cli.IntFlag{Name: "workers", Value: 9, Usage: "how many backend servers the stand-ins play"},
			&cli.DurationFlag{Name: "bound", Value: soak.DefaultMaxPropagationDelay, Usage: "how soon a change has to be in force; from 2.5s on two entries read the store for all"},
			&cli.IntFlag{Name: "fatal", Value: 2, Usage: "how many requests come again and again that end each server which begins to run them"},
			&cli.DurationFlag{Name: "hold", Value: soak.DefaultMaxCrashDelay, Usage: "for how long at the most servers run such a request before they end, while many of its callers leave"},
			&cli.IntFlag{Name: "long", Value: 1, Usage: "how many callers of streams that outlast most stops each entry has"},
			&cli.BoolFlag{Name: "zones", Value: true, Usage: "spread the servers over two zones, evacuate one now and then, and let servers come back cold"},
			&cli.BoolFlag{Name: "untimed", Usage: "check no promise that bounds a time, for a machine that is busy"},
			&cli.StringFlag{Name: "keep", Value: filepath.Join(os.TempDir(), "arbutus-soak"), Usage: "the `FOLDER` that keeps the logs of failed seeds"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "soak: %v\n", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	seed := c.Uint64("seed")
	if !c.IsSet("seed") {
		seed = rand.Uint64() >> 32
	}
	folder := c.String("keep")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("the folder %s: %w", folder, err)
	}
	binary := filepath.Join(folder, "arbutus-entry")
	build := exec.CommandContext(ctx, "go", "build", "-o", binary, "arbutusdeck/entry/cmd/arbutus-entry")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return fmt.Errorf("building the entry: %w", err)
	}
	failed := 0
	for i := range c.Int("seeds") {
		ok, err := playSeed(c, seed+uint64(i), binary, folder)
		if err != nil {
			return err
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise", failed, c.Int("seeds"))
	}
	return nil
}

// playSeed plays one seed, and keeps its folder only if it failed.
func playSeed(c *cli.Command, seed uint64, binary, folder string) (bool, error) {
	kept := filepath.Join(folder, fmt.Sprintf("seed-%d", seed))
	report, err := soak.Execute(soak.Options{Seed: seed, FaultDuration: time.Duration(c.Float("minutes") * float64(time.Minute)), Entries: c.Int("processes"),
		Servers: c.Int("workers"), MaxPropagationDelay: c.Duration("bound"), PoisonRequests: c.Int("fatal"), MaxCrashDelay: c.Duration("hold"), LongStreamCallers: c.Int("long"), MultiZone: c.Bool("zones"), Binary: binary, Folder: kept, CheckTiming: !c.Bool("untimed"), Progress: os.Stderr})
	if err != nil {
		return false, fmt.Errorf("seed %d, logs in %s: %w", seed, kept, err)
	}
	fmt.Printf("seed %d: %d faults, %d calls, %d answered, %d runs, %d servers ended under fatal requests, %d findings\n", seed, len(report.Faults), report.Calls, report.Succeeded, report.Runs, report.Crashes,
		len(report.Findings))
	if !report.Failed() {
		return true, os.RemoveAll(kept)
	}
	for _, f := range report.Findings {
		fmt.Printf("  %s: %s\n", f.Guarantee, f.Detail)
	}
	fmt.Printf("  logs: %s; again: soak --seed %d --minutes %g --processes %d --workers %d --bound %s --fatal %d --hold %s --long %d --zones=%t\n", kept, seed, c.Float("minutes"), c.Int("processes"),
		c.Int("workers"), c.Duration("bound"), c.Int("fatal"), c.Duration("hold"), c.Int("long"), c.Bool("zones"))
	return false, nil
}
