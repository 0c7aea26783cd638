package peering

import "time"

// recordsResendInterval lies between two times at which one member is told all records of requests under
// which servers have ended. Two heartbeats: what was lost on its way is told again well within
// the three seconds in which all entries have to know, and members that can't agree (each
// remembers a bounded number) don't fill the links.
const recordsResendInterval = 2 * HeartbeatInterval

// ShouldSendRecords says whether a member whose records differ is to be told all records now, and
// notes that it is.
func (g *Group) ShouldSendRecords(now time.Time, address string) bool {
	m := g.members[address]
	if m == nil || !m.recordsSentAt.IsZero() && now.Sub(m.recordsSentAt) < recordsResendInterval {
		return false
	}
	m.recordsSentAt = now
	return true
}
