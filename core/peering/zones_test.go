package peering

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heartbeatFrom is a heartbeat of an entry in a zone.
func heartbeatFrom(from, zone string, members ...ZoneMembers) Message {
	m := message(from, "x", 1, 1)
	m.Zone, m.Members = zone, members
	return m
}

// localRoutingGroup returns the group of an entry "here" that knows some entries in each zone.
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

// Entries that keep to the servers of their zones tell each other of requests within the
// zone. What an entry hears and sends must not grow with the entries of other zones.
func TestNewsStayWithinAZone(t *testing.T) {
	g := localRoutingGroup([]string{"here", "there", "yonder"}, 4)
	require.Equal(t, []string{"here-0:1", "here-1:1", "here-2:1", "here-3:1"}, g.Local(start))
	require.Equal(t, []string{"there-0:1", "there-1:1", "there-2:1", "there-3:1"}, g.RunningIn(start, "there"))
	g.Observe(start, message("old:1", "x", 1, 1))
	require.Contains(t, g.Local(start), "old:1", "an entry of a version that tells no zone may use any server")
	g.SetLocalRouting(false)
	require.Len(t, g.Local(start), 13)
}

// remoteHeartbeat is what an entry tells another zone at a turn.
func remoteHeartbeat(g *Group, turn int) Message {
	m := heartbeatFrom(g.self, g.zone)
	g.FillRemoteHeartbeat(start, turn, &m)
	return m
}

// Each entry of a zone told one of each other zone that it lives, twice a second: what crossed zones grew with the entries.
// Two of a zone do now, whatever its size, those with the fastest links; the other zone's delegates hear both.
func TestTwoEntriesOfAZoneSpeakWithTheOthers(t *testing.T) {
	for _, count := range []int{2, 10, 40} {
		groups := zoneGroups(count, func(i int) int { return 100 - i })
		speaking := 0
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
				speaking++
				require.Less(t, i, 2)
				require.Equal(t, map[string]bool{"there-0:1": true, "there-2:1": true, "yonder-0:1": true, "yonder-2:1": true}, heard)
			}
		}
		require.Equal(t, 2, speaking)
		require.Equal(t, []string{entryAt(0), entryAt(1)}, remoteHeartbeat(groups[count-1], 0).Delegates, "all know who they are")
	}
}

// Both delegates of a zone are killed. The next ones by rank speak for it after two missed heartbeats.
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

// An entry that starts, and one that stops, speak for their zone only while nobody else can.
func TestThoseThatServeSpeakFirst(t *testing.T) {
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

// Of a zone of hundreds of entries that keep to their own servers an entry of another zone knows a few, and how many
// there are: they share its budgets.
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
	require.Equal(t, 202, g.Size(), "those that can't be heard keep their parts")
	g.Observe(start, heartbeatFrom("here-0:1", "here", ZoneMembers{Zone: "here", Addresses: numberedNames("here:", 100)}))
	require.Len(t, g.RunningIn(start, "here"), 101, "all of the own zone are known")
}

// Entries that don't speak with other zones themselves hear from those that do where there is room, how many entries there
// are, and whom to ask. What they have been handed they don't hand on: it would be told round for ever, older each time.
func TestWhatOtherZonesTellIsHandedOn(t *testing.T) {
	delegate, g := localRoutingGroup([]string{"here"}, 1), New("other:1", "here", "i", nil)
	g.SetLocalRouting(true)
	m := heartbeatFrom("there-0:1", "there", ZoneMembers{Zone: "there", Addresses: []string{"there-0:1", "there-1:1"}})
	m.EntryCount, m.Delegates = 70, []string{"there-0:1", "there-1:1"}
	m.SetSpareCapacity(0.6)
	delegate.Observe(start, m)
	handed := heartbeatFrom("self:1", "here")
	handed.ZoneSummaries = delegate.RemoteSummaries(start.Add(300*time.Millisecond), 0)
	require.Len(t, handed.ZoneSummaries, 1)
	later := start.Add(time.Second)
	g.Observe(later, handed)
	address, room, ok := g.MostSpareCapacity(later)
	require.True(t, ok)
	require.Contains(t, []string{"there-0:1", "there-1:1"}, address)
	require.InDelta(t, 0.6, room, 0.001)
	require.Equal(t, 72, g.Size())
	require.Empty(t, g.RemoteSummaries(later, 0))
	_, _, ok = g.MostSpareCapacity(later.Add(spareCapacityTTL))
	require.False(t, ok)
	require.Empty(t, delegate.RemoteSummaries(start.Add(summaryTTL), 0), "it is old by now")
	older := handed
	older.ZoneSummaries[0].Age, older.ZoneSummaries[0].EntryCount = 2000, 1
	g.Observe(later, older)
	require.Equal(t, 70, g.remote["there"].entryCount)
}

// A delegate of another zone knows only an entry that speaks for nobody. It is told who does, or the zones would never
// hear of each other.
func TestWhoTakesAnEntryForADelegateIsToldWhoIs(t *testing.T) {
	g := localRoutingGroup([]string{"here"}, 3)
	far := heartbeatFrom("there-0:1", "there")
	require.False(t, g.ShouldRedirect(start, far), "no word to a delegate")
	far.EntryCount = 10
	require.True(t, g.ShouldRedirect(start, far))
	require.Len(t, remoteHeartbeat(g, 0).Delegates, delegatesPerZone)
	g.SetServing(true)
	g.SetReadOptions(ReadOptions{Capacity: 1000})
	require.False(t, g.ShouldRedirect(start, far), "it is one")
	near := heartbeatFrom("here-0:1", "here")
	near.EntryCount = 10
	require.False(t, g.ShouldRedirect(start, near))
}

// A seed of another zone starts after others. They have never heard it and take it for a near entry, for ever: each of them
// told it twice a second that it lives.
func TestWhoTakesAnEntryForANearOneIsToldItsZone(t *testing.T) {
	g := New("seed:1", "there", "i", nil)
	beat := heartbeatFrom("self:1", "here")
	require.False(t, g.MistakenForLocal(beat))
	beat.Digest = 7
	require.True(t, g.MistakenForLocal(beat))
	beat.Zone = "there"
	require.False(t, g.MistakenForLocal(beat))
	beat.Zone = "here"
	g.SetLocalRouting(false)
	require.False(t, g.MistakenForLocal(beat), "all are near")
}

// What all entries of another zone have to know is told to two of them, which pass it on.
func TestNewsCrossZonesThroughRelays(t *testing.T) {
	g := localRoutingGroup([]string{"there"}, 10)
	require.Len(t, g.Relays(start, "there"), relaysPerZone)
	g.Observe(start, Message{From: "there-0:1", Zone: "there", EntryCount: 10, Delegates: []string{"there-4:1", "there-7:1"}})
	require.ElementsMatch(t, []string{"there-4:1", "there-7:1"}, g.Relays(start, "there"))
	require.True(t, g.ShouldRelay(Message{From: "there-1:1", Zone: "there", Relay: true}))
	require.False(t, g.ShouldRelay(Message{From: "here-1:1", Zone: "here", Relay: true}), "it would be passed round")
	require.False(t, g.ShouldRelay(Message{From: "there-1:1", Zone: "there"}))
}

// An entry of another zone is heard once in some seconds. Its neighbours say meanwhile that
// it runs; when they stop saying so, it is taken for gone.
func TestNeighboursVouchForAnEntry(t *testing.T) {
	g := localRoutingGroup([]string{"there"}, 2)
	later := start.Add(AliveFor)
	require.Empty(t, g.RunningIn(later, "there"))
	g.Observe(later, heartbeatFrom("there-0:1", "there", ZoneMembers{Zone: "there", Addresses: []string{"there-0:1", "there-1:1", "there-2:1"}}))
	require.Equal(t, []string{"there-0:1", "there-1:1", "there-2:1"}, g.RunningIn(later, "there"))
	require.Equal(t, "there", g.Zone("there-2:1"))
	require.Empty(t, g.RunningIn(later.Add(IndirectAliveFor), "there"))
	require.Empty(t, g.Zone("nobody:1"))
}

// A dead entry's neighbours must not keep it alive by each other's word: an entry tells of
// its own zone only whom it hears itself.
func TestADeadEntryIsNotKeptAliveByWord(t *testing.T) {
	g := localRoutingGroup([]string{"here"}, 2)
	later := start.Add(AliveFor)
	g.Observe(later, heartbeatFrom("here-0:1", "here", ZoneMembers{Zone: "here", Addresses: []string{"here-0:1", "here-1:1"}}))
	told := []ZoneMembers{{Zone: "here", Addresses: []string{"self:1", "here-0:1"}}}
	var m Message
	g.FillRemoteHeartbeat(later, 0, &m)
	require.Equal(t, told, m.Members)
	require.Equal(t, 2, m.EntryCount)
	require.Equal(t, told, g.Running(later))
	require.Equal(t, told, g.LocalMembers(later))
}

// Hundreds of entries don't fit one packet; a message that is cut into two on its way is lost
// with either of them.
func TestAListOfHundredsOfEntriesIsToldInParts(t *testing.T) {
	members := []ZoneMembers{{Zone: "a", Addresses: numberedNames("10.100.200.1:5000", 70)}, {Zone: "b", Addresses: numberedNames("10.100.201.1:5000", 80)}}
	parts := SplitMembers(members)
	require.Len(t, parts, 3)
	told := map[string]int{}
	for _, part := range parts {
		m := heartbeatFrom("10.100.200.100:50000", "a")
		m.Members = part
		data, err := Encode(m)
		require.NoError(t, err)
		require.Less(t, len(data), 1400)
		for _, zone := range part {
			told[zone.Zone] += len(zone.Addresses)
		}
	}
	require.Equal(t, map[string]int{"a": 70, "b": 80}, told)
	require.Empty(t, SplitMembers(nil))
}

// A zone of a hundred entries is told of a few at a time; within some turns all are.
func TestNeighboursAreToldByTurns(t *testing.T) {
	g := localRoutingGroup([]string{"here"}, 100)
	told := map[string]bool{}
	for turn := range 20 {
		neighbours := remoteHeartbeat(g, turn).Members[0].Addresses
		require.Len(t, neighbours, addressesPerRemoteHeartbeat)
		for _, address := range neighbours {
			told[address] = true
		}
	}
	require.Len(t, told, 101)
}

// An entry that starts knows a few seeds, which may be of other zones. What they tell it
// leads to its neighbours, of which it asks one for the others; an entry that is only greeted is
// told nothing more.
func TestAStartingEntryFindsItsNeighboursThroughAnotherZone(t *testing.T) {
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
	require.Len(t, answer[1].Addresses, remoteMembersPerZone, "a few of other zones")
	sender := g.Observe(start, heartbeatFrom("there-0:1", "there", answer...))
	require.Equal(t, []string{"here-0:1", "here-1:1"}, sender.Discovered)
	asked, told := g.SplitGreetings(start, sender.Discovered)
	require.Equal(t, []string{"here-0:1"}, asked)
	require.Equal(t, []string{"here-1:1"}, told)
	require.Equal(t, []string{"here-0:1", "here-1:1"}, g.HeartbeatTargets(start, 1).Local)
	g.Observe(start, heartbeatFrom("here-0:1", "here", ZoneMembers{Zone: "here", Addresses: []string{"here-2:1"}}))
	require.False(t, g.NeedsMembers(start), "a neighbour has told")
	asked, told = g.SplitGreetings(start, []string{"here-2:1"})
	require.Empty(t, asked)
	require.Equal(t, []string{"here-2:1"}, told)
	require.True(t, g.NeedsMembers(start.Add(AliveFor)), "it hears nobody any more")
}

// All entries start at once, or share all servers: an answer holds all.
func TestWhereAllShareAllServersAllAreTold(t *testing.T) {
	g := New("self:1", "here", "i", nil)
	for _, address := range numberedNames("there-", 40) {
		g.Observe(start, heartbeatFrom(address, "there"))
	}
	require.Len(t, g.MembersFor(start, "here")[1].Addresses, remoteMembersPerZone, "it is not known yet who shares what")
	g.SetLocalRouting(false)
	require.Len(t, g.MembersFor(start, "here")[1].Addresses, 40)
	require.Len(t, g.KnownLocal(), 40)
}

// Entries of other zones are heard at long intervals. Taken for silent, their servers would
// be avoided; taken for joined at each heartbeat, they would be sent all that is open.
func TestAFarEntryIsNeitherSilentNorJoinsAnew(t *testing.T) {
	g := localRoutingGroup([]string{"here", "there"}, 1)
	later := start.Add(SuspectAfter + time.Second)
	silent, all := g.Suspects(later)
	require.Equal(t, []string{"here-0:1"}, silent)
	require.Equal(t, []string{"self:1", "here-0:1"}, all)
	require.Equal(t, Sender{}, g.Observe(later, heartbeatFrom("there-0:1", "there")))
	require.Equal(t, Sender{Joined: true, Local: true, NeedsSync: true}, g.Observe(later, heartbeatFrom("here-0:1", "here")))
	again := heartbeatFrom("there-0:1", "there")
	again.Incarnation = "y"
	require.True(t, g.Observe(later, again).Restarted)
}
