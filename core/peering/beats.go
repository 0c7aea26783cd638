package peering

import (
	"slices"
	"time"
)

// listsPerHeartbeat is how many near entries a heartbeat tells of all others. One that is
// heard for the first time is told at once, so that a start needs no turn; the turns mend
// what was lost. With 28 entries two lists in place of 27 save 24 KB a second and entry.
const listsPerHeartbeat = 2

// Heartbeat is who is told that this entry lives.
type Heartbeat struct {
	// Lists are told of all running entries as well, Rest are not.
	Lists, Rest []string
	// Far are entries of other zones, one of each zone by turns. They are told of this
	// entry's zone. Heartbeats to all of them would grow with the square of the entries:
	// 68 entries in five zones sent each other 0.9 MB a second across zones.
	Far []string
}

// Heartbeat picks who hears the heartbeat of a turn; turns are counted.
func (g *Group) Heartbeat(now time.Time, turn int) Heartbeat {
	var beat Heartbeat
	near := g.pick(func(m *member) bool { return g.isNear(m) })
	for i, address := range near {
		if (i+turn*listsPerHeartbeat)%max(len(near), 1) < listsPerHeartbeat {
			beat.Lists = append(beat.Lists, address)
		} else {
			beat.Rest = append(beat.Rest, address)
		}
	}
	for _, zone := range g.FarZones() {
		beat.Far = append(beat.Far, g.oneOf(now, zone, turn))
	}
	return beat
}

// maxMembers bounds the addresses of a message so that it stays within one packet of a usual
// link (1,500 bytes); an address takes some 16 bytes.
const maxMembers = 60

// InParts divides a list of entries into parts that fit a message.
func InParts(members []ZoneMembers) [][]ZoneMembers {
	var parts [][]ZoneMembers
	room := 0
	for _, zone := range members {
		for rest := zone.Addresses; len(rest) > 0; {
			if room == 0 {
				parts, room = append(parts, nil), maxMembers
			}
			count := min(room, len(rest))
			last := len(parts) - 1
			parts[last] = append(parts[last], ZoneMembers{Zone: zone.Zone, Addresses: rest[:count]})
			rest, room = rest[count:], room-count
		}
	}
	return parts
}

// FarZones returns the zones of the members that are not near, in a fixed order.
func (g *Group) FarZones() []string {
	var zones []string
	for _, m := range g.members {
		if !g.isNear(m) && !slices.Contains(zones, m.zone) {
			zones = append(zones, m.zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// oneOf picks a member of another zone by turns, one that runs if any does. Entries begin
// at different members, so that each member hears of every other zone at each turn.
func (g *Group) oneOf(now time.Time, zone string, turn int) string {
	members := g.In(now, zone)
	if len(members) == 0 {
		members = g.pick(func(m *member) bool { return m.zone == zone })
	}
	return members[(turn+int(rank(g.self, zone)%uint64(len(members))))%len(members)]
}

// neighboursTold bounds the neighbours that a heartbeat to another zone tells of. They are
// told by turns: whole lists of a zone of 100 entries were most of the bytes between zones.
const neighboursTold = 16

// Neighbours returns the running entries of this one's zone, this one included, as they
// are told to other zones at a turn.
func (g *Group) Neighbours(now time.Time, turn int) []ZoneMembers {
	heard := g.pick(func(m *member) bool { return m.zone == g.zone && m.isHeard(now) })
	addresses := []string{g.self}
	for i := range min(len(heard), neighboursTold-1) {
		addresses = append(addresses, heard[(turn*(neighboursTold-1)+i)%len(heard)])
	}
	return []ZoneMembers{{Zone: g.zone, Addresses: addresses}}
}
