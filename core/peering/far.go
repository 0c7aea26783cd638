package peering

import (
	"cmp"
	"slices"
	"time"
)

// Zones that keep to their own servers need little of each other: how many entries share a budget, where servers have room,
// and whom to ask for a place or to tell of a request. Two entries of each zone, its delegates, exchange that with those of
// the other zones and hand it on with their heartbeats. What crosses zones then grows with the zones, not with the entries.

const (
	// delegatesPerZone is how many entries of a zone speak with the other zones. Two: the other one goes on while one of
	// them is killed, suspended or cut off.
	delegatesPerZone = 2
	// farMembers is how many entries of another zone are known, so that some of them run when a part of the zone fails.
	farMembers = 16
	// toldFar is how many entries a heartbeat to another zone names. Others are named at each turn.
	toldFar = 6
	// relaysPerZone is how many entries of another zone are told of what all its entries have to know, and pass it on.
	relaysPerZone = 2
	// IndirectAliveFor is how long an entry of another zone counts as running after a neighbour of
	// it has said so: they tell of a few neighbours at a time. Little hangs on it: news of a
	// request that crosses zones go to an entry that may be gone.
	IndirectAliveFor = 15 * time.Second
	// roomFresh is how long what another zone has told of the room there holds: it is some two heartbeats old when it has
	// been handed on.
	roomFresh = 1500 * time.Millisecond
	// handedOnFor is how long what an entry of another zone has told is handed on to near entries.
	handedOnFor = roomFresh
)

// farZone is what is known of another zone.
type farZone struct {
	// entries is how many entries run there.
	entries int
	room    int // as in Message
	// asOf is when that was so, direct when an entry of the zone has told it to this one.
	asOf, direct time.Time
	// delegates speak for the zone.
	delegates []string
}

// hearFar takes in what a message tells of other zones; it returns false if it tells nothing.
func (g *Group) hearFar(now time.Time, m Message) bool {
	if g.scope == scopeWhole {
		return false
	}
	isFar := m.EntryCount > 0 && m.Zone != "" && m.Zone != g.zone
	if isFar {
		told := g.farZone(m.Zone)
		told.direct = now
		told.take(now, m.EntryCount, m.SpareCapacity, m.Delegates)
	}
	for _, summary := range m.ZoneSummaries {
		if m.Zone == g.zone && summary.Zone != g.zone && summary.Zone != "" {
			g.takeSummary(now, summary)
		}
	}
	return isFar || len(m.ZoneSummaries) > 0
}

// takeSummary takes in what a near entry hands on.
func (g *Group) takeSummary(now time.Time, summary ZoneSummary) {
	asOf := now.Add(-time.Duration(summary.Age) * time.Millisecond)
	g.farZone(summary.Zone).take(asOf, summary.EntryCount, summary.SpareCapacity, summary.Delegates)
	for _, address := range slices.Concat(summary.Delegates, summary.Addresses) {
		if m := g.addFar(now, summary.Zone, address); m != nil {
			m.vouched = latest(m.vouched, asOf)
		}
	}
}

func (g *Group) farZone(zone string) *farZone {
	known := g.far[zone]
	if known == nil {
		known = &farZone{}
		g.far[zone] = known
	}
	return known
}

func (f *farZone) take(asOf time.Time, entries, room int, delegates []string) {
	if asOf.Before(f.asOf) {
		return
	}
	f.asOf, f.entries, f.delegates = asOf, entries, delegates
	if room > 0 {
		f.room = room
	}
}

// addFar adds an entry of another zone unless enough of it are known; it returns nil then.
func (g *Group) addFar(now time.Time, zone, address string) *member {
	if g.members[address] == nil && g.hasEnough(now, zone) {
		return nil
	}
	m := g.add(now, address)
	if m != nil {
		m.zone = cmp.Or(m.zone, zone)
	}
	return m
}

// hasEnough says whether no more entries of a zone need to be known than are.
func (g *Group) hasEnough(now time.Time, zone string) bool {
	if g.scope == scopeWhole || zone == "" || zone == g.zone {
		return false
	}
	count := 0
	for _, m := range g.members {
		if m.zone == zone && m.runs(now) {
			count++
		}
	}
	return count >= farMembers
}

// delegates returns the entries that speak for this zone: those with the fastest links, and while few take requests also
// others. All entries compute the same from whom they hear; where they differ, more or fewer speak for a while.
func (g *Group) delegates(now time.Time) []string {
	delegates := g.firstOf(now, g.serves, func(m *member) bool { return !m.serving.IsZero() })
	if len(delegates) < delegatesPerZone {
		delegates = append(delegates, g.firstOf(now, !g.serves, func(m *member) bool { return m.serving.IsZero() && !m.stopping })...)
	}
	return delegates[:min(len(delegates), delegatesPerZone)]
}

// firstOf returns the first entries by rank for which a condition holds; self adds this one.
func (g *Group) firstOf(now time.Time, self bool, holds func(*member) bool) []string {
	return g.first(delegatesPerZone, func(call func(standing)) {
		if self {
			call(g.ownStanding())
		}
		g.candidates(now, holds, call)
	})
}

func (g *Group) isDelegate(now time.Time) bool { return slices.Contains(g.delegates(now), g.self) }

// RemoteZones returns the zones of the members that are not near, in a fixed order.
func (g *Group) RemoteZones() []string {
	var zones []string
	for _, m := range g.members {
		if !g.isNear(m) && !slices.Contains(zones, m.zone) {
			zones = append(zones, m.zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// farTargets picks an entry of each other zone by turns: a delegate if one is known, else one that runs, else any.
func (g *Group) farTargets(now time.Time, turn int) []string {
	var targets []string
	for _, zone := range g.RemoteZones() {
		members := g.speakers(now, zone)
		if len(members) == 0 {
			members = g.pick(func(m *member) bool { return m.zone == zone })
		}
		targets = append(targets, members[(turn+int(rank(g.self, zone)%uint64(len(members))))%len(members)])
	}
	return targets
}

// speakers returns the delegates of another zone that are known to run, or else all that are known to run.
func (g *Group) speakers(now time.Time, zone string) []string {
	running := g.RunningIn(now, zone)
	if far := g.far[zone]; far != nil && now.Sub(far.asOf) < IndirectAliveFor {
		delegates := slices.DeleteFunc(slices.Clone(running), func(address string) bool { return !slices.Contains(far.delegates, address) })
		if len(delegates) > 0 {
			return delegates
		}
	}
	return running
}

// Relays returns the entries of another zone that pass on what all entries there have to know.
func (g *Group) Relays(now time.Time, zone string) []string {
	speakers := g.speakers(now, zone)
	slices.SortFunc(speakers, func(a, b string) int { return cmp.Compare(rank(g.self, a), rank(g.self, b)) })
	return speakers[:min(len(speakers), relaysPerZone)]
}

// ShouldRelay says whether what a message tells is to be passed on to the near entries.
func (g *Group) ShouldRelay(m Message) bool { return m.Relay && m.Zone != "" && m.Zone != g.zone }

// ShouldRedirect says whether the sender of a message is to be told who speaks for this zone: it belongs to another one and has
// taken this entry for one that does.
func (g *Group) ShouldRedirect(now time.Time, m Message) bool {
	return g.scope != scopeWhole && m.EntryCount > 0 && m.Zone != "" && m.Zone != g.zone && !g.isDelegate(now)
}

// MistakenForLocal says whether the sender of a message takes this entry for a near one and is to be told its zone: it has never
// heard this entry, as seeds that start later than others.
func (g *Group) MistakenForLocal(m Message) bool {
	return g.scope != scopeWhole && m.Digest != 0 && m.Zone != "" && m.Zone != g.zone
}

// FillRemoteHeartbeat completes a message to another zone: who runs in this one.
func (g *Group) FillRemoteHeartbeat(now time.Time, turn int, m *Message) {
	heard := g.pick(func(m *member) bool { return m.zone == g.zone && m.isHeard(now) })
	m.EntryCount = len(heard) + 1
	m.Delegates = g.delegates(now)
	named := []string{g.self}
	for i := range min(len(heard), toldFar-1) {
		named = append(named, heard[(turn*(toldFar-1)+i)%len(heard)])
	}
	m.Members = []ZoneMembers{{Zone: g.zone, Addresses: named}}
}

// RemoteSummaries returns what entries of other zones have told this one lately, for near entries.
func (g *Group) RemoteSummaries(now time.Time, turn int) []ZoneSummary {
	if g.scope == scopeWhole {
		return nil
	}
	var summaries []ZoneSummary
	for _, zone := range g.RemoteZones() {
		far := g.far[zone]
		if far == nil || far.direct.IsZero() || now.Sub(far.direct) >= handedOnFor {
			continue
		}
		summary := ZoneSummary{Zone: zone, EntryCount: far.entries, SpareCapacity: far.room, Age: now.Sub(far.asOf).Milliseconds(), Delegates: far.delegates}
		if running := g.RunningIn(now, zone); len(running) > 0 {
			summary.Addresses = []string{running[turn%len(running)]}
		}
		summaries = append(summaries, summary)
	}
	return summaries
}

// MostSpareCapacity returns an entry of the other zone whose servers have the most room, and the
// room as a share; false if nothing fresh is heard.
func (g *Group) MostSpareCapacity(now time.Time) (address string, room float64, ok bool) {
	best := 0
	for _, zone := range g.RemoteZones() {
		far := g.far[zone]
		if far == nil || far.room <= best || now.Sub(far.asOf) > roomFresh {
			continue
		}
		running := g.pick(func(m *member) bool { return m.zone == zone && m.runs(now) && !m.stopping })
		if len(running) > 0 {
			best, address = far.room, running[int(rank(g.self, zone)%uint64(len(running)))]
		}
	}
	return address, float64(best-1) / 100, best > 0
}
