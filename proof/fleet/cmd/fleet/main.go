// Command fleet simulates fleets of several sizes in virtual time. It prints the cost of the gossip between their entries
// and the exponent with which the cost grows with the number of entries.
package main

import (
	"context"
	"encoding/csv"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"arbutusdeck/proof/fleet"
)

func main() {
	command := &cli.Command{Name: "fleet", Usage: "simulate the gossip between entries and print its cost by the size of the fleet",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "entries", Value: []int{100, 424, 1000}, Usage: "numbers of entries to simulate"},
			&cli.IntFlag{Name: "zones", Value: 5, Usage: "number of availability zones"},
			&cli.DurationFlag{Name: "length", Value: time.Minute, Usage: "simulated time"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of start times, message losses and faults"},
			&cli.FloatFlag{Name: "loss", Usage: "fraction of messages that are lost"},
			&cli.IntFlag{Name: "changes", Usage: "number of changes of the store, one per second"},
			&cli.FloatFlag{Name: "herd", Usage: "fraction of the entries that are killed in the middle of the run"},
			&cli.StringFlag{Name: "csv", Usage: "CSV file to write, with one row per size"},
		}, Action: run}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

func run(_ context.Context, command *cli.Command) error {
	var results []*fleet.Result
	for _, entries := range command.IntSlice("entries") {
		if entries < command.Int("zones") {
			return fmt.Errorf("%d entries in %d zones: at least one entry per zone is required", entries, command.Int("zones"))
		}
		result := fleet.Simulate(options(command, entries))
		if err := result.Print(os.Stdout); err != nil {
			return err
		}
		results = append(results, result)
	}
	printGrowth(results)
	if path := command.String("csv"); path != "" {
		return writeCSV(path, results)
	}
	return nil
}

func options(command *cli.Command, entries int) fleet.Options {
	o := fleet.DefaultOptions(entries)
	o.Zones, o.Duration, o.Seed, o.LossRate = command.Int("zones"), command.Duration("length"), command.Uint64("seed"), command.Float("loss")
	for i := range command.Int("changes") {
		o.Events = append(o.Events, fleet.Event{At: time.Duration(5+i) * time.Second, Kind: fleet.ChangeStore})
	}
	if herd := command.Float("herd"); herd > 0 {
		o.Events = append(o.Events, fleet.Event{At: o.Duration / 2, Kind: fleet.KillEntries, Share: herd, Zone: -1})
	}
	return o
}

// figures are the measurements compared between sizes.
var figures = []struct {
	name string
	of   func(*fleet.Result) float64
}{
	{"bytes between zones, an entry", func(r *fleet.Result) float64 { return float64(r.RemoteBytes()) / float64(r.Options.Entries) }},
	{"bytes within zones, an entry", func(r *fleet.Result) float64 { return float64(r.LocalBytes()) / float64(r.Options.Entries) }},
	{"calls of the store, an entry", func(r *fleet.Result) float64 { return float64(r.StoreCalls) / float64(r.Options.Entries) }},
	{"processor of the busiest entry", (*fleet.Result).MaxProcessorShare},
	{"bytes of the busiest entry", (*fleet.Result).MaxSendRate},
	{"last entry serves after", func(r *fleet.Result) float64 { return fleet.Longest(r.ServingDelays).Seconds() }},
}

func printGrowth(results []*fleet.Result) {
	if len(results) < 2 {
		return
	}
	first, last := results[0], results[len(results)-1]
	fmt.Printf("from %d to %d entries, as entries to the power:\n", first.Options.Entries, last.Options.Entries)
	for _, figure := range figures {
		fmt.Printf("  %-32s %6.2f\n", figure.name, fleet.GrowthExponent(first, last, figure.of))
	}
}

func writeCSV(path string, results []*fleet.Result) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("writing the CSV file: %w", err)
	}
	defer file.Close()
	w := csv.NewWriter(file)
	header := []string{"entries"}
	for _, figure := range figures {
		header = append(header, figure.name)
	}
	rows := [][]string{header}
	for _, result := range results {
		row := []string{fmt.Sprint(result.Options.Entries)}
		for _, figure := range figures {
			row = append(row, fmt.Sprint(figure.of(result)))
		}
		rows = append(rows, row)
	}
	if err := w.WriteAll(rows); err != nil {
		return fmt.Errorf("writing the CSV file: %w", err)
	}
	return nil
}
