package peering

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"arbutusdeck/core/zonestate"
)

// zoneSummary returns a summary with numbers as wide as any zone's.
func zoneSummary(services, nameBytes, workspaces int) *zonestate.Summary {
	s := &zonestate.Summary{Version: zonestate.Version}
	for i := range services {
		s.Services = append(s.Services, zonestate.ServiceState{Service: fmt.Sprint(i) + strings.Repeat("s", nameBytes-1), Slots: 900_000, FreeSlots: 900_000, Waiting: 900_000,
			BacklogMs: 900_000, FreeMemory: 1 << 45, LargestFree: 1 << 45, DemandPerS: 161.3})
	}
	for i := range workspaces {
		s.Usage = append(s.Usage, zonestate.WorkspaceUsage{Workspace: math.MaxUint32 - uint32(i), SlotSeconds: 31.7, Tokens: 813_000.3})
	}
	return s
}

func largestSummary() *zonestate.Summary {
	return zoneSummary(zonestate.MaxServices, zonestate.MaxNameBytes, zonestate.MaxWorkspaces)
}

// stateFrom returns a heartbeat of a delegate of another zone that carries a summary.
func stateFrom(zone string, summary *zonestate.Summary) Message {
	m := heartbeatFrom(zone+"-0:1", zone, ZoneMembers{Zone: zone, Addresses: []string{zone + "-0:1", zone + "-1:1"}})
	m.EntryCount, m.Delegates, m.Summary = 9, []string{zone + "-0:1", zone + "-1:1"}, summary
	m.SetSpareCapacity(0.5)
	return m
}

// reencoded returns a message as its recipient decodes it.
func reencoded(t *testing.T, m Message) Message {
	t.Helper()
	data, err := Encode(m)
	require.NoError(t, err)
	read, err := Decode(data)
	require.NoError(t, err)
	return read
}

// Guards against summaries that seem newer than they are once they are passed on: the entry would ask a zone whose
// capacity was taken seconds ago.
func TestASummaryIsPassedOnWithItsAge(t *testing.T) {
	delegate, g := localRoutingGroup([]string{"here"}, 1), New("other:1", "here", "i", nil)
	g.SetLocalRouting(true)
	summary := zoneSummary(1, 7, 2)
	delegate.Observe(start, reencoded(t, stateFrom("there", summary)))
	require.Equal(t, []ZoneState{{Zone: "there", EntryCount: 9, Summary: summary, AsOf: start}}, delegate.ZoneStates(start))
	passedOn := heartbeatFrom("self:1", "here")
	passedOn.ZoneSummaries = delegate.RemoteSummaries(start.Add(400*time.Millisecond), 0)
	later := start.Add(time.Second)
	g.Observe(later, reencoded(t, passedOn))
	require.Equal(t, []ZoneState{{Zone: "there", EntryCount: 9, Summary: summary, AsOf: later.Add(-400 * time.Millisecond)}}, g.ZoneStates(later))
	require.NotEmpty(t, g.ZoneStates(later.Add(StateTTL-400*time.Millisecond)))
	require.Empty(t, g.ZoneStates(later.Add(StateTTL-399*time.Millisecond)), "it is stale")
	older := passedOn
	older.ZoneSummaries = []ZoneSummary{{Zone: "there", Age: 1400, EntryCount: 9, Summary: zoneSummary(2, 7, 0)}}
	g.Observe(later, older)
	require.Equal(t, summary, g.ZoneStates(later)[0].Summary, "an older one replaces none")
	require.ElementsMatch(t, []string{"there-0:1", "there-1:1"}, g.EntriesToAsk(later, "there"))
}

// Guards against an upgrade during which an entry without summaries, or with later ones, takes the zone's state from
// the others, or makes an old state look new.
func TestOtherVersionsLeaveASummaryAsItIs(t *testing.T) {
	g := localRoutingGroup([]string{"here"}, 1)
	summary := zoneSummary(1, 7, 2)
	g.Observe(start, stateFrom("there", summary))
	later := start.Add(500 * time.Millisecond)
	for _, other := range []*zonestate.Summary{nil, {Version: zonestate.Version + 1, Closed: true}} {
		g.Observe(later, reencoded(t, stateFrom("there", other)))
		require.Equal(t, []ZoneState{{Zone: "there", EntryCount: 9, Summary: summary, AsOf: start}}, g.ZoneStates(later))
		require.Nil(t, g.RemoteSummaries(later, 0)[0].Summary, "it would get the age of the newer heartbeat")
		require.Equal(t, 51, g.RemoteSummaries(later, 0)[0].SpareCapacity)
	}
	require.Empty(t, g.ZoneStates(start.Add(StateTTL+1)))
}

// Guards against an entry of an earlier version that refuses a heartbeat because of the new field.
func TestEarlierVersionsIgnoreASummary(t *testing.T) {
	data, err := Encode(stateFrom("there", largestSummary()))
	require.NoError(t, err)
	var earlier struct {
		From          string `cbor:"1,keyasint,omitempty"`
		SpareCapacity int    `cbor:"17,keyasint,omitempty"`
	}
	require.NoError(t, cbor.Unmarshal(data, &earlier))
	require.Equal(t, "there-0:1", earlier.From)
	require.Equal(t, 51, earlier.SpareCapacity)
}

// Guards against an entry that asks one that stops or is silent, again and again, while others of its zone run.
func TestStoppingEntriesAreNotAsked(t *testing.T) {
	g := localRoutingGroup([]string{"there"}, 3)
	require.Len(t, g.EntriesToAsk(start, "there"), 3)
	stopping := heartbeatFrom("there-1:1", "there")
	stopping.Stopping = true
	g.Observe(start, stopping)
	require.ElementsMatch(t, []string{"there-0:1", "there-2:1"}, g.EntriesToAsk(start, "there"))
	require.Empty(t, g.EntriesToAsk(start.Add(IndirectAliveFor), "there"))
}

// fullHeartbeat returns a heartbeat with everything that entries put into one, with the longest addresses.
func fullHeartbeat(from, zone string) Message {
	m := heartbeatFrom(from, zone)
	m.Incarnation, m.Version, m.Revision, m.Capacity, m.StoreAge, m.Digest, m.RecordsDigest = "5f1c07a2", 1<<40, 1<<40, 1000, 60_000, math.MaxUint32, math.MaxUint32
	return m
}

// Guards against heartbeats that are fragmented on their way and lost with any fragment: those to another zone, and
// those that pass on the summaries of several zones.
func TestAHeartbeatWithSummariesFitsAPacket(t *testing.T) {
	const packet = 1400
	g := New("10.100.200.100:50000", "zone-europe-west-1a", "i", nil)
	g.SetLocalRouting(true)
	for i := range 9 {
		g.Observe(start, heartbeatFrom(fmt.Sprintf("10.100.200.10%d:50000", i), "zone-europe-west-1a"))
	}
	m := fullHeartbeat(g.self, g.zone)
	g.FillRemoteHeartbeat(start, 0, &m)
	m.SetSpareCapacity(1)
	m.Summary = largestSummary()
	data, err := Encode(m)
	require.NoError(t, err)
	t.Logf("heartbeat to another zone with the largest summary: %d bytes", len(data))
	require.Less(t, len(data), packet)
	for _, zone := range []string{"zone-europe-west-1b", "zone-europe-west-1c", "zone-europe-west-1d"} {
		state := stateFrom(zone, largestSummary())
		state.From, state.Delegates = "10.100.201.100:50000", []string{"10.100.201.100:50000", "10.100.201.101:50000"}
		g.Observe(start, state)
	}
	summaries := g.RemoteSummaries(start, 0)
	require.Len(t, summaries, 3)
	parts := SplitSummaries(summaries)
	require.Len(t, parts, 3)
	for _, part := range parts {
		m := fullHeartbeat(g.self, g.zone)
		m.ZoneSummaries = part
		data, err := Encode(m)
		require.NoError(t, err)
		require.Less(t, len(data), packet)
	}
	for i := range summaries {
		summaries[i].Summary = nil
	}
	require.Len(t, SplitSummaries(summaries), 1)
	require.Empty(t, SplitSummaries(nil))
}

// zonesOf returns groups of a fleet in three zones, which know all entries of their zone and a delegate of each other
// one: in each zone those of its delegates and of eight other entries.
func zonesOf(entries int) map[string][]*Group {
	addresses := map[string][]string{}
	for i := range entries {
		zone := string(rune('a' + i%3))
		addresses[zone] = append(addresses[zone], fmt.Sprintf("10.100.%d.%d:8229", i/200, i%200))
	}
	group := func(zone, self string) *Group {
		g := New(self, zone, "i", nil)
		g.SetLocalRouting(true)
		g.SetServing(true)
		for _, other := range addresses[zone] {
			g.Observe(start, heartbeatFrom(other, zone))
		}
		return g
	}
	fleet := map[string][]*Group{}
	for zone, local := range addresses {
		some := slices.Concat(group(zone, local[0]).delegates(start), local[:8])
		slices.Sort(some)
		for _, self := range slices.Compact(some) {
			fleet[zone] = append(fleet[zone], group(zone, self))
		}
	}
	for zone, local := range fleet {
		m := heartbeatFrom(local[0].self, zone)
		local[0].FillRemoteHeartbeat(start, 0, &m)
		for _, others := range fleet {
			for _, g := range others {
				if g.zone != zone {
					g.Observe(start, m)
				}
			}
		}
	}
	return fleet
}

// Guards against traffic between zones that grows with the entries: it is paid by the byte.
func TestTrafficOfSummariesBetweenZonesIsBounded(t *testing.T) {
	const turns = 2
	var before int
	summaries := []*zonestate.Summary{nil, zoneSummary(1, 7, 8), largestSummary()}
	for _, entries := range []int{26, 100, 300, 1000} {
		fleet := zonesOf(entries)
		messages, size := 0, make([]int, len(summaries))
		for turn := range turns {
			now := start.Add(time.Duration(turn) * HeartbeatInterval)
			for zone, local := range fleet {
				for _, g := range local {
					targets := len(g.HeartbeatTargets(now, turn).Remote)
					if targets == 0 {
						continue
					}
					messages += targets
					m := fullHeartbeat(g.self, zone)
					g.FillRemoteHeartbeat(now, turn, &m)
					m.SetSpareCapacity(0.5)
					for i := range summaries {
						m.Summary = summaries[i]
						data, err := Encode(m)
						require.NoError(t, err)
						size[i] += targets * len(data)
					}
				}
			}
		}
		perSecond := func(count int) int { return int(float64(count) / (turns * HeartbeatInterval.Seconds())) }
		most := perSecond(size[2])
		t.Logf("%4d entries: %d messages a second, %d bytes a second without summaries, %d with a usual one (1 service, 8 workspaces), %d with the largest",
			entries, perSecond(messages), perSecond(size[0]), perSecond(size[1]), most)
		require.Equal(t, 24, perSecond(messages), "2 delegates of 3 zones to 2 zones, twice a second")
		require.LessOrEqual(t, most, 24*1400)
		if before > 0 {
			require.InDelta(t, before, most, 200, "independent of the number of entries")
		}
		before = most
	}
}

// A heartbeat of another zone is handled after the time of the heartbeat to the local entries was taken, and before
// that is filled. Guards against a negative age, for which its recipients rejected the whole heartbeat.
func TestAReportThatIsLaterThanTheHeartbeatHasNoNegativeAge(t *testing.T) {
	g := New("a-0:1", "a", "i", nil)
	g.SetLocalRouting(true)
	now := time.Unix(1000, 0)
	g.Observe(now.Add(3*time.Millisecond), stateFrom("b", zoneSummary(1, 7, 0)))
	summaries := g.RemoteSummaries(now, 0)
	require.Len(t, summaries, 1)
	require.Equal(t, summaries, reencoded(t, Message{ZoneSummaries: summaries}).ZoneSummaries)
}
