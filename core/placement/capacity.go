package placement

import (
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/enginemodel"
)

// SpareCapacity returns the share of servers that could begin a short prompt at once: they are not in
// backoff, have a free slot, and have less backlog than makes the next requests avoid them.
func (t *LoadTable) SpareCapacity(now time.Time, servers []directory.Server, engine *enginemodel.Engine) float64 {
	if len(servers) == 0 || engine == nil {
		return 0
	}
	count := 0
	for _, listed := range servers {
		s := t.server(listed.IncarnationID(), engine)
		s.advance(now)
		free := float64(s.requests()) < t.packing.share*float64(engine.Slots)
		if free && !s.health.inBackoff(now) && s.waitingMs(now) < busyBacklogMs {
			count++
		}
	}
	return float64(count) / float64(len(servers))
}
