// Package server implements the entry daemon: it connects the callers' HTTP API and
// the host daemons to the decision cores, which do no input or output themselves.
package server

import (
	"fmt"

	"arbutusdeck/core/callers"
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
	// DefaultMemoryMB is the memory of the process, in MB, of which bodyMemoryShare takes DefaultMaxOpenBytes.
	DefaultMemoryMB = 1536
)

// Shares of the sockets. A request takes the connection of its caller, one to a host, and a second one there for a time.
const (
	callerSocketShare = 0.3
	hostSocketShare   = 0.5
	peerSocketShare   = 0.1
	adminSocketShare  = 0.02
)

// Shares of the memory. The rest of the heap is for the view of the hosts, and for garbage.
const (
	callerMemoryShare = 0.5
	// bodyMemoryShare is the part of callerMemoryShare for large bodies.
	bodyMemoryShare  = 0.35
	peerMemoryShare  = 0.1
	adminMemoryShare = 0.02
)

// resources returns what the process may take of its machine.
func (s *Settings) resources() process.Resources { return s.Resources(DefaultMemoryMB) }

// Check returns an error if no body of the largest size fits into the memory for bodies. It wraps process.ErrSettings.
func (s *Settings) Check() error {
	checked := *s
	checked.applyDefaults()
	if most := checked.callerLimits().LargeBodies; checked.MaxBodyBytes > most {
		return fmt.Errorf("%w: maxBodyBytes is %d, but memoryMB and maxOpenBytes leave %d bytes for bodies", process.ErrSettings, checked.MaxBodyBytes, most)
	}
	return nil
}

// callerLimits returns the limits of the connections of callers.
func (s *Settings) callerLimits() callers.Limits {
	limits := s.resources().AddressLimits(callerSocketShare, callerMemoryShare)
	limits.LargeBodies = min(s.MaxOpenBytes, s.resources().Memory(bodyMemoryShare))
	return limits
}

// maxHostConnections returns the limit of the connections to host daemons.
func (s *Settings) maxHostConnections() int {
	return int(float64(process.SocketsOf(s.resources().Descriptors())) * hostSocketShare)
}

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
