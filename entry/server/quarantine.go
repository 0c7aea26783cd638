package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/quarantine"
)

// exchangeInterval is the interval at which an entry exchanges its quarantine records with a
// random other entry. New records are broadcast at once; the periodic exchange reaches entries
// that were unreachable then or have started since.
const exchangeInterval = 2 * time.Second

// quarantineRefusal returns the refusal of a request that is quarantined because servers crash
// under it; nil if it isn't quarantined.
func (s *Server) quarantineRefusal(now time.Time, f quarantine.Fingerprint) *execution.Refusal {
	s.mu.Lock()
	remaining := s.crashes.RefusedFor(now, f)
	s.mu.Unlock()
	if remaining == 0 {
		return nil
	}
	refusal := execution.Quarantined(remaining)
	return &refusal
}

// crashID identifies one crash of a server. Entries know no identifier of an engine's
// incarnation; an engine takes more than a second to start, so that two reports within the
// same second are of one crash.
func crashID(server string, now time.Time) string { return fmt.Sprintf("%s@%d", server, now.Unix()) }

// recordCrash records that a server crashed under a request and broadcasts the record, as the
// caller may retry the request at any entry.
func (s *Server) recordCrash(t *task, server string) {
	now := time.Now()
	s.mu.Lock()
	record, isNew := s.crashes.ServerCrashed(now, t.fingerprint, crashID(server, now))
	refused := s.crashes.RefusedFor(now, t.fingerprint) > 0
	s.mu.Unlock()
	if !isNew {
		return
	}
	s.Log.WithFields(logrus.Fields{"request": t.options.ID, "fingerprint": t.fingerprint.String(), "server": server, "ends": len(record.Crashes),
		"refused": refused}).Info("a server has ended under a request that had just begun there")
	s.broadcastRecords([]quarantine.Record{record})
	if refused {
		s.Audit(audit.Event{Area: audit.Requests, Subject: t.fingerprint.String(), From: "served", To: "refused", Reason: "servers ended under it", Source: "message"})
	}
}

// recordCompletion clears the crash record of a request whose response was complete.
func (s *Server) recordCompletion(t *task) {
	s.mu.Lock()
	record, isNew := s.crashes.Completed(time.Now(), t.fingerprint)
	s.mu.Unlock()
	if isNew {
		s.broadcastRecords([]quarantine.Record{record})
	}
}

// broadcastRecords sends records to all other entries, without waiting for them.
func (s *Server) broadcastRecords(records []quarantine.Record) {
	for _, peer := range s.otherEntries() {
		go s.exchangeRecords(peer, records)
	}
}

// otherEntries returns the other entries of the current configuration.
func (s *Server) otherEntries() []config.Peer {
	snapshot := s.Store.Current()
	if snapshot == nil {
		return nil
	}
	var others []config.Peer
	for name, entry := range snapshot.Entries {
		if name != s.Name() {
			others = append(others, config.Peer{Name: name, Address: entry.PeerAddress})
		}
	}
	return others
}

// exchangeRecords sends records to another entry and merges the records that it returns.
func (s *Server) exchangeRecords(peer config.Peer, records []quarantine.Record) {
	received, err := s.Dialer.ExchangeQuarantine(context.Background(), peer, s.Envelope(), records)
	if err != nil {
		s.Log.WithError(err).Debug("quarantine records could not be exchanged with another entry")
		return
	}
	s.mergeRecords(received)
}

// mergeRecords merges the records of another entry and returns all current ones.
func (s *Server) mergeRecords(received []quarantine.Record) []quarantine.Record {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.Merge(now, received)
	s.crashes.Expire(now)
	return s.crashes.Records(now)
}

// exchangeLoop exchanges quarantine records: at start with all entries, so that a restarted entry
// refuses what the others refuse, then periodically with a random one.
func (s *Server) exchangeLoop() error {
	if !s.exchangeWithAll() {
		return nil
	}
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-s.tomb.Dying():
			return nil
		}
		if others := s.otherEntries(); len(others) > 0 {
			s.exchangeRecords(others[rand.IntN(len(others))], s.mergeRecords(nil))
		}
	}
}

// exchangeWithAll waits for a configuration and exchanges records with all entries in it. It
// returns false if the daemon stops first.
func (s *Server) exchangeWithAll() bool {
	for s.Store.Current() == nil {
		select {
		case <-time.After(tickInterval):
		case <-s.tomb.Dying():
			return false
		}
	}
	var group sync.WaitGroup
	for _, peer := range s.otherEntries() {
		group.Go(func() { s.exchangeRecords(peer, s.mergeRecords(nil)) })
	}
	group.Wait()
	s.exchangedAtStart.Store(true)
	return true
}

// crashedEarly reports whether the last frame of an attempt says that the engine crashed, shortly
// after the attempt's response began. A zero responseStart means that no response had begun.
func crashedEarly(frame execution.Frame, responseStart time.Time) bool {
	return frame.Last && frame.Code == execution.CodeEngineEnded && quarantine.RecentlyStarted(time.Now(), responseStart)
}
