// Package peering lets entries tell each other what each of them does: the
// requests it has sent to backend servers and how far they are, and how new its
// view of the configuration and of the servers is. It is pure; the daemon carries
// the messages. Messages may be lost, doubled and reordered.
package peering

import (
	"cmp"
	"slices"
	"time"

	"arbutusdeck/core/placement"
)

// Message is what one entry sends to another.
type Message struct {
	// From is the sender's peer address, Incarnation its start.
	From        string `cbor:"1,keyasint,omitempty"`
	Incarnation string `cbor:"2,keyasint,omitempty"`
	// Known are the addresses of other entries, in heartbeats only.
	Known []string `cbor:"3,keyasint,omitempty"`
	// Version is the sender's configuration, Revision the platform's revision
	// up to which its list of servers is complete.
	Version  uint64 `cbor:"4,keyasint,omitempty"`
	Revision uint64 `cbor:"5,keyasint,omitempty"`
	// Begun, First and Ended are requests that were sent to a server, have
	// their first event, and are over.
	Begun []placement.Dispatch `cbor:"6,keyasint,omitempty"`
	First []string             `cbor:"7,keyasint,omitempty"`
	Ended []string             `cbor:"8,keyasint,omitempty"`
	// Stopping says that the sender leaves.
	Stopping bool `cbor:"9,keyasint,omitempty"`
	// Starting says that the sender knows no backend servers yet; it could not
	// book a request.
	Starting bool `cbor:"10,keyasint,omitempty"`
}

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
	// SilentAfter is after how long an entry that is not heard of is taken for cut
	// off: two heartbeats were missed. It still serves its callers, unheard.
	SilentAfter = 1200 * time.Millisecond
	// SilentFor is how long that is believed; one that is silent for longer is more
	// likely gone. Partitions and suspensions last some seconds.
	SilentFor = 15 * time.Second
)

// listsPerHeartbeat is how many entries a heartbeat tells of all others. One that is heard
// for the first time is told at once, so that a start needs no turn; the turns mend what
// was lost. With 28 entries two lists in place of 27 save 24 KB a second and entry.
const listsPerHeartbeat = 2

type member struct {
	address     string
	incarnation string
	heard       time.Time // zero if it was only told of
	told        time.Time // when it became known
	version     uint64
	revision    uint64
	stopping    bool
	// stopped is when it was first heard to stop.
	stopped time.Time
	// serving is since when it is heard to take requests; zero while it does not.
	serving time.Time
	// untold says that it has missed news and was not told of them yet.
	untold bool
}

// Group is the entries as one of them knows them. It is not safe for concurrent
// use.
type Group struct {
	self        string
	incarnation string
	seeds       []string
	members     map[string]*member
	most        int
}

// New returns a group that knows the seeds.
func New(self, incarnation string, seeds []string) *Group {
	g := &Group{self: self, incarnation: incarnation, members: map[string]*member{}}
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
		g.most = max(g.most, len(g.members))
	}
	return m
}

// Sender is what is known of the sender of a message.
type Sender struct {
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
	sender.Joined = sender.Restarted || now.Sub(known.heard) >= SilentAfter
	known.untold = known.untold || sender.Joined
	sender.Missed = known.untold && !m.Starting
	if sender.Missed {
		known.untold = false
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
	for _, address := range m.Known {
		g.add(now, address)
	}
	return sender
}

// TellOf picks the entries that a heartbeat tells of all others: a few by turns, since
// the list grows with the entries, and with it would grow each message to each of them.
// turn counts the heartbeats.
func (g *Group) TellOf(turn int) (told, rest []string) {
	all := g.Addresses()
	for i, address := range all {
		if (i+turn*listsPerHeartbeat)%max(len(all), 1) < listsPerHeartbeat {
			told = append(told, address)
		} else {
			rest = append(rest, address)
		}
	}
	return told, rest
}

// Silent returns the entries that are taken for cut off, and all that take part: this
// one and those that are heard of or cut off.
func (g *Group) Silent(now time.Time) (silent, all []string) {
	all = []string{g.self}
	for _, address := range g.Addresses() {
		m := g.members[address]
		quiet := now.Sub(m.heard)
		if m.heard.IsZero() || m.stopping || quiet >= SilentFor {
			continue
		}
		all = append(all, address)
		if quiet >= SilentAfter {
			silent = append(silent, address)
		}
	}
	return silent, all
}

// NextServing is how long it takes at most until callers reach another entry that takes
// requests; 0 if they do now. limit is how long a planned stop takes at most. It returns
// false if no other entry is known to come back.
func (g *Group) NextServing(now time.Time, limit time.Duration) (time.Duration, bool) {
	soonest, found := time.Duration(0), false
	for _, m := range g.members {
		wait, ok := m.nextServing(now, limit)
		if ok && (!found || wait < soonest) {
			soonest, found = wait, true
		}
	}
	return soonest, found
}

func (m *member) nextServing(now time.Time, limit time.Duration) (time.Duration, bool) {
	quiet := now.Sub(m.heard)
	switch {
	case m.heard.IsZero():
		return 0, false
	case m.stopping:
		return max(m.stopped.Add(limit).Sub(now), 0) + StartTime + BalancerTime, quiet < limit+StartTime
	case m.serving.IsZero():
		return StartTime + BalancerTime, quiet < AliveAfter
	}
	return max(m.serving.Add(BalancerTime).Sub(now), 0), quiet < AliveAfter
}

const (
	// StartTime is how long an entry takes from its end to serving again: the platform's
	// delay before a start, and the first read of the store.
	StartTime = 600 * time.Millisecond
	// BalancerTime is how long the platform's balancer takes to send callers to an entry
	// that has begun to serve: it asks once a second. A caller that comes back sooner is
	// sent to one that stops, and refused again.
	BalancerTime = 1200 * time.Millisecond
)

// Forget drops the members that were not heard of for long.
func (g *Group) Forget(now time.Time) {
	for address, m := range g.members {
		if slices.Contains(g.seeds, address) {
			continue
		}
		if now.Sub(latest(m.heard, m.told)) > ForgetAfter {
			delete(g.members, address)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Addresses returns all known members in a fixed order.
func (g *Group) Addresses() []string {
	addresses := make([]string, 0, len(g.members))
	for address := range g.members {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// Alive returns the members heard of lately, in a fixed order.
func (g *Group) Alive(now time.Time) []string {
	var alive []string
	for _, address := range g.Addresses() {
		m := g.members[address]
		if !m.heard.IsZero() && now.Sub(m.heard) < AliveAfter {
			alive = append(alive, address)
		}
	}
	return alive
}

// Size returns how many entries there may be, this one included: the most that
// were ever known at once. Entries that can't be heard still spend their parts of
// the shared budgets.
func (g *Group) Size() int { return g.most + 1 }

// Newer returns a live member that knows a higher configuration version than
// version or, if servers is set, a higher revision of the servers; it prefers the
// newest.
func (g *Group) Newer(now time.Time, version, revision uint64, servers bool) (string, bool) {
	var best *member
	for _, address := range g.Alive(now) {
		m := g.members[address]
		if m.version <= version && (!servers || m.revision <= revision) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(m.version, best.version), cmp.Compare(m.revision, best.revision)) > 0 {
			best = m
		}
	}
	if best == nil {
		return "", false
	}
	return best.address, true
}
