package peering

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// starting returns the groups of entries of one zone that all start, and have heard each other at the start.
func starting(count int) []*Group {
	var groups []*Group
	for i := range count {
		g := New(entryAt(i), "here", "i", nil)
		g.SetReading(ReadOptions{Capacity: 100 - i, Limit: changeLimit})
		for j := range count {
			if j != i {
				m := zoned(entryAt(j), "here")
				m.Starting, m.Capacity = true, 100-j
				g.Heard(start, m)
			}
		}
		groups = append(groups, g)
	}
	return groups
}

func firstReaders(groups []*Group, since time.Duration) int {
	count := 0
	for _, g := range groups {
		if g.FirstRead(start.Add(since), since) {
			count++
		}
	}
	return count
}

// All entries of a zone start at once. Each of them read the whole list from the store; now two do, and ever more only as
// long as nobody is up to date: all of a zone of any size read after some turns, which grow with its logarithm.
func TestWhereAllStartAtOnceFewReadTheStore(t *testing.T) {
	for _, count := range []int{2, 10, 80} {
		groups := starting(count)
		require.Zero(t, firstReaders(groups, startWait-time.Millisecond))
		require.Equal(t, readersPerZone, firstReaders(groups, startWait))
		require.True(t, groups[0].FirstRead(start.Add(startWait), startWait), "the one with the fastest link")
		require.Equal(t, min(count, 2*readersPerZone), firstReaders(groups, startWait+readTurn))
		require.Equal(t, min(count, 8*readersPerZone), firstReaders(groups, startWait+3*readTurn))
	}
	require.Equal(t, 80, firstReaders(starting(80), startWait+6*readTurn))
}

// While a zone starts its first entries know none of those that start after them. They wait until no more become known,
// though not for ever.
func TestTheRanksAreBelievedOnceNoMoreBecomeKnown(t *testing.T) {
	g := starting(2)[0]
	for at := 10 * time.Millisecond; at < quietLimit; at += 10 * time.Millisecond {
		m := zoned(entryAt(100+int(at/time.Millisecond)), "here")
		m.Starting = true
		g.Heard(start.Add(at), m)
		require.False(t, g.FirstRead(start.Add(at), at))
	}
	require.True(t, g.FirstRead(start.Add(quietLimit), quietLimit))
}

// An entry is the only one of its zone, or the seeds are down: it waits a little for others, and reads.
func TestAnEntryThatHearsNoNeighbourReadsSoon(t *testing.T) {
	g := New("self:1", "here", "i", []string{"seed:1"})
	g.SetReading(ReadOptions{Limit: changeLimit})
	require.True(t, g.Lonely())
	require.False(t, g.FirstRead(start.Add(quietLimit-1), quietLimit-1))
	require.True(t, g.FirstRead(start.Add(quietLimit), quietLimit), "nobody answers")
	g.Heard(start, zoned("seed:1", "there"))
	require.False(t, g.Lonely())
	require.False(t, g.FirstRead(start.Add(aloneWait-1), aloneWait-1))
	require.True(t, g.FirstRead(start.Add(aloneWait), aloneWait))
	g.SetReading(ReadOptions{Limit: leastReadLimit - 1})
	require.True(t, g.FirstRead(start, 0), "all read where changes have to be in force so soon")
}

// Hundreds of entries take over the list from two. Those that have it hand it on.
func TestAListIsTakenOverFromAllThatHaveIt(t *testing.T) {
	groups := zoneGroups(4, sameCapacity)
	tell(groups, start, 1, StoreState{Reads: true}, 1)
	taken := map[string]bool{}
	for _, incarnation := range named("i", 50) {
		g := New("self:1", "here", incarnation, nil)
		g.SetReading(ReadOptions{Limit: changeLimit})
		for i := range 4 {
			m := zoned(entryAt(i), "here")
			switch i {
			case 0:
				m.Revision = 0 // behind
			case 1:
				m.SetStore(StoreState{Reads: true})
			case 2:
				m.Starting = true
			}
			g.Heard(start, m)
		}
		source, ok := g.FreshReader(start)
		require.True(t, ok)
		taken[source] = true
	}
	require.Equal(t, map[string]bool{entryAt(1): true, entryAt(3): true}, taken)
}
