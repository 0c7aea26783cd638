package peerlink

import (
	"slices"
	"time"

	"arbutusdeck/core/peering"
	"arbutusdeck/core/quarantine"
)

// maxRecords bounds the records of a message so that it fits into one packet of a usual link (1,500
// bytes); one with five crashes takes some 80 bytes.
const maxRecords = 12

// BroadcastRecord sends the record of a request to all entries, after a crash or once it is
// cleared.
func (l *Link) BroadcastRecord(record quarantine.Record) {
	l.broadcast(func(m *peering.Message) { m.Records = append(m.Records, record) })
}

// BroadcastPartRecords sends the records of parts of prompts to all entries, after a crash or once
// they are cleared.
func (l *Link) BroadcastPartRecords(records []quarantine.PartRecord) {
	if len(records) > 0 {
		l.broadcast(func(m *peering.Message) { m.PartRecords = append(m.PartRecords, records...) })
	}
}

// broadcast sends what is added to a message to all entries, before it returns: this entry may be
// about to exit.
func (l *Link) broadcast(add func(*peering.Message)) {
	l.mu.Lock()
	allZones := DispatchRef{RemoteZones: l.group.RemoteZones()}
	l.mu.Unlock()
	l.enqueue(allZones, add)
	l.flush()
}

// sendAllRecords sends all records to an entry.
func (l *Link) sendAllRecords(now time.Time, target string) {
	records, parts := l.options.Records.Records(now)
	l.sendRecords([]string{target}, records, false)
	l.sendPartRecords([]string{target}, parts, false)
}

// sendRecords sends records in messages of their own; relay asks the targets to pass them on.
func (l *Link) sendRecords(targets []string, records []quarantine.Record, relay bool) {
	for part := range slices.Chunk(records, maxRecords) {
		l.send(targets, peering.Message{Records: part, Relay: relay})
	}
}

// maxPartCrashes bounds the part records of a message as maxRecords does: the sum of their crashes
// and of the records, each of which takes some 35 bytes.
const maxPartCrashes = 36

// sendPartRecords sends records of parts in messages of their own; relay asks the targets to pass
// them on.
func (l *Link) sendPartRecords(targets []string, records []quarantine.PartRecord, relay bool) {
	for _, part := range splitPartRecords(records) {
		l.send(targets, peering.Message{PartRecords: part, Relay: relay})
	}
}

// splitPartRecords splits records into parts that each fit a message.
func splitPartRecords(records []quarantine.PartRecord) [][]quarantine.PartRecord {
	var parts [][]quarantine.PartRecord
	size := maxPartCrashes
	for _, record := range records {
		if size += 1 + len(record.Crashes); size > maxPartCrashes {
			parts, size = append(parts, nil), 1+len(record.Crashes)
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], record)
	}
	return parts
}

// mergeRecords merges the quarantine records of another entry. If its digest differs from the one
// here, it is sent all records of this entry.
func (l *Link) mergeRecords(now time.Time, m peering.Message) {
	if len(m.Records)+len(m.PartRecords) == 0 && m.RecordsDigest == 0 {
		return // most messages carry load updates only
	}
	if !m.RecordsDiffer(l.options.Records.MergeRecords(now, m.Records, m.PartRecords)) {
		return
	}
	l.mu.Lock()
	due := l.group.ShouldSendRecords(now, m.From)
	l.mu.Unlock()
	if due {
		l.sendAllRecords(now, m.From)
	}
}
