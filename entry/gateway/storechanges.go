package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/directory"
	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/routes"
	"arbutusdeck/platform"
)

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

// setReadOptions applies new options of reading the store.
func (s *Server) setReadOptions(options peering.ReadOptions) {
	s.reader.SetOptions(options)
	s.peers.SetReadOptions(options)
}

// applyUpdate applies what a store reader sent. The rows may arrive in any order; the position
// advances only where nothing is missing, and never that of a reader: its next watch would then
// skip a configuration that the update does not hold, and if the entry that sent it terminated, no
// entry would learn of that configuration.
func (s *Server) applyUpdate(update peering.Update, from string) {
	s.mu.Lock()
	serverChanges := s.applyRows(update.Servers, update.Tombstones)
	evacuations := s.applyEvacuations(update.Evacuations)
	if !s.reader.Reading() && s.revision != 0 && update.BaseRevision <= s.revision {
		s.advance(update.UpToRevision)
	}
	s.mu.Unlock()
	s.reportServerChanges(serverChanges, "peer "+from)
	s.reportEvacuations(evacuations, "peer "+from)
}
