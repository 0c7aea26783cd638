// Package soak runs the entry daemon as real processes on loopback, injects faults
// from outside them, and checks the project's guarantees against what callers and
// backend servers observe.
//
// A seed determines the run: which faults are injected where, when and for how long.
// The daemons reach the store and the backend servers, and their callers reach them,
// through links of this package, which delay and reset connections, or drop their traffic
// in one or both directions. Only probes bypass the links. Processes are
// killed, paused, shut down gracefully and notified of changed settings by signals.
// Backend servers crash, drain, hand their address on to other servers and corrupt
// responses. The metadata store refuses calls, loses its history, and loses rows.
// Faults come in series and overlap. Poison requests are repeated throughout the run.
// A zone is evacuated and restored, and servers start cold.
//
// The daemons' clocks are not stepped: forwarding depends on monotonic time alone.
package soak

import (
	"io"
	"time"
)

// Options configures a run.
type Options struct {
	// Seed determines the faults and the callers' requests.
	Seed uint64
	// FaultDuration is how long faults are injected; a recovery phase of RecoveryTime follows.
	FaultDuration time.Duration
	// Entries and Servers are the numbers of entry daemons and backend servers.
	Entries, Servers int
	// Binary is the path of the entry daemon's executable.
	Binary string
	// Folder receives the settings and logs of the processes.
	Folder string
	// MaxPropagationDelay bounds how long after the store's acknowledgement an older
	// configuration may be used and a draining server may get requests. It goes into the
	// settings of the entries. 0 means DefaultMaxPropagationDelay, at which each entry
	// still reads the store itself.
	MaxPropagationDelay time.Duration
	// PoisonRequests is the number of requests that crash every server which starts to run
	// them, and are repeated throughout the run.
	PoisonRequests int
	// PoisonParts is the number of parts of prompts that do the same, each in requests that
	// are otherwise all different.
	PoisonParts int
	// MaxCrashDelay bounds how long a server runs a poison request before it crashes. If
	// positive, it must be at least a few milliseconds, and all callers of every second
	// poison request disconnect before the crash.
	MaxCrashDelay time.Duration
	// LongStreamCallers is the number of callers per entry whose streams outlast most
	// graceful shutdowns.
	LongStreamCallers int
	// MultiZone spreads the backend servers over two zones, evacuates the second one
	// repeatedly, and lets servers that start during the run be cold at first.
	MultiZone bool
	// CheckTiming also checks the guarantees that bound times. They hold only on a
	// machine that is not overloaded.
	CheckTiming bool
	// Progress receives a line every few seconds; nil discards them.
	Progress io.Writer
}

// Bounds of the guarantees, and the tolerance for a busy machine.
const (
	// DefaultMaxPropagationDelay is the bound of the smallest deployments.
	DefaultMaxPropagationDelay = 2 * time.Second
	// DefaultMaxCrashDelay is longer than entries wait for an overdue first event of a
	// short prompt before they redispatch the request to another server.
	DefaultMaxCrashDelay = 400 * time.Millisecond
	// stableWindow is how long an entry must have been free of faults for the bounds to
	// hold. It is a requirement.
	stableWindow = 3 * time.Second
	// maxCancelDelay bounds how long work may continue after its caller has disconnected.
	maxCancelDelay = 500 * time.Millisecond
	// schedulingSlack is added to every bound: some fifty processes share the machine's
	// processors, and a timer may fire late.
	schedulingSlack = time.Second
	// retryRatio, retryExtra and retryWindow bound the repeated arrivals of requests at
	// a service: per window, a share of the first arrivals and a constant.
	retryRatio  = 0.2
	retryExtra  = 100
	retryWindow = 10 * time.Second
	// RecoveryTime is the length of the recovery phase at the end of a run, in which no
	// faults are injected. It is longer than the TTL of rows, the pauses and the backoff
	// from failed servers.
	RecoveryTime = 6 * time.Second
	// minRecoveredShare is the least share of requests that must succeed in the second
	// half of the recovery phase.
	minRecoveredShare = 0.5
	// maxExitTime bounds how long a daemon may take to exit after SIGTERM before it is
	// killed: twice its stop limit.
	maxExitTime = 16 * time.Second
	// reservationIdle is the daemons' setting for how long reserved memory may stay
	// unused. It is a requirement.
	reservationIdle = 9 * time.Second
	// stopLimit is the daemons' setting for the time from SIGTERM to SIGKILL.
	stopLimit = 8 * time.Second
)
