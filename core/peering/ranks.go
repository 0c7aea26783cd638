package peering

import (
	"cmp"
	"time"
)

// Ranks. Who does something for its zone is the first by rank of those that are heard, without a word: those with the
// fastest links first, and of equal ones another one for each zone. All entries compute the same from whom they hear; where
// they differ, more or fewer do it for a while.

// standing is what ranks an entry.
type standing struct {
	address  string
	capacity int
	hash     uint64
}

// compare is negative if a goes before b.
func (a standing) compare(b standing) int {
	return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.hash, b.hash), cmp.Compare(a.address, b.address))
}

func (g *Group) ownStanding() standing {
	return standing{g.self, g.reading.Capacity, rank(g.self, g.zone)}
}

// standingOf returns that of a member of the own zone; its hash is made once.
func (g *Group) standingOf(m *member) standing {
	if m.placing == 0 {
		m.placing = rank(m.address, g.zone)
	}
	return standing{m.address, m.capacity, m.placing}
}

// candidates calls for each entry of the own zone that is heard and for which a condition holds.
func (g *Group) candidates(now time.Time, holds func(*member) bool, call func(standing)) {
	for _, m := range g.members {
		if m.zone == g.zone && !m.heard.IsZero() && now.Sub(m.heard) < SuspectAfter && holds(m) {
			call(g.standingOf(m))
		}
	}
}

// place returns how many of the entries of the own zone that are heard and for which a condition holds go before this one,
// and how many there are.
func (g *Group) place(now time.Time, holds func(*member) bool) (before, others int) {
	own := g.ownStanding()
	g.candidates(now, holds, func(s standing) {
		others++
		if s.compare(own) < 0 {
			before++
		}
	})
	return before, others
}

// first returns the first few of some entries by rank.
func (g *Group) first(count int, each func(call func(standing))) []string {
	best := make([]standing, 0, count+1)
	each(func(s standing) {
		at := len(best)
		for at > 0 && s.compare(best[at-1]) < 0 {
			at--
		}
		if at == count {
			return
		}
		best = append(best, standing{})
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
