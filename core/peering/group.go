// Package peering lets entries tell each other what each of them does: the
// requests it has sent to backend servers and how far they are, and how new its
// view of the configuration and of the servers is. It is pure; the daemon carries
// the messages. Messages may be lost, doubled and reordered.
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
	// AliveAfter is how long an entry that is not heard of counts as running.
	AliveAfter = 3 * time.Second
	// VouchedFor is how long an entry of another zone counts as running after a neighbour of
	// it has said so: they tell of a few neighbours at a time. Little hangs on it: news of a
	// request that crosses zones go to an entry that may be gone.
	VouchedFor = 15 * time.Second
	// SilentAfter is after how long an entry that is not heard of is taken for cut
	// off: two heartbeats were missed. It still serves its callers, unheard.
	SilentAfter = 1200 * time.Millisecond
	// SilentFor is how long that is believed; one that is silent for longer is more
	// likely gone. Partitions and suspensions last some seconds.
	SilentFor = 15 * time.Second
)

type member struct {
	address     string
	incarnation string
	// zone is empty until it is known.
	zone  string
	heard time.Time // zero if it was only told of
	told  time.Time // when it became known
	// vouched is when an entry of its own zone last said that it runs.
	vouched  time.Time
	version  uint64
	revision uint64
	stopping bool
	// stopped is when it was first heard to stop.
	stopped time.Time
	// serving is since when it is heard to take requests; zero while it does not.
	serving  time.Time
	capacity int
	room     int // as in Message
	store    StoreState
	// untold says that it has missed news and was not told of them yet.
	untold bool
	// recordsTold is when it was last told all records of requests.
	recordsTold time.Time
}

// Group is the entries as one of them knows them. It is not safe for concurrent
// use.
type Group struct {
	self        string
	zone        string
	incarnation string
	seeds       []string
	members     map[string]*member
	// order is the addresses of members in their order; nil after a change.
	order []string
	most  int
	// divided says that entries keep to the servers of their own zone, and tell each other
	// of requests only within it.
	divided bool
	reading ReadOptions
}

// New returns a group of an entry in an availability zone that knows the seeds.
func New(self, zone, incarnation string, seeds []string) *Group {
	g := &Group{self: self, zone: zone, incarnation: incarnation, members: map[string]*member{}}
	g.Seed(time.Time{}, seeds)
	return g
}

// Seed takes in the addresses of the settings. They are kept for ever, since they
// are the only way back after everyone else was forgotten.
func (g *Group) Seed(now time.Time, seeds []string) {
	g.seeds = slices.Clone(seeds)
	for _, address := range seeds {
		g.add(now, address)
	}
}

func (g *Group) add(now time.Time, address string) *member {
	if address == g.self || address == "" {
		return nil
	}
	m := g.members[address]
	if m == nil {
		m = &member{address: address, told: now}
		g.members[address] = m
		g.order = nil
		g.most = max(g.most, len(g.members))
	}
	return m
}

// Divide sets whether entries keep to the servers of their own zone.
func (g *Group) Divide(divided bool) { g.divided = divided }

// Divided returns whether they do.
func (g *Group) Divided() bool { return g.divided }

// isNear says whether a member chooses among the same servers as this entry does. One
// whose zone is not known may.
func (g *Group) isNear(m *member) bool { return !g.divided || m.zone == "" || m.zone == g.zone }

// Sender is what is known of the sender of a message.
type Sender struct {
	// Found are near entries that were not known before.
	Found []string
	// Restarted: it is another start than the one known; what that had begun is over.
	Restarted bool
	// Joined: it is heard for the first time, or again after a silence.
	Joined bool
	// Missed, once: it joined and does not know what goes on here. For one that is
	// starting this waits until it can book requests.
	Missed bool
}

// Heard takes in who sent a message.
func (g *Group) Heard(now time.Time, m Message) Sender {
	known := g.add(now, m.From)
	if known == nil {
		return Sender{}
	}
	sender := Sender{Restarted: known.incarnation != "" && known.incarnation != m.Incarnation}
	first := known.heard.IsZero()
	known.zone = cmp.Or(m.Zone, known.zone)
	// Entries of other zones are heard by turns only, and book nothing of this one's.
	sender.Joined = first || sender.Restarted || g.isNear(known) && now.Sub(known.heard) >= SilentAfter
	known.untold = known.untold || sender.Joined
	sender.Missed = known.untold && !m.Starting && g.isNear(known)
	if sender.Missed {
		known.untold = false
	}
	if sender.Restarted {
		known.recordsTold = time.Time{} // what the start before was told is lost
	}
	if m.Stopping && (!known.stopping || sender.Restarted) {
		known.stopped = now
	}
	switch {
	case m.Starting || m.Stopping:
		known.serving = time.Time{}
	case known.serving.IsZero() || sender.Restarted:
		known.serving = now
	}
	known.incarnation, known.heard, known.stopping = m.Incarnation, now, m.Stopping
	known.version, known.revision = m.Version, m.Revision
	known.capacity, known.store = m.Capacity, m.store()
	if m.Room > 0 {
		known.room = m.Room
	}
	sender.Found = g.learn(now, m)
	return sender
}

// learn takes in the entries that a message tells of, and returns the near ones that were
// not known.
func (g *Group) learn(now time.Time, m Message) []string {
	var found []string
	for _, address := range m.Known {
		g.add(now, address)
	}
	for _, told := range m.Members {
		for _, address := range told.Addresses {
			isNew := g.members[address] == nil
			known := g.add(now, address)
			if known == nil {
				continue
			}
			known.zone = cmp.Or(known.zone, told.Zone)
			if told.Zone == m.Zone {
				known.vouched = now
			}
			if isNew && g.isNear(known) {
				found = append(found, address)
			}
		}
	}
	return found
}

// Silent returns the near entries that are taken for cut off, and all near ones that take
// part: this one and those that are heard of or cut off.
func (g *Group) Silent(now time.Time) (silent, all []string) {
	all = []string{g.self}
	for _, address := range g.Addresses() {
		m := g.members[address]
		quiet := now.Sub(m.heard)
		if !g.isNear(m) || m.heard.IsZero() || m.stopping || quiet >= SilentFor {
			continue
		}
		all = append(all, address)
		if quiet >= SilentAfter {
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
		if now.Sub(latest(latest(m.heard, m.vouched), m.told)) > ForgetAfter {
			delete(g.members, address)
			g.order = nil
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
	if g.order == nil {
		g.order = slices.Sorted(maps.Keys(g.members))
	}
	return g.order
}

// Alive returns the members heard of lately, in a fixed order.
func (g *Group) Alive(now time.Time) []string {
	return g.pick(func(m *member) bool { return m.isHeard(now) })
}

// Near returns the members heard of lately that choose among the same servers as this
// entry: they are told of each of its requests.
func (g *Group) Near(now time.Time) []string {
	return g.pick(func(m *member) bool { return g.isNear(m) && m.isHeard(now) })
}

// In returns the members of a zone that run, by their own word or by that of their
// neighbours.
func (g *Group) In(now time.Time, zone string) []string {
	return g.pick(func(m *member) bool { return m.zone == zone && m.runs(now) })
}

// Zone returns the zone of a member; it is empty if it is not known.
func (g *Group) Zone(address string) string {
	if m := g.members[address]; m != nil {
		return m.zone
	}
	return ""
}

// Running returns the members that run, and this one, by zone: what near entries are told.
func (g *Group) Running(now time.Time) []ZoneMembers {
	zones := map[string][]string{g.zone: {g.self}}
	for _, address := range g.Addresses() {
		if m := g.members[address]; g.mayTell(now, m) {
			zones[m.zone] = append(zones[m.zone], address)
		}
	}
	told := make([]ZoneMembers, 0, len(zones))
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		told = append(told, ZoneMembers{Zone: zone, Addresses: zones[zone]})
	}
	return told
}

// mayTell says whether others are told that a member runs. Of its own zone an entry tells
// only what it hears itself: neighbours that believed each other's word would keep a dead
// entry alive between them for ever.
func (g *Group) mayTell(now time.Time, m *member) bool {
	return m.isHeard(now) || m.zone != g.zone && m.runs(now)
}

func (m *member) isHeard(now time.Time) bool {
	return !m.heard.IsZero() && now.Sub(m.heard) < AliveAfter
}

// runs says whether a member is heard, or a neighbour of it says that it is.
func (m *member) runs(now time.Time) bool {
	return m.isHeard(now) || !m.vouched.IsZero() && now.Sub(m.vouched) < VouchedFor
}

// pick returns the addresses of the members for which a condition holds, in a fixed order.
func (g *Group) pick(holds func(*member) bool) []string {
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
func (g *Group) Size() int { return g.most + 1 }

// Newer returns a live member that knows a higher configuration version than version or,
// if servers is set, a higher revision of the servers: the newest, and of equal ones another
// one for each entry that asks. As long as this zone knows what the store holds, only its
// own members are asked: those of other zones hear of a change some moments sooner as often
// as later, and a view of 140 servers is some 35 KB.
func (g *Group) Newer(now time.Time, version, revision uint64, servers bool) (string, bool) {
	var best *member
	within := g.Fresh(now)
	for _, address := range g.Alive(now) {
		m := g.members[address]
		if within && m.zone != g.zone || m.version <= version && (!servers || m.revision <= revision) {
			continue
		}
		if best == nil || g.preferred(m, best) > 0 {
			best = m
		}
	}
	if best == nil {
		return "", false
	}
	return best.address, true
}

// preferred compares two members to fetch a view from.
func (g *Group) preferred(a, b *member) int {
	near := func(m *member) int {
		if m.zone == g.zone {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(near(a), near(b)), cmp.Compare(a.version, b.version), cmp.Compare(a.revision, b.revision),
		cmp.Compare(rank(g.self, a.address), rank(g.self, b.address)))
}
