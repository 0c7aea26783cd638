package zonerouting

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSmallFleetsAreNotDivided(t *testing.T) {
	for name, servers := range map[string]map[string]int{
		"none":              {},
		"one zone":          {"a": 100},
		"five and a few":    {"a": 6, "b": 5, "c": 5},
		"one zone is small": {"a": 60, "b": 60, "c": 23},
	} {
		var d LocalRouting
		require.False(t, d.Update(servers, 28), name)
	}
	var d LocalRouting
	require.True(t, d.Update(map[string]int{"a": 24, "b": 40}, 28))
}

// Many entries on small hosts start anew while a fifth of the servers is away. Sharing all
// servers, each of them would have to hear of every request of all others again.
func TestManyEntriesDivideFewerServers(t *testing.T) {
	zones := map[string]int{"a": 22, "b": 27}
	for entries, divided := range map[int]bool{3: false, 28: false, 43: false, 44: true, 68: true, 350: true} {
		var d LocalRouting
		require.Equal(t, divided, d.Update(zones, entries), entries)
	}
	var d LocalRouting
	require.False(t, d.Update(map[string]int{"a": 11, "b": 27}, 350), "a long prompt finds too few servers")
	require.True(t, d.Update(map[string]int{"a": 12, "b": 27}, 350))
}

// A third of a zone's servers crash for some seconds. Entries that then chose among all
// servers would know nothing of what the others have sent there, and be back a moment later.
func TestADivisionOutlivesCrashes(t *testing.T) {
	var d LocalRouting
	require.True(t, d.Update(map[string]int{"a": 27, "b": 27}, 28))
	require.True(t, d.Update(map[string]int{"a": 18, "b": 27}, 28))
	require.True(t, d.Update(map[string]int{"a": 12, "b": 27}, 28))
	require.False(t, d.Update(map[string]int{"a": 11, "b": 27}, 28))
	require.False(t, d.Update(map[string]int{"a": 23, "b": 27}, 28), "undivided, it takes more to divide again")
	require.True(t, d.Update(map[string]int{"a": 24, "b": 27}, 28))
}

// All zones are full at the same time: a request that went to another one would only take
// the place of that one's own.
func TestRequestsCrossOnlyToAZoneWithMoreRoom(t *testing.T) {
	require.True(t, PrefersCrossZone(0, 0.25))
	require.True(t, PrefersCrossZone(0.5, 0.9))
	require.False(t, PrefersCrossZone(0.5, 0.7))
	require.False(t, PrefersCrossZone(0, 0.2))
}
