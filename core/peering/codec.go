package peering

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"arbutusdeck/core/placement"
)

// Encode serializes a message as CBOR. Fields are numbered, so that entries of different versions understand each
// other during a rolling upgrade: unknown numbers are ignored, missing ones are zero. JSON took twice the bytes
// (214 instead of 110 for a dispatch, 103 instead of 49 for an end). Every entry sends three messages for each
// request to every other one, which made up most of the bytes between availability zones.
func Encode(m Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode a message to another entry: %w", err)
	}
	return data, nil
}

// Decode parses and validates a message.
func Decode(data []byte) (Message, error) {
	var m Message
	err := cbor.Unmarshal(data, &m)
	if err == nil {
		err = m.check()
	}
	if err != nil {
		return Message{}, fmt.Errorf("decode a message of another entry (%d bytes): %w", len(data), err)
	}
	return m, nil
}

// check returns an error that names the first invalid part.
func (m *Message) check() error {
	for i := range m.Dispatches {
		if err := m.Dispatches[i].Check(); err != nil {
			return fmt.Errorf("request %s: %w", m.Dispatches[i].ID, err)
		}
	}
	if m.EntryCount < 0 || m.EntryCount > maxEntries {
		return fmt.Errorf("entry count of the zone is %d, not 0 to %d", m.EntryCount, maxEntries)
	}
	if m.Summary != nil {
		if err := m.Summary.Check(); err != nil {
			return fmt.Errorf("summary of the zone: %w", err)
		}
	}
	for _, summary := range m.ZoneSummaries {
		if err := summary.check(); err != nil {
			return fmt.Errorf("zone %s: %w", summary.Zone, err)
		}
	}
	for _, report := range m.Queue {
		if err := report.Check(); err != nil {
			return fmt.Errorf("queue of service %s: %w", report.Service, err)
		}
	}
	for _, statement := range m.Limits {
		if err := statement.Check(); err != nil {
			return fmt.Errorf("server %s: %w", statement.Server, err)
		}
	}
	for i := range m.Claims {
		if err := m.Claims[i].Check(); err != nil {
			return fmt.Errorf("claim %s: %w", m.Claims[i].ID, err)
		}
	}
	if m.PlacementRequest != nil {
		if err := m.PlacementRequest.Dispatch.Check(); err != nil {
			return fmt.Errorf("placement request %s: %w", m.PlacementRequest.Dispatch.ID, err)
		}
	}
	if m.PlacementReply != nil {
		dispatch := placement.Dispatch{Helpers: m.PlacementReply.Helpers, Reserved: m.PlacementReply.Reserved}
		if err := dispatch.Check(); err != nil {
			return fmt.Errorf("placement reply %s: %w", m.PlacementReply.ID, err)
		}
	}
	return nil
}

// Bounds of what is accepted about a zone. A count that is far too high would leave no entry a share of the
// common budgets.
const (
	maxEntries      = 10_000
	maxSummaryAgeMs = 60_000
)

func (z *ZoneSummary) check() error {
	if z.EntryCount < 0 || z.EntryCount > maxEntries {
		return fmt.Errorf("entry count is %d, not 0 to %d", z.EntryCount, maxEntries)
	}
	if z.Age < 0 || z.Age > maxSummaryAgeMs {
		return fmt.Errorf("age is %d ms, not 0 to %d", z.Age, maxSummaryAgeMs)
	}
	if z.Summary != nil {
		if err := z.Summary.Check(); err != nil {
			return fmt.Errorf("summary: %w", err)
		}
	}
	return nil
}
