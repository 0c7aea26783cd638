package parts

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
		var d Division
		require.False(t, d.Update(servers), name)
	}
	var d Division
	require.True(t, d.Update(map[string]int{"a": 24, "b": 40}))
}

// A third of a zone's servers crash for some seconds. Entries that then chose among all
// servers would know nothing of what the others have sent there, and be back a moment later.
func TestADivisionOutlivesCrashes(t *testing.T) {
	var d Division
	require.True(t, d.Update(map[string]int{"a": 27, "b": 27}))
	require.True(t, d.Update(map[string]int{"a": 18, "b": 27}))
	require.True(t, d.Update(map[string]int{"a": 12, "b": 27}))
	require.False(t, d.Update(map[string]int{"a": 11, "b": 27}))
	require.False(t, d.Update(map[string]int{"a": 23, "b": 27}), "undivided, it takes more to divide again")
	require.True(t, d.Update(map[string]int{"a": 24, "b": 27}))
}

// All zones are full at the same time: a request that went to another one would only take
// the place of that one's own.
func TestRequestsCrossOnlyToAZoneWithMoreRoom(t *testing.T) {
	require.True(t, Crosses(0, 0.25))
	require.True(t, Crosses(0.5, 0.9))
	require.False(t, Crosses(0.5, 0.7))
	require.False(t, Crosses(0, 0.2))
}
