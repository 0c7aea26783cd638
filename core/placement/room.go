package placement

import (
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/enginemodel"
)

// SpareCapacity is the share of servers that could begin a short prompt at once: they can be
// reached, have a slot free, and have less to read than makes next requests avoid them.
func (t *LoadTable) SpareCapacity(now time.Time, servers []directory.Server, engine *enginemodel.Engine) float64 {
	if len(servers) == 0 || engine == nil {
		return 0
	}
	count := 0
	for _, listed := range servers {
		s := t.server(listed.Start(), engine)
		s.advance(now)
		free := float64(s.requests()) < t.packing.share*float64(engine.Slots)
		if free && !s.health.inBackoff(now) && s.waitingMs(now) < busyBacklogMs {
			count++
		}
	}
	return float64(count) / float64(len(servers))
}
