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

// storeLoop keeps the configuration and the list of servers current. An entry that has to
// read the store reads both whole, and then watches for changes until the history is gone;
// the others are told by those that do.
func (s *Server) storeLoop() error {
	ctx := s.tomb.Context(context.Background())
	s.learnFromPeers(ctx)
	failures := 0
	for s.tomb.Alive() {
		if !s.readsStore(time.Now()) {
			if !s.sleep(readerPoll) {
				return nil
			}
			continue
		}
		err := s.follow(ctx)
		if !s.tomb.Alive() {
			return nil
		}
		switch {
		case err == nil:
			continue // others read from here on
		case errors.Is(err, platform.ErrHistoryUnavailable):
			s.log.Warn("the store no longer keeps the history from the known revision; reading everything")
			s.forgetPosition()
			continue
		}
		if s.lostStore(time.Now()) {
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

// sleep returns false if the daemon stops meanwhile.
func (s *Server) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.tomb.Dying():
		return false
	}
}

// follow watches for changes until a call fails or others read for this entry. It reads
// everything first if it doesn't know up to where it is complete, and the configuration in
// any case: others tell of servers and configurations apart, so that the configuration
// known here may be older than the list.
func (s *Server) follow(ctx context.Context) error {
	if err := s.catchUpWithStore(ctx); err != nil {
		return err
	}
	for s.tomb.Alive() && s.readsStore(time.Now()) {
		revision := s.position()
		options := s.readOptions.Load()
		changes, err := s.store.Watch(ctx, revision, options.Wait(watchWait))
		if err != nil {
			return err
		}
		s.reached()
		s.takeWatched(revision, changes)
		s.becomeReady()
		if !s.sleep(options.Pause()) {
			return nil
		}
	}
	return nil
}

// catchUpWithStore reads what a watch from the known position would not tell.
func (s *Server) catchUpWithStore(ctx context.Context) error {
	var servers platform.Changes
	whole := s.position() == 0 || s.hasLostStore()
	if whole {
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
	afterOutage := s.reached()
	s.replaceEvacuations(operators)
	s.take(operators, "platform")
	if whole {
		s.replaceServers(servers, afterOutage)
	}
	s.becomeReady()
	if s.manager.State() == lifecycle.Starting {
		// The others wait for those that read before they turn to the store, though there is nothing yet with which to serve.
		s.peers.tellState()
	}
	return nil
}

// takeWatched brings what a watch told into force and tells the other entries of the zone.
func (s *Server) takeWatched(from uint64, changes platform.Changes) {
	s.take(changes, "platform")
	s.mu.Lock()
	s.advance(changes.Revision)
	s.mu.Unlock()
	s.peers.tellChanges(from, changes)
}

// hasLostStore says whether the last call of the store failed. Rows of living servers may
// have lapsed meanwhile, which a watch would tell like servers that have left.
func (s *Server) hasLostStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.storeLost.IsZero()
}

// position is the platform's revision up to which the list of servers is complete.
func (s *Server) position() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// advance notes that the list of servers is complete up to a revision; the caller holds the lock.
func (s *Server) advance(revision uint64) {
	s.revision = max(s.revision, revision)
	s.era = max(s.era, platform.EraOf(revision))
}

// forgetPosition makes the next reading a whole one.
func (s *Server) forgetPosition() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = 0
}

// reached notes an answer of the store and returns whether it was away before.
func (s *Server) reached() bool {
	now := time.Now()
	s.mu.Lock()
	away := !s.storeLost.IsZero()
	first := s.storeFine.IsZero()
	s.storeFine, s.storeLost = boottime(now), time.Time{}
	s.mu.Unlock()
	if first || away {
		s.log.Info("reached the metadata store")
	}
	return away
}

// lostStore notes a failed call and returns whether it is the first in a row.
func (s *Server) lostStore(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFailed = now
	if !s.storeLost.IsZero() {
		return false
	}
	s.storeLost = now
	return true
}

// storeAway says whether this entry could not read the store for a while and nobody else
// in its zone knows what it holds.
func (s *Server) storeAway(now time.Time) bool {
	if s.peers.fresh(now) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeFine.IsZero() || !s.storeLost.IsZero() && now.Sub(s.storeLost) > storeSilence
}

func (s *Server) replaceServers(changes platform.Changes, afterOutage bool) {
	now := time.Now()
	s.logRejected(changes, "platform")
	s.mu.Lock()
	s.noteCold(now, changes.Servers)
	noted := s.reject(changes.Rejected)
	restored := !s.directory.Empty() && platform.EraOf(changes.Revision) > s.era
	if restored {
		noted = append(noted, s.directory.Restore(now, changes.Servers, changes.Revision)...)
	} else {
		noted = append(noted, s.directory.Replace(now, changes.Servers, changes.Revision, afterOutage)...)
	}
	s.advance(changes.Revision)
	s.mu.Unlock()
	if restored {
		s.log.WithField("revision", changes.Revision).Warn("the store has come back from an older copy; what it has lost is kept until it is written again")
	}
	s.noteServers(noted, "platform")
	s.becomeReady()
}

// take brings what the store told into force.
func (s *Server) take(changes platform.Changes, source string) {
	s.logRejected(changes, source)
	if changes.Configuration != nil {
		s.adopt(changes.Configuration, source)
	}
	s.mu.Lock()
	noted := append(s.reject(changes.Rejected), s.takeRows(changes.Servers, changes.Removed)...)
	evacuations := s.takeEvacuations(changes.Evacuations)
	s.mu.Unlock()
	s.noteServers(noted, source)
	s.noteEvacuations(evacuations, source)
}

// takeRows takes in rows and removals one by one; each goes by its own revision. The caller
// holds the lock.
func (s *Server) takeRows(servers []directory.Server, gone []directory.Tombstone) []directory.Change {
	s.noteCold(time.Now(), servers)
	var noted []directory.Change
	for _, server := range servers {
		if change, ok := s.directory.Upsert(server); ok {
			noted = append(noted, change)
			if change.From == "" {
				s.grewAt = time.Now()
			}
		}
	}
	for _, left := range gone {
		if change, ok := s.directory.Remove(left.ID, left.Revision); ok {
			noted = append(noted, change)
		}
	}
	return noted
}

// logRejected writes one line for all rows of a response that can't be read: whoever
// else writes to the store could otherwise fill the log.
func (s *Server) logRejected(changes platform.Changes, source string) {
	if len(changes.Rejected) == 0 {
		return
	}
	s.counters.rowsRejected.Inc(int64(len(changes.Rejected)))
	s.log.WithError(changes.Rejected[0].Err).WithFields(logrus.Fields{"revision": changes.Revision, "rows": len(changes.Rejected), "source": source}).
		Error("rows of the store can't be read; they name no server to use, and a configuration among them leaves the last good one in force")
	for _, rejection := range changes.Rejected {
		s.audit(audit.Event{Area: audit.Configuration, Subject: "row", Why: rejection.Err.Error(), Source: source, Revision: rejection.Revision, Refused: true})
	}
}

// reject drops the servers whose rows can't be read; the caller holds the lock.
func (s *Server) reject(rejected []platform.Rejection) []directory.Change {
	var noted []directory.Change
	for _, rejection := range rejected {
		if rejection.Server == "" {
			continue
		}
		if change, ok := s.directory.Reject(rejection.Server, rejection.Revision); ok {
			noted = append(noted, change)
		}
	}
	return noted
}

// adopt brings a configuration into force unless one of the same or a higher
// version is.
func (s *Server) adopt(definition *routes.Definition, source string) {
	from := uint64(0)
	table, err := routes.NewTable(*definition)
	if err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"version": definition.Version, "source": source}).Error("configuration refused; the last good one stays in force")
		s.audit(audit.Event{Area: audit.Configuration, Subject: "configuration", Why: err.Error(), Source: source, Revision: definition.Version, Refused: true})
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
	s.divide()
	s.log.WithFields(logrus.Fields{"from": from, "version": table.Version(), "source": source, "routes": len(definition.Routes),
		"services": len(definition.Services), "workspaces": len(definition.Workspaces)}).Info("configuration in force")
	s.audit(audit.Event{Area: audit.Configuration, Subject: "configuration", Why: "adopted", Source: source, Revision: table.Version()})
}

func (s *Server) noteServers(changes []directory.Change, source string) {
	if len(changes) == 0 {
		return
	}
	s.mu.Lock()
	s.book.Retain(s.directory.IsCurrent)
	s.mu.Unlock()
	s.divide()
	for _, change := range changes {
		s.log.WithFields(logrus.Fields{"server": change.Server, "service": change.Service, "from": change.From, "to": change.To,
			"why": change.Why, "revision": change.Revision, "source": source}).Info("server changed")
		s.audit(audit.Event{Area: audit.Membership, Subject: change.Server, From: change.From, To: change.To, Why: change.Why,
			Source: source, Revision: change.Revision})
	}
}

// engineOf returns the engine of a server's service by the name of its start; it is nil
// for a plain service. The caller holds the lock.
func (s *Server) engineOf(start string) (*enginemodel.Engine, bool) {
	server, ok := s.directory.Lookup(start)
	if !ok {
		return nil, false
	}
	service := s.service(server.Service)
	if service == nil {
		return nil, false
	}
	return service.Engine, true
}
