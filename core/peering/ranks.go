package peering

import (
	"cmp"
	"time"
)

// Ranks. Who does something for its zone is the first by rank of those that are heard, without a word: those with the
// fastest links first, and of equal ones another one for each zone. All entries compute the same from whom they hear; where
// they differ, more or fewer do it for a while.

// rankKey is what ranks an entry.
type rankKey struct {
	address  string
	capacity int
	hash     uint64
}

// compare is negative if a goes before b.
func (a rankKey) compare(b rankKey) int {
	return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.hash, b.hash), cmp.Compare(a.address, b.address))
}

func (g *Group) ownRankKey() rankKey {
	return rankKey{g.self, g.readOptions.Capacity, rendezvousHash(g.self, g.zone)}
}

// rankKeyOf returns that of a member of the own zone; its hash is made once.
func (g *Group) rankKeyOf(m *member) rankKey {
	if m.rankHash == 0 {
		m.rankHash = rendezvousHash(m.address, g.zone)
	}
	return rankKey{m.address, m.capacity, m.rankHash}
}

// eachCandidate calls for each entry of the own zone that is heard and for which a condition holds.
func (g *Group) eachCandidate(now time.Time, holds func(*member) bool, call func(rankKey)) {
	for _, m := range g.members {
		if m.zone == g.zone && !m.lastHeard.IsZero() && now.Sub(m.lastHeard) < SuspectAfter && holds(m) {
			call(g.rankKeyOf(m))
		}
	}
}

// rank returns how many of the entries of the own zone that are heard and for which a condition holds go before this one,
// and how many there are.
func (g *Group) rank(now time.Time, holds func(*member) bool) (before, others int) {
	own := g.ownRankKey()
	g.eachCandidate(now, holds, func(s rankKey) {
		others++
		if s.compare(own) < 0 {
			before++
		}
	})
	return before, others
}

// topRanked returns the topRanked few of some entries by rank.
func (g *Group) topRanked(count int, each func(call func(rankKey))) []string {
	best := make([]rankKey, 0, count+1)
	each(func(s rankKey) {
		at := len(best)
		for at > 0 && s.compare(best[at-1]) < 0 {
			at--
		}
		if at == count {
			return
		}
		best = append(best, rankKey{})
		copy(best[at+1:], best[at:])
		best[at] = s
		best = best[:min(len(best), count)]
	})
	addresses := make([]string, 0, len(best))
	for _, s := range best {
		addresses = append(addresses, s.address)
	}
	return addresses
}
