// Command standin holds the stand-ins of the review's scripts: a worker, and drivers that start the
// store, the workers and the project's entries, send requests, cause the disruption and check the rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin worker|crash|part ...")
		os.Exit(exitUnable)
	}
	switch os.Args[1] {
	case "worker":
		os.Exit(runWorker(os.Args[2:]))
	case "crash":
		os.Exit(runCrash(os.Args[2:]))
	case "part":
		os.Exit(runPart(os.Args[2:]))
	}
	os.Exit(exitUnable)
}
