package peering

import (
	"maps"
	"slices"
	"time"
)

// memberListsPerHeartbeat bounds how many local members, of those whose digest differs, get the member list at
// each heartbeat.
const memberListsPerHeartbeat = 2

// HeartbeatTargets are the recipients of one round of heartbeats.
type HeartbeatTargets struct {
	// Local are the members that choose among the same servers; those in WithMembers also get the member list.
	Local, WithMembers []string
	// Remote holds one member of each other zone. They get the state of this entry's zone.
	Remote []string
}

// HeartbeatTargets returns the recipients of the heartbeats of a turn. Turns are numbered.
func (g *Group) HeartbeatTargets(now time.Time, turn int) HeartbeatTargets {
	var targets HeartbeatTargets
	digest := g.Digest(now)
	targets.Local = g.KnownLocal()
	for i := range targets.Local {
		// The order rotates with the turns.
		address := targets.Local[(i+turn*memberListsPerHeartbeat)%len(targets.Local)]
		if len(targets.WithMembers) < memberListsPerHeartbeat && g.members[address].digest != digest {
			targets.WithMembers = append(targets.WithMembers, address)
		}
	}
	if g.isDelegate(now) {
		targets.Remote = g.remoteTargets(now, turn)
	}
	return targets
}

// LocalMembers returns the live local entries, this one included, by zone: the content of a member list.
func (g *Group) LocalMembers(now time.Time) []ZoneMembers {
	zones := map[string][]string{g.zone: {g.self}}
	for _, address := range g.Local(now) {
		if m := g.members[address]; m.zone != "" {
			zones[m.zone] = append(zones[m.zone], address)
		}
	}
	return sortedByZone(zones)
}

// Digest returns a hash, never 0, of the entries in LocalMembers. Heartbeats carry it, and entries with equal
// digests exchange no lists: once all know all, the cost does not grow with the fleet.
func (g *Group) Digest(now time.Time) uint32 {
	sum64 := rendezvousHash(g.self, "")
	for _, m := range g.members {
		if g.isLocal(m) && m.zone != "" && m.isAlive(now) {
			sum64 += m.hash()
		}
	}
	return max(uint32(sum64^sum64>>32), 1)
}

// hash returns the hash of the member's address.
func (m *member) hash() uint64 {
	if m.addressHash == 0 {
		m.addressHash = rendezvousHash(m.address, "")
	}
	return m.addressHash
}

// sortedByZone converts a map of addresses by zone to a list in the order of the zones.
func sortedByZone(zones map[string][]string) []ZoneMembers {
	members := make([]ZoneMembers, 0, len(zones))
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		members = append(members, ZoneMembers{Zone: zone, Addresses: zones[zone]})
	}
	return members
}

// maxAddressesPerMessage keeps a message within one packet of a usual link (1,500 bytes); an address takes some
// 16 bytes.
const maxAddressesPerMessage = 60

// SplitMembers splits a member list into parts that each fit a message.
func SplitMembers(members []ZoneMembers) [][]ZoneMembers {
	var parts [][]ZoneMembers
	free := 0
	for _, zone := range members {
		for rest := zone.Addresses; len(rest) > 0; {
			if free == 0 {
				parts, free = append(parts, nil), maxAddressesPerMessage
			}
			count := min(free, len(rest))
			last := len(parts) - 1
			parts[last] = append(parts[last], ZoneMembers{Zone: zone.Zone, Addresses: rest[:count]})
			rest, free = rest[count:], free-count
		}
	}
	return parts
}
