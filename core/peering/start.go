package peering

import (
	"slices"
	"time"
)

// The first reading. Where all entries start at once none is up to date, and each would read the whole list from the
// store. The first ones of each zone by rank read it, and the others take it over from these. If they don't hear of
// anybody who is up to date, ever more of them read: twice as many after each further turn, so that a store that turns
// most of them away, or readers that die, delay a zone by a few turns whatever its size.

const (
	// startReaders is how many entries of a zone read the store first, so that a start does not wait for one that dies.
	startReaders = 2
	// startWait is how long a starting entry waits to hear an entry that is up to date before any reads the store: some ten
	// ways there and back between zones, and the time that a small host takes to answer.
	startWait = 50 * time.Millisecond
	// localPeerWait is how long an entry that hears only others of other zones waits for those of its own.
	localPeerWait = 150 * time.Millisecond
	// SeedRetryInterval is how often an entry that starts asks the seeds as long as it hears nobody: they may start as well.
	SeedRetryInterval = 50 * time.Millisecond
	// settleTime is for how long no further entry of the zone has to become known until the ranks are believed: while a zone
	// starts each entry knows those only that have started before it.
	settleTime = 30 * time.Millisecond
	// settleLimit bounds the wait for that.
	settleLimit = 500 * time.Millisecond
	// readRound is the time in which entries that read the store are up to date and heard, also on small hosts.
	readRound = 250 * time.Millisecond
)

// ShouldReadAtStart says whether an entry that has started a while ago, and hears nobody who is up to date, reads the store
// itself.
func (g *Group) ShouldReadAtStart(now time.Time, since time.Duration) bool {
	if !g.readOptions.AllowsSharedReads() {
		return true
	}
	rank, others := g.rank(now, func(m *member) bool { return !m.stopping && !m.store.Lost })
	settled := now.Sub(g.lastLocalFound) - settleTime
	switch {
	case g.NoPeerHeard():
		settled = -1
	case others == 0:
		settled = now.Sub(g.firstHeard) - localPeerWait
	}
	waited := max(min(settled, since-startWait), since-settleLimit)
	return waited >= 0 && rank < startReaders<<min(waited/readRound, maxRounds)
}

// NoPeerHeard says whether this entry has heard nobody yet.
func (g *Group) NoPeerHeard() bool { return g.firstHeard.IsZero() }

// fetchersPerSource is how many entries that start together take over the list from one that has it. The first ones by rank
// take it from those that read the store, the next ones from these: a link carries a few views, whatever the size of the
// zone, and the last entry has the list after as many turns as the logarithm of that.
const fetchersPerSource = 8

// ListSource returns an entry of this zone from which this one takes over the list as it starts; empty while it waits for that
// one to have it. known is false while nobody is known to have it.
func (g *Group) ListSource(now time.Time) (address string, known bool) {
	sources := g.membersWithList(now)
	if len(sources) == 0 {
		g.listKnownSince = time.Time{}
		return "", false
	}
	if g.listKnownSince.IsZero() {
		g.listKnownSince = now
	}
	mayHave := func(m *member) bool { return !m.stopping }
	rank, _ := g.rank(now, mayHave)
	if source, level := sourceRank(rank); level > 0 {
		ranked := g.topRanked(source+1, func(call func(rankKey)) { g.eachCandidate(now, mayHave, call) })
		if slices.Contains(sources, ranked[source]) {
			return ranked[source], true
		}
		if now.Sub(g.listKnownSince) < time.Duration(level)*readRound {
			return "", true
		}
	}
	return sources[int(rendezvousHash(g.self, g.incarnation)%uint64(len(sources)))], true
}

// sourceRank returns the place of the entry from which one at a place takes over the list, and how many hand it on before;
// 0 for those that read the store.
func sourceRank(rank int) (source, level int) {
	source = (rank - startReaders) / fetchersPerSource
	for ; rank >= startReaders; level++ {
		rank = (rank - startReaders) / fetchersPerSource
	}
	return source, level
}

// maxRounds is more than any zone takes until all its entries read.
const maxRounds = 16
