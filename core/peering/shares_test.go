package peering

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Entries agree on the order in which they share a limit, or too many of them would send to the server.
func TestEntriesRankEachOtherAlike(t *testing.T) {
	now := time.Unix(1_000, 0)
	var addresses []string
	for i := range 9 {
		addresses = append(addresses, fmt.Sprintf("127.0.0.%d:1", i+1))
	}
	ranks := map[int]bool{}
	for _, self := range addresses {
		g := New(self, "a", "x", nil)
		for i, other := range addresses {
			if other != self {
				g.Observe(now, Message{From: other, Incarnation: "y", Zone: []string{"a", "b"}[i%2]})
			}
		}
		g.SetLocalRouting(false)
		rank, entries := g.ShareOf(now, "server", "b")
		require.Equal(t, len(addresses), entries)
		ranks[rank] = true
	}
	require.Len(t, ranks, len(addresses))
}

func TestOnlyEntriesOfAServersZoneShareItsLimitWhileRoutingIsLocal(t *testing.T) {
	now := time.Unix(1_000, 0)
	g := New("127.0.0.1:1", "a", "x", nil)
	g.Observe(now, Message{From: "127.0.0.2:1", Incarnation: "y", Zone: "a"})
	g.Observe(now, Message{From: "127.0.0.3:1", Incarnation: "y", Zone: "b"})
	g.SetLocalRouting(true)
	_, entries := g.ShareOf(now, "server", "a")
	require.Equal(t, 2, entries)
	_, entries = g.ShareOf(now, "server", "b")
	require.Zero(t, entries)
}

func TestAnEntryThatIsGoneLeavesItsShareToTheOthers(t *testing.T) {
	now := time.Unix(1_000, 0)
	g := New("127.0.0.1:1", "a", "x", []string{"127.0.0.9:1"})
	g.SetLocalRouting(false)
	g.Observe(now, Message{From: "127.0.0.2:1", Incarnation: "y", Zone: "a", Stopping: true})
	_, entries := g.ShareOf(now.Add(FailedAfter-1), "server", "a")
	require.Equal(t, 2, entries, "a stopping entry still sends what has come to it; a seed that was never heard does not count")
	_, entries = g.ShareOf(now.Add(FailedAfter), "server", "a")
	require.Equal(t, 1, entries)
}
