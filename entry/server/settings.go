// Package server implements the entry daemon: it connects the callers' HTTP API and
// the host daemons to the decision cores, which do no input or output themselves.
package server

import (
	"arbutusdeck/core/process"
)

// Settings holds the settings of one entry daemon.
type Settings struct {
	process.Settings `yaml:",inline"`
	// ListenAddress is the address of the callers' API.
	ListenAddress string `yaml:"listenAddress" validate:"required,hostname_port"`
	// MaxBodyBytes bounds one request body; 0 selects DefaultMaxBodyBytes.
	MaxBodyBytes int64 `yaml:"maxBodyBytes" validate:"gte=0"`
	// MaxOpenBytes bounds the bodies of all open requests together; 0 selects DefaultMaxOpenBytes.
	MaxOpenBytes int64 `yaml:"maxOpenBytes" validate:"gte=0"`
	// BytesPerToken converts the size of a prompt to tokens; 0 selects DefaultBytesPerToken.
	BytesPerToken float64 `yaml:"bytesPerToken" validate:"gte=0"`
	// RoutingPolicy selects the server by predicted latency ("predicted") or by one of the
	// baseline policies.
	RoutingPolicy string `yaml:"routingPolicy" validate:"omitempty,oneof=predicted random round-robin least-outstanding"`
}

// Defaults of Settings.
const (
	// DefaultMaxBodyBytes exceeds the size of a prompt of one million tokens.
	DefaultMaxBodyBytes = 16 << 20
	// DefaultMaxOpenBytes keeps an entry within the memory of a small host.
	DefaultMaxOpenBytes  = 512 << 20
	DefaultBytesPerToken = 4.0
)

func (s *Settings) applyDefaults() {
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if s.MaxOpenBytes == 0 {
		s.MaxOpenBytes = DefaultMaxOpenBytes
	}
	if s.BytesPerToken == 0 {
		s.BytesPerToken = DefaultBytesPerToken
	}
}
