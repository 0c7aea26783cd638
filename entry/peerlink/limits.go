package peerlink

import (
	"slices"
	"time"

	"arbutusdeck/core/peering"
	"arbutusdeck/core/ratelimit"
)

// maxLimits bounds the statements of a message so that it fits into one packet of a usual link (1,500
// bytes); one takes some 50 bytes.
const maxLimits = 20

// remoteLimitInterval is the number of heartbeats after which entries of other zones are told again
// what servers state. They send requests there only if their own zone has no server.
const remoteLimitInterval = 10

// AnnounceLimits tells the other entries what servers state in responses to this one; those of other
// zones only if remote is set.
func (l *Link) AnnounceLimits(now time.Time, remote bool) {
	statements := l.options.Loads.LimitStatements(now)
	if len(statements) == 0 {
		return
	}
	ref := DispatchRef{}
	if remote {
		l.mu.Lock()
		ref.RemoteZones = l.group.RemoteZones()
		l.mu.Unlock()
	}
	l.enqueue(ref, func(m *peering.Message) { m.Limits = append(m.Limits, statements...) })
	l.scheduleFlush()
}

// sendLimits sends statements of limits to the targets.
func (l *Link) sendLimits(targets []string, statements []ratelimit.Statement, relay bool) {
	for part := range slices.Chunk(statements, maxLimits) {
		l.send(targets, peering.Message{Limits: part, Relay: relay})
	}
}
