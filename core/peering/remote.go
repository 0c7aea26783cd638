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
	// remoteMembersPerZone is how many entries of another zone are known, so that some of them run when a part of the zone fails.
	remoteMembersPerZone = 16
	// addressesPerRemoteHeartbeat is how many entries a heartbeat to another zone names. Others are named at each turn.
	addressesPerRemoteHeartbeat = 6
	// relaysPerZone is how many entries of another zone are told of what all its entries have to know, and pass it on.
	relaysPerZone = 2
	// IndirectAliveFor is how long an entry of another zone counts as running after a neighbour of
	// it has said so: they tell of a few neighbours at a time. Little hangs on it: news of a
	// request that crosses zones go to an entry that may be gone.
	IndirectAliveFor = 15 * time.Second
	// spareCapacityTTL is how long what another zone has told of the room there holds: it is some two heartbeats old when it has
	// been handed on.
	spareCapacityTTL = 1500 * time.Millisecond
	// summaryTTL is how long what an entry of another zone has told is handed on to near entries.
	summaryTTL = spareCapacityTTL
)

// remoteZone is what is known of another zone.
type remoteZone struct {
	// entryCount is how many entryCount run there.
	entryCount    int
	spareCapacity int // as in Message
	// asOf is when that was so, lastDirect when an entry of the zone has told it to this one.
	asOf, lastDirect time.Time
	// delegates speak for the zone.
	delegates []string
}

// observeRemote takes in what a message tells of other zones; it returns false if it tells nothing.
func (g *Group) observeRemote(now time.Time, m Message) bool {
	if g.scope == scopeAll {
		return false
	}
	isFar := m.EntryCount > 0 && m.Zone != "" && m.Zone != g.zone
	if isFar {
		known := g.remoteZone(m.Zone)
		known.lastDirect = now
		known.update(now, m.EntryCount, m.SpareCapacity, m.Delegates)
	}
	for _, summary := range m.ZoneSummaries {
		if m.Zone == g.zone && summary.Zone != g.zone && summary.Zone != "" {
			g.applySummary(now, summary)
		}
	}
	return isFar || len(m.ZoneSummaries) > 0
}

// applySummary takes in what a near entry hands on.
func (g *Group) applySummary(now time.Time, summary ZoneSummary) {
	asOf := now.Add(-time.Duration(summary.Age) * time.Millisecond)
	g.remoteZone(summary.Zone).update(asOf, summary.EntryCount, summary.SpareCapacity, summary.Delegates)
	for _, address := range slices.Concat(summary.Delegates, summary.Addresses) {
		if m := g.addRemote(now, summary.Zone, address); m != nil {
			m.indirectlyHeard = latest(m.indirectlyHeard, asOf)
		}
	}
}

func (g *Group) remoteZone(zone string) *remoteZone {
	known := g.remote[zone]
	if known == nil {
		known = &remoteZone{}
		g.remote[zone] = known
	}
	return known
}

func (f *remoteZone) update(asOf time.Time, entries, room int, delegates []string) {
	if asOf.Before(f.asOf) {
		return
	}
	f.asOf, f.entryCount, f.delegates = asOf, entries, delegates
	if room > 0 {
		f.spareCapacity = room
	}
}

// addRemote adds an entry of another zone unless enough of it are known; it returns nil then.
func (g *Group) addRemote(now time.Time, zone, address string) *member {
	if g.members[address] == nil && g.knowsEnough(now, zone) {
		return nil
	}
	m := g.add(now, address)
	if m != nil {
		m.zone = cmp.Or(m.zone, zone)
	}
	return m
}

// knowsEnough says whether no more entries of a zone need to be known than are.
func (g *Group) knowsEnough(now time.Time, zone string) bool {
	if g.scope == scopeAll || zone == "" || zone == g.zone {
		return false
	}
	count := 0
	for _, m := range g.members {
		if m.zone == zone && m.isRunning(now) {
			count++
		}
	}
	return count >= remoteMembersPerZone
}

// delegates returns the entries that speak for this zone: those with the fastest links, and while few take requests also
// others. All entries compute the same from whom they hear; where they differ, more or fewer speak for a while.
func (g *Group) delegates(now time.Time) []string {
	delegates := g.topCandidates(now, g.serving, func(m *member) bool { return !m.servingSince.IsZero() })
	if len(delegates) < delegatesPerZone {
		delegates = append(delegates, g.topCandidates(now, !g.serving, func(m *member) bool { return m.servingSince.IsZero() && !m.stopping })...)
	}
	return delegates[:min(len(delegates), delegatesPerZone)]
}

// topCandidates returns the first entries by rank for which a condition holds; self adds this one.
func (g *Group) topCandidates(now time.Time, self bool, holds func(*member) bool) []string {
	return g.topRanked(delegatesPerZone, func(call func(rankKey)) {
		if self {
			call(g.ownRankKey())
		}
		g.eachCandidate(now, holds, call)
	})
}

func (g *Group) isDelegate(now time.Time) bool { return slices.Contains(g.delegates(now), g.self) }

// RemoteZones returns the zones of the members that are not near, in a fixed order.
func (g *Group) RemoteZones() []string {
	var zones []string
	for _, m := range g.members {
		if !g.isLocal(m) && !slices.Contains(zones, m.zone) {
			zones = append(zones, m.zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// remoteTargets picks an entry of each other zone by turns: a delegate if one is known, else one that runs, else any.
func (g *Group) remoteTargets(now time.Time, turn int) []string {
	var targets []string
	for _, zone := range g.RemoteZones() {
		members := g.contacts(now, zone)
		if len(members) == 0 {
			members = g.filter(func(m *member) bool { return m.zone == zone })
		}
		targets = append(targets, members[(turn+int(rendezvousHash(g.self, zone)%uint64(len(members))))%len(members)])
	}
	return targets
}

// contacts returns the delegates of another zone that are known to run, or else all that are known to run.
func (g *Group) contacts(now time.Time, zone string) []string {
	running := g.RunningIn(now, zone)
	if far := g.remote[zone]; far != nil && now.Sub(far.asOf) < IndirectAliveFor {
		delegates := slices.DeleteFunc(slices.Clone(running), func(address string) bool { return !slices.Contains(far.delegates, address) })
		if len(delegates) > 0 {
			return delegates
		}
	}
	return running
}

// Relays returns the entries of another zone that pass on what all entries there have to know.
func (g *Group) Relays(now time.Time, zone string) []string {
	speakers := g.contacts(now, zone)
	slices.SortFunc(speakers, func(a, b string) int { return cmp.Compare(rendezvousHash(g.self, a), rendezvousHash(g.self, b)) })
	return speakers[:min(len(speakers), relaysPerZone)]
}

// ShouldRelay says whether what a message tells is to be passed on to the near entries.
func (g *Group) ShouldRelay(m Message) bool { return m.Relay && m.Zone != "" && m.Zone != g.zone }

// ShouldRedirect says whether the sender of a message is to be told who speaks for this zone: it belongs to another one and has
// taken this entry for one that does.
func (g *Group) ShouldRedirect(now time.Time, m Message) bool {
	return g.scope != scopeAll && m.EntryCount > 0 && m.Zone != "" && m.Zone != g.zone && !g.isDelegate(now)
}

// MistakenForLocal says whether the sender of a message takes this entry for a near one and is to be told its zone: it has never
// heard this entry, as seeds that start later than others.
func (g *Group) MistakenForLocal(m Message) bool {
	return g.scope != scopeAll && m.Digest != 0 && m.Zone != "" && m.Zone != g.zone
}

// FillRemoteHeartbeat completes a message to another zone: who runs in this one.
func (g *Group) FillRemoteHeartbeat(now time.Time, turn int, m *Message) {
	alive := g.filter(func(m *member) bool { return m.zone == g.zone && m.isAlive(now) })
	m.EntryCount = len(alive) + 1
	m.Delegates = g.delegates(now)
	addresses := []string{g.self}
	for i := range min(len(alive), addressesPerRemoteHeartbeat-1) {
		addresses = append(addresses, alive[(turn*(addressesPerRemoteHeartbeat-1)+i)%len(alive)])
	}
	m.Members = []ZoneMembers{{Zone: g.zone, Addresses: addresses}}
}

// RemoteSummaries returns what entries of other zones have told this one lately, for near entries.
func (g *Group) RemoteSummaries(now time.Time, turn int) []ZoneSummary {
	if g.scope == scopeAll {
		return nil
	}
	var summaries []ZoneSummary
	for _, zone := range g.RemoteZones() {
		far := g.remote[zone]
		if far == nil || far.lastDirect.IsZero() || now.Sub(far.lastDirect) >= summaryTTL {
			continue
		}
		summary := ZoneSummary{Zone: zone, EntryCount: far.entryCount, SpareCapacity: far.spareCapacity, Age: now.Sub(far.asOf).Milliseconds(), Delegates: far.delegates}
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
		far := g.remote[zone]
		if far == nil || far.spareCapacity <= best || now.Sub(far.asOf) > spareCapacityTTL {
			continue
		}
		running := g.filter(func(m *member) bool { return m.zone == zone && m.isRunning(now) && !m.stopping })
		if len(running) > 0 {
			best, address = far.spareCapacity, running[int(rendezvousHash(g.self, zone)%uint64(len(running)))]
		}
	}
	return address, float64(best-1) / 100, best > 0
}
