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

// maxPrintedBadLines bounds the unreadable lines that are printed; all are counted.
const maxPrintedBadLines = 5

func accountCommand() *cli.Command {
	return &cli.Command{
		Name:      "account",
		Usage:     "report from entries' logs how requests were served, and why requests were late, refused or failed",
		ArgsUsage: "[LOGS...] (default: standard input)",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "csv", Usage: "write comma-separated values instead of tables"},
			&cli.StringFlag{Name: "plot", Usage: "plot the causes over time to `FILE` (SVG)"},
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
			return fmt.Errorf("account: %w; expected files with the log lines of entries", err)
		}
		defer file.Close()
		inputs = append(inputs, account.Input{Name: path, In: file})
	}
	report, err := readLogs(inputs, errs)
	if err != nil {
		return err
	}
	if plot != "" {
		if err := writePlot(report, plot); err != nil {
			return err
		}
	}
	if asCSV {
		return report.WriteCSV(out)
	}
	if err := report.WriteTable(out); err != nil {
		return err
	}
	return report.WriteTraffic(out)
}

func readLogs(inputs []account.Input, errs io.Writer) (*account.Report, error) {
	report := account.New()
	onBadLine := func(bad *account.BadLine) {
		if report.BadLines <= maxPrintedBadLines {
			_, _ = fmt.Fprintln(errs, bad)
		}
	}
	progress := func(lines int) { _, _ = fmt.Fprintf(errs, "%d lines read\n", lines) }
	if err := report.Read(inputs, onBadLine, progress); err != nil {
		return nil, fmt.Errorf("account: %w", err)
	}
	if report.BadLines > 0 {
		_, _ = fmt.Fprintf(errs, "%d lines could not be read and are left out\n", report.BadLines)
	}
	if report.DroppedRequests > 0 {
		_, _ = fmt.Fprintf(errs, "%d requests began while too many were open and are left out\n", report.DroppedRequests)
	}
	if report.All.Requests == 0 {
		return nil, errors.New("account: no requests in the logs; expected the standard output of `arbutus-entry forward`")
	}
	return report, nil
}

func writePlot(report *account.Report, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("account: %w", err)
	}
	if err := report.WritePlot(file); err != nil {
		_ = file.Close()
		return fmt.Errorf("account: %w", err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("account: %w", err)
	}
	return nil
}
