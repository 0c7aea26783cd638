package peering

import (
	"time"

	"arbutusdeck/core/claims"
	"arbutusdeck/core/directory"
	"arbutusdeck/core/evacuation"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/quarantine"
	"arbutusdeck/core/ratelimit"
	"arbutusdeck/core/waiting"
	"arbutusdeck/core/zonestate"
)

// Message is sent from one entry to another. Fields are numbered for the wire, see Encode.
type Message struct {
	// From is the sender's peer address; Incarnation names its current start.
	From        string `cbor:"1,keyasint,omitempty"`
	Incarnation string `cbor:"2,keyasint,omitempty"`
	// KnownPeers are addresses of other entries whose zones are not given.
	KnownPeers []string `cbor:"3,keyasint,omitempty"`
	// Version is the sender's configuration version; Revision is the platform revision up to which its list of
	// servers is complete.
	Version  uint64 `cbor:"4,keyasint,omitempty"`
	Revision uint64 `cbor:"5,keyasint,omitempty"`
	// Dispatches are requests sent to a server; FirstEvents and Ended are the IDs of requests whose first event
	// has come and of those that are over.
	Dispatches  []placement.Dispatch `cbor:"6,keyasint,omitempty"`
	FirstEvents []string             `cbor:"7,keyasint,omitempty"`
	Ended       []string             `cbor:"8,keyasint,omitempty"`
	// Unreachable are the incarnations of servers that accept no requests.
	Unreachable []string `cbor:"20,keyasint,omitempty"`
	// Stopping is set while the sender shuts down.
	Stopping bool `cbor:"9,keyasint,omitempty"`
	// Starting is set while the sender knows no backend servers yet and could not record a request.
	Starting bool `cbor:"10,keyasint,omitempty"`
	// Zone is the sender's availability zone.
	Zone string `cbor:"11,keyasint,omitempty"`
	// Capacity rates the sender's host as a store reader for others; the highest is preferred.
	Capacity int `cbor:"13,keyasint,omitempty"`
	// StoreAge is the age in milliseconds, plus one, of the store's last answer to a sender that reads it; 0 if
	// it does not. StoreLost is set if its last call failed.
	StoreAge  int64 `cbor:"14,keyasint,omitempty"`
	StoreLost bool  `cbor:"15,keyasint,omitempty"`
	// Update holds changes of the list of servers.
	Update *Update `cbor:"16,keyasint,omitempty"`
	// SpareCapacity is the share, in hundredths plus one, of the servers of the sender's zone that could start a
	// short prompt at once; 0 if not given. It is sent to other zones.
	SpareCapacity int `cbor:"17,keyasint,omitempty"`
	// PlacementRequest and PlacementReply place a request in another zone.
	PlacementRequest *PlacementRequest `cbor:"18,keyasint,omitempty"`
	PlacementReply   *PlacementReply   `cbor:"19,keyasint,omitempty"`
	// Members are the entries that the sender takes for running, by zone.
	Members []ZoneMembers `cbor:"12,keyasint,omitempty"`
	// Records describe requests that have crashed servers.
	Records []quarantine.Record `cbor:"21,keyasint,omitempty"`
	// RecordsDigest is the digest of the sender's records of requests and of parts, plus one; 0 if not given.
	RecordsDigest uint64 `cbor:"22,keyasint,omitempty"`
	// WantsMembers asks the recipient for the entries of the sender's zone.
	WantsMembers bool `cbor:"23,keyasint,omitempty"`
	// Digest is the sender's Group.Digest, a hash of the local entries that it hears; 0 if not given.
	Digest uint32 `cbor:"24,keyasint,omitempty"`
	// EntryCount is the number of running entries in the sender's zone; Delegates are those that exchange state
	// with other zones. Like SpareCapacity they are sent to other zones.
	EntryCount int      `cbor:"25,keyasint,omitempty"`
	Delegates  []string `cbor:"26,keyasint,omitempty"`
	// ZoneSummaries pass on what other zones have reported to the sender.
	ZoneSummaries []ZoneSummary `cbor:"27,keyasint,omitempty"`
	// Relay asks an entry of another zone to pass the events on to the entries of its own.
	Relay bool `cbor:"28,keyasint,omitempty"`
	// Limits are the request limits that servers have stated in responses to the sender, and their ends.
	Limits []ratelimit.Statement `cbor:"29,keyasint,omitempty"`
	// Summary is the state of the sender's zone; nil if not given. Like SpareCapacity, which entries of versions
	// that don't know it go by, it is sent to other zones.
	Summary *zonestate.Summary `cbor:"30,keyasint,omitempty"`
	// Queue is the state of the sender's queues of requests that wait for a slot, one for each service.
	Queue []waiting.Report `cbor:"31,keyasint,omitempty"`
	// Claims are the prompts that wait at the sender for memory, as of the time of sending, and those that wait no
	// longer. They are sent to the entries of the sender's zone.
	Claims []claims.Report `cbor:"32,keyasint,omitempty"`
	// PartRecords describe parts of prompts under which servers have crashed.
	PartRecords []quarantine.PartRecord `cbor:"33,keyasint,omitempty"`
}

// ZoneSummary is the state of a zone as its entries report it.
type ZoneSummary struct {
	Zone string `cbor:"1,keyasint,omitempty"`
	// EntryCount and SpareCapacity are as in Message, as of Age milliseconds ago.
	EntryCount    int   `cbor:"2,keyasint,omitempty"`
	SpareCapacity int   `cbor:"3,keyasint,omitempty"`
	Age           int64 `cbor:"4,keyasint,omitempty"`
	// Delegates are the zone's delegates; Addresses are other running entries.
	Delegates []string `cbor:"5,keyasint,omitempty"`
	Addresses []string `cbor:"6,keyasint,omitempty"`
	// Summary is as in Message, as of Age milliseconds ago.
	Summary *zonestate.Summary `cbor:"7,keyasint,omitempty"`
}

// SetRecordsDigest sets RecordsDigest to the digest of the sender's records.
func (m *Message) SetRecordsDigest(digest uint32) { m.RecordsDigest = uint64(digest) + 1 }

// RecordsDiffer reports whether the message carries a digest of records that is not the given one.
func (m *Message) RecordsDiffer(digest uint32) bool {
	return m.RecordsDigest != 0 && m.RecordsDigest != uint64(digest)+1
}

// PlacementRequest asks an entry of another zone to place a request at one of that zone's servers.
type PlacementRequest struct {
	Service string `cbor:"1,keyasint,omitempty"`
	// Dispatch describes the request; its servers are empty.
	Dispatch placement.Dispatch `cbor:"2,keyasint,omitempty"`
	// Remaining is the time left to the request's deadline.
	Remaining time.Duration `cbor:"3,keyasint,omitempty"`
	Exclude   []string      `cbor:"4,keyasint,omitempty"`
}

// PlacementReply answers a PlacementRequest. Servers are named by their incarnations; Server is empty if no
// server has capacity.
type PlacementReply struct {
	ID        string        `cbor:"1,keyasint,omitempty"`
	Server    string        `cbor:"2,keyasint,omitempty"`
	Helpers   []string      `cbor:"3,keyasint,omitempty"`
	Reserved  []int64       `cbor:"4,keyasint,omitempty"`
	Predicted time.Duration `cbor:"5,keyasint,omitempty"`
}

// SetSpareCapacity sets SpareCapacity from a share between 0 and 1.
func (m *Message) SetSpareCapacity(share float64) { m.SpareCapacity = 1 + int(share*100) }

// Update holds the changes of the list of servers and of the evacuated zones between two revisions of the
// platform.
type Update struct {
	BaseRevision uint64 `cbor:"1,keyasint,omitempty"`
	UpToRevision uint64 `cbor:"2,keyasint,omitempty"`
	// Servers are the new and changed servers, Tombstones the removed ones.
	Servers    []directory.Server    `cbor:"3,keyasint,omitempty"`
	Tombstones []directory.Tombstone `cbor:"4,keyasint,omitempty"`
	// Evacuations are the zones whose evacuation was requested or ended.
	Evacuations []evacuation.State `cbor:"5,keyasint,omitempty"`
}

// SetStoreState sets StoreAge and StoreLost from the sender's access to the store.
func (m *Message) SetStoreState(state StoreState) {
	m.StoreLost = state.Lost
	if state.Reads {
		m.StoreAge = state.Age.Milliseconds() + 1
	}
}

// storeState is the inverse of SetStoreState.
func (m *Message) storeState() StoreState {
	return StoreState{Reads: m.StoreAge > 0, Lost: m.StoreLost, Age: time.Duration(max(m.StoreAge-1, 0)) * time.Millisecond}
}

// ZoneMembers are the peer addresses of entries in one availability zone.
type ZoneMembers struct {
	Zone      string   `cbor:"1,keyasint,omitempty"`
	Addresses []string `cbor:"2,keyasint,omitempty"`
}

// HasEvents reports whether the message carries events of requests or servers.
func (m *Message) HasEvents() bool {
	return len(m.Dispatches)+len(m.FirstEvents)+len(m.Ended)+len(m.Unreachable)+len(m.Records)+len(m.PartRecords)+len(m.Limits)+len(m.Claims) > 0
}
