package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An entry is cut off from a peer, which goes on sending prompts to its own servers. This one gets no updates
// of them; it avoids those servers as long as others suffice, and uses them when the rest would be late.
func TestServersOfSuspectPeersAreAvoided(t *testing.T) {
	table, servers := newTable(), fleet(4)
	q := shortQuery(servers)
	q.Avoid = map[string]bool{"s00": true, "s01": true}
	for tie := range 8 {
		q.TieBreak = float64(tie) / 8
		require.NotContains(t, []string{"s00", "s01"}, choose(t, table, q).Server.ID)
	}
	for _, server := range servers[2:] {
		table.Begin(start, Dispatch{ID: "long-" + server.ID, Server: server.ID, PromptTokens: 150_000, AnswerTokens: 800,
			Gap: time.Second, Target: 3 * time.Second, Lifetime: 15 * time.Second}, engine, 0)
	}
	require.Contains(t, []string{"s00", "s01"}, choose(t, table, q).Server.ID)
}

// An entry starts while a peer has work in progress. It is sent the open dispatches and their first events,
// with the remaining times, and records the same loads.
func TestAPeerCanRecordOpenDispatches(t *testing.T) {
	table, servers := newTable(), fleet(2)
	addAnswer(table, "answering", "s00", shortQuery(servers))
	table.Begin(start, Dispatch{ID: "reading", Server: "s01", PromptTokens: 150_000, AnswerTokens: 800, Target: 3 * time.Second, Lifetime: 15 * time.Second}, engine, 0)
	table.BeginPeerDispatch(start, "another", Dispatch{ID: "theirs", Server: "s01", PromptTokens: 1000, Lifetime: 9 * time.Second}, engine)
	later := start.Add(time.Second)
	begun, first := table.OpenDispatches(later)
	require.Equal(t, []string{"answering"}, first)
	require.Len(t, begun, 2, "only its own")
	require.Equal(t, 14*time.Second, begun[1].Lifetime)
	require.Equal(t, 2*time.Second, begun[1].Target)

	started := newTable()
	for _, d := range begun {
		started.BeginPeerDispatch(later, "b", d, engine)
	}
	for _, id := range first {
		started.FirstEvent(later, id)
	}
	require.Equal(t, table.servers["s00"].memoryUsed(), started.servers["s00"].memoryUsed())
	require.Equal(t, 1, started.servers["s00"].batch().Answers)
	started.EndPeerDispatches(later, "b")
	require.Zero(t, started.ActiveCount())
}
