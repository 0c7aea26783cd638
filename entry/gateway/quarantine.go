package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/quarantine"
)

// quarantined reports whether the request is refused because servers crash under it, or under a part
// of its prompt. It is checked before each attempt, also after a first one: that attempt may have
// caused the third crash.
func (e *exchange) quarantined(now time.Time) (execution.Refusal, bool) {
	remaining := e.quarantinedFor(now)
	if remaining == 0 {
		return execution.Refusal{}, false
	}
	e.s.counters.quarantined.Inc(1)
	return execution.Quarantined(remaining), true
}

// quarantinedFor returns for how long the request is not to be sent to any server.
func (e *exchange) quarantinedFor(now time.Time) time.Duration {
	return max(e.requestRefusedFor(now), e.partsRefusedFor(now))
}

func (e *exchange) requestRefusedFor(now time.Time) time.Duration {
	if e.s.tracksNoRequests() {
		return 0
	}
	f, parts := e.fingerprint(), e.partFingerprints()
	e.s.mu.Lock()
	defer e.s.mu.Unlock()
	return e.s.tracker.RefusedForWith(now, f, parts)
}

func (e *exchange) partsRefusedFor(now time.Time) time.Duration {
	parts := e.partFingerprints()
	e.s.mu.Lock()
	defer e.s.mu.Unlock()
	return e.s.parts.RefusedFor(now, parts)
}

// recordsDigest returns the digest of all quarantine records; the caller holds the lock.
func (s *Server) recordsDigest() uint32 { return s.tracker.Digest() + s.parts.Digest() }

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
	if !e.isSuspect(quarantine.SuspectCrashes) {
		return nil
	}
	return e.s.separator.ServersOfOthers(now, e.fingerprint())
}

// isSuspect reports whether the request, or a part of its prompt at that many crashes, may be the cause
// of crashes; the caller holds the lock.
func (e *exchange) isSuspect(partCrashes int) bool {
	return !e.s.tracker.Empty() && e.s.tracker.IsSuspect(e.fingerprint()) || e.s.parts.MaxCrashes(e.partFingerprints()) >= partCrashes
}

// recordSuspectSent keeps other suspects away from the chosen server, if the request is a suspect. A part
// is one from its first crash on: it is in requests that are never repeated, and most parts that are only
// beside a crash are answered soon.
func (e *exchange) recordSuspectSent(now time.Time, choice placement.Choice) {
	e.s.mu.Lock()
	defer e.s.mu.Unlock()
	if e.isSuspect(1) {
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
	parts := s.parts.ServerCrashed(now, request.sentAt, request.parts, incarnation)
	refused := s.tracker.RefusedForWith(now, request.fingerprint, request.parts) > 0 || s.parts.RefusedFor(now, request.parts) > 0
	s.mu.Unlock()
	s.peers.BroadcastPartRecords(parts)
	if !isNew {
		return
	}
	s.log.WithFields(logrus.Fields{"request": request.id, "fingerprint": request.fingerprint.String(), "server": incarnation, "ends": len(record.Crashes), "refused": refused, "parts": request.partNames()}).
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

// clearSuspicion clears a request to which a server wrote a successful response up to its end, and the
// parts of its prompt. If the end of the connection marked that end, the server is checked first: it
// may have crashed after a whole event.
func (e *exchange) clearSuspicion(choice placement.Choice, result attemptResult) {
	if !result.success || !result.wrote {
		return
	}
	request := startedRequest{e.info.ID, e.fingerprint(), e.partFingerprints(), result.sentAt}
	if !result.unframed {
		e.s.recordCompletion(time.Now(), request)
		return
	}
	go func() {
		if !e.s.checkServerCrash(context.Background(), request, choice) {
			e.s.recordCompletion(time.Now(), request)
		}
	}()
}

// recordCompletion clears a request and the parts of its prompt, and notifies all entries.
func (s *Server) recordCompletion(now time.Time, request startedRequest) {
	s.mu.Lock()
	record, isNew := s.tracker.Completed(now, request.fingerprint)
	cleared := s.parts.Completed(now, request.parts)
	s.mu.Unlock()
	s.peers.BroadcastPartRecords(cleared)
	if isNew {
		s.peers.BroadcastRecord(record)
	}
}

// updateQuarantine drops expired records, and logs and audits changes of the refused requests. Only
// the tick loop calls it.
func (s *Server) updateQuarantine(now time.Time) {
	s.mu.Lock()
	s.tracker.Expire(now)
	s.parts.Expire(now)
	refused, refusedParts := s.tracker.AllRefused(now), s.parts.AllRefused(now)
	s.mu.Unlock()
	s.reportQuarantineChanges("a request under which servers end", s.quarantinedRequests, refused)
	s.reportQuarantineChanges("a part of prompts under which servers end", s.quarantinedParts, refusedParts)
	s.quarantinedRequests, s.quarantinedParts = refused, refusedParts
}

func (s *Server) reportQuarantineChanges(message string, before, refused map[quarantine.Fingerprint]bool) {
	for _, f := range slices.SortedFunc(maps.Keys(refused), quarantine.Compare) {
		if !before[f] {
			s.reportQuarantine(message, f, "served", "refused", "servers ended under it")
		}
	}
	for _, f := range slices.SortedFunc(maps.Keys(before), quarantine.Compare) {
		if !refused[f] {
			s.reportQuarantine(message, f, "refused", "served", "it was answered, or its term is over")
		}
	}
}

func (s *Server) reportQuarantine(message string, f quarantine.Fingerprint, from, to, why string) {
	s.log.WithFields(logrus.Fields{"fingerprint": f.String(), "from": from, "to": to, "why": why}).Warn(message)
	s.audit(audit.Event{Area: audit.Requests, Subject: f.String(), From: from, To: to, Reason: why, Source: "entries"})
}
