package peering

import (
	"slices"
	"time"
)

// Reads of the store at a simultaneous start. Where all entries start at once none is up to date, and each would
// read the whole list from the store. Instead the first of each zone by rank read it, and the others fetch it
// from these. While they hear nobody who is up to date the number of readers doubles with each further round, so
// that a store that refuses most of them, or readers that terminate, delay a zone by a few rounds whatever its
// size.

const (
	// startReaders is the number of entries of a zone that read the store first; with two, a start does not wait
	// for one that terminates.
	startReaders = 2
	// startWait is the time for which a starting entry listens for one that is up to date before it reads the
	// store: some ten round trips between zones, and the response time of a small host.
	startWait = 50 * time.Millisecond
	// localPeerWait is the time for which an entry that hears only other zones waits for entries of its own.
	localPeerWait = 150 * time.Millisecond
	// SeedRetryInterval is the interval between two requests of a starting entry to the seeds while it hears
	// nobody: they may be starting as well.
	SeedRetryInterval = 50 * time.Millisecond
	// settleTime is the time without a new member of the zone after which ranks are relied on: while a zone
	// starts, each entry knows only those that started before it.
	settleTime = 30 * time.Millisecond
	// settleLimit bounds the wait for settleTime.
	settleLimit = 500 * time.Millisecond
	// readRound is the time in which entries that read the store become up to date and are heard, also on small
	// hosts.
	readRound = 250 * time.Millisecond
)

// ShouldReadAtStart reports whether this entry, which hears nobody who is up to date, reads the store itself;
// since is the time since its start.
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

// NoPeerHeard reports whether this entry has heard no other one yet.
func (g *Group) NoPeerHeard() bool { return g.firstHeard.IsZero() }

// fetchersPerSource bounds the starting entries that fetch the list from one entry. The first by rank fetch it
// from the store readers, the next from these, as in a tree: a link carries a few views, and the number of rounds
// grows with the logarithm of the zone's size.
const fetchersPerSource = 8

// ListSource returns the entry of this zone from which this one fetches the list as it starts; empty while it
// waits for that entry to have it. known is false while nobody is known to have the list.
func (g *Group) ListSource(now time.Time) (address string, known bool) {
	sources := g.membersWithList(now)
	if len(sources) == 0 {
		g.listKnownSince = time.Time{}
		return "", false
	}
	if g.listKnownSince.IsZero() {
		g.listKnownSince = now
	}
	canProvide := func(m *member) bool { return !m.stopping }
	rank, _ := g.rank(now, canProvide)
	if source, level := sourceRank(rank); level > 0 {
		ranked := g.topRanked(source+1, func(call func(rankKey)) { g.eachCandidate(now, canProvide, call) })
		if slices.Contains(sources, ranked[source]) {
			return ranked[source], true
		}
		if now.Sub(g.listKnownSince) < time.Duration(level)*readRound {
			return "", true
		}
	}
	return sources[int(rendezvousHash(g.self, g.incarnation)%uint64(len(sources)))], true
}

// sourceRank returns the rank of the entry from which the one at a given rank fetches the list, and the number of
// tree levels above that one; the store readers are level 0.
func sourceRank(rank int) (source, level int) {
	source = (rank - startReaders) / fetchersPerSource
	for ; rank >= startReaders; level++ {
		rank = (rank - startReaders) / fetchersPerSource
	}
	return source, level
}

// maxRounds bounds the doublings; no zone needs as many until all its entries read.
const maxRounds = 16
