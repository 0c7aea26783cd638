package forwarding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/placement"
)

// No schedule exceeds the limit, whatever goes wrong on the day; and it is not empty: a
// tenth of the usual load is nearly all served, and a restart takes from it.
func TestTheLimitIsNotExceeded(t *testing.T) {
	for _, site := range []Site{Zagara(1.2), Restarted(Sanad(0.8), 14*time.Second, true), withSpells(Sanad(1)), DrawnSite(2), DrawnSite(5)} {
		result := Play(site, 1, placement.DefaultOptions(""))
		require.LessOrEqual(t, result.Worth(), result.Limit)
		require.LessOrEqual(t, result.Limit, 1.0+roundingMs)
	}
	easy := Play(Zagara(0.1), 1, placement.DefaultOptions(""))
	require.Greater(t, easy.Worth(), easy.Limit-0.05)
	require.Less(t, Play(Restarted(Zagara(0.1), 14*time.Second, false), 1, placement.DefaultOptions("")).Limit, easy.Limit)
}

// All entries are killed and come back: every caller still has exactly one end, and those
// that were cut come back once.
func TestCallersOfARestartEndOnce(t *testing.T) {
	for _, power := range []bool{false, true} {
		result := Play(Restarted(Sanad(0.6), 14*time.Second, power), 2, placement.DefaultOptions(""))
		for _, c := range result.Classes {
			require.Equal(t, c.Asked, c.InTime+c.Late+c.Failed)
			require.Greater(t, float64(c.InTime+c.Late)/float64(c.Asked), 0.85)
		}
	}
}

// Engines crash beside requests that wait there: these go to other engines, and all engines
// are used again after it.
func TestRequestsLeaveCrashedEngines(t *testing.T) {
	site := Sanad(0.3)
	site.Phases = []Phase{{Load: []float64{1, 1, 1}}}
	site.Spells = []Spell{{From: 10 * time.Second, For: 4 * time.Second, Engines: 6}}
	result := Play(site, 3, placement.DefaultOptions(""))
	short := result.Classes[0]
	require.Greater(t, float64(short.InTime+short.Late)/float64(short.Asked), 0.97)
}

// The same seed draws the same deployment, other seeds others; each can meet its targets
// on idle engines.
func TestDrawnDeploymentsRepeatAndCanBeServed(t *testing.T) {
	require.Equal(t, DrawnSite(3).Engine, DrawnSite(3).Engine)
	require.NotEqual(t, DrawnSite(3).Engine, DrawnSite(4).Engine)
	for seed := range uint64(20) {
		site := DrawnSite(seed)
		require.NoError(t, site.Engine.Check())
		for _, c := range site.Classes {
			parts := 4
			require.Less(t, site.Engine.PrefillMs(int64(c.Prompt), parts), ms(c.Target), "%d %s", seed, c.Name)
		}
	}
}
