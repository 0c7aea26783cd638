// Package server implements the host daemon of one backend server: it connects
// the decision core in core/backend to the network, the clock and the engines.
package server

import (
	"arbutusdeck/core/process"
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
