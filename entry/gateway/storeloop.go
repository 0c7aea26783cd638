package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/directory"
	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/routes"
	"arbutusdeck/platform"
)

// storeLoop keeps the configuration and the list of servers current. An entry that has to read the
// store reads both completely, and then watches for changes until the history from its revision is
// unavailable; the others get the changes from those that read.
func (s *Server) storeLoop() error {
	ctx := s.tomb.Context(context.Background())
	s.bootstrapFromPeers(ctx)
	failures := 0
	for s.tomb.Alive() {
		if !s.updateReading(time.Now()) {
			if !s.sleep(readerPoll) {
				return nil
			}
			continue
		}
		err := s.watchStore(ctx)
		if !s.tomb.Alive() {
			return nil
		}
		switch {
		case err == nil:
			continue // other entries read from now on
		case errors.Is(err, platform.ErrHistoryUnavailable):
			s.log.Warn("the store's history from the known revision is unavailable; reading the full state")
			s.resetPosition()
			continue
		}
		if s.recordStoreFailure(time.Now()) {
			failures = 0
			s.log.WithError(err).Warn("lost the metadata store; the last known state stays in force")
		}
		s.counters.storeErrors.Inc(1)
		failures++
		pause := min(storeRetryMin<<min(failures, 5), storeRetryMax)
		if !s.sleep(time.Duration(float64(pause) * (0.5 + rand.Float64()))) {
			return nil
		}
	}
	return nil
}

// sleep returns false if the daemon stops before d has passed.
func (s *Server) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.tomb.Dying():
		return false
	}
}

// watchStore watches for changes until a call fails or other entries read for this one. First it
// reads the full list if this entry does not know up to which revision its own is complete, and the
// configuration in any case: peers send servers and configurations separately, so that the
// configuration here may be older than the list.
func (s *Server) watchStore(ctx context.Context) error {
	if err := s.readStore(ctx); err != nil {
		return err
	}
	for s.tomb.Alive() && s.updateReading(time.Now()) {
		revision := s.position()
		options := s.readOptions.Load()
		changes, err := s.store.Watch(ctx, revision, options.LongPollTimeout(watchWait))
		if err != nil {
			return err
		}
		s.recordStoreSuccess()
		s.applyWatched(revision, changes)
		s.serveWhenReady()
		if !s.sleep(options.PollDelay()) {
			return nil
		}
	}
	return nil
}

// readStore reads what a watch from the known position would not report.
func (s *Server) readStore(ctx context.Context) error {
	var servers platform.Changes
	full := s.position() == 0 || s.storeIsLost()
	if full {
		var err error
		servers, err = s.store.ReadServers(ctx)
		if err != nil {
			return err
		}
	}
	operators, err := s.store.ReadOperatorRows(ctx)
	if err != nil {
		return err
	}
	afterOutage := s.recordStoreSuccess()
	s.replaceEvacuations(operators)
	s.applyChanges(operators, "platform")
	if full {
		s.replaceServers(servers, afterOutage)
	}
	s.serveWhenReady()
	if s.manager.State() == lifecycle.Starting {
		// Other entries wait for the store readers before they read the store themselves, although
		// there is no configuration to serve with yet.
		s.peers.BroadcastState()
	}
	return nil
}

// applyWatched applies the changes of a watch and sends them to the other entries of the zone.
func (s *Server) applyWatched(from uint64, changes platform.Changes) {
	s.applyChanges(changes, "platform")
	s.mu.Lock()
	s.advance(changes.Revision)
	s.mu.Unlock()
	s.sendChanges(from, changes)
}

// storeIsLost reports whether the last call to the store failed. Rows of running servers may have
// expired meanwhile, which a watch would report like removed servers.
func (s *Server) storeIsLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.storeLostSince.IsZero()
}

// position returns the store revision up to which the list of servers is complete.
func (s *Server) position() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// advance records that the list of servers is complete up to a revision; the caller holds the lock.
func (s *Server) advance(revision uint64) {
	s.revision = max(s.revision, revision)
	s.era = max(s.era, platform.EraOf(revision))
}

// resetPosition makes the next read a full one.
func (s *Server) resetPosition() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = 0
}

// recordStoreSuccess records a response of the store and returns whether it was unavailable before.
func (s *Server) recordStoreSuccess() bool {
	now := time.Now()
	s.mu.Lock()
	wasLost := !s.storeLostSince.IsZero()
	first := s.lastStoreSuccess.IsZero()
	s.lastStoreSuccess, s.storeLostSince = boottime(now), time.Time{}
	s.mu.Unlock()
	if first || wasLost {
		s.log.Info("reached the metadata store")
	}
	return wasLost
}

// recordStoreFailure records a failed call and returns whether it is the first in a row.
func (s *Server) recordStoreFailure(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStoreFailure = now
	if !s.storeLostSince.IsZero() {
		return false
	}
	s.storeLostSince = now
	return true
}

// storeUnavailable reports whether this entry could not read the store for a while and no other
// entry of its zone is up to date.
func (s *Server) storeUnavailable(now time.Time) bool {
	if s.peers.HasFreshPeer(now) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastStoreSuccess.IsZero() || !s.storeLostSince.IsZero() && now.Sub(s.storeLostSince) > storeOutageTolerance
}

func (s *Server) replaceServers(changes platform.Changes, afterOutage bool) {
	now := time.Now()
	s.logRejected(changes, "platform")
	s.mu.Lock()
	s.recordCold(now, changes.Servers)
	serverChanges := s.removeUnreadable(changes.Rejected)
	restored := !s.directory.Empty() && platform.EraOf(changes.Revision) > s.era
	if restored {
		serverChanges = append(serverChanges, s.directory.Restore(now, changes.Servers, changes.Revision)...)
	} else {
		serverChanges = append(serverChanges, s.directory.Replace(now, changes.Servers, changes.Revision, afterOutage)...)
	}
	s.advance(changes.Revision)
	s.mu.Unlock()
	if restored {
		s.log.WithField("revision", changes.Revision).Warn("the store has come back from an older copy; what it has lost is kept until it is written again")
	}
	s.reportServerChanges(serverChanges, "platform")
	s.serveWhenReady()
}

// applyChanges applies changes of the store.
func (s *Server) applyChanges(changes platform.Changes, source string) {
	s.logRejected(changes, source)
	if changes.Configuration != nil {
		s.applyConfiguration(changes.Configuration, source)
	}
	s.mu.Lock()
	serverChanges := append(s.removeUnreadable(changes.Rejected), s.applyRows(changes.Servers, changes.Removed)...)
	evacuations := s.applyEvacuations(changes.Evacuations)
	s.mu.Unlock()
	s.reportServerChanges(serverChanges, source)
	s.reportEvacuations(evacuations, source)
}

// applyRows applies rows and removals one by one, each by its own revision; the caller holds the
// lock.
func (s *Server) applyRows(servers []directory.Server, tombstones []directory.Tombstone) []directory.Change {
	s.recordCold(time.Now(), servers)
	var serverChanges []directory.Change
	for _, server := range servers {
		if change, ok := s.directory.Upsert(server); ok {
			serverChanges = append(serverChanges, change)
			if change.From == "" {
				s.lastServerAddedAt = time.Now()
			}
		}
	}
	for _, tombstone := range tombstones {
		if change, ok := s.directory.Remove(tombstone.ID, tombstone.Revision); ok {
			serverChanges = append(serverChanges, change)
		}
	}
	return serverChanges
}

// logRejected writes one line for all unreadable rows of a response: whoever else writes to the
// store could otherwise flood the log.
func (s *Server) logRejected(changes platform.Changes, source string) {
	if len(changes.Rejected) == 0 {
		return
	}
	s.counters.rowsRejected.Inc(int64(len(changes.Rejected)))
	s.log.WithError(changes.Rejected[0].Err).WithFields(logrus.Fields{"revision": changes.Revision, "rows": len(changes.Rejected), "source": source}).
		Error("rows of the store can't be read; they name no server to use, and a configuration among them leaves the last good one in force")
	for _, rejection := range changes.Rejected {
		s.audit(audit.Event{Area: audit.Configuration, Subject: "row", Reason: rejection.Err.Error(), Source: source, Revision: rejection.Revision, Refused: true})
	}
}

// removeUnreadable removes the servers whose rows can't be read; the caller holds the lock.
func (s *Server) removeUnreadable(rejected []platform.Rejection) []directory.Change {
	var serverChanges []directory.Change
	for _, rejection := range rejected {
		if rejection.Server == "" {
			continue
		}
		if change, ok := s.directory.Reject(rejection.Server, rejection.Revision); ok {
			serverChanges = append(serverChanges, change)
		}
	}
	return serverChanges
}

// applyConfiguration applies a configuration unless one of the same or a higher version is current.
func (s *Server) applyConfiguration(definition *routes.Definition, source string) {
	from := uint64(0)
	table, err := routes.NewTable(*definition)
	if err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"version": definition.Version, "source": source}).Error("configuration refused; the last good one stays in force")
		s.audit(audit.Event{Area: audit.Configuration, Subject: "configuration", Reason: err.Error(), Source: source, Revision: definition.Version, Refused: true})
		return
	}
	for {
		current := s.table.Load()
		if current != nil {
			from = current.Version()
		}
		if current != nil && current.Version() >= table.Version() {
			return
		}
		if s.table.CompareAndSwap(current, table) {
			break
		}
	}
	s.updateRouting()
	s.log.WithFields(logrus.Fields{"from": from, "version": table.Version(), "source": source, "routes": len(definition.Routes),
		"services": len(definition.Services), "workspaces": len(definition.Workspaces)}).Info("configuration in force")
	s.audit(audit.Event{Area: audit.Configuration, Subject: "configuration", Reason: "adopted", Source: source, Revision: table.Version()})
}

func (s *Server) reportServerChanges(changes []directory.Change, source string) {
	if len(changes) == 0 {
		return
	}
	s.mu.Lock()
	s.loadTable.Retain(s.directory.IsCurrent)
	s.mu.Unlock()
	s.updateRouting()
	for _, change := range changes {
		s.log.WithFields(logrus.Fields{"server": change.Server, "service": change.Service, "from": change.From, "to": change.To,
			"why": change.Why, "revision": change.Revision, "source": source}).Info("server changed")
		s.audit(audit.Event{Area: audit.Membership, Subject: change.Server, From: change.From, To: change.To, Reason: change.Why,
			Source: source, Revision: change.Revision})
	}
}

// engineOfIncarnation returns the engine of the service of a server's incarnation, nil for a plain
// service; false if the server is unknown. The caller holds the lock.
func (s *Server) engineOfIncarnation(incarnation string) (*enginemodel.Engine, bool) {
	server, ok := s.directory.Lookup(incarnation)
	if !ok {
		return nil, false
	}
	service := s.service(server.Service)
	if service == nil {
		return nil, false
	}
	return service.Engine, true
}
