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
	if e.s.tracksNoRequests() {
		return execution.Refusal{}, false
	}
	f := e.fingerprint()
	e.s.mu.Lock()
	left := e.s.watch.Refused(now, f)
	e.s.mu.Unlock()
	if left == 0 {
		return execution.Refusal{}, false
	}
	e.s.counters.quarantined.Inc(1)
	return execution.Quarantined(left), true
}

// tracksNoRequests says whether no request is remembered, so that fingerprints need not be made.
func (s *Server) tracksNoRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch.Empty()
}

// otherSuspectServers returns the starts of servers that other suspects may be about to end, if the request
// is a suspect too; the caller holds the lock.
func (e *exchange) otherSuspectServers(now time.Time) []string {
	if e.s.watch.Empty() || !e.s.watch.Suspected(e.fingerprint()) {
		return nil
	}
	return e.s.apart.Others(now, e.fingerprint())
}

// recordSuspectSent keeps other suspects away from the server to which the request is sent, if it is one.
func (e *exchange) recordSuspectSent(now time.Time, choice placement.Choice) {
	e.s.mu.Lock()
	defer e.s.mu.Unlock()
	if !e.s.watch.Empty() && e.s.watch.Suspected(e.fingerprint()) {
		e.s.apart.Sent(now, e.fingerprint(), choice.Server.Start())
	}
}

// recordTermination remembers that a server has ended under a request, and tells all entries: it may
// come again at any of them.
func (s *Server) recordTermination(now time.Time, request startedRequest, choice placement.Choice) {
	start := choice.Server.Start()
	s.mu.Lock()
	if !s.isExpectedToRun(choice) {
		s.mu.Unlock()
		return
	}
	record, isNew := s.watch.Ended(now, request.fingerprint, start)
	refused := s.watch.Refused(now, request.fingerprint) > 0
	s.mu.Unlock()
	if !isNew {
		return
	}
	s.log.WithFields(logrus.Fields{"request": request.id, "fingerprint": request.fingerprint.String(), "server": start, "ends": len(record.Ended), "refused": refused}).
		Info("a server has ended under a request that had just begun there")
	s.peers.broadcastRecord(record)
}

// isExpectedToRun says whether a server was there and had not told that it leaves, or has started
// anew. One that leaves, or whose row was removed, ends by itself, whatever it runs; the caller
// holds the lock.
func (s *Server) isExpectedToRun(choice placement.Choice) bool {
	known, ok := s.directory.Lookup(choice.Server.Start())
	return s.directory.Superseded(choice.Server.Start()) || ok && !known.Leaving
}

// clearSuspicion clears a request that has got its whole answer.
func (e *exchange) clearSuspicion(now time.Time) {
	f := e.fingerprint()
	e.s.mu.Lock()
	record, isNew := e.s.watch.Answered(now, f)
	e.s.mu.Unlock()
	if isNew {
		e.s.peers.broadcastRecord(record)
	}
}

// broadcastRecord tells all entries of a request under which servers have ended, or that was answered.
func (p *peerTransport) broadcastRecord(record quarantine.Record) {
	p.mu.Lock()
	allZones := dispatchRef{remoteZones: p.group.FarZones()}
	p.mu.Unlock()
	p.enqueue(allZones, func(m *peering.Message) { m.Records = append(m.Records, record) })
	go p.flush()
}

// sendAllRecords tells an entry all records.
func (p *peerTransport) sendAllRecords(now time.Time, target string) {
	p.s.mu.Lock()
	records := p.s.watch.Records(now)
	p.s.mu.Unlock()
	p.sendRecords([]string{target}, records, false)
}

// sendRecords sends records, in messages of their own; relay asks the targets to pass them on.
func (p *peerTransport) sendRecords(targets []string, records []quarantine.Record, relay bool) {
	for part := range slices.Chunk(records, maxRecords) {
		p.send(targets, peering.Message{Records: part, Relay: relay})
	}
}

// mergeRecords takes in what another entry tells of requests under which servers have ended. An
// entry whose records are others is told those of this one.
func (p *peerTransport) mergeRecords(now time.Time, m peering.Message) {
	if len(m.Records) == 0 && m.RecordsSum == 0 {
		return // as most messages, which tell of requests under way
	}
	p.s.mu.Lock()
	p.s.watch.Join(now, m.Records)
	differ := m.RecordsDiffer(p.s.watch.Sum())
	p.s.mu.Unlock()
	if !differ {
		return
	}
	p.mu.Lock()
	due := p.group.TellRecords(now, m.From)
	p.mu.Unlock()
	if due {
		p.sendAllRecords(now, m.From)
	}
}

// updateQuarantine forgets requests whose term is over, and keeps the trail of those that are
// refused. Only the tick calls it.
func (s *Server) updateQuarantine(now time.Time) {
	s.mu.Lock()
	s.watch.Expire(now)
	refused := s.watch.AllRefused(now)
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
	s.audit(audit.Event{Area: audit.Requests, Subject: f.String(), From: from, To: to, Why: why, Source: "entries"})
}
