// Package soak runs the entry daemon as real processes on loopback, injects faults
// from outside them, and checks the project's promises from what callers and backend
// servers see.
//
// A run is drawn from a seed: which faults strike what, when and for how long. Between
// the processes and everything they talk to stand links of this package, which delay,
// reset, cut one way and silence connections. Processes are killed, paused, stopped
// as planned and told of changed settings by signals, backend servers crash, leave,
// give their address to others and spoil answers, and the metadata store refuses,
// forgets and lapses. Faults come in series and overlap. Requests under which servers end come
// again and again. A zone is evacuated and taken back, and servers come back cold.
//
// The daemons' clocks are not stepped: forwarding decides by monotonic time alone.
package soak

import (
	"io"
	"time"
)

// Options describe a run.
type Options struct {
	// Seed draws the faults and the callers' requests.
	Seed uint64
	// Length is how long faults strike; a calm part of CalmTime follows.
	FaultDuration time.Duration
	// Entries and Workers are how many daemons and backend servers there are.
	Entries, Servers int
	// Binary is the entry daemon's program.
	Binary string
	// Folder gets the settings and logs of the processes.
	Folder string
	// ChangeBound is how long after the store's acknowledgement an older configuration may
	// be used and a leaving server may get requests, as the entries are told; 0 is
	// DefaultChangeBound, below which each entry reads the store itself.
	MaxPropagationDelay time.Duration
	// Fatal is how many requests come again and again that end each server which begins to run
	// them.
	PoisonRequests int
	// FatalHold is for how long at the most a server runs such a request before it ends. Where it is
	// positive all callers of every second one leave before. Some ms at least.
	MaxCrashDelay time.Duration
	// Long is how many callers of streams that outlast most stops each entry has.
	LongStreamCallers int
	// Zones spreads the backend servers over two zones, evacuates the second one now and then, and lets servers that
	// start during the run be cold for a while.
	MultiZone bool
	// Timed also checks the promises that bound times. They hold on a machine
	// that is not overloaded.
	CheckTiming bool
	// Progress gets a line every few seconds.
	Progress io.Writer
}

// Bounds of the promises, and what a busy machine adds to them.
const (
	// DefaultChangeBound is the ChangeBound of the users' smallest deployments.
	DefaultMaxPropagationDelay = 2 * time.Second
	// DefaultFatalHold is longer than entries wait for an overdue first event of a short prompt before
	// they go on to another server.
	DefaultMaxCrashDelay = 400 * time.Millisecond
	// stableWindow is how long an entry must have been free of faults for these
	// bounds to hold; the users' figure.
	stableWindow = 3 * time.Second
	// goneBound is how long work may go on after its caller has left.
	maxCancelDelay = 500 * time.Millisecond
	// slack is added to every bound: some fifty processes share the machine's
	// processors, and a timer may fire late.
	schedulingSlack = time.Second
	// retryRatio, retryExtra and retryWindow bound the arrivals at a service
	// beyond the first of each request.
	retryRatio  = 0.2
	retryExtra  = 100
	retryWindow = 10 * time.Second
	// CalmTime is the part without faults at the end of a run, in which the
	// system has to recover. It is longer than rows, pauses and distrust last.
	RecoveryTime = 6 * time.Second
	// recoveredShare is the least share of requests that is served in the second
	// half of the calm part.
	minRecoveredShare = 0.5
	// exitBound is how long a stopped daemon may take to exit: its stop limit
	// and as much again.
	maxExitTime = 16 * time.Second
	// reservationIdle is the daemons' setting of how long reserved memory may stay
	// without use; the users' figure.
	reservationIdle = 9 * time.Second
	// stopLimit is the daemons' setting from SIGTERM to SIGKILL.
	stopLimit = 8 * time.Second
)
