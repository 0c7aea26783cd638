// Package server implements the host daemon of one backend server: it connects
// the decision core in core/backend to the network, the clock and the engines.
package server

import (
	"arbutusdeck/core/process"
)

// DefaultMemoryMB is the default memory of the process, in MB. The daemon holds the frames of responses, but no prompts.
const DefaultMemoryMB = 512

// Shares of the sockets and of the memory for connections of other daemons and to the administration API. Connections to
// engines and services have the rest of the sockets, runs and their responses the rest of the memory.
const (
	daemonSocketShare = 0.4
	daemonMemoryShare = 0.35
	adminSocketShare  = 0.02
	adminMemoryShare  = 0.02
	// responseMemoryShare is for the frames of responses, until their streams can no longer be resumed.
	responseMemoryShare = 0.15
	// answerMemoryShare is for the answers that are kept under idempotency keys.
	answerMemoryShare = 0.1
	// dialSocketShare is for connections to other daemons.
	dialSocketShare = 0.1
)

// Settings holds the settings of a host daemon.
type Settings struct {
	process.Settings `yaml:",inline"`
	// Engines maps the names of the local engines in the configuration to their
	// base URLs.
	Engines map[string]string `yaml:"engines" validate:"dive,url"`
	// Services maps the names of the local plain services to their base URLs.
	Services map[string]string `yaml:"services" validate:"dive,url"`
	// SchedulingPolicy is isolating or fcfs (the baseline); empty selects the
	// default.
	SchedulingPolicy string `yaml:"schedulingPolicy" validate:"omitempty,oneof=isolating fcfs"`
}
