package peering

import (
	"cmp"
	"slices"
	"time"

	"arbutusdeck/core/zonestate"
)

// Zones whose entries use only their own servers exchange little: how many entries share a budget, which servers
// have spare capacity, and whom to ask for a placement or to notify of a request. Two entries of each zone, its
// delegates, exchange that with the delegates of other zones and pass it on with their heartbeats. Traffic
// between zones then grows with the number of zones, not of entries.

const (
	// delegatesPerZone is the number of entries of a zone that exchange state with other zones. With two, one
	// goes on while the other is killed, suspended or cut off.
	delegatesPerZone = 2
	// remoteMembersPerZone bounds the known entries of another zone; some of them still run when a part of that
	// zone fails.
	remoteMembersPerZone = 16
	// addressesPerRemoteHeartbeat bounds the addresses in a heartbeat to another zone; they rotate with the
	// turns.
	addressesPerRemoteHeartbeat = 6
	// relaysPerZone is the number of entries of another zone that are sent what all its entries have to know, and
	// relay it.
	relaysPerZone = 2
	// IndirectAliveFor bounds how long an entry of another zone counts as running after a member of its zone has
	// reported it: these reports list a few members at a time. A stale report costs little: an event that crosses
	// zones goes to an entry that has terminated.
	IndirectAliveFor = 15 * time.Second
	// spareCapacityTTL bounds the age of another zone's spare capacity: it is some two heartbeats old once it has
	// been passed on.
	spareCapacityTTL = 1500 * time.Millisecond
	// summaryTTL bounds the time for which a report from an entry of another zone is passed on to local entries.
	summaryTTL = spareCapacityTTL
	// StateTTL bounds the age of another zone's summary, for the same reason; an older one counts as not heard.
	StateTTL = spareCapacityTTL
)

// remoteZone is the last known state of another zone.
type remoteZone struct {
	// entryCount is the number of running entries of the zone.
	entryCount    int
	spareCapacity int // as in Message
	// asOf is the time of the state; lastDirect is the last time at which an entry of the zone reported to this
	// one.
	asOf, lastDirect time.Time
	// delegates are the entries that exchange state for the zone.
	delegates []string
	// summary is the newest one of a known version, nil before the first; summaryAsOf is its time. Entries of
	// versions that send none don't replace it.
	summary     *zonestate.Summary
	summaryAsOf time.Time
}

// observeRemote applies what a message reports of other zones, and returns whether it reports anything.
func (g *Group) observeRemote(now time.Time, m Message) bool {
	if g.scope == scopeAll {
		return false
	}
	isRemote := m.EntryCount > 0 && m.Zone != "" && m.Zone != g.zone
	if isRemote {
		known := g.remoteZone(m.Zone)
		known.lastDirect = now
		known.update(now, m.EntryCount, m.SpareCapacity, m.Delegates)
		known.updateSummary(now, m.Summary)
	}
	for _, summary := range m.ZoneSummaries {
		if m.Zone == g.zone && summary.Zone != g.zone && summary.Zone != "" {
			g.applySummary(now, summary)
		}
	}
	return isRemote || len(m.ZoneSummaries) > 0
}

// applySummary applies a summary of another zone that a local entry passes on.
func (g *Group) applySummary(now time.Time, summary ZoneSummary) {
	asOf := now.Add(-time.Duration(summary.Age) * time.Millisecond)
	known := g.remoteZone(summary.Zone)
	known.update(asOf, summary.EntryCount, summary.SpareCapacity, summary.Delegates)
	known.updateSummary(asOf, summary.Summary)
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

func (z *remoteZone) update(asOf time.Time, entryCount, spareCapacity int, delegates []string) {
	if asOf.Before(z.asOf) {
		return
	}
	z.asOf, z.entryCount, z.delegates = asOf, entryCount, delegates
	if spareCapacity > 0 {
		z.spareCapacity = spareCapacity
	}
}

// updateSummary replaces the summary by a newer one of a known version.
func (z *remoteZone) updateSummary(asOf time.Time, summary *zonestate.Summary) {
	if summary.Known() && !asOf.Before(z.summaryAsOf) {
		z.summary, z.summaryAsOf = summary, asOf
	}
}

// currentSummary returns the summary if it is of the time of the rest of the state, whose age is passed on with it,
// else nil.
func (z *remoteZone) currentSummary() *zonestate.Summary {
	if !z.summaryAsOf.Equal(z.asOf) {
		return nil
	}
	return z.summary
}

// addRemote adds an entry of another zone. It returns nil if enough of them are known.
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

// knowsEnough reports whether enough running entries of another zone are known.
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

// delegates returns the delegates of this zone: the first by rank that serve and, while these are too few,
// others. While the entries' views differ, more or fewer than wanted act as delegates.
func (g *Group) delegates(now time.Time) []string {
	delegates := g.topCandidates(now, g.serving, func(m *member) bool { return !m.servingSince.IsZero() })
	if len(delegates) < delegatesPerZone {
		delegates = append(delegates, g.topCandidates(now, !g.serving, func(m *member) bool { return m.servingSince.IsZero() && !m.stopping })...)
	}
	return delegates[:min(len(delegates), delegatesPerZone)]
}

// topCandidates returns the first delegatesPerZone candidates by rank; self includes this entry.
func (g *Group) topCandidates(now time.Time, self bool, holds func(*member) bool) []string {
	return g.topRanked(delegatesPerZone, func(call func(rankKey)) {
		if self {
			call(g.ownRankKey())
		}
		g.eachCandidate(now, holds, call)
	})
}

func (g *Group) isDelegate(now time.Time) bool { return slices.Contains(g.delegates(now), g.self) }

// RemoteZones returns the zones of the members that are not local, sorted.
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

// remoteTargets returns one entry of each other zone, in turns: a delegate if one is known, else a running entry,
// else any.
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

// contacts returns the delegates of another zone that are known to run, or else all its entries that are.
func (g *Group) contacts(now time.Time, zone string) []string {
	running := g.RunningIn(now, zone)
	if known := g.remote[zone]; known != nil && now.Sub(known.asOf) < IndirectAliveFor {
		delegates := slices.DeleteFunc(slices.Clone(running), func(address string) bool { return !slices.Contains(known.delegates, address) })
		if len(delegates) > 0 {
			return delegates
		}
	}
	return running
}

// Relays returns the entries of another zone that pass on what all entries there have to know.
func (g *Group) Relays(now time.Time, zone string) []string {
	relays := g.contacts(now, zone)
	slices.SortFunc(relays, func(a, b string) int { return cmp.Compare(rendezvousHash(g.self, a), rendezvousHash(g.self, b)) })
	return relays[:min(len(relays), relaysPerZone)]
}

// ShouldRelay reports whether a message of another zone asks to be relayed to the local entries.
func (g *Group) ShouldRelay(m Message) bool { return m.Relay && m.Zone != "" && m.Zone != g.zone }

// ShouldRedirect reports whether the sender of a message, of another zone, mistakes this entry for a delegate and
// has to be sent the delegates.
func (g *Group) ShouldRedirect(now time.Time, m Message) bool {
	return g.scope != scopeAll && m.EntryCount > 0 && m.Zone != "" && m.Zone != g.zone && !g.isDelegate(now)
}

// MistakenForLocal reports whether the sender of a message takes this entry for a local one and has to be sent
// its zone. That happens if it never heard this entry, such as a seed that starts later than others.
func (g *Group) MistakenForLocal(m Message) bool {
	return g.scope != scopeAll && m.Digest != 0 && m.Zone != "" && m.Zone != g.zone
}

// FillRemoteHeartbeat adds the running entries of this zone to a message to another zone; the listed addresses
// rotate with the turns.
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

// RemoteSummaries returns summaries, for local entries, of the zones that have reported directly to this entry
// within summaryTTL.
func (g *Group) RemoteSummaries(now time.Time, turn int) []ZoneSummary {
	if g.scope == scopeAll {
		return nil
	}
	var summaries []ZoneSummary
	for _, zone := range g.RemoteZones() {
		known := g.remote[zone]
		if known == nil || known.lastDirect.IsZero() || now.Sub(known.lastDirect) >= summaryTTL {
			continue
		}
		// A report that arrives while the heartbeat is prepared is later than its time. Recipients reject a message
		// with a negative age.
		age := max(now.Sub(known.asOf), 0)
		summary := ZoneSummary{Zone: zone, EntryCount: known.entryCount, SpareCapacity: known.spareCapacity, Age: age.Milliseconds(), Delegates: known.delegates,
			Summary: known.currentSummary()}
		if running := g.RunningIn(now, zone); len(running) > 0 {
			summary.Addresses = []string{running[turn%len(running)]}
		}
		summaries = append(summaries, summary)
	}
	return summaries
}

// MostSpareCapacity returns an entry of the other zone with the most spare capacity, and that capacity as a
// share. It returns false if no zone reported spare capacity within spareCapacityTTL.
func (g *Group) MostSpareCapacity(now time.Time) (address string, share float64, ok bool) {
	best := 0
	for _, zone := range g.RemoteZones() {
		known := g.remote[zone]
		if known == nil || known.spareCapacity <= best || now.Sub(known.asOf) > spareCapacityTTL {
			continue
		}
		running := g.filter(func(m *member) bool { return m.zone == zone && m.isRunning(now) && !m.stopping })
		if len(running) > 0 {
			best, address = known.spareCapacity, running[int(rendezvousHash(g.self, zone)%uint64(len(running)))]
		}
	}
	return address, float64(best-1) / 100, best > 0
}

// ZoneState is the summary of another zone as known here.
type ZoneState struct {
	Zone string
	// EntryCount is the number of the zone's running entries.
	EntryCount int
	// Summary is shared and must not be changed.
	Summary *zonestate.Summary
	// AsOf is the time of the summary.
	AsOf time.Time
}

// ZoneStates returns the summaries of other zones that are not older than StateTTL, in the order of the zones.
func (g *Group) ZoneStates(now time.Time) []ZoneState {
	var states []ZoneState
	for _, zone := range g.RemoteZones() {
		known := g.remote[zone]
		if known == nil || known.summary == nil || now.Sub(known.summaryAsOf) > StateTTL {
			continue
		}
		states = append(states, ZoneState{Zone: zone, EntryCount: known.entryCount, Summary: known.summary, AsOf: known.summaryAsOf})
	}
	return states
}

// EntriesToAsk returns the running entries of another zone in the order in which this entry asks them for a
// placement: the next one is asked if one doesn't reply. The order differs between the entries that ask.
func (g *Group) EntriesToAsk(now time.Time, zone string) []string {
	running := g.filter(func(m *member) bool { return m.zone == zone && m.isRunning(now) && !m.stopping })
	slices.SortFunc(running, func(a, b string) int { return cmp.Compare(rendezvousHash(g.self, a), rendezvousHash(g.self, b)) })
	return running
}

// maxSummaryBytes bounds the summaries in one message. It leaves room for the rest of a heartbeat in a packet of a
// usual link (1,500 bytes).
const maxSummaryBytes = 1250

// SplitSummaries splits summaries of zones into parts that each fit a message. The first part goes with a heartbeat.
func SplitSummaries(summaries []ZoneSummary) [][]ZoneSummary {
	var parts [][]ZoneSummary
	for _, summary := range summaries {
		if last := len(parts) - 1; last >= 0 && summaryBytes(append(slices.Clone(parts[last]), summary)) <= maxSummaryBytes {
			parts[last] = append(parts[last], summary)
			continue
		}
		parts = append(parts, []ZoneSummary{summary})
	}
	return parts
}

// summaryBytes returns the encoded size of summaries; none that can't be encoded joins others.
func summaryBytes(summaries []ZoneSummary) int {
	data, err := Encode(Message{ZoneSummaries: summaries})
	if err != nil {
		return maxSummaryBytes + 1
	}
	return len(data)
}
