package peering

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heartbeatFrom returns a heartbeat of an entry in a zone.
func heartbeatFrom(from, zone string, members ...ZoneMembers) Message {
	m := message(from, "x", 1, 1)
	m.Zone, m.Members = zone, members
	return m
}

// localRoutingGroup returns the group of an entry in zone "here" with local routing that knows some entries in
// each zone.
func localRoutingGroup(zones []string, each int) *Group {
	g := New("self:1", "here", "i", nil)
	g.SetLocalRouting(true)
	for _, zone := range zones {
		for i := range each {
			g.Observe(start, heartbeatFrom(fmt.Sprintf("%s-%d:1", zone, i), zone))
		}
	}
	return g
}

// Entries that use only the servers of their zone send events of requests within the zone. What an entry receives
// and sends must not grow with the entries of other zones.
func TestEventsStayWithinAZone(t *testing.T) {
	g := localRoutingGroup([]string{"here", "there", "yonder"}, 4)
	require.Equal(t, []string{"here-0:1", "here-1:1", "here-2:1", "here-3:1"}, g.Local(start))
	require.Equal(t, []string{"there-0:1", "there-1:1", "there-2:1", "there-3:1"}, g.RunningIn(start, "there"))
	g.Observe(start, message("old:1", "x", 1, 1))
	require.Contains(t, g.Local(start), "old:1", "an entry of a version that sends no zone may use any server")
	g.SetLocalRouting(false)
	require.Len(t, g.Local(start), 13)
}

// remoteHeartbeat returns an entry's heartbeat to another zone at a turn.
func remoteHeartbeat(g *Group, turn int) Message {
	m := heartbeatFrom(g.self, g.zone)
	g.FillRemoteHeartbeat(start, turn, &m)
	return m
}

// Each entry sent heartbeats to one entry of each other zone, twice a second, so that the traffic between zones
// grew with the entries. Only two entries of a zone do, whatever its size: those with the fastest links. Both
// delegates of the other zone get them.
func TestTwoDelegatesOfAZoneSendRemoteHeartbeats(t *testing.T) {
	for _, count := range []int{2, 10, 40} {
		groups := zoneGroups(count, func(i int) int { return 100 - i })
		delegates := 0
		for i, g := range groups {
			g.SetLocalRouting(true)
			g.SetServing(true)
			for _, zone := range []string{"there", "yonder"} {
				for j := range 4 {
					g.Observe(start, heartbeatFrom(fmt.Sprintf("%s-%d:1", zone, j), zone))
				}
				g.Observe(start, Message{From: zone + "-0:1", Zone: zone, EntryCount: 4, Delegates: []string{zone + "-0:1", zone + "-2:1"}})
			}
			heard := map[string]bool{}
			for turn := range 2 {
				for _, address := range g.HeartbeatTargets(start, turn).Remote {
					heard[address] = true
				}
			}
			if len(heard) > 0 {
				delegates++
				require.Less(t, i, 2)
				require.Equal(t, map[string]bool{"there-0:1": true, "there-2:1": true, "yonder-0:1": true, "yonder-2:1": true}, heard)
			}
		}
		require.Equal(t, 2, delegates)
		require.Equal(t, []string{entryAt(0), entryAt(1)}, remoteHeartbeat(groups[count-1], 0).Delegates, "all compute the same delegates")
	}
}

// Both delegates of a zone are killed. The next by rank replace them after two missed heartbeats.
func TestDelegatesAreReplaced(t *testing.T) {
	groups := zoneGroups(4, func(i int) int { return 100 - i })
	for _, g := range groups {
		g.SetLocalRouting(true)
		g.SetServing(true)
		g.Observe(start, heartbeatFrom("there-0:1", "there"))
	}
	later := start.Add(SuspectAfter)
	broadcast(groups, later, 2, StoreState{}, 98)
	broadcast(groups, later, 3, StoreState{}, 97)
	require.Len(t, groups[2].HeartbeatTargets(later, 0).Remote, 1)
	require.Len(t, groups[3].HeartbeatTargets(later, 0).Remote, 1)
}

// Starting and stopping entries are delegates of their zone only while no other entry can be.
func TestServingEntriesAreDelegatesFirst(t *testing.T) {
	g := New("self:1", "here", "i", nil)
	g.SetReadOptions(ReadOptions{Capacity: 1000})
	require.Equal(t, []string{"self:1"}, g.delegates(start))
	g.Observe(start, heartbeatFrom("a:1", "here"))
	require.Equal(t, []string{"a:1", "self:1"}, g.delegates(start))
	g.Observe(start, heartbeatFrom("b:1", "here"))
	require.ElementsMatch(t, []string{"a:1", "b:1"}, g.delegates(start))
	g.SetServing(true)
	require.Equal(t, "self:1", g.delegates(start)[0])
}

// Of a zone of hundreds of entries with local routing, an entry of another zone knows a few, and their number:
// they share its budgets.
func TestFewEntriesOfAnotherZoneAreKnown(t *testing.T) {
	g := localRoutingGroup([]string{"here"}, 1)
	g.Observe(start, heartbeatFrom("there-0:1", "there", ZoneMembers{Zone: "there", Addresses: numberedNames("there-", 200)}))
	require.Len(t, g.RunningIn(start, "there"), remoteMembersPerZone)
	require.Equal(t, remoteMembersPerZone+2, g.Size())
	m := heartbeatFrom("there-0:1", "there")
	m.EntryCount = 200
	g.Observe(start, m)
	require.Equal(t, 202, g.Size())
	m.EntryCount = 3
	g.Observe(start, m)
	require.Equal(t, 202, g.Size(), "those that can't be heard keep their shares")
	g.Observe(start, heartbeatFrom("here-0:1", "here", ZoneMembers{Zone: "here", Addresses: numberedNames("here:", 100)}))
	require.Len(t, g.RunningIn(start, "here"), 101, "all of the own zone are known")
}

// Entries that are no delegates learn from the delegates which zones have spare capacity, how many entries there
// are, and whom to ask. They don't pass on what was passed on to them: it would circulate for ever, ever older.
func TestSummariesOfOtherZonesArePassedOn(t *testing.T) {
	delegate, g := localRoutingGroup([]string{"here"}, 1), New("other:1", "here", "i", nil)
	g.SetLocalRouting(true)
	m := heartbeatFrom("there-0:1", "there", ZoneMembers{Zone: "there", Addresses: []string{"there-0:1", "there-1:1"}})
	m.EntryCount, m.Delegates = 70, []string{"there-0:1", "there-1:1"}
	m.SetSpareCapacity(0.6)
	delegate.Observe(start, m)
	passedOn := heartbeatFrom("self:1", "here")
	passedOn.ZoneSummaries = delegate.RemoteSummaries(start.Add(300*time.Millisecond), 0)
	require.Len(t, passedOn.ZoneSummaries, 1)
	later := start.Add(time.Second)
	g.Observe(later, passedOn)
	address, share, ok := g.MostSpareCapacity(later)
	require.True(t, ok)
	require.Contains(t, []string{"there-0:1", "there-1:1"}, address)
	require.InDelta(t, 0.6, share, 0.001)
	require.Equal(t, 72, g.Size())
	require.Empty(t, g.RemoteSummaries(later, 0))
	_, _, ok = g.MostSpareCapacity(later.Add(spareCapacityTTL))
	require.False(t, ok)
	require.Empty(t, delegate.RemoteSummaries(start.Add(summaryTTL), 0), "it is stale")
	older := passedOn
	older.ZoneSummaries[0].Age, older.ZoneSummaries[0].EntryCount = 2000, 1
	g.Observe(later, older)
	require.Equal(t, 70, g.remote["there"].entryCount)
}

// A delegate of another zone knows only an entry that is no delegate. It is sent the delegates, or the zones
// would never hear of each other.
func TestASenderToAnEntryThatIsNoDelegateIsRedirected(t *testing.T) {
	g := localRoutingGroup([]string{"here"}, 3)
	remote := heartbeatFrom("there-0:1", "there")
	require.False(t, g.ShouldRedirect(start, remote), "no message to a delegate")
	remote.EntryCount = 10
	require.True(t, g.ShouldRedirect(start, remote))
	require.Len(t, remoteHeartbeat(g, 0).Delegates, delegatesPerZone)
	g.SetServing(true)
	g.SetReadOptions(ReadOptions{Capacity: 1000})
	require.False(t, g.ShouldRedirect(start, remote), "it is a delegate")
	local := heartbeatFrom("here-0:1", "here")
	local.EntryCount = 10
	require.False(t, g.ShouldRedirect(start, local))
}

// A seed of another zone starts after others. They have never heard it and would take it for a local entry for
// ever; each of them sent it heartbeats twice a second.
func TestASenderThatMistakesAnEntryForLocalIsSentItsZone(t *testing.T) {
	g := New("seed:1", "there", "i", nil)
	heartbeat := heartbeatFrom("self:1", "here")
	require.False(t, g.MistakenForLocal(heartbeat))
	heartbeat.Digest = 7
	require.True(t, g.MistakenForLocal(heartbeat))
	heartbeat.Zone = "there"
	require.False(t, g.MistakenForLocal(heartbeat))
	heartbeat.Zone = "here"
	g.SetLocalRouting(false)
	require.False(t, g.MistakenForLocal(heartbeat), "all are local")
}

// What all entries of another zone have to know is sent to two of them, which relay it.
func TestEventsCrossZonesThroughRelays(t *testing.T) {
	g := localRoutingGroup([]string{"there"}, 10)
	require.Len(t, g.Relays(start, "there"), relaysPerZone)
	g.Observe(start, Message{From: "there-0:1", Zone: "there", EntryCount: 10, Delegates: []string{"there-4:1", "there-7:1"}})
	require.ElementsMatch(t, []string{"there-4:1", "there-7:1"}, g.Relays(start, "there"))
	require.True(t, g.ShouldRelay(Message{From: "there-1:1", Zone: "there", Relay: true}))
	require.False(t, g.ShouldRelay(Message{From: "here-1:1", Zone: "here", Relay: true}), "it would circulate")
	require.False(t, g.ShouldRelay(Message{From: "there-1:1", Zone: "there"}))
}

// An entry of another zone is heard once in some seconds. Meanwhile other entries of its zone report that it
// runs; when the reports end it is taken for terminated.
func TestAReportOfItsZoneKeepsAnEntryAlive(t *testing.T) {
	g := localRoutingGroup([]string{"there"}, 2)
	later := start.Add(AliveFor)
	require.Empty(t, g.RunningIn(later, "there"))
	g.Observe(later, heartbeatFrom("there-0:1", "there", ZoneMembers{Zone: "there", Addresses: []string{"there-0:1", "there-1:1", "there-2:1"}}))
	require.Equal(t, []string{"there-0:1", "there-1:1", "there-2:1"}, g.RunningIn(later, "there"))
	require.Equal(t, "there", g.Zone("there-2:1"))
	require.Empty(t, g.RunningIn(later.Add(IndirectAliveFor), "there"))
	require.Empty(t, g.Zone("nobody:1"))
}

// The entries of a zone must not keep a terminated one alive by each other's reports: an entry reports only those
// of its zone that it hears itself.
func TestATerminatedEntryIsNotKeptAliveByReports(t *testing.T) {
	g := localRoutingGroup([]string{"here"}, 2)
	later := start.Add(AliveFor)
	g.Observe(later, heartbeatFrom("here-0:1", "here", ZoneMembers{Zone: "here", Addresses: []string{"here-0:1", "here-1:1"}}))
	reported := []ZoneMembers{{Zone: "here", Addresses: []string{"self:1", "here-0:1"}}}
	var m Message
	g.FillRemoteHeartbeat(later, 0, &m)
	require.Equal(t, reported, m.Members)
	require.Equal(t, 2, m.EntryCount)
	require.Equal(t, reported, g.Running(later))
	require.Equal(t, reported, g.LocalMembers(later))
}

// The addresses of hundreds of entries don't fit one packet; a message that is fragmented on its way is lost with
// any of its fragments.
func TestAListOfHundredsOfEntriesIsSplit(t *testing.T) {
	members := []ZoneMembers{{Zone: "a", Addresses: numberedNames("10.100.200.1:5000", 70)}, {Zone: "b", Addresses: numberedNames("10.100.201.1:5000", 80)}}
	parts := SplitMembers(members)
	require.Len(t, parts, 3)
	counts := map[string]int{}
	for _, part := range parts {
		m := heartbeatFrom("10.100.200.100:50000", "a")
		m.Members = part
		data, err := Encode(m)
		require.NoError(t, err)
		require.Less(t, len(data), 1400)
		for _, zone := range part {
			counts[zone.Zone] += len(zone.Addresses)
		}
	}
	require.Equal(t, map[string]int{"a": 70, "b": 80}, counts)
	require.Empty(t, SplitMembers(nil))
}

// Of a zone of a hundred entries a message lists a few; within some turns it has listed all.
func TestListedMembersRotate(t *testing.T) {
	g := localRoutingGroup([]string{"here"}, 100)
	listed := map[string]bool{}
	for turn := range 20 {
		addresses := remoteHeartbeat(g, turn).Members[0].Addresses
		require.Len(t, addresses, addressesPerRemoteHeartbeat)
		for _, address := range addresses {
			listed[address] = true
		}
	}
	require.Len(t, listed, 101)
}

// A starting entry knows a few seeds, possibly of other zones. Their replies lead to its local members, one of
// which it asks for the others; entries that are only greeted are sent nothing more.
func TestAStartingEntryFindsLocalMembersThroughAnotherZone(t *testing.T) {
	seed := New("there-0:1", "there", "i", nil)
	seed.SetLocalRouting(true)
	seed.Observe(start, heartbeatFrom("here-0:1", "here"))
	seed.Observe(start, heartbeatFrom("here-1:1", "here"))
	for _, address := range numberedNames("there-", 40) {
		seed.Observe(start, heartbeatFrom(address, "there"))
	}
	g := New("self:1", "here", "i", []string{"there-0:1"})
	require.Equal(t, []string{"there-0:1"}, g.HeartbeatTargets(start, 0).Local, "the seed's zone is not known yet")
	require.True(t, g.NeedsMembers(start))
	answer := seed.MembersFor(start, "here")
	require.Equal(t, ZoneMembers{Zone: "here", Addresses: []string{"here-0:1", "here-1:1"}}, answer[0])
	require.Len(t, answer[1].Addresses, remoteMembersPerZone, "a few of each other zone")
	sender := g.Observe(start, heartbeatFrom("there-0:1", "there", answer...))
	require.Equal(t, []string{"here-0:1", "here-1:1"}, sender.Discovered)
	asked, greeted := g.SplitGreetings(start, sender.Discovered)
	require.Equal(t, []string{"here-0:1"}, asked)
	require.Equal(t, []string{"here-1:1"}, greeted)
	require.Equal(t, []string{"here-0:1", "here-1:1"}, g.HeartbeatTargets(start, 1).Local)
	g.Observe(start, heartbeatFrom("here-0:1", "here", ZoneMembers{Zone: "here", Addresses: []string{"here-2:1"}}))
	require.False(t, g.NeedsMembers(start), "a local member has replied")
	asked, greeted = g.SplitGreetings(start, []string{"here-2:1"})
	require.Empty(t, asked)
	require.Equal(t, []string{"here-2:1"}, greeted)
	require.True(t, g.NeedsMembers(start.Add(AliveFor)), "it hears nobody any more")
}

// Where all entries use all servers a reply holds all entries.
func TestWhereAllUseAllServersAllMembersAreSent(t *testing.T) {
	g := New("self:1", "here", "i", nil)
	for _, address := range numberedNames("there-", 40) {
		g.Observe(start, heartbeatFrom(address, "there"))
	}
	require.Len(t, g.MembersFor(start, "here")[1].Addresses, remoteMembersPerZone, "the scope is not known yet")
	g.SetLocalRouting(false)
	require.Len(t, g.MembersFor(start, "here")[1].Addresses, 40)
	require.Len(t, g.KnownLocal(), 40)
}

// Entries of other zones are heard at long intervals. If they were suspects their servers would be avoided; if
// they rejoined at each heartbeat they would be sent all open requests.
func TestARemoteEntryIsNeitherSuspectNorRejoins(t *testing.T) {
	g := localRoutingGroup([]string{"here", "there"}, 1)
	later := start.Add(SuspectAfter + time.Second)
	suspects, all := g.Suspects(later)
	require.Equal(t, []string{"here-0:1"}, suspects)
	require.Equal(t, []string{"self:1", "here-0:1"}, all)
	require.Equal(t, Sender{}, g.Observe(later, heartbeatFrom("there-0:1", "there")))
	require.Equal(t, Sender{Joined: true, Local: true, NeedsSync: true}, g.Observe(later, heartbeatFrom("here-0:1", "here")))
	again := heartbeatFrom("there-0:1", "there")
	again.Incarnation = "y"
	require.True(t, g.Observe(later, again).Restarted)
}
