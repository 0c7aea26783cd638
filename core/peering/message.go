package peering

import (
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/evacuation"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/quarantine"
)

// Message is what one entry sends to another. Fields are numbered for the wire, see Encode.
type Message struct {
	// From is the sender's peer address, Incarnation its start.
	From        string `cbor:"1,keyasint,omitempty"`
	Incarnation string `cbor:"2,keyasint,omitempty"`
	// KnownPeers are the addresses of other entries whose zones are not told.
	KnownPeers []string `cbor:"3,keyasint,omitempty"`
	// Version is the sender's configuration, Revision the platform's revision
	// up to which its list of servers is complete.
	Version  uint64 `cbor:"4,keyasint,omitempty"`
	Revision uint64 `cbor:"5,keyasint,omitempty"`
	// Dispatches, First and Ended are requests that were sent to a server, have
	// their first event, and are over.
	Dispatches  []placement.Dispatch `cbor:"6,keyasint,omitempty"`
	FirstEvents []string             `cbor:"7,keyasint,omitempty"`
	Ended       []string             `cbor:"8,keyasint,omitempty"`
	// Unreachable are servers, by the names of their starts, that take no requests.
	Unreachable []string `cbor:"20,keyasint,omitempty"`
	// Stopping says that the sender leaves.
	Stopping bool `cbor:"9,keyasint,omitempty"`
	// Starting says that the sender knows no backend servers yet; it could not
	// book a request.
	Starting bool `cbor:"10,keyasint,omitempty"`
	// Zone is the sender's availability zone.
	Zone string `cbor:"11,keyasint,omitempty"`
	// Capacity is how well the sender's host is suited to read the store for others.
	Capacity int `cbor:"13,keyasint,omitempty"`
	// StoreAge is the age in milliseconds, plus one, of the last answer of the store to a
	// sender that reads it; 0 if it doesn't. StoreLost says that its last call failed.
	StoreAge  int64 `cbor:"14,keyasint,omitempty"`
	StoreLost bool  `cbor:"15,keyasint,omitempty"`
	// Update is what has changed in the list of servers.
	Update *Update `cbor:"16,keyasint,omitempty"`
	// SpareCapacity is the share, in hundredths plus one, of the servers of the sender's zone that
	// could begin a short prompt at once; 0 if it isn't told. It is told to other zones.
	SpareCapacity int `cbor:"17,keyasint,omitempty"`
	// PlacementRequest and Place are a question to another zone and its answer.
	PlacementRequest *PlacementRequest `cbor:"18,keyasint,omitempty"`
	PlacementReply   *PlacementReply   `cbor:"19,keyasint,omitempty"`
	// Members are the entries that the sender takes for running, by zone.
	Members []ZoneMembers `cbor:"12,keyasint,omitempty"`
	// Records are of requests under which servers have ended.
	Records []quarantine.Record `cbor:"21,keyasint,omitempty"`
	// RecordsDigest is quarantine.Watch.Sum of the sender, plus one; 0 if it isn't told.
	RecordsDigest uint64 `cbor:"22,keyasint,omitempty"`
	// WantsMembers says that the sender wants to be told the entries of its zone.
	WantsMembers bool `cbor:"23,keyasint,omitempty"`
	// Digest stands for the near entries that the sender hears; 0 if it isn't told.
	Digest uint32 `cbor:"24,keyasint,omitempty"`
	// EntryCount is how many entries run in the sender's zone, Delegates are those that speak for it. They
	// are told to other zones, as Room is.
	EntryCount int      `cbor:"25,keyasint,omitempty"`
	Delegates  []string `cbor:"26,keyasint,omitempty"`
	// ZoneSummaries is what the sender hands on of other zones.
	ZoneSummaries []ZoneSummary `cbor:"27,keyasint,omitempty"`
	// Relay asks an entry of another zone to pass the news on to the entries of its own.
	Relay bool `cbor:"28,keyasint,omitempty"`
}

// ZoneSummary is what is known of a zone.
type ZoneSummary struct {
	Zone string `cbor:"1,keyasint,omitempty"`
	// EntryCount and Room are as in Message, as of Age milliseconds ago.
	EntryCount    int   `cbor:"2,keyasint,omitempty"`
	SpareCapacity int   `cbor:"3,keyasint,omitempty"`
	Age           int64 `cbor:"4,keyasint,omitempty"`
	// Delegates speak for the zone, Addresses are others that run there.
	Delegates []string `cbor:"5,keyasint,omitempty"`
	Addresses []string `cbor:"6,keyasint,omitempty"`
}

// SetRecordsDigest tells the sum of the sender's records.
func (m *Message) SetRecordsDigest(sum uint32) { m.RecordsDigest = uint64(sum) + 1 }

// RecordsDiffer says whether the sender's records are told, and are others than those of a sum.
func (m *Message) RecordsDiffer(sum uint32) bool {
	return m.RecordsDigest != 0 && m.RecordsDigest != uint64(sum)+1
}

// PlacementRequest asks an entry of another zone to place a request among that zone's servers.
type PlacementRequest struct {
	Service string `cbor:"1,keyasint,omitempty"`
	// Dispatch is the request without its servers.
	Dispatch placement.Dispatch `cbor:"2,keyasint,omitempty"`
	// Remaining is the time that the request has left.
	Remaining time.Duration `cbor:"3,keyasint,omitempty"`
	Exclude   []string      `cbor:"4,keyasint,omitempty"`
}

// PlacementReply answers an Ask: the servers by the names of their starts; Server is empty if there
// is no place.
type PlacementReply struct {
	ID        string        `cbor:"1,keyasint,omitempty"`
	Server    string        `cbor:"2,keyasint,omitempty"`
	Helpers   []string      `cbor:"3,keyasint,omitempty"`
	Reserved  []int64       `cbor:"4,keyasint,omitempty"`
	Predicted time.Duration `cbor:"5,keyasint,omitempty"`
}

// SetSpareCapacity tells the room in the sender's zone, as a share.
func (m *Message) SetSpareCapacity(room float64) { m.SpareCapacity = 1 + int(room*100) }

// Update are the changes of the list of servers, and of the zones that are evacuated, from one
// revision of the platform to a later one.
type Update struct {
	Base       uint64             `cbor:"1,keyasint,omitempty"`
	Revision   uint64             `cbor:"2,keyasint,omitempty"`
	Servers    []directory.Server `cbor:"3,keyasint,omitempty"`
	Tombstones []directory.Gone   `cbor:"4,keyasint,omitempty"`
	// Evacuations are the zones whose evacuation was asked for or taken back.
	Evacuations []evacuation.State `cbor:"5,keyasint,omitempty"`
}

// SetStoreState says how the sender reads the store.
func (m *Message) SetStoreState(state StoreState) {
	m.StoreLost = state.Lost
	if state.Reads {
		m.StoreAge = state.Age.Milliseconds() + 1
	}
}

// storeState is the reverse of SetStore.
func (m *Message) storeState() StoreState {
	return StoreState{Reads: m.StoreAge > 0, Lost: m.StoreLost, Age: time.Duration(max(m.StoreAge-1, 0)) * time.Millisecond}
}

// ZoneMembers are the peer addresses of entries in one availability zone.
type ZoneMembers struct {
	Zone      string   `cbor:"1,keyasint,omitempty"`
	Addresses []string `cbor:"2,keyasint,omitempty"`
}

// HasEvents says whether the message tells of requests or servers.
func (m *Message) HasEvents() bool {
	return len(m.Dispatches)+len(m.FirstEvents)+len(m.Ended)+len(m.Unreachable)+len(m.Records) > 0
}
