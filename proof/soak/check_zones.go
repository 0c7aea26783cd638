package soak

import (
	"slices"
	"time"
)

// checkEvacuated finds requests that reach a server of an evacuated zone after the propagation
// delay and before the end of the evacuation.
func (c *checker) checkEvacuated(a Arrival) {
	lifetime, call := c.Servers[a.Server], c.calls[a.ID]
	if lifetime == nil || call == nil || lifetime.Zone != zoneNames[1] {
		return
	}
	for _, e := range c.Evacuations {
		if a.At.Before(e.From.Add(c.MaxPropagationDelay+schedulingSlack)) || !e.To.IsZero() && a.At.After(e.To) {
			continue
		}
		if c.isStable(call.Entry, call.StartedAt, a.At) {
			c.report("an evacuated zone gets nothing new", "%s reached %s %s after its zone was evacuated", a.ID, a.Server, a.At.Sub(e.From).Round(time.Millisecond))
		}
	}
}

// coldWindow is the time span over which the requests at a cold server are counted.
const coldWindow = time.Second

// checkColdRate finds cold servers that started more than maxColdRate runs within coldWindow.
func (c *checker) checkColdRate() {
	starts := map[string][]time.Time{}
	for _, run := range c.Runs {
		if lifetime := c.Servers[run.Server]; lifetime != nil && run.StartedAt.Before(lifetime.ColdUntil) {
			starts[run.Server] = append(starts[run.Server], run.StartedAt)
		}
	}
	for server, times := range starts {
		slices.SortFunc(times, time.Time.Compare)
		for i, from := range times {
			within, _ := slices.BinarySearchFunc(times, from.Add(coldWindow), time.Time.Compare)
			if within-i > maxColdRate {
				c.report("a cold server gets what it bears", "%s started %d runs in a second while it was cold", server, within-i)
				break
			}
		}
	}
}
