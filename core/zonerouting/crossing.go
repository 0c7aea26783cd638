package zonerouting

// crossGain is by how much more of another zone's servers have room before a request goes
// there: a quarter of them. Zones are busy by turns at every burst, since all have the same
// callers; a smaller difference would send requests to and fro between zones that are full.
const crossGain = 0.25

// PrefersCrossZone says whether a request that its own zone would refuse or answer late is better
// placed in another zone. The room is the share of servers that could begin a short prompt.
func PrefersCrossZone(own, other float64) bool { return other >= own+crossGain }
