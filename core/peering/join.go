package peering

import (
	"slices"
	"time"
)

// A starting entry knows the seeds, which may belong to other zones, be stale or be down. It asks them for the
// entries of its own zone, greets those, and asks the first again, since only a local member knows all of them. A
// greeted entry greets back and sends nothing else: when all start at once every pair meets, and full lists at
// each meeting would cost entries times entries times list length. The lists sent in turns (heartbeats.go) repair
// losses.

// NeedsMembers reports whether this entry asks for the entries of its zone with its heartbeats: until a local
// member has sent them, and while it hears none.
func (g *Group) NeedsMembers(now time.Time) bool {
	return !g.joined || !slices.ContainsFunc(g.Addresses(), func(address string) bool {
		m := g.members[address]
		return m.zone == g.zone && m.isAlive(now)
	})
}

// SplitGreetings divides newly discovered entries into those that are asked for the entries of this zone and
// those that are only greeted.
func (g *Group) SplitGreetings(now time.Time, discovered []string) (asked, greeted []string) {
	if len(discovered) > 0 && g.NeedsMembers(now) {
		return discovered[:1], discovered[1:]
	}
	return nil, discovered
}

// MembersFor returns the reply to an entry of a zone that asks for members: the running entries of its zone, and
// a few of each other zone. Where all entries use all servers the reply holds all running entries.
func (g *Group) MembersFor(now time.Time, zone string) []ZoneMembers {
	members := g.Running(now)
	if g.scope == scopeAll {
		return members
	}
	for i := range members {
		if members[i].Zone != zone {
			members[i].Addresses = g.sample(members[i].Addresses)
		}
	}
	return members
}

// sample returns some of the entries of a zone, a different selection at each entry.
func (g *Group) sample(addresses []string) []string {
	if len(addresses) <= remoteMembersPerZone {
		return addresses
	}
	from := int(rendezvousHash(g.self, g.incarnation) % uint64(len(addresses)))
	picked := make([]string, 0, remoteMembersPerZone)
	for i := range remoteMembersPerZone {
		picked = append(picked, addresses[(from+i)%len(addresses)])
	}
	return picked
}

// Running returns the running members and this entry, by zone.
func (g *Group) Running(now time.Time) []ZoneMembers {
	zones := map[string][]string{g.zone: {g.self}}
	for _, address := range g.Addresses() {
		if m := g.members[address]; g.mayReport(now, m) {
			zones[m.zone] = append(zones[m.zone], address)
		}
	}
	return sortedByZone(zones)
}

// mayReport reports whether a member is reported to others as running. Of its own zone an entry reports only what
// it hears itself: members that relied on each other's reports would keep a terminated entry alive between them
// for ever.
func (g *Group) mayReport(now time.Time, m *member) bool {
	return m.isAlive(now) || m.zone != g.zone && m.isRunning(now)
}
