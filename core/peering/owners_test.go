package peering

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func numberedNames(prefix string, count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return names
}

// Two entries that can't hear each other must compute the same owners, whatever the order in which they know
// entries and servers.
func TestOwnersAreTheSameEverywhere(t *testing.T) {
	entries, servers := numberedNames("e", 3), numberedNames("s", 10)
	owners := Owners(entries, servers)
	require.Len(t, owners, 10)
	require.Equal(t, owners, Owners([]string{"e2", "e0", "e1"}, append(append([]string{}, servers[5:]...), servers[:5]...)))
	require.Empty(t, Owners(nil, servers)["s0"])
}

func TestServersAreOwnedInEvenNumbers(t *testing.T) {
	for _, c := range []struct{ entries, servers, least, most int }{{5, 16, 1, 4}, {28, 54, 0, 2}, {3, 3, 1, 1}} {
		counts := map[string]int{}
		for _, owner := range Owners(numberedNames("e", c.entries), numberedNames("s", c.servers)) {
			counts[owner]++
		}
		for _, entry := range numberedNames("e", c.entries) {
			require.LessOrEqual(t, counts[entry], c.most)
			require.GreaterOrEqual(t, counts[entry], c.least, "%s of %v", entry, c)
		}
	}
}

// A server is replaced while two entries are cut off from each other. They learn of it at different times; most
// servers keep their owners meanwhile.
func TestAReplacedServerMovesFewOthers(t *testing.T) {
	entries, servers := numberedNames("e", 5), numberedNames("s", 16)
	before := Owners(entries, servers)
	after := Owners(entries, append(servers[1:], "new"))
	moved := 0
	for server, owner := range after {
		if before[server] != "" && before[server] != owner {
			moved++
		}
	}
	require.LessOrEqual(t, moved, 4)
}

func TestServersOfSeveralEntries(t *testing.T) {
	owners := map[string]string{"a": "x", "b": "y", "c": "z"}
	require.Equal(t, map[string]bool{"a": true, "c": true}, ServersOf([]string{"x", "z"}, owners))
}
