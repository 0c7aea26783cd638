package peering

import (
	"slices"
	"time"
)

// Reads of the store at a simultaneous start. Where all entries start at once none is up to date, and each would
// read the whole list from the store. Instead the first ones of each zone read it, and the others fetch it from
// these. Entries that start at the same time are ordered by rank. An entry that begins to read announces it, so
// that those that start later don't read as well. While nobody is up to date the number of readers doubles with
// each further round, so that a store that refuses most of them, or readers that terminate, delay a zone by a few
// rounds whatever its size.

const (
	// startReaders is the number of entries of a zone that read the store first; with two, a start does not wait
	// for one that terminates.
	startReaders = 2
	// startWait is the time for which a starting entry listens for one that is up to date or reads before it
	// reads the store: some ten round trips between zones, and the response time of a small host.
	startWait = 50 * time.Millisecond
	// startGrouping is the difference of start times up to which a later entry that ranks first is left the read: a
	// list that is read and provided over a fast link reaches the zone sooner.
	startGrouping = 40 * time.Millisecond
	// firstReadLimit is the time from its start after which an entry no longer leaves the read to entries that
	// started later, or waits for entries of its own zone while it hears only others. With the poll interval of the
	// daemon the first entry of a zone reads within 100 ms. Without a limit each new member of a zone that starts
	// gradually could delay the first read again.
	firstReadLimit = 90 * time.Millisecond
	// startTolerance is the error of start times as others know them, by the delay of messages. Without it all entries
	// that start at the same moment take themselves for the first.
	startTolerance = 10 * time.Millisecond
	// SeedRetryInterval is the interval between two requests of a starting entry to the seeds while it hears
	// nobody: they may be starting as well.
	SeedRetryInterval = 50 * time.Millisecond
	// isolationLimit bounds the wait of an entry that hears nobody. Entries that start before all seeds don't
	// learn of each other's reads; with a wait below the usual spread of a start most of them would read.
	isolationLimit = 500 * time.Millisecond
	// takeOverDelay is the time after its start in which an entry does not take over reading the store: all entries of
	// a zone start within it after a loss of power. A reader goes on for as long again, until all of them may have
	// taken over.
	takeOverDelay = time.Second
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
	reading, firstReadAt := g.readingAtStart(now)
	latestStart := now.Add(startGrouping - since)
	if since >= firstReadLimit {
		latestStart = now.Add(startTolerance - since)
	}
	rank, _ := g.rank(now, func(m *member) bool {
		return m.canReadAtStart() && m.firstReadAt.IsZero() && (reading > 0 || !m.startedAt.After(latestStart))
	})
	_, others := g.rank(now, (*member).canReadAtStart)
	waited := since - startWait
	switch {
	case g.NoPeerHeard():
		waited = since - g.isolationWait()
	case others == 0:
		waited = since - firstReadLimit
	}
	if waited < 0 {
		return false
	}
	if reading > 0 {
		waited = max(waited, now.Sub(firstReadAt))
	}
	return rank+reading < startReaders<<min(waited/readRound, maxRounds)
}

// readsWhileStarting decides for an entry that has the list of servers, and started a short time ago, whether it reads
// the store: the first by rank of those that read already keeps reading. While a zone starts gradually each entry that
// ranks before all earlier ones would take over the reading, and go on while there is no configuration to serve with.
// decided is false where the usual rule applies.
func (g *Group) readsWhileStarting(now time.Time, self StoreState) (reads, decided bool) {
	duration := takeOverDelay
	if self.Reads {
		duration *= 2
	}
	if self.Lost || g.NoPeerHeard() || g.serving && now.Sub(g.startedAt) >= duration {
		return false, false
	}
	rank, others := g.rank(now, func(m *member) bool {
		return m.store.Reads && canRead(m) && m.staleness(now) <= g.readOptions.staleAfter()
	})
	if self.Reads {
		return rank < readersPerZone, true
	}
	return false, others > 0
}

// canReadAtStart reports whether a member counts as a possible reader of the store while the zone starts.
func (m *member) canReadAtStart() bool { return !m.stopping && !m.store.Lost }

// readingAtStart returns the number of members of this zone that are in their first read of the store, and the
// time at which the first of these reads began.
func (g *Group) readingAtStart(now time.Time) (count int, first time.Time) {
	g.eachCandidate(now, func(m *member) bool {
		if !m.canReadAtStart() || m.firstReadAt.IsZero() {
			return false
		}
		if first.IsZero() || m.firstReadAt.Before(first) {
			first = m.firstReadAt
		}
		return true
	}, func(rankKey) { count++ })
	return count, first
}

// isolationWait returns the time for which this entry waits for others while it hears nobody. The other entries ask
// a seed, so that few entries read in vain if the seeds don't wait.
func (g *Group) isolationWait() time.Duration {
	if slices.Contains(g.seeds, g.self) {
		return startWait
	}
	return isolationLimit
}

// NoPeerHeard reports whether this entry has heard no other one yet.
func (g *Group) NoPeerHeard() bool { return g.firstHeard.IsZero() }

const (
	// fetchersPerSource bounds the starting entries that fetch the list from one entry at a time. The first by
	// rank fetch it from the store readers, the next from these as well: a link carries a few views, and the number
	// of rounds grows with the logarithm of the zone's size.
	fetchersPerSource = 8
	// slowLinkShare is the share of the fastest link of the zone below which an entry provides the list to one
	// entry at a time: eight views of 150 kB take half a second at 20 Mbit/s.
	slowLinkShare = 0.5
	// fetchRound is the time without a further entry that has the list after which twice as many fetch it: those
	// that were first by rank may have terminated. A view of 150 kB takes 60 ms over a link of 20 Mbit/s.
	fetchRound = 100 * time.Millisecond
)

// ListSource returns the entry of this zone from which this one fetches the list as it starts; empty while others
// that rank before it fetch it. known is false while nobody is known to have the list.
func (g *Group) ListSource(now time.Time) (address string, known bool) {
	sources := g.membersWithList(now)
	if len(sources) == 0 {
		g.listSources = 0
		return "", false
	}
	if len(sources) > g.listSources {
		g.lastListSourceAt = now
	}
	g.listSources = len(sources)
	rank, _ := g.rank(now, func(m *member) bool {
		_, hasList := slices.BinarySearch(sources, m.address)
		return !m.stopping && !hasList
	})
	rounds := min(now.Sub(g.lastListSourceAt)/fetchRound, maxRounds)
	return g.sourceAt(sources, rank>>rounds), true
}

// sourceAt assigns the entries that lack the list to its sources, by their rank: one to each source, then further
// ones to the sources with fast links. It returns an empty address if no source is free.
func (g *Group) sourceAt(sources []string, rank int) string {
	fastest := g.readOptions.Capacity
	for _, m := range g.members {
		if m.zone == g.zone {
			fastest = max(fastest, m.capacity)
		}
	}
	for range fetchersPerSource {
		if rank < len(sources) {
			return sources[rank]
		}
		rank -= len(sources)
		sources = slices.DeleteFunc(slices.Clone(sources), func(address string) bool {
			return float64(g.members[address].capacity) < slowLinkShare*float64(fastest)
		})
	}
	return ""
}

// maxRounds bounds the doublings; no zone needs as many until all its entries read.
const maxRounds = 16
