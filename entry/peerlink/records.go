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
	l.mu.Lock()
	allZones := DispatchRef{RemoteZones: l.group.RemoteZones()}
	l.mu.Unlock()
	l.enqueue(allZones, func(m *peering.Message) { m.Records = append(m.Records, record) })
	go l.flush()
}

// sendAllRecords sends all records to an entry.
func (l *Link) sendAllRecords(now time.Time, target string) {
	l.sendRecords([]string{target}, l.options.Records.Records(now), false)
}

// sendRecords sends records in messages of their own; relay asks the targets to pass them on.
func (l *Link) sendRecords(targets []string, records []quarantine.Record, relay bool) {
	for part := range slices.Chunk(records, maxRecords) {
		l.send(targets, peering.Message{Records: part, Relay: relay})
	}
}

// mergeRecords merges the quarantine records of another entry. If its digest differs from the one
// here, it is sent all records of this entry.
func (l *Link) mergeRecords(now time.Time, m peering.Message) {
	if len(m.Records) == 0 && m.RecordsDigest == 0 {
		return // most messages carry load updates only
	}
	if !m.RecordsDiffer(l.options.Records.MergeRecords(now, m.Records)) {
		return
	}
	l.mu.Lock()
	due := l.group.ShouldSendRecords(now, m.From)
	l.mu.Unlock()
	if due {
		l.sendAllRecords(now, m.From)
	}
}
