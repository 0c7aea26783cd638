package peering

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"arbutusdeck/core/placement"
)

// Encode writes a message for the wire. Fields are numbered, so that entries of
// different versions understand each other while they are replaced: an unknown number
// is passed over, a missing one is zero. JSON took twice as many bytes (a begin 214 and
// 110, an end 103 and 49); every entry sends three messages a request to every
// other one, which made most of the bytes between availability zones.
func Encode(m Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("a message to another entry: %w", err)
	}
	return data, nil
}

// Decode reads a message and checks what it tells.
func Decode(data []byte) (Message, error) {
	var m Message
	err := cbor.Unmarshal(data, &m)
	if err == nil {
		err = m.check()
	}
	if err != nil {
		return Message{}, fmt.Errorf("a message of another entry, %d bytes: %w", len(data), err)
	}
	return m, nil
}

// check returns an error that names the first thing told that makes no sense.
func (m *Message) check() error {
	for i := range m.Dispatches {
		if err := m.Dispatches[i].Check(); err != nil {
			return fmt.Errorf("request %s: %w", m.Dispatches[i].ID, err)
		}
	}
	if m.EntryCount < 0 || m.EntryCount > maxEntries {
		return fmt.Errorf("%d entries in a zone: 0 to %d", m.EntryCount, maxEntries)
	}
	for _, summary := range m.ZoneSummaries {
		if err := summary.check(); err != nil {
			return fmt.Errorf("zone %s: %w", summary.Zone, err)
		}
	}
	if m.PlacementRequest != nil {
		if err := m.PlacementRequest.Dispatch.Check(); err != nil {
			return fmt.Errorf("a question for request %s: %w", m.PlacementRequest.Dispatch.ID, err)
		}
	}
	if m.PlacementReply != nil {
		dispatch := placement.Dispatch{Helpers: m.PlacementReply.Helpers, Held: m.PlacementReply.Reserved}
		if err := dispatch.Check(); err != nil {
			return fmt.Errorf("a place for request %s: %w", m.PlacementReply.ID, err)
		}
	}
	return nil
}

// Bounds of what is told of a zone. A count that is far too high would leave no entry a part of shared budgets.
const (
	maxEntries = 10_000
	// maxSummaryAgeMs is in milliseconds.
	maxSummaryAgeMs = 60_000
)

func (z *ZoneSummary) check() error {
	if z.EntryCount < 0 || z.EntryCount > maxEntries {
		return fmt.Errorf("%d entries: 0 to %d", z.EntryCount, maxEntries)
	}
	if z.Age < 0 || z.Age > maxSummaryAgeMs {
		return fmt.Errorf("as of %d ms ago: 0 to %d", z.Age, maxSummaryAgeMs)
	}
	return nil
}
