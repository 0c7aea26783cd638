package zonestate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// New returns the summary of a zone from what its parts report: the load table the slots and the memory of a service,
// the queues of the entries its waiting requests, the arrivals its demand. States of the same service are added, and
// so is the usage of the same workspace. The services with the most slots and the busiest workspaces are kept, up to
// the bounds, and values out of bounds are limited to them, so that the summary passes Check.
func New(closed bool, parts []ServiceState, usage []WorkspaceUsage) Summary {
	return Summary{Version: Version, Closed: closed, Services: mergeServices(parts), Usage: mergeUsage(usage)}
}

func mergeServices(parts []ServiceState) []ServiceState {
	var merged []ServiceState
	for _, part := range parts {
		if part.Service == "" || len(part.Service) > MaxNameBytes {
			continue
		}
		i := slices.IndexFunc(merged, func(s ServiceState) bool { return s.Service == part.Service })
		if i < 0 {
			merged = append(merged, part.limited())
			continue
		}
		merged[i] = merged[i].plus(part.limited()).limited()
	}
	slices.SortFunc(merged, func(a, b ServiceState) int {
		return cmp.Or(cmp.Compare(b.Slots, a.Slots), cmp.Compare(a.Service, b.Service))
	})
	return merged[:min(len(merged), MaxServices)]
}

// plus adds the state of other parts of the same service. The backlog is the mean weighted by the slots, as a part
// without servers has none.
func (s ServiceState) plus(other ServiceState) ServiceState {
	if slots := s.Slots + other.Slots; slots > 0 {
		s.BacklogMs = (s.BacklogMs*s.Slots + other.BacklogMs*other.Slots) / slots
	}
	s.Slots += other.Slots
	s.FreeSlots += other.FreeSlots
	s.Waiting += other.Waiting
	s.FreeMemory += other.FreeMemory
	s.LargestFree = max(s.LargestFree, other.LargestFree)
	s.DemandPerS += other.DemandPerS
	return s
}

// limited returns the state with its values limited to their bounds.
func (s ServiceState) limited() ServiceState {
	s.Slots = clamp(s.Slots, maxCount)
	s.FreeSlots = clamp(s.FreeSlots, s.Slots)
	s.Waiting = clamp(s.Waiting, maxCount)
	s.BacklogMs = clamp(s.BacklogMs, maxBacklogMs)
	s.FreeMemory = clamp(s.FreeMemory, maxTokens)
	s.LargestFree = clamp(s.LargestFree, s.FreeMemory)
	s.DemandPerS = clampRate(s.DemandPerS)
	return s
}

func mergeUsage(usage []WorkspaceUsage) []WorkspaceUsage {
	var merged []WorkspaceUsage
	index := map[uint32]int{}
	for _, use := range usage {
		i, found := index[use.Workspace]
		if !found {
			i = len(merged)
			index[use.Workspace] = i
			merged = append(merged, WorkspaceUsage{Workspace: use.Workspace})
		}
		merged[i].SlotSeconds = clampRate(merged[i].SlotSeconds + clampRate(use.SlotSeconds))
		merged[i].Tokens = clampRate(merged[i].Tokens + clampRate(use.Tokens))
	}
	slices.SortFunc(merged, func(a, b WorkspaceUsage) int {
		return cmp.Or(cmp.Compare(b.SlotSeconds, a.SlotSeconds), cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Workspace, b.Workspace))
	})
	return merged[:min(len(merged), MaxWorkspaces)]
}

func clamp[T int | int64](value, limit T) T { return min(max(value, 0), limit) }

func clampRate(value float64) float64 {
	if math.IsNaN(value) {
		return 0
	}
	return min(max(value, 0), maxRate)
}

// rateTime is the time constant of a Rate. It is two heartbeats: long enough to span the time that a summary is
// relied on, short enough to follow a burst of some seconds.
const rateTime = time.Second

// Rate is a smoothed rate of arrivals. The zero value has seen none.
type Rate struct {
	perSecond float64
	updated   time.Time
}

// Observe counts an arrival.
func (r *Rate) Observe(now time.Time) {
	r.perSecond, r.updated = r.PerSecond(now)+1/rateTime.Seconds(), now
}

// PerSecond returns the rate, per second.
func (r *Rate) PerSecond(now time.Time) float64 {
	return r.perSecond * math.Exp(-max(now.Sub(r.updated), 0).Seconds()/rateTime.Seconds())
}
