package evacuation

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func evacuated(zone string, revision uint64) State {
	return State{Zone: zone, Revision: revision, Evacuated: true}
}

// Requests went to an evacuated zone: an entry that knew of the evacuation applied an older view of another one,
// or a late message.
func TestAnOlderStateDoesNotEndAnEvacuation(t *testing.T) {
	var z Zones
	require.True(t, z.Apply(evacuated("a", 5)))
	require.False(t, z.Apply(State{Zone: "a", Revision: 4}))
	require.False(t, z.Apply(State{Zone: "a", Revision: 5}))
	require.Empty(t, z.Replace(nil, 4), "a list read earlier")
	require.True(t, z.IsEvacuated("a"))
	require.False(t, z.Apply(evacuated("a", 6)), "evacuated again")
	require.True(t, z.Apply(State{Zone: "a", Revision: 7}))
	require.False(t, z.Apply(evacuated("a", 6)), "the earlier evacuation, received late")
	require.False(t, z.IsEvacuated("a"))
}

// The evacuation of a zone ended while the entry could not read the store, and the zone stayed without work for
// ever.
func TestTheEvacuationOfAZoneThatIsNotListedHasEnded(t *testing.T) {
	var z Zones
	z.Apply(evacuated("a", 5))
	z.Apply(evacuated("b", 6))
	z.Apply(evacuated("c", 9))
	require.Equal(t, []State{{Zone: "a", Revision: 8}}, z.Replace([]State{evacuated("b", 6)}, 8))
	require.Equal(t, []string{"b", "c"}, z.Evacuated(), "c was evacuated after the list was read")
}

// The store is restored from a backup made before the evacuation, and the operators don't know that it is lost.
func TestAnEvacuationOutlivesARestoreFromABackup(t *testing.T) {
	var z Zones
	z.Apply(evacuated("a", 5))
	require.Equal(t, []State{evacuated("b", 8)}, z.Restore([]State{evacuated("b", 8)}))
	require.Equal(t, []string{"a", "b"}, z.Evacuated())
	require.True(t, z.Apply(State{Zone: "a", Revision: 9}))
}

// Entries receive the same states in any order, some of them twice, and must agree.
func TestEntriesThatHaveReceivedTheSameAgree(t *testing.T) {
	states := []State{evacuated("a", 1), {Zone: "a", Revision: 2}, evacuated("a", 3), evacuated("b", 4), {Zone: "b", Revision: 5}}
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		var z Zones
		received := append([]State{}, states...)
		received = append(received, states[random.IntN(len(states))])
		random.Shuffle(len(received), func(i, j int) { received[i], received[j] = received[j], received[i] })
		for _, state := range received {
			z.Apply(state)
		}
		require.Equal(t, []State{evacuated("a", 3), {Zone: "b", Revision: 5}}, z.All())
	}
}
