package placement

import (
	"iter"
	"math"
	"slices"
	"time"

	"arbutusdeck/core/zonestate"
)

// ZoneState returns the slots, the memory and the queued prefill of the servers of a query that accept requests:
// those that are neither excluded, paused nor in backoff. The query is restricted as for a choice, so that the state
// covers the servers that a choice would consider. The service's name, its waiting requests and its demand are left
// to the caller, as the load table doesn't know them. The state is zero for a plain service.
func (t *LoadTable) ZoneState(now time.Time, q Query) zonestate.ServiceState {
	var state zonestate.ServiceState
	if q.Engine == nil {
		return state
	}
	servers, backlogMs := 0, 0.0
	for s := range t.accepting(now, q) {
		s.advance(now)
		servers++
		backlogMs += s.waitingMs(now)
		state.Slots += q.Engine.Slots
		state.FreeSlots += max(q.Engine.Slots-s.requests(), 0)
		free := max(int64(t.options.MemoryShare*float64(q.Engine.MemoryTokens))-s.memoryUsed(), 0)
		state.FreeMemory += free
		state.LargestFree = max(state.LargestFree, free)
	}
	if servers > 0 {
		state.BacklogMs = int(math.Round(backlogMs / float64(servers)))
	}
	return state
}

// accepting iterates over the servers of a query that accept requests.
func (t *LoadTable) accepting(now time.Time, q Query) iter.Seq[*server] {
	return func(yield func(*server) bool) {
		for _, listed := range q.Servers {
			incarnation := listed.IncarnationID()
			if slices.Contains(q.Exclude, incarnation) || now.Before(q.Paused[incarnation]) {
				continue
			}
			s := t.server(incarnation, q.Engine)
			if s.health.inBackoff(now) {
				continue
			}
			if !yield(s) {
				return
			}
		}
	}
}
