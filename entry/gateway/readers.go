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

// maxRows bounds the rows of an update so that it stays within one packet of a usual link
// (1,500 bytes); a row takes some 120 bytes.
const maxRows = 8

// readsStore says whether this entry has to read the store itself, and notes it.
func (s *Server) readsStore(now time.Time) bool {
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

// setReading brings options of reading the store into force.
func (s *Server) setReading(options peering.ReadOptions) {
	s.readOptions.Store(&options)
	s.peers.mu.Lock()
	defer s.peers.mu.Unlock()
	s.peers.group.SetReadOptions(options)
}

// storeState is what this entry tells others of its reading.
func (s *Server) storeState(now time.Time) peering.StoreState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return peering.StoreState{Reads: s.reading && !s.storeFine.IsZero(), Age: boottime(now).Sub(s.storeFine),
		Lost: !s.storeLost.IsZero() && now.Sub(s.storeFailed) < lostFor}
}

// learnFromPeers takes over what an entry of the zone knows that is up to date. A starting
// entry would otherwise read the whole list from the store, as all others do when all start. One to
// which the list is not handed in time reads it all the same: the links of those that have it may be full.
func (s *Server) learnFromPeers(ctx context.Context) {
	if !s.readOptions.Load().AllowsSharedReads() {
		return
	}
	began := time.Now()
	asked := began
	for {
		now := time.Now()
		if now.Sub(asked) >= peering.SeedRetryInterval {
			asked = now
			s.peers.askIfLonely()
		}
		source, known := s.peers.source(now)
		if source != "" && s.peers.fetchFrom(source) {
			s.becomeReady()
			return
		}
		if source != "" && (s.catchUpWithStore(ctx) == nil || !s.sleep(storeRetryMin)) {
			return
		}
		if !known && s.peers.readsFirst(now, now.Sub(began)) || !s.sleep(startPoll) {
			return
		}
	}
}

// askIfLonely asks the seeds once more who runs, if nobody has been heard yet.
func (p *peerExchange) askIfLonely() {
	p.mu.Lock()
	var seeds []string
	if p.group.NoPeerHeard() {
		seeds = p.group.KnownLocal()
	}
	p.mu.Unlock()
	p.send(seeds, peering.Message{WantsMembers: true})
}

// readsFirst says whether this entry, which has started a while ago, reads the store itself.
func (p *peerExchange) readsFirst(now time.Time, since time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.ShouldReadAtStart(now, since)
}

func (p *peerExchange) shouldRead(now time.Time, self peering.StoreState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.ShouldRead(now, self)
}

// fresh says whether another entry of the zone knows what the store holds.
func (p *peerExchange) fresh(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.Fresh(now)
}

// awoke makes the entry forget what it heard before it was suspended.
func (p *peerExchange) awoke() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group.ResetLiveness()
}

// source returns an entry of the zone from which this one takes over the list of servers as it starts.
func (p *peerExchange) source(now time.Time) (address string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.ListSource(now)
}

// fetchFrom takes over the view of an entry of the zone; false if that fails.
func (p *peerExchange) fetchFrom(source string) bool {
	if err := p.fetch(source, true); err != nil {
		p.s.log.WithError(err).WithField("peer", source).Warn("the view of a neighbour could not be fetched")
		return false
	}
	return true
}

// tellChanges tells the other entries of the zone what a watch has brought. A configuration
// is fetched by those that see the higher version.
func (p *peerExchange) tellChanges(base uint64, changes platform.Changes) {
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

// updates are the changes as the directory took them in, in the order of their revisions and
// in parts that fit a packet. Each part begins where the one before it ends, so that a lost
// one leaves a gap that the receiver notices.
func (s *Server) updates(base uint64, changes platform.Changes) []peering.Update {
	s.mu.Lock()
	servers, gone := s.directory.Rows(changedServers(changes))
	s.mu.Unlock()
	slices.SortFunc(servers, func(a, b directory.Server) int { return cmp.Compare(a.Revision, b.Revision) })
	updates := []peering.Update{{BaseRevision: base, UpToRevision: changes.Revision, Tombstones: gone, Evacuations: changes.Evacuations}}
	for part := range slices.Chunk(servers, maxRows) {
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

// takeUpdate brings what a reader of the store told into force. The rows may come in any
// order; the position moves only where nothing is missing, and never that of a reader: its
// next watch from there would pass over a configuration that the update does not hold, and
// if the entry that told of it dies, nobody would learn of that configuration.
func (s *Server) takeUpdate(update peering.Update, from string) {
	s.mu.Lock()
	noted := s.takeRows(update.Servers, update.Tombstones)
	evacuations := s.takeEvacuations(update.Evacuations)
	if !s.reading && s.revision != 0 && update.BaseRevision <= s.revision {
		s.advance(update.UpToRevision)
	}
	s.mu.Unlock()
	s.noteServers(noted, "peer "+from)
	s.noteEvacuations(evacuations, "peer "+from)
}
