package peering

import "time"

// ShareOf returns this entry's rank, from 0, among the entries that share the request limit of a server in an
// availability zone, and their number: those that choose among the zone's servers and were heard lately. Stopping
// ones count, as they still send what has come to them. Both are 0 if this entry is not one of them: while entries
// use the servers of their own zone, only those know how many share a limit.
func (g *Group) ShareOf(now time.Time, server, zone string) (rank, entries int) {
	if g.scope == scopeZone && zone != "" && zone != g.zone {
		return 0, 0
	}
	rank, others := g.rankAmong(server, func(m *member) bool {
		return (g.scope != scopeZone || g.isLocal(m)) && m.mayRun(now)
	})
	return rank, others + 1
}

// mayRun reports whether a member was heard, or became known, within FailedAfter.
func (m *member) mayRun(now time.Time) bool {
	return now.Sub(latest(m.lastHeard, m.learnedAt)) < FailedAfter
}
