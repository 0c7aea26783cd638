package peering

import "time"

// One entry of each zone reads the platform's store and tells the others what has changed. Every
// waiting call of every entry returns at each change of anything, so that the calls would grow with
// the square of the fleet. All others turn to the store themselves, one after the other by rank, when
// nothing fresh is heard.

const (
	// readersPerZone is how many entries of a zone read the store. The next in rank takes over as soon
	// as the first one is not heard or says that it can't reach the store.
	readersPerZone = 1
	// minSharedReadLimit is the shortest time in which a change has to be in force everywhere
	// that leaves room to find out that readers are gone: SilentAfter, a heartbeat, and the
	// reads. Below it every entry reads.
	minSharedReadLimit = 2500 * time.Millisecond
	// staleShare is the part of that time after which knowledge is too old to rest on.
	staleShare = 0.5
	// readStagger lies between the entries of a zone that turn to the store because nothing
	// fresh is heard: mostly the first one's success keeps the others from it.
	readStagger = 50 * time.Millisecond
	// heartbeatSlack is what the knowledge of a reader that is well may be older than its pause and its
	// waiting call last, as others see it: a heartbeat's interval and its way.
	heartbeatSlack = HeartbeatInterval + 100*time.Millisecond
	// pollDelayShare is the part of the limit of changes for which a reader waits after an answer before
	// it asks again, so that changes in quick succession come in one answer.
	pollDelayShare = 0.1
)

// StoreState is what an entry says of its reading of the platform's store.
type StoreState struct {
	// Reads says that it reads the store itself.
	Reads bool
	// Lost says that its last call failed.
	Lost bool
	// Age is how old its last answer of the store is, if it reads.
	Age time.Duration
}

// ReadOptions say how well an entry is suited to read the store, and how soon changes have
// to be in force.
type ReadOptions struct {
	// Capacity ranks entries: readers hand whole configurations to the others of their zone,
	// which takes the link of a small host for a second.
	Capacity int
	// Limit is the time in which a change has to be in force everywhere.
	Limit time.Duration
}

// AllowsSharedReads says whether the limit leaves room for entries that don't read the store.
func (o ReadOptions) AllowsSharedReads() bool { return o.Limit >= minSharedReadLimit }

// staleAfter is how old the freshest knowledge in a zone may be.
func (o ReadOptions) staleAfter() time.Duration {
	return time.Duration(staleShare * float64(o.Limit))
}

// PollDelay is how long a reader waits after an answer of the store before it asks again.
func (o ReadOptions) PollDelay() time.Duration {
	return time.Duration(pollDelayShare * float64(o.Limit))
}

// LongPollTimeout bounds how long a reader's call waits for changes: the answer shows the others that the
// reader still reaches the store.
func (o ReadOptions) LongPollTimeout(longest time.Duration) time.Duration {
	if !o.AllowsSharedReads() {
		return longest
	}
	return min(longest, o.staleAfter()-heartbeatSlack-o.PollDelay())
}

// SetReadOptions sets this entry's own options and state.
func (g *Group) SetReadOptions(options ReadOptions) { g.readOptions = options }

// ShouldRead says whether this entry has to read the store itself: it is the first of its zone
// that can, or what the zone's readers know is too old. All entries compute the
// same ranks from whom they hear; where they differ, more than needed read for a while.
func (g *Group) ShouldRead(now time.Time, self StoreState) bool {
	if !g.readOptions.AllowsSharedReads() {
		return true
	}
	rank, others := g.rank(now, canRead)
	if self.Lost {
		// Others are preferred as long as one of them has fresh knowledge.
		rank = others + 1
	}
	if rank < readersPerZone {
		return true
	}
	return g.Staleness(now) > g.readOptions.staleAfter()+time.Duration(rank-readersPerZone)*readStagger
}

// canRead says whether a member can read the store for others. One that starts does so as soon as it reads: there may be
// nothing yet with which to serve.
func canRead(m *member) bool {
	return !m.store.Lost && !m.stopping && (!m.servingSince.IsZero() || m.store.Reads)
}

// unknownStaleness is the staleness where no reader is heard.
const unknownStaleness = time.Hour

// staleness is how old a member's knowledge of the store is by now, as it told of it.
func (m *member) staleness(now time.Time) time.Duration { return m.store.Age + now.Sub(m.lastHeard) }

// Staleness is how old the freshest knowledge of the store is that another entry of this
// zone has told of.
func (g *Group) Staleness(now time.Time) time.Duration {
	freshest := unknownStaleness
	for _, m := range g.members {
		if m.zone == g.zone && m.store.Reads && !m.lastHeard.IsZero() {
			freshest = min(freshest, m.staleness(now))
		}
	}
	return freshest
}

// Fresh says whether another entry of the zone knows what the store holds.
func (g *Group) Fresh(now time.Time) bool {
	return g.readOptions.AllowsSharedReads() && g.Staleness(now) <= g.readOptions.staleAfter()
}

// membersWithList returns the entries of this zone that know what a reader of the store knows that is up to date.
func (g *Group) membersWithList(now time.Time) []string {
	if !g.readOptions.AllowsSharedReads() {
		return nil
	}
	version, revision, found := uint64(0), uint64(0), false
	for _, m := range g.members {
		if m.store.Reads && g.hasList(now, m) {
			version, revision, found = max(version, m.version), max(revision, m.revision), true
		}
	}
	if !found {
		return nil
	}
	return g.filter(func(m *member) bool { return g.hasList(now, m) && m.version >= version && m.revision >= revision })
}

// hasList says whether a neighbour can hand on a list of servers, and does not know itself that it is old.
func (g *Group) hasList(now time.Time, m *member) bool {
	if m.zone != g.zone || !m.isAlive(now) || m.stopping {
		return false
	}
	if m.store.Reads {
		return m.staleness(now) <= g.readOptions.staleAfter()
	}
	return !m.servingSince.IsZero()
}

// ResetLiveness forgets when others were heard: this process was suspended, and its clock stood
// still meanwhile. What they knew then counts as fresh no more.
func (g *Group) ResetLiveness() {
	for _, m := range g.members {
		m.lastHeard, m.indirectlyHeard = time.Time{}, time.Time{}
	}
}
