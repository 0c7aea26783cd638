// Command regression plays the deployments in force on the users' bench and compares them
// with deploy/scores.yaml. It is run in the repository's root.
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
		Name: "regression", Usage: "play the deployments in force and compare them with the recorded means",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bench", Required: true, Usage: "the bench's program"},
			&cli.StringFlag{Name: "sites", Required: true, Usage: "the folder of the site files"},
			&cli.StringFlag{Name: "records", Value: "deploy/scores.yaml", Usage: "the recorded means"},
			&cli.BoolFlag{Name: "all", Usage: "play the deployments that are not in force as well"},
			&cli.IntFlag{Name: "jobs", Value: 4, Usage: "days that are played at once"},
			&cli.StringFlag{Name: "why", Value: "regression", Usage: "a line for the bench's journal"},
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
