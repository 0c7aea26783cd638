package peering

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startingGroups returns the groups of the entries of one zone that all start, and have heard each other at the
// start.
func startingGroups(count int) []*Group {
	var groups []*Group
	for i := range count {
		g := New(entryAt(i), "here", "i", nil)
		g.SetReadOptions(ReadOptions{Capacity: 100 - i, Limit: changeLimit})
		for j := range count {
			if j != i {
				m := heartbeatFrom(entryAt(j), "here")
				m.Starting, m.Capacity = true, 100-j
				g.Observe(start, m)
			}
		}
		groups = append(groups, g)
	}
	return groups
}

func firstReaders(groups []*Group, since time.Duration) int {
	count := 0
	for _, g := range groups {
		if g.ShouldReadAtStart(start.Add(since), since) {
			count++
		}
	}
	return count
}

// All entries of a zone start at once. Each of them read the whole list from the store. Two do first, and more
// only while nobody is up to date: the rounds until all of a zone read grow with the logarithm of its size.
func TestWhereAllStartAtOnceFewReadTheStore(t *testing.T) {
	for _, count := range []int{2, 10, 80} {
		groups := startingGroups(count)
		require.Zero(t, firstReaders(groups, startWait-time.Millisecond))
		require.Equal(t, startReaders, firstReaders(groups, startWait))
		require.True(t, groups[0].ShouldReadAtStart(start.Add(startWait), startWait), "the one with the fastest link")
		require.Equal(t, min(count, 2*startReaders), firstReaders(groups, startWait+readRound))
		require.Equal(t, min(count, 8*startReaders), firstReaders(groups, startWait+3*readRound))
	}
	require.Equal(t, 80, firstReaders(startingGroups(80), startWait+6*readRound))
}

// While a zone starts, its first entries don't know those that start after them. They wait until no more become
// known, for a bounded time.
func TestRanksAreUsedOnceMembershipHasSettled(t *testing.T) {
	g := startingGroups(2)[0]
	for at := 10 * time.Millisecond; at < settleLimit; at += 10 * time.Millisecond {
		m := heartbeatFrom(entryAt(100+int(at/time.Millisecond)), "here")
		m.Starting = true
		g.Observe(start.Add(at), m)
		require.False(t, g.ShouldReadAtStart(start.Add(at), at))
	}
	require.True(t, g.ShouldReadAtStart(start.Add(settleLimit), settleLimit))
}

// An entry that is alone in its zone, or whose seeds are down, waits a short time for others and then reads.
func TestAnEntryThatHearsNoPeerReadsSoon(t *testing.T) {
	g := New("self:1", "here", "i", []string{"seed:1"})
	g.SetReadOptions(ReadOptions{Limit: changeLimit})
	require.True(t, g.NoPeerHeard())
	require.False(t, g.ShouldReadAtStart(start.Add(settleLimit-1), settleLimit-1))
	require.True(t, g.ShouldReadAtStart(start.Add(settleLimit), settleLimit), "nobody answers")
	g.Observe(start, heartbeatFrom("seed:1", "there"))
	require.False(t, g.NoPeerHeard())
	require.False(t, g.ShouldReadAtStart(start.Add(localPeerWait-1), localPeerWait-1))
	require.True(t, g.ShouldReadAtStart(start.Add(localPeerWait), localPeerWait))
	g.SetReadOptions(ReadOptions{Limit: minSharedReadLimit - 1})
	require.True(t, g.ShouldReadAtStart(start, 0), "all read where the limit on changes is that short")
}

// Hundreds of entries start together. All of them fetched the list from the two that had read it, one after the
// other. They fetch it from a few that pass it on instead.
func TestTheListSpreadsFromFewToAll(t *testing.T) {
	const count = 200
	groups := startingGroups(count)
	has := make([]bool, count)
	has[0], has[1] = true, true
	announce := func(now time.Time, i int) {
		m := heartbeatFrom(entryAt(i), "here")
		m.Capacity = 100 - i
		if i < startReaders {
			m.SetStoreState(StoreState{Reads: true})
		}
		for j, g := range groups {
			if j != i {
				g.Observe(now, m)
			}
		}
	}
	now := start.Add(startWait)
	announce(now, 0)
	announce(now, 1)
	rounds := 0
	for slices.Contains(has, false) {
		rounds++
		taken := map[string]int{}
		var next []int
		for i, g := range groups {
			if has[i] {
				continue
			}
			source, known := g.ListSource(now)
			require.True(t, known)
			if source != "" {
				taken[source]++
				next = append(next, i)
			}
		}
		for source, takers := range taken {
			require.LessOrEqual(t, takers, fetchersPerSource, "from %s", source)
		}
		now = now.Add(100 * time.Millisecond)
		for _, i := range next {
			has[i] = true
			announce(now, i)
		}
		require.Less(t, rounds, 6)
	}
	require.Equal(t, 3, rounds)
}

// The entry to fetch the list from has terminated, or has an older one. Another one that has the list is used.
func TestAnEntryDoesNotWaitForASourceForEver(t *testing.T) {
	groups := startingGroups(40)
	g := groups[39]
	for _, i := range []int{0, 3} {
		m := heartbeatFrom(entryAt(i), "here")
		m.Capacity = 100 - i
		if i == 0 {
			m.SetStoreState(StoreState{Reads: true})
		}
		g.Observe(start, m)
	}
	source, known := g.ListSource(start)
	require.True(t, known)
	require.Empty(t, source, "the fifth by rank does not have it yet")
	_, level := sourceRank(39)
	source, _ = g.ListSource(start.Add(time.Duration(level) * readRound))
	require.Contains(t, []string{entryAt(0), entryAt(3)}, source)
}
