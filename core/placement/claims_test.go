package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/claims"
)

// claimQuery returns a query for a prompt among two servers.
func claimQuery(promptTokens int64) Query {
	return Query{Servers: fleet(2), Engine: engine, PromptTokens: promptTokens, AnswerTokens: 1000, Target: 3 * time.Second, Gap: time.Second, Remaining: 15 * time.Second}
}

// Guards against a smaller prompt that takes the memory which a claim collects, and against a choice that withholds
// something without a claim.
func TestALongPromptGetsNoWithheldMemory(t *testing.T) {
	table := NewLoadTable(DefaultOptions(""))
	q := claimQuery(100_000)
	first, refusal := table.Choose(start, q)
	require.Empty(t, refusal)
	q.Withheld = map[string]claims.Withheld{first.Server.IncarnationID(): {Tokens: table.memoryShare(q)}}
	second, refusal := table.Choose(start, q)
	require.Empty(t, refusal)
	require.NotEqual(t, first.Server.ID, second.Server.ID)
	q.Withheld[second.Server.IncarnationID()] = claims.Withheld{Tokens: table.memoryShare(q)}
	_, refusal = table.Choose(start, q)
	require.Equal(t, NoMemory, refusal)
	q.Withheld = nil
	again, refusal := table.Choose(start, q)
	require.Empty(t, refusal)
	require.Equal(t, first, again)
}

// Guards against short prompts that are refused or late for a claim while slots are free, and against short prompts
// that take the memory although another server serves them as well.
func TestShortPromptsAvoidWithheldMemoryOnlyWhereTheyLoseLittle(t *testing.T) {
	table := NewLoadTable(DefaultOptions(""))
	q := claimQuery(5000)
	q.Target, q.Gap = 300*time.Millisecond, 250*time.Millisecond
	first, refusal := table.Choose(start, q)
	require.Empty(t, refusal)
	kept := claims.Withheld{Tokens: table.memoryShare(q), Loss: 28.5 / 300_000}
	q.Withheld = map[string]claims.Withheld{first.Server.IncarnationID(): kept}
	second, refusal := table.Choose(start, q)
	require.Empty(t, refusal)
	require.NotEqual(t, first.Server.ID, second.Server.ID, "another one serves it as well")
	// The other server is busy with a prefill of two seconds.
	table.BeginPeerDispatch(start, "peer", Dispatch{ID: "d", Server: second.Server.IncarnationID(), PromptTokens: 100_000, Lifetime: time.Minute}, q.Engine)
	third, refusal := table.Choose(start, q)
	require.Empty(t, refusal)
	require.Equal(t, first.Server.ID, third.Server.ID, "it would be late at the other one")
}

// Guards against claims that are designated by memory which the next short prompts take again, or that is long free.
func TestMemoryTellsWhatLongPromptsLeave(t *testing.T) {
	table := NewLoadTable(DefaultOptions(""))
	q := claimQuery(100_000)
	server := q.Servers[0].IncarnationID()
	table.BeginPeerDispatch(start, "peer", Dispatch{ID: "long", Server: server, PromptTokens: 80_000, AnswerTokens: 1000, Lifetime: time.Minute}, q.Engine)
	table.BeginPeerDispatch(start, "peer", Dispatch{ID: "short", Server: server, PromptTokens: 4000, AnswerTokens: 1000, Lifetime: time.Minute}, q.Engine)
	memory := table.Memory(start, q)
	require.Len(t, memory, 2)
	require.Equal(t, table.memoryShare(q)-86_000, memory[0].Free)
	require.Len(t, memory[0].Releases, 1)
	release := memory[0].Releases[0]
	require.Equal(t, int64(81_000), release.Tokens)
	require.Greater(t, release.After, 500*time.Millisecond)
	table.FirstEvent(start.Add(time.Second), "long")
	writing := table.Memory(start.Add(time.Second), q)[0].Releases[0].After
	require.Less(t, table.Memory(start.Add(1500*time.Millisecond), q)[0].Releases[0].After, writing)
	table.End(start.Add(2*time.Second), "long")
	require.Empty(t, table.Memory(start.Add(2*time.Second), q)[0].Releases)
}

// Guards against claims whose time doesn't leave room for the prefill.
func TestAClaimIsDueBeforeItsTarget(t *testing.T) {
	table := NewLoadTable(DefaultOptions(""))
	q := claimQuery(300_000)
	c := table.Claim(start, q)
	require.Equal(t, int64(301_000), c.Tokens)
	require.Less(t, c.Due, start.Add(q.Target))
	require.Less(t, c.Until, start.Add(q.Remaining))
	require.Positive(t, c.Hold)
	require.InDelta(t, c.Worth/4, c.LateWorth, 1e-9)
	require.True(t, table.MayClaim(q))
	q.PromptTokens = 5000
	require.False(t, table.MayClaim(q))
}
