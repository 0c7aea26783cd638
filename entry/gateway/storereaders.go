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

// maxUpdateRows bounds the rows of an update so that it fits into one packet of a usual link (1,500
// bytes); a row takes some 120 bytes.
const maxUpdateRows = 8

// updateReading decides whether this entry has to read the store itself, and records the decision.
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

// setReadOptions applies new options of reading the store.
func (s *Server) setReadOptions(options peering.ReadOptions) {
	s.readOptions.Store(&options)
	s.peers.mu.Lock()
	defer s.peers.mu.Unlock()
	s.peers.group.SetReadOptions(options)
}

// storeState returns the state of this entry's reading, as sent to its peers.
func (s *Server) storeState(now time.Time) peering.StoreState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return peering.StoreState{Reads: s.reading && !s.lastStoreSuccess.IsZero(), Age: boottime(now).Sub(s.lastStoreSuccess),
		Lost: !s.storeLostSince.IsZero() && now.Sub(s.lastStoreFailure) < storeFailureMemory}
}

// bootstrapFromPeers fetches the view of an up-to-date entry of the zone. Otherwise all entries
// that start at the same time would read the whole list from the store. If a peer does not deliver
// the list in time, the entry reads the store nevertheless: the links of the peers that have it may
// be saturated.
func (s *Server) bootstrapFromPeers(ctx context.Context) {
	if !s.readOptions.Load().AllowsSharedReads() {
		return
	}
	startedAt := s.peers.startedAt
	askedAt := startedAt
	for {
		now := time.Now()
		if now.Sub(askedAt) >= peering.SeedRetryInterval {
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
		if !known && s.peers.shouldReadAtStart(now, now.Sub(startedAt)) {
			s.peers.firstReadAt.Store(&now)
			s.peers.broadcastState()
			return
		}
		if !s.sleep(startPoll) {
			return
		}
	}
}

// askSeedsIfIsolated asks the seeds again for the members if no entry has been heard yet.
func (p *peerTransport) askSeedsIfIsolated() {
	p.mu.Lock()
	var seeds []string
	if p.group.NoPeerHeard() {
		seeds = p.group.KnownLocal()
	}
	p.mu.Unlock()
	p.send(seeds, peering.Message{WantsMembers: true})
}

// shouldReadAtStart reports whether this entry, which started some time ago, reads the store
// itself.
func (p *peerTransport) shouldReadAtStart(now time.Time, since time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.ShouldReadAtStart(now, since)
}

func (p *peerTransport) shouldRead(now time.Time, self peering.StoreState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.ShouldRead(now, self)
}

// hasFreshPeer reports whether another entry of the zone is up to date with the store.
func (p *peerTransport) hasFreshPeer(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.Fresh(now)
}

// resetLiveness discards what was heard before the process was suspended.
func (p *peerTransport) resetLiveness() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group.ResetLiveness()
}

// listSource returns an entry of the zone from which this one can fetch the list of servers at its
// start.
func (p *peerTransport) listSource(now time.Time) (address string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.ListSource(now)
}

// fetchFrom fetches and applies the view of an entry of the zone; false if that fails.
func (p *peerTransport) fetchFrom(source string) bool {
	if err := p.fetch(source, true); err != nil {
		p.s.log.WithError(err).WithField("peer", source).Warn("fetching the view of a local peer failed")
		return false
	}
	return true
}

// sendChanges sends the changes of a watch to the other entries of the zone. A configuration is
// fetched by the entries that see its higher version.
func (p *peerTransport) sendChanges(base uint64, changes platform.Changes) {
	p.mu.Lock()
	targets := p.group.RunningIn(time.Now(), p.s.settings.Zone)
	p.mu.Unlock()
	if len(targets) == 0 || changes.Revision <= base || !p.s.readOptions.Load().AllowsSharedReads() {
		return
	}
	for _, update := range p.s.updates(base, changes) {
		p.send(targets, peering.Message{Update: &update})
	}
}

// updates returns the changes as applied to the directory, in the order of their revisions and in
// parts that fit into a packet. Each part starts where the previous one ends, so that a lost part
// leaves a gap that the receiver detects.
func (s *Server) updates(base uint64, changes platform.Changes) []peering.Update {
	s.mu.Lock()
	servers, tombstones := s.directory.Rows(changedServers(changes))
	s.mu.Unlock()
	slices.SortFunc(servers, func(a, b directory.Server) int { return cmp.Compare(a.Revision, b.Revision) })
	updates := []peering.Update{{BaseRevision: base, UpToRevision: changes.Revision, Tombstones: tombstones, Evacuations: changes.Evacuations}}
	for part := range slices.Chunk(servers, maxUpdateRows) {
		last := &updates[len(updates)-1]
		if len(last.Servers) > 0 {
			last.UpToRevision = last.Servers[len(last.Servers)-1].Revision
			updates = append(updates, peering.Update{BaseRevision: last.UpToRevision, UpToRevision: changes.Revision})
			last = &updates[len(updates)-1]
		}
		last.Servers = part
	}
	return updates
}

// changedServers returns the identifiers of the servers whose rows have changed.
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

// applyUpdate applies what a store reader sent. The rows may arrive in any order; the position
// advances only where nothing is missing, and never that of a reader: its next watch would then
// skip a configuration that the update does not hold, and if the entry that sent it terminated, no
// entry would learn of that configuration.
func (s *Server) applyUpdate(update peering.Update, from string) {
	s.mu.Lock()
	serverChanges := s.applyRows(update.Servers, update.Tombstones)
	evacuations := s.applyEvacuations(update.Evacuations)
	if !s.reading && s.revision != 0 && update.BaseRevision <= s.revision {
		s.advance(update.UpToRevision)
	}
	s.mu.Unlock()
	s.reportServerChanges(serverChanges, "peer "+from)
	s.reportEvacuations(evacuations, "peer "+from)
}
