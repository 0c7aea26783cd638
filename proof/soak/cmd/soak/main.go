// Command soak injects random faults into real processes and checks the project's
// guarantees; see package soak.
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
			&cli.Uint64Flag{Name: "seed", Usage: "first seed; random if not given"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds to run, one after the other"},
			&cli.FloatFlag{Name: "minutes", Value: 0.5, Usage: "how long faults are injected, per seed"},
			&cli.IntFlag{Name: "processes", Value: 5, Usage: "number of entries"},
			&cli.IntFlag{Name: "workers", Value: 9, Usage: "number of simulated backend servers"},
			&cli.DurationFlag{Name: "bound", Value: soak.DefaultMaxPropagationDelay, Usage: "maximum propagation delay of a change; from 2.5s on two entries read the store for all"},
			&cli.IntFlag{Name: "fatal", Value: 2, Usage: "number of poison requests, which are repeated and crash every server that starts to run them"},
			&cli.IntFlag{Name: "parts", Value: 2, Usage: "number of parts of prompts that crash every server that starts to run a request with them"},
			&cli.DurationFlag{Name: "hold", Value: soak.DefaultMaxCrashDelay, Usage: "how long at most servers run a poison request before they crash, while many of its callers disconnect"},
			&cli.IntFlag{Name: "long", Value: 1, Usage: "number of callers per entry whose streams outlast most graceful shutdowns"},
			&cli.BoolFlag{Name: "zones", Value: true, Usage: "spread the servers over two zones, evacuate one repeatedly, and let servers start cold"},
			&cli.BoolFlag{Name: "untimed", Usage: "don't check guarantees that bound a time, for a busy machine"},
			&cli.StringFlag{Name: "keep", Value: filepath.Join(os.TempDir(), "arbutus-soak"), Usage: "the `FOLDER` for the logs of failed seeds"},
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
		return fmt.Errorf("creating the folder %s: %w", folder, err)
	}
	binary := filepath.Join(folder, "arbutus-entry")
	build := exec.CommandContext(ctx, "go", "build", "-o", binary, "arbutusdeck/entry/cmd/arbutus-entry")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return fmt.Errorf("building the entry: %w", err)
	}
	failed := 0
	for i := range c.Int("seeds") {
		ok, err := runSeed(c, seed+uint64(i), binary, folder)
		if err != nil {
			return err
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds violated a guarantee", failed, c.Int("seeds"))
	}
	return nil
}

// runSeed runs one seed and returns whether it held all guarantees; if so, it deletes the
// folder of the run.
func runSeed(c *cli.Command, seed uint64, binary, folder string) (bool, error) {
	kept := filepath.Join(folder, fmt.Sprintf("seed-%d", seed))
	report, err := soak.Execute(soak.Options{Seed: seed, FaultDuration: time.Duration(c.Float("minutes") * float64(time.Minute)), Entries: c.Int("processes"),
		Servers: c.Int("workers"), MaxPropagationDelay: c.Duration("bound"), PoisonRequests: c.Int("fatal"), PoisonParts: c.Int("parts"), MaxCrashDelay: c.Duration("hold"), LongStreamCallers: c.Int("long"), MultiZone: c.Bool("zones"), Binary: binary, Folder: kept, CheckTiming: !c.Bool("untimed"), Progress: os.Stderr})
	if err != nil {
		return false, fmt.Errorf("seed %d, logs in %s: %w", seed, kept, err)
	}
	fmt.Printf("seed %d: %d faults, %d calls, %d succeeded, %d runs, %d crashes under poison requests, %d findings\n", seed, len(report.Faults), report.Calls, report.Succeeded, report.Runs, report.Crashes,
		len(report.Findings))
	if !report.Failed() {
		return true, os.RemoveAll(kept)
	}
	for _, f := range report.Findings {
		fmt.Printf("  %s: %s\n", f.Guarantee, f.Detail)
	}
	fmt.Printf("  logs: %s; reproduce: soak --seed %d --minutes %g --processes %d --workers %d --bound %s --fatal %d --parts %d --hold %s --long %d --zones=%t\n", kept, seed, c.Float("minutes"), c.Int("processes"),
		c.Int("workers"), c.Duration("bound"), c.Int("fatal"), c.Int("parts"), c.Duration("hold"), c.Int("long"), c.Bool("zones"))
	return false, nil
}
