package zonerouting

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSmallFleetsHaveNoLocalRouting(t *testing.T) {
	for name, servers := range map[string]map[string]int{
		"none":              {},
		"one zone":          {"a": 100},
		"five and a few":    {"a": 6, "b": 5, "c": 5},
		"one zone is small": {"a": 60, "b": 60, "c": 23},
	} {
		var r LocalRouting
		require.False(t, r.Update(servers, 28), name)
	}
	var r LocalRouting
	require.True(t, r.Update(map[string]int{"a": 24, "b": 40}, 28))
}

// Many entries on small hosts restart while a fifth of the servers is down. Without zone-local routing, each
// of them would have to hear of every request of all others again.
func TestManyEntriesNeedFewerServers(t *testing.T) {
	zones := map[string]int{"a": 22, "b": 27}
	for entries, enabled := range map[int]bool{3: false, 28: false, 43: false, 44: true, 68: true, 350: true} {
		var r LocalRouting
		require.Equal(t, enabled, r.Update(zones, entries), entries)
	}
	var r LocalRouting
	require.False(t, r.Update(map[string]int{"a": 11, "b": 27}, 350), "there are too few servers for a long prompt")
	require.True(t, r.Update(map[string]int{"a": 12, "b": 27}, 350))
}

// A third of a zone's servers crash for some seconds. Entries that then chose among all servers would not
// know what the others have sent there, and would switch back a moment later.
func TestLocalRoutingToleratesCrashes(t *testing.T) {
	var r LocalRouting
	require.True(t, r.Update(map[string]int{"a": 27, "b": 27}, 28))
	require.True(t, r.Update(map[string]int{"a": 18, "b": 27}, 28))
	require.True(t, r.Update(map[string]int{"a": 12, "b": 27}, 28))
	require.False(t, r.Update(map[string]int{"a": 11, "b": 27}, 28))
	require.False(t, r.Update(map[string]int{"a": 23, "b": 27}, 28), "once disabled, it takes more servers to enable it again")
	require.True(t, r.Update(map[string]int{"a": 24, "b": 27}, 28))
}

// All zones are full at the same time: a request that is placed in another one would only displace a request
// of that zone.
func TestCrossZonePlacementNeedsMoreSpareCapacity(t *testing.T) {
	require.True(t, PrefersCrossZone(0, 0.25))
	require.True(t, PrefersCrossZone(0.5, 0.9))
	require.False(t, PrefersCrossZone(0.5, 0.7))
	require.False(t, PrefersCrossZone(0, 0.2))
}
