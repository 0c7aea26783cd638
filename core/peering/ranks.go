package peering

import (
	"cmp"
	"time"
)

// Duties of a zone fall to its live entries of the lowest ranks, without messages: the fastest links first, and
// among equals a different order in each zone. All entries compute the same ranks from the members that they
// hear; while their views differ, more or fewer entries than wanted act.

// rankKey orders entries by rank.
type rankKey struct {
	address  string
	capacity int
	hash     uint64
}

// compare is negative if a ranks before b.
func (a rankKey) compare(b rankKey) int {
	return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.hash, b.hash), cmp.Compare(a.address, b.address))
}

func (g *Group) ownRankKey() rankKey {
	return rankKey{g.self, g.readOptions.Capacity, rendezvousHash(g.self, g.zone)}
}

// rankKeyOf returns the rank key of a member of the own zone.
func (g *Group) rankKeyOf(m *member) rankKey {
	if m.rankHash == 0 {
		m.rankHash = rendezvousHash(m.address, g.zone)
	}
	return rankKey{m.address, m.capacity, m.rankHash}
}

// eachCandidate calls a function for each member of the own zone that is not suspect and satisfies a condition.
func (g *Group) eachCandidate(now time.Time, holds func(*member) bool, call func(rankKey)) {
	for _, m := range g.members {
		if m.zone == g.zone && !m.lastHeard.IsZero() && now.Sub(m.lastHeard) < SuspectAfter && holds(m) {
			call(g.rankKeyOf(m))
		}
	}
}

// rank returns how many of the members that eachCandidate visits rank before this entry, and their number.
func (g *Group) rank(now time.Time, holds func(*member) bool) (before, others int) {
	own := g.ownRankKey()
	g.eachCandidate(now, holds, func(key rankKey) {
		others++
		if key.compare(own) < 0 {
			before++
		}
	})
	return before, others
}

// topRanked returns the addresses of the first count entries by rank, of those that each visits.
func (g *Group) topRanked(count int, each func(call func(rankKey))) []string {
	best := make([]rankKey, 0, count+1)
	each(func(key rankKey) {
		at := len(best)
		for at > 0 && key.compare(best[at-1]) < 0 {
			at--
		}
		if at == count {
			return
		}
		best = append(best, rankKey{})
		copy(best[at+1:], best[at:])
		best[at] = key
		best = best[:min(len(best), count)]
	})
	addresses := make([]string, 0, len(best))
	for _, s := range best {
		addresses = append(addresses, s.address)
	}
	return addresses
}
