package peering

import "time"

// roomFresh is how long what an entry of another zone has told of the room there holds. The
// entries of a zone tell it by turns, so that several are heard within it.
const roomFresh = 1500 * time.Millisecond

// Roomiest returns an entry of the other zone whose servers have the most room, and the
// room as a share; false if nothing fresh is heard.
func (g *Group) Roomiest(now time.Time) (address string, room float64, ok bool) {
	newest := map[string]*member{}
	for _, name := range g.Addresses() {
		m := g.members[name]
		if g.isNear(m) || m.room == 0 || m.stopping || m.heard.IsZero() || now.Sub(m.heard) > roomFresh {
			continue
		}
		if known := newest[m.zone]; known == nil || m.heard.After(known.heard) {
			newest[m.zone] = m
		}
	}
	var best *member
	for _, zone := range g.FarZones() {
		if m := newest[zone]; m != nil && (best == nil || m.room > best.room) {
			best = m
		}
	}
	if best == nil {
		return "", 0, false
	}
	return best.address, float64(best.room-1) / 100, true
}
