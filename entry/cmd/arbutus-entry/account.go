package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"arbutusdeck/entry/account"
)

// shownBadLines is how many lines that can't be read are named; all are counted.
const shownBadLines = 5

func accountCommand() *cli.Command {
	return &cli.Command{
		Name:      "account",
		Usage:     "tell from entries' log lines what callers got, and why requests were late, refused or failed",
		ArgsUsage: "[LOGS...] (standard input without any)",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "csv", Usage: "write comma-separated values in place of tables"},
			&cli.StringFlag{Name: "plot", Usage: "draw the causes over time into `FILE` (SVG)"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return runAccount(c.Args().Slice(), c.Bool("csv"), c.String("plot"), c.Root().Writer, c.Root().ErrWriter)
		},
	}
}

func runAccount(paths []string, asCSV bool, plot string, out, errs io.Writer) error {
	inputs := []account.Input{{Name: "standard input", In: os.Stdin}}
	if len(paths) > 0 {
		inputs = nil
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("account: %w; give files with the entries' log lines", err)
		}
		defer file.Close()
		inputs = append(inputs, account.Input{Name: path, In: file})
	}
	a, err := readAccount(inputs, errs)
	if err != nil {
		return err
	}
	if plot != "" {
		if err := writePlot(a, plot); err != nil {
			return err
		}
	}
	if asCSV {
		return a.WriteCSV(out)
	}
	if err := a.WriteTable(out); err != nil {
		return err
	}
	return a.WriteTraffic(out)
}

func readAccount(inputs []account.Input, errs io.Writer) (*account.Report, error) {
	a := account.New()
	report := func(bad *account.BadLine) {
		if a.BadLines <= shownBadLines {
			_, _ = fmt.Fprintln(errs, bad)
		}
	}
	progress := func(lines int) { _, _ = fmt.Fprintf(errs, "%d lines read\n", lines) }
	if err := a.Read(inputs, report, progress); err != nil {
		return nil, fmt.Errorf("account: %w", err)
	}
	if a.BadLines > 0 {
		_, _ = fmt.Fprintf(errs, "%d lines could not be read and are left out\n", a.BadLines)
	}
	if a.DroppedRequests > 0 {
		_, _ = fmt.Fprintf(errs, "%d requests began while too many were open and are left out\n", a.DroppedRequests)
	}
	if a.All.Requests == 0 {
		return nil, errors.New("account: no requests in the logs; give the standard output of `arbutus-entry forward`")
	}
	return a, nil
}

func writePlot(a *account.Report, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("account: %w", err)
	}
	if err := a.WritePlot(file); err != nil {
		_ = file.Close()
		return fmt.Errorf("account: %w", err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("account: %w", err)
	}
	return nil
}
