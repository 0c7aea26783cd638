package peerlink

import (
	"time"

	"arbutusdeck/core/claims"
	"arbutusdeck/core/peering"
)

// SendClaims sends claims of this entry to the local entries with the next load updates.
func (l *Link) SendClaims(reports []claims.Report) {
	if len(reports) == 0 {
		return
	}
	l.enqueue(DispatchRef{}, func(m *peering.Message) { m.Claims = append(m.Claims, reports...) })
	l.scheduleFlush()
}

// repeatClaims sends the open claims again: a lost message delays what it says by a heartbeat, and the claims of an
// entry that is not heard end.
func (l *Link) repeatClaims(now time.Time) { l.SendClaims(l.options.Loads.Claims(now)) }

// sendClaims sends claims to the targets in messages that fit into a packet.
func (l *Link) sendClaims(targets []string, reports []claims.Report) {
	for _, part := range peering.SplitClaims(reports) {
		l.send(targets, peering.Message{Claims: part})
	}
}
