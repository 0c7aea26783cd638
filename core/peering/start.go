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
	// aloneWait is how long an entry that hears only others of other zones waits for those of its own.
	aloneWait = 150 * time.Millisecond
	// SeedRetryInterval is how often an entry that starts asks the seeds as long as it hears nobody: they may start as well.
	SeedRetryInterval = 50 * time.Millisecond
	// quietTime is for how long no further entry of the zone has to become known until the ranks are believed: while a zone
	// starts each entry knows those only that have started before it.
	quietTime = 30 * time.Millisecond
	// quietLimit bounds the wait for that.
	quietLimit = 500 * time.Millisecond
	// readTurn is the time in which entries that read the store are up to date and heard, also on small hosts.
	readTurn = 250 * time.Millisecond
)

// ShouldReadAtStart says whether an entry that has started a while ago, and hears nobody who is up to date, reads the store
// itself.
func (g *Group) ShouldReadAtStart(now time.Time, since time.Duration) bool {
	if !g.reading.AllowsSharedReads() {
		return true
	}
	place, others := g.place(now, func(m *member) bool { return !m.stopping && !m.store.Lost })
	quiet := now.Sub(g.foundAt) - quietTime
	switch {
	case g.NoPeerHeard():
		quiet = -1
	case others == 0:
		quiet = now.Sub(g.heardFirst) - aloneWait
	}
	waited := max(min(quiet, since-startWait), since-quietLimit)
	return waited >= 0 && place < startReaders<<min(waited/readTurn, maxTurns)
}

// NoPeerHeard says whether this entry has heard nobody yet.
func (g *Group) NoPeerHeard() bool { return g.heardFirst.IsZero() }

// takersPerSource is how many entries that start together take over the list from one that has it. The first ones by rank
// take it from those that read the store, the next ones from these: a link carries a few views, whatever the size of the
// zone, and the last entry has the list after as many turns as the logarithm of that.
const takersPerSource = 8

// ListSource returns an entry of this zone from which this one takes over the list as it starts; empty while it waits for that
// one to have it. known is false while nobody is known to have it.
func (g *Group) ListSource(now time.Time) (address string, known bool) {
	sources := g.withList(now)
	if len(sources) == 0 {
		g.listKnown = time.Time{}
		return "", false
	}
	if g.listKnown.IsZero() {
		g.listKnown = now
	}
	mayHave := func(m *member) bool { return !m.stopping }
	place, _ := g.place(now, mayHave)
	if source, level := sourcePlace(place); level > 0 {
		ranked := g.first(source+1, func(call func(standing)) { g.candidates(now, mayHave, call) })
		if slices.Contains(sources, ranked[source]) {
			return ranked[source], true
		}
		if now.Sub(g.listKnown) < time.Duration(level)*readTurn {
			return "", true
		}
	}
	return sources[int(rank(g.self, g.incarnation)%uint64(len(sources)))], true
}

// sourcePlace returns the place of the entry from which one at a place takes over the list, and how many hand it on before;
// 0 for those that read the store.
func sourcePlace(place int) (source, level int) {
	source = (place - startReaders) / takersPerSource
	for ; place >= startReaders; level++ {
		place = (place - startReaders) / takersPerSource
	}
	return source, level
}

// maxTurns is more than any zone takes until all its entries read.
const maxTurns = 16
