package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/quarantine"
)

// quarantined reports whether the request is refused because servers crash under it. It is checked
// before each attempt, also after a first one: that attempt may have caused the third crash.
func (e *exchange) quarantined(now time.Time) (execution.Refusal, bool) {
	if e.s.tracksNoRequests() {
		return execution.Refusal{}, false
	}
	f := e.fingerprint()
	e.s.mu.Lock()
	remaining := e.s.tracker.RefusedFor(now, f)
	e.s.mu.Unlock()
	if remaining == 0 {
		return execution.Refusal{}, false
	}
	e.s.counters.quarantined.Inc(1)
	return execution.Quarantined(remaining), true
}

// tracksNoRequests reports whether no request is tracked, so that fingerprints need not be
// computed.
func (s *Server) tracksNoRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Empty()
}

// otherSuspectServers returns the incarnations of the servers that other suspect requests may be
// about to crash, if this request is a suspect too; the caller holds the lock.
func (e *exchange) otherSuspectServers(now time.Time) []string {
	if e.s.tracker.Empty() || !e.s.tracker.IsSuspect(e.fingerprint()) {
		return nil
	}
	return e.s.separator.ServersOfOthers(now, e.fingerprint())
}

// recordSuspectSent keeps other suspects away from the chosen server, if the request is a suspect.
func (e *exchange) recordSuspectSent(now time.Time, choice placement.Choice) {
	e.s.mu.Lock()
	defer e.s.mu.Unlock()
	if !e.s.tracker.Empty() && e.s.tracker.IsSuspect(e.fingerprint()) {
		e.s.separator.RecordSend(now, e.fingerprint(), choice.Server.IncarnationID())
	}
}

// recordCrash records that a server has crashed under a request, and notifies all entries: the
// request may be repeated at any of them.
func (s *Server) recordCrash(now time.Time, request startedRequest, choice placement.Choice) {
	incarnation := choice.Server.IncarnationID()
	s.mu.Lock()
	if !s.isExpectedToRun(choice) {
		s.mu.Unlock()
		return
	}
	record, isNew := s.tracker.ServerCrashed(now, request.fingerprint, incarnation)
	refused := s.tracker.RefusedFor(now, request.fingerprint) > 0
	s.mu.Unlock()
	if !isNew {
		return
	}
	s.log.WithFields(logrus.Fields{"request": request.id, "fingerprint": request.fingerprint.String(), "server": incarnation, "ends": len(record.Crashes), "refused": refused}).
		Info("a server has ended under a request that had just begun there")
	s.peers.BroadcastRecord(record)
}

// isExpectedToRun reports whether a server was known and not draining, or has restarted. One that
// is draining, or whose row was removed, exits by itself, whatever it runs. The caller holds the
// lock.
func (s *Server) isExpectedToRun(choice placement.Choice) bool {
	known, ok := s.directory.Lookup(choice.Server.IncarnationID())
	return s.directory.Superseded(choice.Server.IncarnationID()) || ok && !known.Draining
}

// clearSuspicion clears a request that got its complete response.
func (e *exchange) clearSuspicion(now time.Time) {
	f := e.fingerprint()
	e.s.mu.Lock()
	record, isNew := e.s.tracker.Completed(now, f)
	e.s.mu.Unlock()
	if isNew {
		e.s.peers.BroadcastRecord(record)
	}
}

// updateQuarantine drops expired records, and logs and audits changes of the refused requests. Only
// the tick loop calls it.
func (s *Server) updateQuarantine(now time.Time) {
	s.mu.Lock()
	s.tracker.Expire(now)
	refused := s.tracker.AllRefused(now)
	s.mu.Unlock()
	for _, f := range slices.SortedFunc(maps.Keys(refused), quarantine.Compare) {
		if !s.quarantinedRequests[f] {
			s.reportQuarantine(f, "served", "refused", "servers ended under it")
		}
	}
	for _, f := range slices.SortedFunc(maps.Keys(s.quarantinedRequests), quarantine.Compare) {
		if !refused[f] {
			s.reportQuarantine(f, "refused", "served", "it was answered, or its term is over")
		}
	}
	s.quarantinedRequests = refused
}

func (s *Server) reportQuarantine(f quarantine.Fingerprint, from, to, why string) {
	s.log.WithFields(logrus.Fields{"fingerprint": f.String(), "from": from, "to": to, "why": why}).Warn("a request under which servers end")
	s.audit(audit.Event{Area: audit.Requests, Subject: f.String(), From: from, To: to, Reason: why, Source: "entries"})
}
