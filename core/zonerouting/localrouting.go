// Package zonerouting decides whether entries route only to the backend servers of their own availability
// zone, and when a request is placed in another one. It does no I/O.
//
// Zone-local routing serves fleets of many entries on small hosts. If all entries choose among all servers,
// each has to hear of every request of all others, and until the load updates arrive, all take the same
// server for the best one. With zone-local routing, entries hear only from the entries of their zone, and
// only these compete for its servers.
package zonerouting

const (
	// fewEntries is the number of entries up to which zone-local routing needs mostNeeded servers in each
	// zone. With more entries each of them saves more, and fewer servers suffice, down to leastNeeded.
	// mostNeeded is one and a half times the maximum number of servers for one prompt, so that a very long
	// prompt leaves some to the others. The set of servers that an entry uses is never larger than a zone:
	// the load updates among more entries would exceed the capacity of small hosts.
	fewEntries  = 40
	mostNeeded  = 24
	leastNeeded = 12
	// staysEnabledShare is the share of the needed servers that suffices to stay zone-local. This hysteresis
	// keeps the entries from switching back and forth while servers crash and return.
	staysEnabledShare = 0.5
	// minZones is the minimum number of zones for zone-local routing.
	minZones = 2
)

// LocalRouting tracks whether entries route only to the servers of their own zone for a service. The zero
// value is disabled.
type LocalRouting struct{ enabled bool }

// Update applies the number of servers in each zone and the number of entries, and returns whether routing is
// zone-local.
func (r *LocalRouting) Update(servers map[string]int, entries int) bool {
	need := needed(entries)
	if r.enabled {
		need *= staysEnabledShare
	}
	r.enabled = len(servers) >= minZones
	for _, count := range servers {
		r.enabled = r.enabled && float64(count) >= need
	}
	return r.enabled
}

// Enabled returns whether routing was zone-local at the last update.
func (r LocalRouting) Enabled() bool { return r.enabled }

// needed returns the number of servers that every zone needs for zone-local routing.
func needed(entries int) float64 {
	return min(max(mostNeeded*fewEntries/float64(max(entries, 1)), leastNeeded), mostNeeded)
}
