package peering

import (
	"maps"
	"slices"
	"time"
)

// memberListsPerHeartbeat is how many near entries a heartbeat tells of all others, of those that hear others than this one does.
const memberListsPerHeartbeat = 2

// HeartbeatTargets is who is told that this entry lives.
type HeartbeatTargets struct {
	// Local are the entries that this one tells of requests, WithMembers those of them that are told of all others as well.
	Local, WithMembers []string
	// Remote are entries of other zones, one of each. They are told of this entry's zone.
	Remote []string
}

// HeartbeatTargets picks who hears the heartbeat of a turn; turns are counted.
func (g *Group) HeartbeatTargets(now time.Time, turn int) HeartbeatTargets {
	var targets HeartbeatTargets
	digest := g.Digest(now)
	targets.Local = g.KnownLocal()
	for i := range targets.Local {
		// Another one begins at each turn.
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

// LocalMembers returns the entries that a near one is told of by turns: those that this one tells of each request, itself among
// them.
func (g *Group) LocalMembers(now time.Time) []ZoneMembers {
	zones := map[string][]string{g.zone: {g.self}}
	for _, address := range g.Local(now) {
		if m := g.members[address]; m.zone != "" {
			zones[m.zone] = append(zones[m.zone], address)
		}
	}
	return sortedByZone(zones)
}

// Digest stands for the entries that Listed returns; it is not 0. Heartbeats tell it, and entries whose sums are the same
// tell each other no lists: what they cost does not grow with the fleet once all know all.
func (g *Group) Digest(now time.Time) uint32 {
	sum64 := rendezvousHash(g.self, "")
	for _, m := range g.members {
		if g.isLocal(m) && m.zone != "" && m.isAlive(now) {
			sum64 += m.hash()
		}
	}
	return max(uint32(sum64^sum64>>32), 1)
}

// hash is that of the address; it is made once.
func (m *member) hash() uint64 {
	if m.addressHash == 0 {
		m.addressHash = rendezvousHash(m.address, "")
	}
	return m.addressHash
}

func sortedByZone(zones map[string][]string) []ZoneMembers {
	members := make([]ZoneMembers, 0, len(zones))
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		members = append(members, ZoneMembers{Zone: zone, Addresses: zones[zone]})
	}
	return members
}

// maxAddressesPerMessage bounds the addresses of a message so that it stays within one packet of a usual
// link (1,500 bytes); an address takes some 16 bytes.
const maxAddressesPerMessage = 60

// SplitMembers divides a list of entries into parts that fit a message.
func SplitMembers(members []ZoneMembers) [][]ZoneMembers {
	var parts [][]ZoneMembers
	room := 0
	for _, zone := range members {
		for rest := zone.Addresses; len(rest) > 0; {
			if room == 0 {
				parts, room = append(parts, nil), maxAddressesPerMessage
			}
			count := min(room, len(rest))
			last := len(parts) - 1
			parts[last] = append(parts[last], ZoneMembers{Zone: zone.Zone, Addresses: rest[:count]})
			rest, room = rest[count:], room-count
		}
	}
	return parts
}
