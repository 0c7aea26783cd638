// Package zonerouting decides whether entries keep to the backend servers of their own
// availability zone. It is pure.
//
// The load it answers: many entries on small hosts. Where all entries choose among all
// servers, each of them has to hear of every request of all others, and all take the same
// server for the best one within the time that news take. Entries that keep to the servers of
// their zone hear only its entries, and only these choose at once.
package zonerouting

const (
	// fewEntries is the number of entries at which a zone is a part by itself from
	// mostNeeded servers on; the more entries there are, the more each of them saves, and the
	// fewer servers suffice, down to leastNeeded. Half as many again as read one prompt at
	// the most are mostNeeded, so that a very long prompt leaves some to the others. No part
	// is larger than a zone: what its entries tell each other would fill small hosts.
	fewEntries  = 40
	mostNeeded  = 24
	leastNeeded = 12
	// keptShare is the share of the needed servers that suffices to stay divided. The gap
	// keeps the entries from changing to and fro while servers crash and return.
	keptShare = 0.5
	// zonesDivided is the least number of zones that make parts.
	zonesDivided = 2
)

// LocalRouting tells whether the servers of a service are divided by zone. The zero value is
// undivided.
type LocalRouting struct{ divided bool }

// Update takes in how many servers each zone has and how many entries there are, and returns
// whether the servers are divided.
func (d *LocalRouting) Update(servers map[string]int, entries int) bool {
	need := needed(entries)
	if d.divided {
		need *= keptShare
	}
	d.divided = len(servers) >= zonesDivided
	for _, count := range servers {
		d.divided = d.divided && float64(count) >= need
	}
	return d.divided
}

// Enabled returns whether the servers were divided at the last update.
func (d LocalRouting) Enabled() bool { return d.divided }

// needed is how many servers make a zone a part by itself.
func needed(entries int) float64 {
	return min(max(mostNeeded*fewEntries/float64(max(entries, 1)), leastNeeded), mostNeeded)
}
