package peering

import "time"

// One entry of each zone reads the platform's store and sends the changes to the others. Any change ends every
// pending long poll of every entry, so that the calls would grow with the square of the fleet if all read. When no
// reader reports fresh state the other entries read the store themselves, one after the other by rank.

const (
	// readersPerZone is the number of store readers of a zone. The next by rank takes over as soon as the first
	// is suspect or reports that it can't reach the store.
	readersPerZone = 1
	// minSharedReadLimit is the shortest limit on changes that leaves time to detect the loss of readers:
	// SuspectAfter, a heartbeat, and the reads. Below it every entry reads.
	minSharedReadLimit = 2500 * time.Millisecond
	// staleShare is the part of that limit after which the state of the store counts as stale.
	staleShare = 0.5
	// undeliveredShare is the part of that limit after which an entry reads a version from the store that others
	// have and don't deliver.
	undeliveredShare = 0.25
	// readStagger is the delay between entries of consecutive ranks that read the store for lack of fresh state:
	// the success of the first one mostly spares the others the read.
	readStagger = 50 * time.Millisecond
	// heartbeatSlack is by how much the age of a healthy reader's state, as other entries see it, may exceed the
	// reader's poll delay plus its long poll: one heartbeat interval and the transmission.
	heartbeatSlack = HeartbeatInterval + 100*time.Millisecond
	// WatchMargin is the time beyond its wait after which a watch of the store is given up: the store responds in
	// milliseconds, and in up to some 400 ms while it is slow.
	WatchMargin = 600 * time.Millisecond
	// minLongPoll bounds the calls to the store where the limit on changes is very short.
	minLongPoll = 200 * time.Millisecond
	// pollDelayShare is the part of the limit on changes that a reader waits between two calls, so that changes
	// in quick succession come in one answer.
	pollDelayShare = 0.1
)

// StoreState describes an entry's access to the platform's store.
type StoreState struct {
	// Reads is set if the entry reads the store itself.
	Reads bool
	// Lost is set if its last call failed.
	Lost bool
	// Age is the age of the last answer of the store, if the entry reads it.
	Age time.Duration
}

// ReadOptions configure an entry as a store reader.
type ReadOptions struct {
	// Capacity ranks entries: readers send whole configurations to the others of their zone, which occupies the
	// link of a small host for a second.
	Capacity int
	// Limit is the time within which a change has to be applied everywhere.
	Limit time.Duration
}

// AllowsSharedReads reports whether the limit allows for entries that don't read the store.
func (o ReadOptions) AllowsSharedReads() bool { return o.Limit >= minSharedReadLimit }

// staleAfter returns the staleness up to which the freshest state in a zone suffices.
func (o ReadOptions) staleAfter() time.Duration {
	return time.Duration(staleShare * float64(o.Limit))
}

// PollDelay returns the time that a reader waits between an answer of the store and its next call.
func (o ReadOptions) PollDelay() time.Duration {
	return time.Duration(pollDelayShare * float64(o.Limit))
}

// LongPollTimeout returns how long a reader's call may wait for changes, longest at most: the answers show the
// others that the reader still reaches the store. An entry that reads for itself has to notice within the limit
// that its watch was dropped without notice.
func (o ReadOptions) LongPollTimeout(longest time.Duration) time.Duration {
	if !o.AllowsSharedReads() {
		return max(min(longest, o.Limit-WatchMargin-o.PollDelay()), minLongPoll)
	}
	return min(longest, o.staleAfter()-heartbeatSlack-o.PollDelay())
}

// Confirms reports whether a configuration that was the store's some time ago may be relied on to refuse a request
// for good: until the limit has passed a later version need not be in force.
func (o ReadOptions) Confirms(age time.Duration) bool { return age <= o.Limit }

// SetReadOptions sets this entry's own options.
func (g *Group) SetReadOptions(options ReadOptions) { g.readOptions = options }

// RecordVersion records this entry's configuration version.
func (g *Group) RecordVersion(now time.Time, version uint64) {
	switch {
	case g.LatestVersion(now) <= version:
		g.behindSince = time.Time{}
	case g.behindSince.IsZero() || version != g.ownVersion:
		g.behindSince = now
	}
	g.ownVersion = version
}

// ShouldRead reports whether this entry has to read the store: it ranks first in its zone among those that can,
// the state known in the zone is stale, or no peer delivers a version that others have. While the entries' views
// differ, more than needed read.
func (g *Group) ShouldRead(now time.Time, self StoreState) bool {
	if !g.readOptions.AllowsSharedReads() {
		return true
	}
	rank, others := g.rank(now, canRead)
	if self.Lost {
		// Others are preferred while one of them has fresh state.
		rank = others + 1
	}
	if rank < readersPerZone {
		return true
	}
	stagger := time.Duration(rank-readersPerZone) * readStagger
	return g.Staleness(now) > g.readOptions.staleAfter()+stagger || g.isUndelivered(now, self, stagger)
}

// isUndelivered reports whether this entry has waited for a version of others long enough, and has not read the
// store meanwhile: one that was restored from a backup may not have that version.
func (g *Group) isUndelivered(now time.Time, self StoreState, stagger time.Duration) bool {
	if g.behindSince.IsZero() {
		return false
	}
	behind := now.Sub(g.behindSince)
	return behind > time.Duration(undeliveredShare*float64(g.readOptions.Limit))+stagger && self.Age > behind
}

// canRead reports whether a member can read the store for others. A starting member can once it reads: there may
// be no configuration yet with which to serve.
func canRead(m *member) bool {
	return !m.store.Lost && !m.stopping && (!m.servingSince.IsZero() || m.store.Reads)
}

// unknownStaleness is the staleness while no message of a reader has been received.
const unknownStaleness = time.Hour

// staleness returns the present age of a member's state of the store.
func (m *member) staleness(now time.Time) time.Duration { return m.store.Age + now.Sub(m.lastHeard) }

// Staleness returns the age of the freshest state of the store that another entry of this zone holds.
func (g *Group) Staleness(now time.Time) time.Duration {
	freshest := unknownStaleness
	for _, m := range g.members {
		if m.zone == g.zone && m.store.Reads && !m.lastHeard.IsZero() {
			freshest = min(freshest, m.staleness(now))
		}
	}
	return freshest
}

// ConfirmedAge returns how long ago a configuration version was known to be no older than the store's: at the last
// answer to a store reader that held no later version. Without such a reader it is unknownStaleness.
func (g *Group) ConfirmedAge(now time.Time, version uint64) time.Duration {
	age := unknownStaleness
	for _, m := range g.members {
		if m.store.Reads && !m.lastHeard.IsZero() && m.version <= version {
			age = min(age, m.staleness(now))
		}
	}
	return age
}

// LatestVersion returns the highest configuration version that a live member has advertised.
func (g *Group) LatestVersion(now time.Time) uint64 {
	version := uint64(0)
	for _, m := range g.members {
		if m.isAlive(now) {
			version = max(version, m.version)
		}
	}
	return version
}

// Fresh reports whether another entry of the zone holds fresh state of the store.
func (g *Group) Fresh(now time.Time) bool {
	return g.readOptions.AllowsSharedReads() && g.Staleness(now) <= g.readOptions.staleAfter()
}

// membersWithList returns the entries of this zone whose versions are at least those of its fresh readers.
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

// hasList reports whether a local member can provide a list of servers that it does not know to be stale.
func (g *Group) hasList(now time.Time, m *member) bool {
	if m.zone != g.zone || !m.isAlive(now) || m.stopping {
		return false
	}
	if m.store.Reads {
		return m.staleness(now) <= g.readOptions.staleAfter()
	}
	return !m.servingSince.IsZero()
}

// ResetLiveness discards the times at which members were heard. It is called after this process was suspended:
// its clock stood still meanwhile, and what members knew before is no longer fresh.
func (g *Group) ResetLiveness() {
	for _, m := range g.members {
		m.lastHeard, m.indirectlyHeard = time.Time{}, time.Time{}
	}
}
