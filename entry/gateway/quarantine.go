package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/quarantine"
)

// maxRecords bounds the records of a message so that it stays within one packet of a usual link
// (1,500 bytes); one with five ends takes some 80 bytes.
const maxRecords = 12

// quarantined says whether the request is refused because servers end under it. It is asked
// before each try, also within an attempt: the third end may have been this attempt's own.
func (e *exchange) quarantined(now time.Time) (execution.Refusal, bool) {
	if e.s.remembersNone() {
		return execution.Refusal{}, false
	}
	f := e.fingerprint()
	e.s.mu.Lock()
	left := e.s.watch.RefusedFor(now, f)
	e.s.mu.Unlock()
	if left == 0 {
		return execution.Refusal{}, false
	}
	e.s.counters.quarantined.Inc(1)
	return execution.Quarantined(left), true
}

// remembersNone says whether no request is remembered, so that fingerprints need not be made.
func (s *Server) remembersNone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch.Empty()
}

// otherSuspects returns the starts of servers that other suspects may be about to end, if the request
// is a suspect too; the caller holds the lock.
func (e *exchange) otherSuspects(now time.Time) []string {
	if e.s.watch.Empty() || !e.s.watch.IsSuspect(e.fingerprint()) {
		return nil
	}
	return e.s.apart.ServersOfOthers(now, e.fingerprint())
}

// keepApart keeps other suspects away from the server to which the request is sent, if it is one.
func (e *exchange) keepApart(now time.Time, choice placement.Choice) {
	e.s.mu.Lock()
	defer e.s.mu.Unlock()
	if !e.s.watch.Empty() && e.s.watch.IsSuspect(e.fingerprint()) {
		e.s.apart.RecordSend(now, e.fingerprint(), choice.Server.IncarnationID())
	}
}

// noteEnd remembers that a server has ended under a request, and tells all entries: it may
// come again at any of them.
func (s *Server) noteEnd(now time.Time, request begunRequest, choice placement.Choice) {
	start := choice.Server.IncarnationID()
	s.mu.Lock()
	if !s.isExpectedToLive(choice) {
		s.mu.Unlock()
		return
	}
	record, isNew := s.watch.ServerCrashed(now, request.fingerprint, start)
	refused := s.watch.RefusedFor(now, request.fingerprint) > 0
	s.mu.Unlock()
	if !isNew {
		return
	}
	s.log.WithFields(logrus.Fields{"request": request.id, "fingerprint": request.fingerprint.String(), "server": start, "ends": len(record.Crashes), "refused": refused}).
		Info("a server has ended under a request that had just begun there")
	s.peers.tellRecord(record)
}

// isExpectedToLive says whether a server was there and had not told that it leaves, or has started
// anew. One that leaves, or whose row was removed, ends by itself, whatever it runs; the caller
// holds the lock.
func (s *Server) isExpectedToLive(choice placement.Choice) bool {
	known, ok := s.directory.Lookup(choice.Server.IncarnationID())
	return s.directory.Superseded(choice.Server.IncarnationID()) || ok && !known.Draining
}

// noteAnswer clears a request that has got its whole answer.
func (e *exchange) noteAnswer(now time.Time) {
	f := e.fingerprint()
	e.s.mu.Lock()
	record, isNew := e.s.watch.Completed(now, f)
	e.s.mu.Unlock()
	if isNew {
		e.s.peers.tellRecord(record)
	}
}

// tellRecord tells all entries of a request under which servers have ended, or that was answered.
func (p *peerExchange) tellRecord(record quarantine.Record) {
	p.mu.Lock()
	everywhere := booking{far: p.group.RemoteZones()}
	p.mu.Unlock()
	p.tell(everywhere, func(m *peering.Message) { m.Records = append(m.Records, record) })
	go p.flush()
}

// tellRecords tells an entry all records.
func (p *peerExchange) tellRecords(now time.Time, target string) {
	p.s.mu.Lock()
	records := p.s.watch.Records(now)
	p.s.mu.Unlock()
	p.sendRecords([]string{target}, records, false)
}

// sendRecords sends records, in messages of their own; relay asks the targets to pass them on.
func (p *peerExchange) sendRecords(targets []string, records []quarantine.Record, relay bool) {
	for part := range slices.Chunk(records, maxRecords) {
		p.send(targets, peering.Message{Records: part, Relay: relay})
	}
}

// takeRecords takes in what another entry tells of requests under which servers have ended. An
// entry whose records are others is told those of this one.
func (p *peerExchange) takeRecords(now time.Time, m peering.Message) {
	if len(m.Records) == 0 && m.RecordsDigest == 0 {
		return // as most messages, which tell of requests under way
	}
	p.s.mu.Lock()
	p.s.watch.Merge(now, m.Records)
	differ := m.RecordsDiffer(p.s.watch.Digest())
	p.s.mu.Unlock()
	if !differ {
		return
	}
	p.mu.Lock()
	due := p.group.ShouldSendRecords(now, m.From)
	p.mu.Unlock()
	if due {
		p.tellRecords(now, m.From)
	}
}

// noteQuarantine forgets requests whose term is over, and keeps the trail of those that are
// refused. Only the tick calls it.
func (s *Server) noteQuarantine(now time.Time) {
	s.mu.Lock()
	s.watch.Expire(now)
	refused := s.watch.AllRefused(now)
	s.mu.Unlock()
	for _, f := range slices.SortedFunc(maps.Keys(refused), quarantine.Compare) {
		if !s.refused[f] {
			s.quarantineChanged(f, "served", "refused", "servers ended under it")
		}
	}
	for _, f := range slices.SortedFunc(maps.Keys(s.refused), quarantine.Compare) {
		if !refused[f] {
			s.quarantineChanged(f, "refused", "served", "it was answered, or its term is over")
		}
	}
	s.refused = refused
}

func (s *Server) quarantineChanged(f quarantine.Fingerprint, from, to, why string) {
	s.log.WithFields(logrus.Fields{"fingerprint": f.String(), "from": from, "to": to, "why": why}).Warn("a request under which servers end")
	s.audit(audit.Event{Area: audit.Requests, Subject: f.String(), From: from, To: to, Reason: why, Source: "entries"})
}
