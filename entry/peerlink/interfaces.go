// Package peerlink exchanges messages with the other entries: heartbeats, updates of loads, of
// servers and of requests under which servers crash, placements in other zones, and views. What the
// messages mean for the group of entries is decided in core/peering; this package carries it out.
package peerlink

import (
	"time"

	"arbutusdeck/core/claims"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/quarantine"
	"arbutusdeck/core/ratelimit"
	"arbutusdeck/core/waiting"
	"arbutusdeck/core/zonestate"
)

// Status is the part of an entry's state that its messages advertise.
type Status interface {
	// Versions returns the version of the configuration, and the store revision up to which the
	// list of servers is complete.
	Versions() (version, revision uint64)
	// StoreState returns the state of this entry's reading of the store.
	StoreState(now time.Time) peering.StoreState
	// StoreUnavailable reports whether this entry could not read the store for a while and no other
	// entry of its zone is up to date.
	StoreUnavailable(now time.Time) bool
	// Starting reports whether this entry has not served yet, Stopping whether it shuts down.
	Starting() bool
	Stopping() bool
}

// Views is the configuration, the servers and the evacuations that entries send each other.
type Views interface {
	// View returns the state of this entry, with the configuration if its version is greater than
	// above.
	View(above uint64) View
	// ApplyView applies a peer's view, its servers only if withServers is set.
	ApplyView(v View, peer string, withServers bool)
	// ApplyUpdate applies changes that a store reader has sent.
	ApplyUpdate(update peering.Update, from string)
}

// Loads is what entries tell each other about the servers.
type Loads interface {
	// ApplyLoadUpdates records the dispatches, unreachable servers and request limits in a message;
	// restarted is set if its sender has lost its open requests.
	ApplyLoadUpdates(now time.Time, m peering.Message, restarted bool)
	// OpenDispatches returns the open dispatches of this entry, and the identifiers of those that
	// have had their first event.
	OpenDispatches(now time.Time) (dispatches []placement.Dispatch, firstEvents []string)
	// QueueReports returns the state of the queues of requests that wait for a slot; nil if there are none.
	QueueReports(now time.Time) []waiting.Report
	// LimitStatements returns what servers have stated to this entry about their request limits.
	LimitStatements(now time.Time) []ratelimit.Statement
	// Claims returns the prompts that wait at this entry for memory.
	Claims(now time.Time) []claims.Report
	// SpareCapacity returns the spare capacity (0 to 1) in heartbeats to other zones.
	SpareCapacity(now time.Time) float64
	// ZoneSummary returns the state of this zone in heartbeats to other zones; nil if none is sent.
	ZoneSummary(now time.Time) *zonestate.Summary
}

// Records are the records of requests, and of parts of prompts, under which servers crash.
type Records interface {
	RecordsDigest() uint32
	// MergeRecords merges the records of another entry and returns the digest after that.
	MergeRecords(now time.Time, records []quarantine.Record, parts []quarantine.PartRecord) (digest uint32)
	Records(now time.Time) ([]quarantine.Record, []quarantine.PartRecord)
}

// Placements places requests of other zones.
type Placements interface {
	// Place chooses servers of this zone for a request of the entry from, and records its dispatch.
	Place(now time.Time, from string, request peering.PlacementRequest) peering.PlacementReply
}
