// Package peering implements the gossip between entries: the requests that each has sent to backend servers and
// their progress, and the versions of its view of the configuration and of the servers. The package is pure; the
// daemon carries the messages. Messages may be lost, duplicated and reordered.
//
// Cost per entry, by file:
//
//	group.go       membership: one row for each entry of the own zone, a few for each other zone
//	join.go        joining: a starting entry asks one local member for the entries of the zone, once
//	heartbeats.go  heartbeats and member lists within the zone: its entries, twice a second
//	newer.go       choice of the peer to fetch a view from: the live entries, while this one is behind
//	remote.go      exchange between zones: by two entries of each zone, whatever its size
//	ranks.go       election by rank: the entries of the zone, at each heartbeat
//	readers.go     readers of the platform's store: one in each zone
//	start.go       readers while all start at once: two in each zone, doubling over time
//	records.go     records of requests that crash servers: nothing while all hold the same
//	shares.go      rank in the request limit of a server: the entries of the zone, once a second for each limited one
//	owners.go      server ownership while entries can't hear each other: entries times servers, meanwhile
package peering

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Intervals and timeouts of heartbeats and failure detection.
const (
	// HeartbeatInterval is the interval between two heartbeats, which also report how new the sender's view is.
	// At two a second, a daemon that the platform refuses can fetch a configuration from a peer within a second.
	HeartbeatInterval = 500 * time.Millisecond
	// ForgetAfter bounds how long messages are sent to an entry that is not heard. It is a few times the duration
	// of a partition, which is some ten seconds.
	ForgetAfter = 40 * time.Second
	// AliveFor bounds how long an entry counts as running after its last message.
	AliveFor = 3 * time.Second
	// SuspectAfter is the silence after which an entry is taken for cut off: two heartbeats were missed. It may
	// still serve its callers.
	SuspectAfter = 1200 * time.Millisecond
	// FailedAfter is the silence after which a suspect is taken for terminated. Partitions and suspensions last
	// some seconds.
	FailedAfter = 15 * time.Second
)

type member struct {
	address     string
	incarnation string
	// zone is empty until it is known.
	zone      string
	lastHeard time.Time // zero if the member is known from others only
	learnedAt time.Time
	// indirectlyHeard is the time of the last report by a member of the same zone that this one runs.
	indirectlyHeard time.Time
	version         uint64
	revision        uint64
	stopping        bool
	// stoppedAt is the time of the first message that announced the stop.
	stoppedAt time.Time
	// servingSince is the time since which the member accepts requests; zero while it does not.
	servingSince time.Time
	capacity     int
	store        StoreState
	// digest is the last one received, as in Message.
	digest uint32
	// addressHash is the hash of the address, rankHash that of the address and the zone. Both are cached; 0 until
	// computed.
	addressHash, rankHash uint64
	// needsSync is set while the member has missed events and was not sent them again.
	needsSync bool
	// fetchBegan is the time at which the fetch of the member's view that is under way began, fetchFailed that at
	// which the last one failed; zero if none.
	fetchBegan, fetchFailed time.Time
	// recordsSentAt is the time at which the member was last sent all quarantine records.
	recordsSentAt time.Time
}

// scope selects the zones among whose servers entries choose, and so the entries to which requests are reported.
type scope uint8

const (
	// scopeUnknown holds until servers are known. Until then entries of other zones are sent only what scopeZone
	// allows.
	scopeUnknown scope = iota
	scopeZone          // the own zone
	scopeAll           // all zones
)

// Group is one entry's view of the other entries. It is not safe for concurrent use.
type Group struct {
	self        string
	zone        string
	incarnation string
	seeds       []string
	members     map[string]*member
	// sorted caches the addresses of members in ascending order; nil after a change.
	sorted []string
	// remote holds what other zones report of themselves while entries use the servers of their own zone only.
	remote map[string]*remoteZone
	// maxSeen is the highest number of other entries known at once; grown is set when members were added since it
	// was computed.
	maxSeen int
	grown   bool
	scope   scope
	// joined is set once a local member has sent the entries of the zone.
	joined      bool
	readOptions ReadOptions
	// serving is set while this entry accepts requests.
	serving bool
	// ownVersion is this entry's configuration version, and behindSince the time since which it has been that one while
	// another entry had a later one; zero if none has.
	ownVersion  uint64
	behindSince time.Time
	// firstHeard is the time of the first message of any entry, lastLocalFound the time at which the last member
	// of the own zone became known.
	firstHeard, lastLocalFound time.Time
	// listKnownSince is the time since which some member is known to have the list of servers.
	listKnownSince time.Time
}

// New returns the group of the entry at the address self, which knows the addresses of the seeds.
func New(self, zone, incarnation string, seeds []string) *Group {
	g := &Group{self: self, zone: zone, incarnation: incarnation, members: map[string]*member{}, remote: map[string]*remoteZone{}}
	g.SetSeeds(time.Time{}, seeds)
	return g
}

// SetSeeds replaces the seeds, the addresses in the settings. Seeds are never forgotten: they are the only way
// back after all other members were.
func (g *Group) SetSeeds(now time.Time, seeds []string) {
	g.seeds = slices.Clone(seeds)
	for _, address := range seeds {
		g.add(now, address)
	}
	g.maxSeen = max(g.maxSeen, g.countOthers())
}

func (g *Group) add(now time.Time, address string) *member {
	if address == g.self || address == "" {
		return nil
	}
	m := g.members[address]
	if m == nil {
		m = &member{address: address, learnedAt: now}
		g.members[address] = m
		g.sorted, g.grown = nil, true
	}
	return m
}

// SetLocalRouting sets whether entries use only the servers of their own zone. The scope is unknown until the
// first call.
func (g *Group) SetLocalRouting(local bool) {
	g.scope = scopeAll
	if local {
		g.scope = scopeZone
	}
}

// KnowsScope reports whether SetLocalRouting was called.
func (g *Group) KnowsScope() bool { return g.scope != scopeUnknown }

// SetServing sets whether this entry accepts requests.
func (g *Group) SetServing(serving bool) { g.serving = serving }

// LocalRouting reports whether entries use only the servers of their own zone.
func (g *Group) LocalRouting() bool { return g.scope == scopeZone }

// isLocal reports whether a member may choose among the same servers as this entry. A member of unknown zone may.
func (g *Group) isLocal(m *member) bool {
	return g.scope == scopeAll || m.zone == "" || m.zone == g.zone
}

// Sender describes the sender of a message, as Observe found it.
type Sender struct {
	// Discovered are the addresses of entries of the own zone that the message made known.
	Discovered []string
	// Restarted is set if the incarnation differs from the known one: the requests of the earlier one are over.
	Restarted bool
	// Joined is set if the sender is heard for the first time, or again after a silence. Local is set if it may
	// choose among the same servers as this entry.
	Joined, Local bool
	// NeedsSync is set once after a sender joined: it has to be sent the current state. For a starting sender it
	// is delayed until the sender can record requests.
	NeedsSync bool
}

// Observe updates the sender of a message and the members that the message lists.
func (g *Group) Observe(now time.Time, m Message) Sender {
	known := g.add(now, m.From)
	if known == nil {
		return Sender{}
	}
	known.zone = cmp.Or(m.Zone, known.zone)
	sender := Sender{Restarted: known.incarnation != "" && known.incarnation != m.Incarnation, Local: g.isLocal(known)}
	first := known.lastHeard.IsZero()
	if g.firstHeard.IsZero() {
		g.firstHeard = now
	}
	if first && known.zone == g.zone {
		g.lastLocalFound = now
	}
	// Remote members send heartbeats in turns only, and record no requests of this entry.
	sender.Joined = first || sender.Restarted || sender.Local && now.Sub(known.lastHeard) >= SuspectAfter
	known.needsSync = known.needsSync || sender.Joined
	sender.NeedsSync = known.needsSync && !m.Starting && sender.Local
	if sender.NeedsSync {
		known.needsSync = false
	}
	if sender.Restarted {
		known.recordsSentAt = time.Time{} // a restart loses all records
	}
	known.update(now, m, sender.Restarted)
	changed := g.observeRemote(now, m)
	sender.Discovered = g.learnMembers(now, m)
	if changed || g.grown {
		g.maxSeen, g.grown = max(g.maxSeen, g.countOthers()), false
	}
	return sender
}

// update stores what a member reports of itself.
func (m *member) update(now time.Time, message Message, restarted bool) {
	if message.Stopping && (!m.stopping || restarted) {
		m.stoppedAt = now
	}
	switch {
	case message.Starting || message.Stopping:
		m.servingSince = time.Time{}
	case m.servingSince.IsZero() || restarted:
		m.servingSince = now
	}
	m.incarnation, m.lastHeard, m.stopping = message.Incarnation, now, message.Stopping
	m.version, m.revision = message.Version, message.Revision
	m.capacity, m.store = message.Capacity, message.storeState()
	if message.Digest != 0 {
		m.digest = message.Digest
	}
}

// learnMembers adds the entries that a message lists and returns the new ones of the own zone. Of another zone
// only a few are kept.
func (g *Group) learnMembers(now time.Time, m Message) []string {
	var discovered []string
	for _, address := range m.KnownPeers {
		g.add(now, address)
	}
	for _, listed := range m.Members {
		g.joined = g.joined || listed.Zone == g.zone && m.Zone == g.zone
		for _, address := range listed.Addresses {
			isNew := g.members[address] == nil
			if isNew && g.knowsEnough(now, listed.Zone) {
				continue
			}
			known := g.add(now, address)
			if known == nil {
				continue
			}
			known.zone = cmp.Or(known.zone, listed.Zone)
			if listed.Zone == m.Zone {
				known.indirectlyHeard = now
			}
			if isNew && known.zone == g.zone {
				discovered = append(discovered, address)
				g.lastLocalFound = now
			}
		}
	}
	return discovered
}

// Suspects returns the local members that are taken for cut off, and all local entries that take part: this one,
// the live members and the suspects.
func (g *Group) Suspects(now time.Time) (suspects, all []string) {
	all = []string{g.self}
	for _, address := range g.Addresses() {
		m := g.members[address]
		unheardFor := now.Sub(m.lastHeard)
		if !g.isLocal(m) || m.lastHeard.IsZero() || m.stopping || unheardFor >= FailedAfter {
			continue
		}
		all = append(all, address)
		if unheardFor >= SuspectAfter {
			suspects = append(suspects, address)
		}
	}
	return suspects, all
}

// Forget removes members, other than seeds, that were not heard, directly or indirectly, for ForgetAfter.
func (g *Group) Forget(now time.Time) {
	for address, m := range g.members {
		if slices.Contains(g.seeds, address) {
			continue
		}
		if now.Sub(latest(latest(m.lastHeard, m.indirectlyHeard), m.learnedAt)) > ForgetAfter {
			delete(g.members, address)
			g.sorted = nil
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Addresses returns the addresses of all known members, sorted. The slice is shared and must not be changed.
func (g *Group) Addresses() []string {
	if g.sorted == nil {
		g.sorted = slices.Sorted(maps.Keys(g.members))
	}
	return g.sorted
}

// Alive returns the members that were heard within AliveFor, sorted.
func (g *Group) Alive(now time.Time) []string {
	return g.filter(func(m *member) bool { return m.isAlive(now) })
}

// Local returns the live members that choose among the same servers as this entry, sorted. They are sent each of
// its requests.
func (g *Group) Local(now time.Time) []string {
	return g.filter(func(m *member) bool { return g.isLocal(m) && m.isAlive(now) })
}

// KnownLocal returns the members that choose among the same servers as this entry, live or not, sorted.
func (g *Group) KnownLocal() []string { return g.filter(g.isLocal) }

// RunningIn returns the members of a zone that run, by their own messages or those of their zone, sorted: all of
// the own zone, a few of another one.
func (g *Group) RunningIn(now time.Time, zone string) []string {
	return g.filter(func(m *member) bool { return m.zone == zone && m.isRunning(now) })
}

// Zone returns the zone of a member; empty if it is not known.
func (g *Group) Zone(address string) string {
	if m := g.members[address]; m != nil {
		return m.zone
	}
	return ""
}

func (m *member) isAlive(now time.Time) bool {
	return !m.lastHeard.IsZero() && now.Sub(m.lastHeard) < AliveFor
}

// isRunning reports whether a member is alive, or was reported alive by its zone within IndirectAliveFor.
func (m *member) isRunning(now time.Time) bool {
	return m.isAlive(now) || !m.indirectlyHeard.IsZero() && now.Sub(m.indirectlyHeard) < IndirectAliveFor
}

// filter returns the addresses of the members that satisfy a condition, sorted.
func (g *Group) filter(holds func(*member) bool) []string {
	var matching []string
	for _, address := range g.Addresses() {
		if holds(g.members[address]) {
			matching = append(matching, address)
		}
	}
	return matching
}

// Size returns the highest number of entries ever known at once, this one included. Entries that can't be heard
// still spend their shares of common budgets.
func (g *Group) Size() int { return g.maxSeen + 1 }

// countOthers counts the other entries: of each zone the known members, or the number that the zone reports if
// that is higher.
func (g *Group) countOthers() int {
	count, known := len(g.members), map[string]int{}
	for _, m := range g.members {
		known[m.zone]++
	}
	for zone, reported := range g.remote {
		count += max(reported.entryCount-known[zone], 0)
	}
	return count
}
