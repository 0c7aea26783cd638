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

// exchangeInterval is how often an entry exchanges what it remembers with another one at random.
// News go to all at once; this reaches those that were not reached then, and those that have
// started.
const exchangeInterval = 2 * time.Second

// quarantined returns why a request is refused because servers end under it; nil if it isn't.
func (s *Server) quarantined(now time.Time, f quarantine.Fingerprint) *execution.Refusal {
	s.mu.Lock()
	left := s.watch.RefusedFor(now, f)
	s.mu.Unlock()
	if left == 0 {
		return nil
	}
	refusal := execution.Quarantined(left)
	return &refusal
}

// endName names the end of a server. The start of an engine has no name that entries know; it
// takes longer than a second, so that two ends within one are the same.
func endName(server string, now time.Time) string { return fmt.Sprintf("%s@%d", server, now.Unix()) }

// noteEnd remembers that a server has ended under a request, and tells all entries: it may come
// again at any of them.
func (s *Server) noteEnd(t *task, server string) {
	now := time.Now()
	s.mu.Lock()
	record, isNew := s.watch.ServerCrashed(now, t.fingerprint, endName(server, now))
	refused := s.watch.RefusedFor(now, t.fingerprint) > 0
	s.mu.Unlock()
	if !isNew {
		return
	}
	s.Log.WithFields(logrus.Fields{"request": t.options.ID, "fingerprint": t.fingerprint.String(), "server": server, "ends": len(record.Crashes),
		"refused": refused}).Info("a server has ended under a request that had just begun there")
	s.tellRecords([]quarantine.Record{record})
	if refused {
		s.Audit(audit.Event{Area: audit.Requests, Subject: t.fingerprint.String(), From: "served", To: "refused", Reason: "servers ended under it", Source: "message"})
	}
}

// noteAnswer clears a request that has got its whole answer.
func (s *Server) noteAnswer(t *task) {
	s.mu.Lock()
	record, isNew := s.watch.Completed(time.Now(), t.fingerprint)
	s.mu.Unlock()
	if isNew {
		s.tellRecords([]quarantine.Record{record})
	}
}

// tellRecords tells all entries of requests.
func (s *Server) tellRecords(records []quarantine.Record) {
	for _, peer := range s.otherEntries() {
		go s.exchange(peer, records)
	}
}

// otherEntries are the other entries that the configuration names.
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

// exchange tells another entry records, and takes in what it remembers.
func (s *Server) exchange(peer config.Peer, records []quarantine.Record) {
	told, err := s.Dialer.ExchangeQuarantine(context.Background(), peer, s.Envelope(), records)
	if err != nil {
		s.Log.WithError(err).Debug("another entry could not be told of requests under which servers end")
		return
	}
	s.join(told)
}

// join takes in what another entry remembers, and returns what this one does.
func (s *Server) join(told []quarantine.Record) []quarantine.Record {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.Merge(now, told)
	s.watch.Expire(now)
	return s.watch.Records(now)
}

// exchangeLoop exchanges what is remembered: with all entries at the start, so that an entry that
// has started refuses what the others refuse, then with one of them at a time.
func (s *Server) exchangeLoop() error {
	if !s.meetEntries() {
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
			s.exchange(others[rand.IntN(len(others))], s.join(nil))
		}
	}
}

// meetEntries waits for a configuration and exchanges with all entries that it names. It returns
// false if the daemon stops before.
func (s *Server) meetEntries() bool {
	for s.Store.Current() == nil {
		select {
		case <-time.After(tickInterval):
		case <-s.tomb.Dying():
			return false
		}
	}
	var wait sync.WaitGroup
	for _, peer := range s.otherEntries() {
		wait.Go(func() { s.exchange(peer, s.join(nil)) })
	}
	wait.Wait()
	s.met.Store(true)
	return true
}

// endedUnder says whether the last frame of an attempt tells that the engine has ended, and the
// attempt had just begun there.
func endedUnder(frame execution.Frame, answerBegan time.Time) bool {
	return frame.Last && frame.Code == execution.CodeEngineEnded && quarantine.RecentlyStarted(time.Now(), answerBegan)
}
