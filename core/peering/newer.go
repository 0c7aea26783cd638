package peering

import (
	"cmp"
	"time"
)

// NewerPeer returns a live member that knows a higher configuration version than version or,
// if servers is set, a higher revision of the servers: the newest, and of equal ones another
// one for each entry that asks. As long as this zone knows what the store holds, only its
// own members are asked: those of other zones hear of a change some moments sooner as often
// as later, and a view of 140 servers is some 35 KB.
func (g *Group) NewerPeer(now time.Time, version, revision uint64, servers bool) (string, bool) {
	var best *member
	localOnly := g.Fresh(now)
	for _, address := range g.Alive(now) {
		m := g.members[address]
		if localOnly && m.zone != g.zone || m.version <= version && (!servers || m.revision <= revision) {
			continue
		}
		if best == nil || g.comparePeers(m, best) > 0 {
			best = m
		}
	}
	if best == nil {
		return "", false
	}
	return best.address, true
}

// comparePeers compares two members to fetch a view from.
func (g *Group) comparePeers(a, b *member) int {
	near := func(m *member) int {
		if m.zone == g.zone {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(near(a), near(b)), cmp.Compare(a.version, b.version), cmp.Compare(a.revision, b.revision),
		cmp.Compare(rendezvousHash(g.self, a.address), rendezvousHash(g.self, b.address)))
}
