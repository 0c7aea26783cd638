package peering

import (
	"cmp"
	"time"
)

const (
	// FetchHedgeDelay is the time after which a view that has not arrived is fetched from a second member too. Most
	// views arrive within a tenth of it.
	FetchHedgeDelay = 400 * time.Millisecond
	// maxFetches bounds the fetches under way at once.
	maxFetches = 2
	// fetchRetryDelay is the time for which a member is not asked again after a fetch has failed.
	fetchRetryDelay = HeartbeatInterval
)

// BeginFetch records that the view of a member is being fetched.
func (g *Group) BeginFetch(now time.Time, address string) {
	if m := g.members[address]; m != nil {
		m.fetchBegan = now
	}
}

// EndFetch records that a fetch is over.
func (g *Group) EndFetch(now time.Time, address string, ok bool) {
	m := g.members[address]
	if m == nil {
		return
	}
	m.fetchBegan = time.Time{}
	if !ok {
		m.fetchFailed = now
	}
}

// mayFetch reports whether another fetch may begin: none is under way, or those that are have not ended within
// FetchHedgeDelay.
func (g *Group) mayFetch(now time.Time) bool {
	count := 0
	for _, m := range g.members {
		if m.fetchBegan.IsZero() {
			continue
		}
		if count++; count == maxFetches || now.Sub(m.fetchBegan) < FetchHedgeDelay {
			return false
		}
	}
	return true
}

// isFetchable reports whether a fetch from the member may begin.
func (m *member) isFetchable(now time.Time) bool {
	return m.fetchBegan.IsZero() && (m.fetchFailed.IsZero() || now.Sub(m.fetchFailed) >= fetchRetryDelay)
}

// NewerPeer returns the live member to fetch a view from: one with a higher configuration version or, if servers
// is set, a higher revision of the servers. The newest wins; among equals the choice differs from entry to entry.
// It returns false if there is none, or if no further fetch may begin yet. While the zone knows the content of the store only its own members are
// asked: those of other zones learn of a change later as often as earlier, and a view of 140 servers takes some
// 35 KB.
func (g *Group) NewerPeer(now time.Time, version, revision uint64, servers bool) (string, bool) {
	if !g.mayFetch(now) {
		return "", false
	}
	var best *member
	localOnly := g.Fresh(now)
	for _, address := range g.Alive(now) {
		m := g.members[address]
		if localOnly && m.zone != g.zone || !m.isFetchable(now) || m.version <= version && (!servers || m.revision <= revision) {
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

// comparePeers is positive if a view is better fetched from a than from b.
func (g *Group) comparePeers(a, b *member) int {
	locality := func(m *member) int {
		if m.zone == g.zone {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(locality(a), locality(b)), cmp.Compare(a.version, b.version), cmp.Compare(a.revision, b.revision),
		cmp.Compare(rendezvousHash(g.self, a.address), rendezvousHash(g.self, b.address)))
}
