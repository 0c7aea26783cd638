// Package peering lets entries tell each other what each of them does: the
// requests it has sent to backend servers and how far they are, and how new its
// view of the configuration and of the servers is. It is pure; the daemon carries
// the messages. Messages may be lost, doubled and reordered.
//
// What it costs an entry, by file:
//
//	group.go    who is known: one row an entry of the own zone, a few for each other zone
//	join.go     an entry that starts asks one neighbour for its zone: the zone's entries, once
//	beats.go    heartbeats and lists within the zone: the zone's entries, twice a second
//	newer.go    whose view to fetch: the entries that are heard, when one is behind
//	far.go      what zones tell each other: two entries of each zone do, whatever its size
//	ranks.go    who does something for its zone: the zone's entries, at each heartbeat
//	readers.go  who reads the platform's store: one of each zone
//	start.go    who reads it first where all start at once: two of each zone, more with the time
//	records.go  requests under which servers end: nothing while all know the same
//	owners.go   servers while entries don't hear each other: entries times servers, while that lasts
package peering

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of the exchange.
const (
	// HeartbeatInterval is how often an entry is told that this one lives, and
	// how new its view is. Two a second let a daemon that the platform turns
	// away take over a configuration from a peer within a second.
	HeartbeatInterval = 500 * time.Millisecond
	// ForgetAfter is how long an entry that is not heard of is still sent to: a
	// few times a partition of some ten seconds.
	ForgetAfter = 40 * time.Second
	// AliveFor is how long an entry that is not heard of counts as running.
	AliveFor = 3 * time.Second
	// SuspectAfter is after how long an entry that is not heard of is taken for cut
	// off: two heartbeats were missed. It still serves its callers, unheard.
	SuspectAfter = 1200 * time.Millisecond
	// FailedAfter is how long that is believed; one that is silent for longer is more
	// likely gone. Partitions and suspensions last some seconds.
	FailedAfter = 15 * time.Second
)

type member struct {
	address     string
	incarnation string
	// zone is empty until it is known.
	zone      string
	lastHeard time.Time // zero if it was only told of
	learnedAt time.Time // when it became known
	// indirectlyHeard is when an entry of its own zone last said that it runs.
	indirectlyHeard time.Time
	version         uint64
	revision        uint64
	stopping        bool
	// stoppedAt is when it was first heard to stop.
	stoppedAt time.Time
	// servingSince is since when it is heard to take requests; zero while it does not.
	servingSince time.Time
	capacity     int
	store        StoreState
	// digest is what it last told of whom it hears, as in Message.
	digest uint32
	// addressHash is the hash of its address, rankHash that of its address and this zone; 0 until they are made.
	addressHash, rankHash uint64
	// needsSync says that it has missed news and was not told of them yet.
	needsSync bool
	// recordsSentAt is when it was last told all records of requests.
	recordsSentAt time.Time
}

// scope is among whose servers entries choose, and so whom they tell of requests.
type scope uint8

const (
	// scopeUnknown: no servers are known yet. Entries of other zones are told nothing that they
	// may not need.
	scopeUnknown scope = iota
	scopeZone          // those of the own zone
	scopeAll           // all
)

// Group is the entries as one of them knows them. It is not safe for concurrent
// use.
type Group struct {
	self        string
	zone        string
	incarnation string
	seeds       []string
	members     map[string]*member
	// sorted is the addresses of members in their sorted; nil after a change.
	sorted []string
	// remote is what is known of other zones, as long as entries keep to theirs.
	remote map[string]*remoteZone
	// maxSeen is how many others were known at once, grown that more are known since that was counted.
	maxSeen int
	grown   bool
	scope   scope
	// joined says that a neighbour has told the entries of the zone.
	joined      bool
	readOptions ReadOptions
	// serving says that this entry takes requests.
	serving bool
	// firstHeard is when any entry was heard for the first time, lastLocalFound when one of the own zone became known last.
	firstHeard, lastLocalFound time.Time
	// listKnownSince is since when somebody is known to have the list of servers.
	listKnownSince time.Time
}

// New returns a group of an entry in an availability zone that knows the seeds.
func New(self, zone, incarnation string, seeds []string) *Group {
	g := &Group{self: self, zone: zone, incarnation: incarnation, members: map[string]*member{}, remote: map[string]*remoteZone{}}
	g.SetSeeds(time.Time{}, seeds)
	return g
}

// SetSeeds takes in the addresses of the settings. They are kept for ever, since they
// are the only way back after everyone else was forgotten.
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

// SetLocalRouting sets whether entries keep to the servers of their own zone. Until it is called for the
// first time that is not known.
func (g *Group) SetLocalRouting(divided bool) {
	g.scope = scopeAll
	if divided {
		g.scope = scopeZone
	}
}

// KnowsScope says whether Divide was called.
func (g *Group) KnowsScope() bool { return g.scope != scopeUnknown }

// SetServing sets whether this entry takes requests.
func (g *Group) SetServing(serves bool) { g.serving = serves }

// LocalRouting returns whether they do.
func (g *Group) LocalRouting() bool { return g.scope == scopeZone }

// isLocal says whether a member chooses among the same servers as this entry does. One
// whose zone is not known may.
func (g *Group) isLocal(m *member) bool {
	return g.scope == scopeAll || m.zone == "" || m.zone == g.zone
}

// Sender is what is known of the sender of a message.
type Sender struct {
	// Discovered are entries of this one's zone that were not known before.
	Discovered []string
	// Restarted: it is another start than the one known; what that had begun is over.
	Restarted bool
	// Joined: it is heard for the first time, or again after a silence. Local: it chooses among the same
	// servers as this entry.
	Joined, Local bool
	// NeedsSync, once: it joined and does not know what goes on here. For one that is
	// starting this waits until it can book requests.
	NeedsSync bool
}

// Observe takes in who sent a message.
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
	// Entries of other zones are heard by turns only, and book nothing of this one's.
	sender.Joined = first || sender.Restarted || sender.Local && now.Sub(known.lastHeard) >= SuspectAfter
	known.needsSync = known.needsSync || sender.Joined
	sender.NeedsSync = known.needsSync && !m.Starting && sender.Local
	if sender.NeedsSync {
		known.needsSync = false
	}
	if sender.Restarted {
		known.recordsSentAt = time.Time{} // what the start before was told is lost
	}
	known.update(now, m, sender.Restarted)
	changed := g.observeRemote(now, m)
	sender.Discovered = g.learnMembers(now, m)
	if changed || g.grown {
		g.maxSeen, g.grown = max(g.maxSeen, g.countOthers()), false
	}
	return sender
}

// update notes what a member says of itself.
func (known *member) update(now time.Time, m Message, restarted bool) {
	if m.Stopping && (!known.stopping || restarted) {
		known.stoppedAt = now
	}
	switch {
	case m.Starting || m.Stopping:
		known.servingSince = time.Time{}
	case known.servingSince.IsZero() || restarted:
		known.servingSince = now
	}
	known.incarnation, known.lastHeard, known.stopping = m.Incarnation, now, m.Stopping
	known.version, known.revision = m.Version, m.Revision
	known.capacity, known.store = m.Capacity, m.storeState()
	if m.Digest != 0 {
		known.digest = m.Digest
	}
}

// learnMembers takes in the entries that a message tells of, and returns those of the own zone that were
// not known. Of another zone only a few are kept.
func (g *Group) learnMembers(now time.Time, m Message) []string {
	var found []string
	for _, address := range m.KnownPeers {
		g.add(now, address)
	}
	for _, told := range m.Members {
		g.joined = g.joined || told.Zone == g.zone && m.Zone == g.zone
		for _, address := range told.Addresses {
			isNew := g.members[address] == nil
			if isNew && g.knowsEnough(now, told.Zone) {
				continue
			}
			known := g.add(now, address)
			if known == nil {
				continue
			}
			known.zone = cmp.Or(known.zone, told.Zone)
			if told.Zone == m.Zone {
				known.indirectlyHeard = now
			}
			if isNew && known.zone == g.zone {
				found = append(found, address)
				g.lastLocalFound = now
			}
		}
	}
	return found
}

// Suspects returns the near entries that are taken for cut off, and all near ones that take
// part: this one and those that are heard of or cut off.
func (g *Group) Suspects(now time.Time) (silent, all []string) {
	all = []string{g.self}
	for _, address := range g.Addresses() {
		m := g.members[address]
		unheardFor := now.Sub(m.lastHeard)
		if !g.isLocal(m) || m.lastHeard.IsZero() || m.stopping || unheardFor >= FailedAfter {
			continue
		}
		all = append(all, address)
		if unheardFor >= SuspectAfter {
			silent = append(silent, address)
		}
	}
	return silent, all
}

// Forget drops the members that were not heard of for long.
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

// Addresses returns all known members in a fixed order. The slice is shared and must not
// be changed.
func (g *Group) Addresses() []string {
	if g.sorted == nil {
		g.sorted = slices.Sorted(maps.Keys(g.members))
	}
	return g.sorted
}

// Alive returns the members heard of lately, in a fixed order.
func (g *Group) Alive(now time.Time) []string {
	return g.filter(func(m *member) bool { return m.isAlive(now) })
}

// Local returns the members heard of lately that choose among the same servers as this
// entry: they are told of each of its requests.
func (g *Group) Local(now time.Time) []string {
	return g.filter(func(m *member) bool { return g.isLocal(m) && m.isAlive(now) })
}

// KnownLocal returns the members that choose among the same servers as this entry, heard or not.
func (g *Group) KnownLocal() []string { return g.filter(g.isLocal) }

// RunningIn returns the members of a zone that are known to run, by their own word or by that of their
// neighbours: all of the own zone, a few of another one.
func (g *Group) RunningIn(now time.Time, zone string) []string {
	return g.filter(func(m *member) bool { return m.zone == zone && m.isRunning(now) })
}

// Zone returns the zone of a member; it is empty if it is not known.
func (g *Group) Zone(address string) string {
	if m := g.members[address]; m != nil {
		return m.zone
	}
	return ""
}

func (m *member) isAlive(now time.Time) bool {
	return !m.lastHeard.IsZero() && now.Sub(m.lastHeard) < AliveFor
}

// isRunning says whether a member is heard, or a neighbour of it says that it is.
func (m *member) isRunning(now time.Time) bool {
	return m.isAlive(now) || !m.indirectlyHeard.IsZero() && now.Sub(m.indirectlyHeard) < IndirectAliveFor
}

// filter returns the addresses of the members for which a condition holds, in a fixed order.
func (g *Group) filter(holds func(*member) bool) []string {
	var picked []string
	for _, address := range g.Addresses() {
		if holds(g.members[address]) {
			picked = append(picked, address)
		}
	}
	return picked
}

// Size returns how many entries there may be, this one included: the most that
// were ever known at once. Entries that can't be heard still spend their parts of
// the shared budgets.
func (g *Group) Size() int { return g.maxSeen + 1 }

// countOthers counts the other countOthers: those that are known, and those that another zone has told to
// have if these are more.
func (g *Group) countOthers() int {
	count, known := len(g.members), map[string]int{}
	for _, m := range g.members {
		known[m.zone]++
	}
	for zone, far := range g.remote {
		count += max(far.entryCount-known[zone], 0)
	}
	return count
}
