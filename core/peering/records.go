package peering

import "time"

// recordsResendInterval is the interval between two transmissions of all quarantine records to one member. With
// two heartbeats, lost records are repeated well within the three seconds in which all entries have to know them,
// and members that can't converge (each keeps a bounded number) don't fill the links.
const recordsResendInterval = 2 * HeartbeatInterval

// ShouldSendRecords reports whether a member whose records differ is to be sent all records now, and notes the
// transmission.
func (g *Group) ShouldSendRecords(now time.Time, address string) bool {
	m := g.members[address]
	if m == nil || !m.recordsSentAt.IsZero() && now.Sub(m.recordsSentAt) < recordsResendInterval {
		return false
	}
	m.recordsSentAt = now
	return true
}
