package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/peering"
	"arbutusdeck/platform"
)

// maxUpdateRows bounds the rows of an update so that it stays within one packet of a usual link
// (1,500 bytes); a row takes some 120 bytes.
const maxUpdateRows = 8

// updateReading says whether this entry has to read the store itself, and notes it.
func (s *Server) updateReading(now time.Time) bool {
	reads := s.peers.shouldRead(now, s.storeState(now))
	s.mu.Lock()
	changed := s.reading != reads
	s.reading = reads
	s.mu.Unlock()
	if changed {
		s.log.WithField("reads", reads).Info("reading the metadata store changed hands")
	}
	return reads
}

// setReadOptions brings options of reading the store into force.
func (s *Server) setReadOptions(options peering.ReadOptions) {
	s.readOptions.Store(&options)
	s.peers.mu.Lock()
	defer s.peers.mu.Unlock()
	s.peers.group.SetReading(options)
}

// storeState is what this entry tells others of its reading.
func (s *Server) storeState(now time.Time) peering.StoreState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return peering.StoreState{Reads: s.reading && !s.lastStoreSuccess.IsZero(), Age: boottime(now).Sub(s.lastStoreSuccess),
		Lost: !s.storeLostSince.IsZero() && now.Sub(s.lastStoreFailure) < storeFailureMemory}
}

// bootstrapFromPeers takes over what an entry of the zone knows that is up to date. A starting
// entry would otherwise read the whole list from the store, as all others do when all start. One to
// which the list is not handed in time reads it all the same: the links of those that have it may be full.
func (s *Server) bootstrapFromPeers(ctx context.Context) {
	if !s.readOptions.Load().Shares() {
		return
	}
	startedAt := time.Now()
	askedAt := startedAt
	for {
		now := time.Now()
		if now.Sub(askedAt) >= peering.AskAgain {
			askedAt = now
			s.peers.askSeedsIfIsolated()
		}
		source, known := s.peers.listSource(now)
		if source != "" && s.peers.fetchFrom(source) {
			s.serveWhenReady()
			return
		}
		if source != "" && (s.readStore(ctx) == nil || !s.sleep(storeRetryMin)) {
			return
		}
		if !known && s.peers.shouldReadAtStart(now, now.Sub(startedAt)) || !s.sleep(startPoll) {
			return
		}
	}
}

// askSeedsIfIsolated asks the seeds once more who runs, if nobody has been heard yet.
func (p *peerTransport) askSeedsIfIsolated() {
	p.mu.Lock()
	var seeds []string
	if p.group.Lonely() {
		seeds = p.group.NearKnown()
	}
	p.mu.Unlock()
	p.send(seeds, peering.Message{Asks: true})
}

// shouldReadAtStart says whether this entry, which has started a while ago, reads the store itself.
func (p *peerTransport) shouldReadAtStart(now time.Time, since time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.FirstRead(now, since)
}

func (p *peerTransport) shouldRead(now time.Time, self peering.StoreState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.ShouldRead(now, self)
}

// hasFreshPeer says whether another entry of the zone knows what the store holds.
func (p *peerTransport) hasFreshPeer(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.Fresh(now)
}

// resetLiveness makes the entry forget what it heard before it was suspended.
func (p *peerTransport) resetLiveness() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group.Awoke()
}

// listSource returns an entry of the zone from which this one takes over the list of servers as it starts.
func (p *peerTransport) listSource(now time.Time) (address string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.Source(now)
}

// fetchFrom takes over the view of an entry of the zone; false if that fails.
func (p *peerTransport) fetchFrom(source string) bool {
	if err := p.fetch(source, true); err != nil {
		p.s.log.WithError(err).WithField("peer", source).Warn("the view of a neighbour could not be fetched")
		return false
	}
	return true
}

// sendChanges tells the other entries of the zone what a watch has brought. A configuration
// is fetched by those that see the higher version.
func (p *peerTransport) sendChanges(base uint64, changes platform.Changes) {
	p.mu.Lock()
	targets := p.group.In(time.Now(), p.s.settings.Zone)
	p.mu.Unlock()
	if len(targets) == 0 || changes.Revision <= base || !p.s.readOptions.Load().Shares() {
		return
	}
	for _, update := range p.s.updates(base, changes) {
		p.send(targets, peering.Message{Update: &update})
	}
}

// updates are the changes as the directory took them in, in the order of their revisions and
// in parts that fit a packet. Each part begins where the one before it ends, so that a lost
// one leaves a gap that the receiver notices.
func (s *Server) updates(base uint64, changes platform.Changes) []peering.Update {
	s.mu.Lock()
	servers, tombstones := s.directory.Rows(changedServers(changes))
	s.mu.Unlock()
	slices.SortFunc(servers, func(a, b directory.Server) int { return cmp.Compare(a.Revision, b.Revision) })
	updates := []peering.Update{{Base: base, Upto: changes.Revision, Gone: tombstones, Evacuations: changes.Evacuations}}
	for part := range slices.Chunk(servers, maxUpdateRows) {
		last := &updates[len(updates)-1]
		if len(last.Servers) > 0 {
			last.Upto = last.Servers[len(last.Servers)-1].Revision
			updates = append(updates, peering.Update{Base: last.Upto, Upto: changes.Revision})
			last = &updates[len(updates)-1]
		}
		last.Servers = part
	}
	return updates
}

// changedServers are the identifiers of the servers whose rows have changed.
func changedServers(changes platform.Changes) []string {
	var ids []string
	for _, server := range changes.Servers {
		ids = append(ids, server.ID)
	}
	for _, removal := range changes.Removed {
		ids = append(ids, removal.ID)
	}
	for _, rejection := range changes.Rejected {
		ids = append(ids, rejection.Server)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// applyUpdate brings what a reader of the store told into force. The rows may come in any
// order; the position moves only where nothing is missing, and never that of a reader: its
// next watch from there would pass over a configuration that the update does not hold, and
// if the entry that told of it dies, nobody would learn of that configuration.
func (s *Server) applyUpdate(update peering.Update, from string) {
	s.mu.Lock()
	serverChanges := s.applyRows(update.Servers, update.Gone)
	evacuations := s.applyEvacuations(update.Evacuations)
	if !s.reading && s.revision != 0 && update.Base <= s.revision {
		s.advance(update.Upto)
	}
	s.mu.Unlock()
	s.reportServerChanges(serverChanges, "peer "+from)
	s.reportEvacuations(evacuations, "peer "+from)
}
