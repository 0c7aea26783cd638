package zonestate

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// largest returns a summary whose encoding is as long as any valid one's.
func largest() Summary {
	s := Summary{Version: Version, Closed: true}
	for i := range MaxServices {
		s.Services = append(s.Services, ServiceState{Service: fmt.Sprintf("%d%s", i, strings.Repeat("s", MaxNameBytes-1)), Slots: maxCount, FreeSlots: maxCount,
			Waiting: maxCount, BacklogMs: maxBacklogMs, FreeMemory: maxTokens, LargestFree: maxTokens, DemandPerS: maxRate / 3})
	}
	for i := range MaxWorkspaces {
		s.Usage = append(s.Usage, WorkspaceUsage{Workspace: math.MaxUint32 - uint32(i), SlotSeconds: maxRate / 3, Tokens: maxRate / 7})
	}
	return s
}

// Guards against heartbeats that grow with the zone until they are fragmented on their way, and lost with any
// fragment.
func TestTheLargestSummaryIsBounded(t *testing.T) {
	s := largest()
	require.NoError(t, s.Check())
	data, err := cbor.Marshal(s)
	require.NoError(t, err)
	t.Logf("largest summary: %d bytes", len(data))
	require.LessOrEqual(t, len(data), MaxEncodedBytes)
	var read Summary
	require.NoError(t, cbor.Unmarshal(data, &read))
	require.Equal(t, s, read)
}

// Guards against a faulty entry of another zone whose values make entries here ask it for ever, or overflow.
func TestAnInvalidValueIsRefusedByName(t *testing.T) {
	for name, breaks := range map[string]func(*Summary){
		"version":             func(s *Summary) { s.Version = 0 },
		"services":            func(s *Summary) { s.Services = append(s.Services, ServiceState{Service: "more"}) },
		"usage":               func(s *Summary) { s.Usage = append(s.Usage, WorkspaceUsage{}) },
		"name":                func(s *Summary) { s.Services[0].Service = "" },
		"twice":               func(s *Summary) { s.Services[1].Service = s.Services[0].Service },
		"slots":               func(s *Summary) { s.Services[0].Slots = -1 },
		"free slots":          func(s *Summary) { s.Services[0].FreeSlots = s.Services[0].Slots + 1 },
		"waiting":             func(s *Summary) { s.Services[0].Waiting = -1 },
		"backlog":             func(s *Summary) { s.Services[0].BacklogMs = maxBacklogMs + 1 },
		"free memory":         func(s *Summary) { s.Services[0].FreeMemory = -1 },
		"largest free memory": func(s *Summary) { s.Services[0].LargestFree = s.Services[0].FreeMemory + 1 },
		"demand":              func(s *Summary) { s.Services[0].DemandPerS = math.NaN() },
		"slot seconds":        func(s *Summary) { s.Usage[0].SlotSeconds = math.Inf(1) },
		"tokens":              func(s *Summary) { s.Usage[0].Tokens = -1 },
	} {
		s := largest()
		breaks(&s)
		require.ErrorContains(t, s.Check(), name)
	}
	s := largest()
	s.Services[0].Service += strings.Repeat("s", 10_000)
	require.Less(t, len(s.Check().Error()), 1000, "the error doesn't repeat what a faulty entry sent")
}

// Guards against an upgrade that cuts the zones off from each other: the field of a later version has another type.
func TestASummaryOfALaterVersionIsIgnored(t *testing.T) {
	data, err := cbor.Marshal(map[int]any{1: Version + 1, 2: "other services", 3: map[string]int{"a": 1}})
	require.NoError(t, err)
	var s Summary
	require.NoError(t, cbor.Unmarshal(data, &s))
	require.NoError(t, s.Check())
	require.False(t, s.Known())
	require.False(t, (*Summary)(nil).Known())
	data, err = cbor.Marshal(map[int]any{1: Version, 99: "a new field"})
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(data, &s))
	require.True(t, s.Known())
}

// Guards against a summary that the other zones refuse, with the heartbeat that carries it, because of one value here.
func TestTheMergedStateOfAZoneIsValid(t *testing.T) {
	parts := []ServiceState{
		{Service: "a", Slots: 100, FreeSlots: 40, BacklogMs: 30, FreeMemory: 5000, LargestFree: 900},
		{Service: "a", Waiting: 7, DemandPerS: 50},
		{Service: "a", Slots: 50, FreeSlots: 60, FreeMemory: 10, LargestFree: 20, DemandPerS: math.NaN()},
		{Service: strings.Repeat("x", MaxNameBytes+1), Slots: 1}, {Slots: 5},
		{Service: "b", Slots: 1 << 40, FreeSlots: -1, BacklogMs: 1 << 40, FreeMemory: math.MaxInt64, DemandPerS: math.Inf(1)},
	}
	for i := range 5 {
		parts = append(parts, ServiceState{Service: fmt.Sprintf("small%d", i), Slots: 1})
	}
	var usage []WorkspaceUsage
	for i := range 40 {
		usage = append(usage, WorkspaceUsage{Workspace: uint32(i % 20), SlotSeconds: float64(i % 20), Tokens: math.Inf(1)})
	}
	s := New(true, parts, usage)
	require.NoError(t, s.Check())
	require.True(t, s.Closed)
	require.Len(t, s.Services, MaxServices)
	a, ok := s.Service("a")
	require.True(t, ok)
	require.Equal(t, ServiceState{Service: "a", Slots: 150, FreeSlots: 90, Waiting: 7, BacklogMs: 20, FreeMemory: 5010, LargestFree: 900, DemandPerS: 50}, a)
	_, ok = s.Service("small4")
	require.False(t, ok)
	require.Len(t, s.Usage, MaxWorkspaces)
	require.Equal(t, uint32(19), s.Usage[0].Workspace)
	require.InDelta(t, 38, s.Usage[0].SlotSeconds, 0.001)
}

// Guards against a demand that stays high after a burst has ended.
func TestARateFollowsTheArrivals(t *testing.T) {
	var r Rate
	now := time.Unix(1000, 0)
	require.Zero(t, r.PerSecond(now))
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		r.Observe(now)
	}
	require.InDelta(t, 100, r.PerSecond(now), 5)
	require.Less(t, r.PerSecond(now.Add(3*time.Second)), 6.0)
}
