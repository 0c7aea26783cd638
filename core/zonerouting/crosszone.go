package zonerouting

// crossZoneMargin is the margin, as a share of the servers, by which another zone must have more spare
// capacity before a request is placed there. All zones have the same callers and are busy in turns at every
// burst; with a smaller margin, requests would go back and forth between zones that are full.
const crossZoneMargin = 0.25

// PrefersCrossZone reports whether a request that its own zone would refuse or answer late is better placed
// in another zone. The arguments are the spare capacities of the zones: the shares of servers that could
// begin a short prompt at once.
func PrefersCrossZone(own, other float64) bool { return other >= own+crossZoneMargin }
