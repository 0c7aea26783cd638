package peering

import (
	"slices"
	"time"
)

// Joining. An entry that starts knows the seeds, which may be of other zones, stale or down. It asks them for the entries
// of its own zone, greets those, and asks the first of them once more, since only a neighbour knows all. An entry that is
// greeted greets back, and no more: where all start at once each pair meets, so that whole lists told at each meeting are
// entries times entries times list. Lists by turns (beats.go) mend what was lost.

// NeedsMembers says whether this entry asks whom it tells that it lives for the entries of its zone: as long as no neighbour has
// told them, and while it hears none.
func (g *Group) NeedsMembers(now time.Time) bool {
	return !g.joined || !slices.ContainsFunc(g.Addresses(), func(address string) bool {
		m := g.members[address]
		return m.zone == g.zone && m.isAlive(now)
	})
}

// SplitGreetings returns which of some entries that were just found are asked for the entries of this zone; the others are only
// told that this one is there.
func (g *Group) SplitGreetings(now time.Time, found []string) (asked, told []string) {
	if len(found) > 0 && g.NeedsMembers(now) {
		return found[:1], found[1:]
	}
	return nil, found
}

// MembersFor returns the entries that one is told which asks: those of its zone that run as far as is known here, and a few of
// each other zone. Where all entries share all servers it is told of all.
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

// sample picks some of the entries of a zone, others at each entry.
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

// Running returns the members that run, and this one, by zone.
func (g *Group) Running(now time.Time) []ZoneMembers {
	zones := map[string][]string{g.zone: {g.self}}
	for _, address := range g.Addresses() {
		if m := g.members[address]; g.mayReport(now, m) {
			zones[m.zone] = append(zones[m.zone], address)
		}
	}
	return sortedByZone(zones)
}

// mayReport says whether others are told that a member runs. Of its own zone an entry tells
// only what it hears itself: neighbours that believed each other's word would keep a dead
// entry alive between them for ever.
func (g *Group) mayReport(now time.Time, m *member) bool {
	return m.isAlive(now) || m.zone != g.zone && m.isRunning(now)
}
