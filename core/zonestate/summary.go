// Package zonestate defines the state of an availability zone as its entries report it to other zones: slots,
// memory, prefill and demand of its engine services, and the usage of its busiest workspaces. Other zones decide by
// it which zone to ask for a request that their own can't serve in time.
//
// Two entries of a zone send a summary to each other zone at each heartbeat, and the entries there pass it on. Its
// size is therefore bounded, whatever the number of servers, workspaces and entries. The package is pure.
package zonestate

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the encoding that this code writes and reads. It changes only where the meaning of a
// field changes; new fields are ignored by entries that don't know them.
const Version = 1

// Bounds of a summary. With all of them reached, it takes less than MaxEncodedBytes.
const (
	// MaxEncodedBytes leaves room in a packet of a usual link (1,500 bytes) for the rest of a heartbeat.
	MaxEncodedBytes = 1200
	// MaxServices bounds the services of a summary, MaxWorkspaces the workspaces.
	MaxServices   = 4
	MaxWorkspaces = 16
	// MaxNameBytes bounds the name of a service.
	MaxNameBytes = 96
	// maxCount bounds slots and requests, maxTokens memory, maxBacklogMs the queued prefill and maxRate rates and
	// usage. They are far above any zone and keep a faulty summary from overflowing what is computed from it.
	maxCount     = 1_000_000
	maxTokens    = 1 << 50
	maxBacklogMs = 3_600_000
	maxRate      = 1e12
)

// Summary is the state of a zone as reported to other zones.
type Summary struct {
	// Version is the version of the encoding. A summary of a later version holds nothing else once it is decoded.
	Version uint8 `cbor:"1,keyasint,omitempty"`
	// Services are the engine services, at most MaxServices.
	Services []ServiceState `cbor:"2,keyasint,omitempty"`
	// Usage holds the busiest workspaces, at most MaxWorkspaces.
	Usage []WorkspaceUsage `cbor:"3,keyasint,omitempty"`
	// Closed is set while the zone is evacuated: it accepts no requests.
	Closed bool `cbor:"4,keyasint,omitempty"`
}

// ServiceState is the state of one service in a zone. It covers the servers that accept requests: those that are not
// in backoff, paused, cold, limited or draining.
type ServiceState struct {
	Service string `cbor:"1,keyasint,omitempty"`
	// Slots is the number of requests that the servers run at once.
	Slots int `cbor:"2,keyasint,omitempty"`
	// FreeSlots are the slots without a request. Requests in excess of one server's slots are not subtracted from
	// the free slots of the others.
	FreeSlots int `cbor:"3,keyasint,omitempty"`
	// Waiting is the number of requests that wait at entries of the zone.
	Waiting int `cbor:"4,keyasint,omitempty"`
	// BacklogMs is the mean queued prefill of a server, in milliseconds.
	BacklogMs int `cbor:"5,keyasint,omitempty"`
	// FreeMemory is the free memory of all servers, LargestFree that of the server with the most of it, in tokens.
	FreeMemory  int64 `cbor:"6,keyasint,omitempty"`
	LargestFree int64 `cbor:"7,keyasint,omitempty"`
	// DemandPerS is the smoothed rate at which short prompts of the zone's own callers arrive, per second.
	DemandPerS float64 `cbor:"8,keyasint,omitempty"`
}

// WorkspaceUsage is what a workspace used in a zone within the last seconds.
type WorkspaceUsage struct {
	// Workspace is a hash of the name.
	Workspace uint32 `cbor:"1,keyasint,omitempty"`
	// SlotSeconds is the time for which its requests held slots, in seconds; Tokens are the prefilled tokens.
	SlotSeconds float64 `cbor:"2,keyasint,omitempty"`
	Tokens      float64 `cbor:"3,keyasint,omitempty"`
}

// Known reports whether the summary is of a version that this code understands.
func (s *Summary) Known() bool { return s != nil && s.Version >= 1 && s.Version <= Version }

// Service returns the state of a service; false if the summary doesn't hold it.
func (s *Summary) Service(name string) (ServiceState, bool) {
	for _, state := range s.Services {
		if state.Service == name {
			return state, true
		}
	}
	return ServiceState{}, false
}

// UnmarshalCBOR decodes a summary. Of a later version only the version is decoded: its other fields may have other
// types, and an error would refuse the whole heartbeat that carries it.
func (s *Summary) UnmarshalCBOR(data []byte) error {
	var head struct {
		Version uint8 `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(data, &head); err != nil {
		return fmt.Errorf("version of a zone summary: %w", err)
	}
	if head.Version > Version {
		*s = Summary{Version: head.Version}
		return nil
	}
	type fields Summary // without this method
	var decoded fields
	if err := cbor.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("zone summary: %w", err)
	}
	*s = Summary(decoded)
	return nil
}

// Check returns an error that names the first invalid field. A summary of a later version is valid: it is ignored.
func (s *Summary) Check() error {
	if s.Version > Version {
		return nil
	}
	if s.Version < 1 {
		return fmt.Errorf("version is %d, not 1 or more", s.Version)
	}
	if len(s.Services) > MaxServices {
		return fmt.Errorf("services: %d exceed the limit of %d", len(s.Services), MaxServices)
	}
	if len(s.Usage) > MaxWorkspaces {
		return fmt.Errorf("usage: %d workspaces exceed the limit of %d", len(s.Usage), MaxWorkspaces)
	}
	seen := map[string]bool{}
	for _, state := range s.Services {
		if err := state.check(); err != nil {
			return fmt.Errorf("service %.*q: %w", MaxNameBytes, state.Service, err)
		}
		if seen[state.Service] {
			return fmt.Errorf("service %q is given twice", state.Service)
		}
		seen[state.Service] = true
	}
	for _, use := range s.Usage {
		if err := use.check(); err != nil {
			return fmt.Errorf("workspace %08x: %w", use.Workspace, err)
		}
	}
	return nil
}

func (s *ServiceState) check() error {
	if s.Service == "" || len(s.Service) > MaxNameBytes {
		return fmt.Errorf("name has %d bytes, not 1 to %d", len(s.Service), MaxNameBytes)
	}
	for _, field := range []struct {
		name         string
		value, limit int64
	}{
		{"slots", int64(s.Slots), maxCount},
		{"free slots", int64(s.FreeSlots), int64(s.Slots)},
		{"waiting", int64(s.Waiting), maxCount},
		{"backlog (ms)", int64(s.BacklogMs), maxBacklogMs},
		{"free memory", s.FreeMemory, maxTokens},
		{"largest free memory", s.LargestFree, s.FreeMemory},
	} {
		if field.value < 0 || field.value > field.limit {
			return fmt.Errorf("%s is %d, not 0 to %d", field.name, field.value, field.limit)
		}
	}
	return checkRate("demand per second", s.DemandPerS)
}

func (u *WorkspaceUsage) check() error {
	if err := checkRate("slot seconds", u.SlotSeconds); err != nil {
		return err
	}
	return checkRate("tokens", u.Tokens)
}

func checkRate(name string, value float64) error {
	if math.IsNaN(value) || value < 0 || value > maxRate {
		return fmt.Errorf("%s is %g, not 0 to %g", name, value, maxRate)
	}
	return nil
}
