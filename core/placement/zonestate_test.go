package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/zonestate"
)

// Guards against a zone that states room at servers that take no requests: others would send it what it refuses.
func TestAZoneStatesTheRoomOfServersThatAcceptRequests(t *testing.T) {
	table, q := newTable(), shortQuery(fleet(5))
	memory := int64(table.options.MemoryShare * float64(engine.MemoryTokens))
	require.Equal(t, zonestate.ServiceState{Slots: 80, FreeSlots: 80, FreeMemory: 5 * memory, LargestFree: memory}, table.ZoneState(start, q))
	q.Exclude = []string{"s00"}
	q.Pause("s01", start.Add(time.Second))
	table.MarkUnreachable(start, "s02", 0.5)
	require.Equal(t, zonestate.ServiceState{Slots: 32, FreeSlots: 32, FreeMemory: 2 * memory, LargestFree: memory}, table.ZoneState(start, q))
	later := start.Add(time.Second)
	require.Equal(t, 64, table.ZoneState(later, q).Slots, "the pause and the backoff are over")
	table.MarkUnreachable(later, "s03", 0.5)
	table.MarkUnreachable(later, "s04", 0.5)
	q.Exclude = []string{"s00", "s01", "s02"}
	require.Zero(t, table.ZoneState(later, q))
	q.Engine = nil
	require.Zero(t, table.ZoneState(later, q))
}

// Guards against a sum in which the queue at one server cancels the free slots of the others.
func TestAnExcessAtOneServerLeavesTheFreeSlotsOfOthers(t *testing.T) {
	table, q := newTable(), shortQuery(fleet(2))
	for i := range 20 {
		addAnswer(table, fmt.Sprintf("full%d", i), "s00", q)
	}
	for i := range 3 {
		addAnswer(table, fmt.Sprintf("some%d", i), "s01", q)
	}
	state := table.ZoneState(start, q)
	require.Equal(t, 32, state.Slots)
	require.Equal(t, 13, state.FreeSlots)
	memory := int64(table.options.MemoryShare * float64(engine.MemoryTokens))
	used := q.PromptTokens + q.AnswerTokens
	require.Equal(t, memory-20*used+memory-3*used, state.FreeMemory)
	require.Equal(t, memory-3*used, state.LargestFree)
	require.Zero(t, state.BacklogMs)
	require.Equal(t, 13, state.FreeSlots)
}

// Guards against memory below zero, which the other zones would refuse together with the heartbeat, and against a
// backlog that doesn't count: a zone whose servers are busy with prefill would be asked for prompts that are then late.
func TestAZoneStatesItsPrefill(t *testing.T) {
	table, q := newTable(), longQuery(fleet(2), 300_000)
	table.Begin(start, Dispatch{ID: "long", Server: "s00", PromptTokens: q.PromptTokens, AnswerTokens: q.AnswerTokens, Gap: q.Gap, Target: q.Target, Lifetime: q.Remaining}, engine, 0)
	state := table.ZoneState(start, q)
	require.InDelta(t, engine.PrefillMs(300_000, 1)/2, state.BacklogMs, 1)
	memory := int64(table.options.MemoryShare * float64(engine.MemoryTokens))
	require.Equal(t, memory, state.FreeMemory, "what exceeds the usable memory of one server is not subtracted from the other's")
	require.Equal(t, memory, state.LargestFree)
	state.Service = "engines"
	summary := zonestate.New(false, []zonestate.ServiceState{state}, nil)
	require.NoError(t, summary.Check())
	require.Equal(t, state, summary.Services[0], "the state is within the bounds of a summary")
}
