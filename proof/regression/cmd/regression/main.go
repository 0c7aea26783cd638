// Command regression runs the bench on the active deployments and compares the results with
// deploy/scores.yaml. It has to be started in the root of the repository.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"arbutusdeck/proof/regression"
)

func main() {
	command := &cli.Command{
		Name: "regression", Usage: "run the active deployments and compare them with the recorded means",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bench", Required: true, Usage: "path of the bench's program"},
			&cli.StringFlag{Name: "sites", Required: true, Usage: "folder with the site files"},
			&cli.StringFlag{Name: "records", Value: "deploy/scores.yaml", Usage: "file with the recorded means"},
			&cli.BoolFlag{Name: "all", Usage: "run the deployments that are not active as well"},
			&cli.IntFlag{Name: "jobs", Value: 4, Usage: "days that are run in parallel"},
			&cli.StringFlag{Name: "why", Value: "regression", Usage: "reason recorded in the bench's journal"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "regression: %v\n", err)
		os.Exit(1)
	}
}

func run(_ context.Context, c *cli.Command) error {
	baseline, err := regression.LoadBaseline(c.String("records"))
	if err != nil {
		return err
	}
	options := regression.Options{Bench: c.String("bench"), Sites: c.String("sites"), All: c.Bool("all"), Jobs: c.Int("jobs"), Reason: c.String("why")}
	return regression.Run(baseline, options, os.Stdout)
}
